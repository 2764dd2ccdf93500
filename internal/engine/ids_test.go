package engine

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/structs"
)

// No number of one class, of forwarding or of an earlier run stands for
// something of another: results are matched by them alone.
func TestIdentifiersOfSeriesAndRunsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incarnation := rapid.Uint64().Draw(t, "incarnation")
		owner := map[uint64]bool{}
		for _, run := range []uint64{incarnation, incarnation + 1, incarnation + 2} {
			for _, series := range []uint64{uint64(structs.Request), uint64(structs.Job), idSeries} {
				first := firstID(run, series)
				assert.Equal(t, first%(1<<idCountBits), uint64(0))
				assert.Assert(t, !owner[first], "run %d, series %d", run, series)
				owner[first] = true
			}
		}
	})
}

func TestSchedulersNumberApart(t *testing.T) {
	e := New(Config{Self: structs.Member{Name: "a", Incarnation: 7}})
	defer e.cancelBase()
	assert.Assert(t, e.requests.lastID != e.jobs.lastID)
	assert.Assert(t, e.forwarder.lastID != e.jobs.lastID)
	later := New(Config{Self: structs.Member{Name: "a", Incarnation: 8}})
	defer later.cancelBase()
	assert.Assert(t, later.requests.lastID != e.requests.lastID)
	assert.Assert(t, later.forwarder.lastID != e.forwarder.lastID)
}
