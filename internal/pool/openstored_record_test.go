package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// The owner after the next one restores the run as well: each record names it until it is over, and none after that.
func TestRecordsNameAnOpenRunUntilItIsOver(t *testing.T) {
	j := storedJob("j", 2)
	x := ownerAfterStandstill(t, j, 5*time.Second, targetList(2)[1:])
	x.play(5*time.Second, x.unanswered(fleet.Connected))
	rec := x.p.jobs["j"].record(fleet.JobRunning, fleet.MaxOpenTargets)
	assert.DeepEqual(t, rec.Open, []fleet.OpenRuns{{
		Target: x.lost.ID, Addr: x.lost.Addr, Incarnation: 1, LeaseMS: rec.Open[0].LeaseMS, Runs: map[int]int{0: x.first[0].Run, 1: x.first[1].Run},
	}})
	assert.Assert(t, rec.Open[0].LeaseMS >= x.first[0].LeaseUntilMS)
	assert.Equal(t, len(x.p.jobs["j"].record(fleet.JobRunning, 0).Open), 0)
	x.play(15*time.Second, x.unanswered(fleet.NotConnected))
	assert.Assert(t, x.started["j"] > 0)
	assert.Equal(t, len(x.p.jobs["j"].record(fleet.JobRunning, fleet.MaxOpenTargets).Open), 0)
}
