package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// isolate cuts the links of one entry to all others, in both directions. It
// still reaches the table.
func (w *world) isolate(index int) {
	for i := range w.nodes {
		if i != index {
			w.cut[[2]int{i, index}] = true
			w.cut[[2]int{index, i}] = true
		}
	}
}

// TestIsolatedMemberYieldsView guards against an isolated member that keeps the
// others out of the view. Two entries pause while the third is isolated; it
// removes them from the view, and they can't reach it to join again.
func TestIsolatedMemberYieldsView(t *testing.T) {
	const settled = 30 * time.Second
	for seed := range uint64(20) {
		w := newWorld(seed, 3)
		for _, n := range w.nodes {
			n.boot()
		}
		w.advance(5 * time.Second)
		w.isolate(0)
		for _, n := range w.nodes[1:] {
			n.pausedUntil = w.now + 2500*time.Millisecond
		}
		w.advance(settled)

		for _, n := range w.nodes[1:] {
			view := n.membership.InForce()
			assert.Assert(t, n.membership.Ready(), "seed %d: %s is not in a view in force", seed, n.name)
			assert.Equal(t, len(view.Members), 2, "seed %d: view of %s", seed, n.name)
		}
		assert.Equal(t, w.failure, "", "seed %d", seed)
	}
}
