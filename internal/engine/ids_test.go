package engine

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/structs"
)

// TestFirstIDsDifferBySeriesAndIncarnation checks that the IDs of both classes,
// of forwarded requests and of consecutive incarnations don't overlap, since
// results are matched by ID alone.
func TestFirstIDsDifferBySeriesAndIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incarnation := rapid.Uint64().Draw(t, "incarnation")
		owner := map[uint64]bool{}
		for _, inc := range []uint64{incarnation, incarnation + 1, incarnation + 2} {
			for _, series := range []uint64{uint64(structs.Request), uint64(structs.Job), forwardSeries} {
				first := firstID(inc, series)
				assert.Equal(t, first%(1<<idCountBits), uint64(0))
				assert.Assert(t, !owner[first], "incarnation %d, series %d", inc, series)
				owner[first] = true
			}
		}
	})
}

func TestIDsOfSchedulersDiffer(t *testing.T) {
	e := New(Config{Self: structs.Member{Name: "a", Incarnation: 7}})
	defer e.cancelBase()
	assert.Assert(t, e.requests.lastID != e.jobs.lastID)
	assert.Assert(t, e.forwarder.lastID != e.jobs.lastID)
	later := New(Config{Self: structs.Member{Name: "a", Incarnation: 8}})
	defer later.cancelBase()
	assert.Assert(t, later.requests.lastID != e.requests.lastID)
	assert.Assert(t, later.forwarder.lastID != e.forwarder.lastID)
}
