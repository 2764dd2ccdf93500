package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1, 1000) }

// targetsIn returns targets of each of the data centres.
func targetsIn(perDC map[string]int) []Target {
	var list []Target
	for dc, n := range perDC {
		for i := range n {
			list = append(list, Target{ID: fmt.Sprintf("%s-%d", dc, i), DC: dc})
		}
	}
	return list
}

func TestFewTargetsMakeOnePool(t *testing.T) {
	l := PlanLayout(targetsIn(map[string]int{"a": 16, "b": 16, "c": 16}), nil)
	assert.DeepEqual(t, l.Pools, []Scope{{}})
}

func TestManyTargetsAreDividedWithinTheirDataCentres(t *testing.T) {
	list := targetsIn(map[string]int{"a": 117, "b": 117, "c": 116})
	l := PlanLayout(list, nil)
	assert.DeepEqual(t, l.Pools, []Scope{{"a"}, {"a"}, {"b"}, {"b"}, {"c"}, {"c"}})
	sizes := make([]int, len(l.Pools))
	for i := range list {
		at := l.PoolOf(&list[i])
		assert.Equal(t, l.Pools[at].DC, list[i].DC)
		sizes[at]++
	}
	for _, n := range sizes {
		assert.Assert(t, n > poolTargets/2 && n < 2*poolTargets, "%v", sizes)
	}
}

// Entries see targets come and go at different times; the layout must not depend on it.
func TestLayoutStaysWhileTargetsComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planned := rapid.IntRange(1, 2000).Draw(t, "planned")
		l := Layout{Targets: planned}
		now := rapid.IntRange(planned*7/10+1, planned*14/10).Draw(t, "now")
		assert.Assert(t, !l.Outgrown(now), "%d targets, planned for %d", now, planned)
		assert.Assert(t, l.Outgrown(2*planned) && l.Outgrown(planned/2))
	})
}

// The pool of a target depends on nothing but its ID and data centre: targets of a data
// centre that the layout does not know are divided among all pools.
func TestEveryTargetHasAPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dcs := rapid.SliceOfN(rapid.SampledFrom([]string{"", "a", "b", "c"}), 1, 8).Draw(t, "pools")
		l := Layout{}
		for _, dc := range dcs {
			l.Pools = append(l.Pools, Scope{dc})
		}
		target := Target{ID: rapid.String().Draw(t, "id"), DC: rapid.SampledFrom([]string{"", "a", "d"}).Draw(t, "dc")}
		at := l.PoolOf(&target)
		assert.Assert(t, at >= 0 && at < len(l.Pools))
		assert.Equal(t, l.PoolOf(&target), at)
	})
}

// Entries with 0.12 of a core were to lead a pool of 85 targets, which takes 0.14 of a core.
func TestSmallEntriesLeadSmallPools(t *testing.T) {
	list := targetsIn(map[string]int{"a": 17, "b": 17, "c": 17, "d": 17, "e": 17})
	small := make([]int64, 17)
	for i := range small {
		small[i] = 120
	}
	l := PlanLayout(list, small)
	assert.DeepEqual(t, l.Pools, []Scope{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}})
}

// A few large entries among many small ones lead all pools.
func TestLargeEntriesSetTheSizeOfPools(t *testing.T) {
	list := targetsIn(map[string]int{"a": 108, "b": 108, "c": 108, "d": 108, "e": 108})
	var entries []int64
	for i := range 97 {
		size := int64(192)
		if i%6 == 0 {
			size = 800
		}
		entries = append(entries, size)
	}
	assert.Equal(t, len(PlanLayout(list, entries).Pools), 10)
}

// The size of the entries never makes a pool larger than usual or of a handful of targets.
func TestPoolSizesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOf(rapid.Int64Range(0, 4000)).Draw(t, "sizes")
		got := planPoolSize(rapid.IntRange(1, 5000).Draw(t, "targets"), sizes)
		assert.Assert(t, got >= minPoolTargets && got <= poolTargets, "%d", got)
	})
}
