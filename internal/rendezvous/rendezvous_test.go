package rendezvous

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestNodeLossMovesOnlyItsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 9, rapid.ID).Draw(t, "nodes")
		item := rapid.Uint64().Draw(t, "item")
		lost := rapid.IntRange(0, len(nodes)-1).Draw(t, "lost")
		first, second := TopTwo(item, nodes)
		rest := slices.Delete(slices.Clone(nodes), lost, lost+1)

		got, _ := TopTwo(item, rest)

		want := nodes[first]
		if lost == first {
			want = nodes[second]
		}
		assert.Equal(t, rest[got], want)
	})
}
