package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/statechart"
)

// A target reports a run that has just begun, and the entry, which stood still or got little processor
// time, reads the report a moment later. The run has made no progress by the time of the report, not by
// the time at which the entry gets to it: the target is not to blame.
func TestReportThatIsReadLateDoesNotBlameItsTarget(t *testing.T) {
	const late = 300 * ms // within the time that a hold may take
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 1, 14000, 60*ms))
	b.tick(ms)
	start := b.acceptStarts()[0]
	b.tick(5 * ms)
	holds := takeEffects[fleet.Hold](b)
	assert.Equal(t, len(holds), 1)
	sent, reported := b.now, b.clock()+10 // the target answers 10 ms later
	b.now += late

	b.p.HoldDone(b.now, sent, holds[0], fleet.HoldReply{
		Answer: fleet.Accepted, ClockMS: reported, Incarnation: 1, Running: []fleet.Running{{Task: start.Task, Run: start.Run}},
	})
	b.tick(0)

	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0, "the run is stopped")
	assert.Equal(t, b.p.targets[start.Target.ID].state, statechart.TargetHealthHealthy)
}
