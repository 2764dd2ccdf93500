package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/rapidtest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1, 1000) }

func TestPoolsGetJobsInProportionToTheirCapacity(t *testing.T) {
	pools := []poolView{{led: true, capacity: 1000}, {led: true, capacity: 3000}, {led: true, capacity: 2000}}
	got := make([]int, len(pools))
	const jobs = 12000
	for i := range jobs {
		got[choosePool(fmt.Sprintf("%016x", i*7919), pools, nil)]++
	}
	for i, p := range pools {
		want := float64(jobs) * float64(p.capacity) / 6000
		assert.Assert(t, float64(got[i]) > 0.93*want && float64(got[i]) < 1.07*want, "%v", got)
	}
}

// A job that is submitted again goes to the same pool, and if that has lost its leader, no
// job of another pool moves.
func TestLossOfALeaderMovesOnlyTheJobsOfItsPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools := make([]poolView, rapid.IntRange(2, 9).Draw(t, "pools"))
		for i := range pools {
			pools[i] = poolView{led: true, capacity: rapid.Int64Range(0, 5000).Draw(t, "capacity")}
		}
		job := rapid.StringMatching(`[0-9a-f]{16}`).Draw(t, "job")
		before := choosePool(job, pools, nil)
		lost := rapid.IntRange(0, len(pools)-1).Draw(t, "lost")
		pools[lost].led = false
		after := choosePool(job, pools, nil)
		if lost == before {
			assert.Assert(t, after != before && after >= 0)
		} else {
			assert.Equal(t, after, before)
		}
	})
}

func TestShedJobGoesToThePoolWithTheMostSpareCapacity(t *testing.T) {
	pools := []poolView{{led: true, spare: 9000}, {led: true, spare: 40000}, {led: false, spare: 90000}, {led: true, spare: 60000}}
	j := &fleet.Job{ID: "00000000000000aa", Steps: []fleet.Step{{Count: 2, Needs: structs.Resources{MilliCPU: 16000}}}}
	next := func(tried ...int) int { return chooseNextPool(j, verdict.QueueFull, pools, tried) }
	assert.Equal(t, next(0), 3)
	assert.Equal(t, next(0, 3), 1)
	assert.Equal(t, next(0, 3, 1), -1, "no pool has the room")
}

// A job that fits no target of one pool must not fail before it was offered to all.
func TestJobThatDoesNotFitIsOfferedToEveryPool(t *testing.T) {
	pools := []poolView{{led: true, capacity: 9000}, {led: true, capacity: 9000}, {led: true, capacity: 9000}}
	j := &fleet.Job{ID: "00000000000000aa"}
	tried := []int{choosePool(j.ID, pools, nil)}
	for range 2 {
		next := chooseNextPool(j, verdict.NeverFits, pools, tried)
		assert.Assert(t, next >= 0 && !slices.Contains(tried, next))
		tried = append(tried, next)
	}
	assert.Equal(t, chooseNextPool(j, verdict.NeverFits, pools, tried), -1)
}

// On the other side of a partition, jobs of the pool that was cut off waited until their
// deadline for its new leader there, which had no target.
func TestJobLeavesPoolWhoseNewLeaderHasNoTarget(t *testing.T) {
	pools := []poolView{{led: true, capacity: 9000}, {led: true, empty: true}}
	p := &pendingJob{pool: 1, mayHaveRun: true, leaderLostAt: time.Second}
	p.job.ID = "00000000000000aa"
	assert.Equal(t, p.choosePool(time.Second+ms, pools), -1, "the new leader may still be acquiring its targets")
	assert.Equal(t, p.choosePool(time.Second+leaderlessTimeout, pools), 0)
	pools[1] = poolView{led: true, capacity: 9000}
	assert.Equal(t, p.choosePool(time.Second+ms, pools), 1, "the new leader finds the runs of the job")
}
