package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// A leader steps down and leads again while it has a run of a job, and the job's coordinator
// submits the job to it again. The message waits on the way (a delayed link, a full queue of the
// loop, a process that stands still), so that the job seems to have arrived from its caller after
// the new leadership began. The target of the run has not been acquired again. The first run then
// lasts until its lease ends, and the leader knows nothing of it.
func TestLateReturnToALeaderThatLedBeforeWaitsForItsEarlierRuns(t *testing.T) {
	const (
		ledAnewAfter = 60 * ms  // since the arrival of the job
		sentAfter    = 70 * ms  // the submission to the new leadership
		onItsWay     = 200 * ms // that message
	)
	b := newHarness(t, 2)
	arrived := b.now
	j := jobOf("j", queue("q", 0), 1, 14000, 900*ms)
	b.submitFrom("e1", j)
	b.tick(ms)
	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]

	b.now = arrived + ledAnewAfter
	b.p.StepDown()
	b.p.BecomeLeader(b.now, 1<<40)
	for _, h := range takeEffects[fleet.Hold](b) {
		if h.Target.ID != first.Target.ID { // the other one does not answer yet
			b.acceptHold(h, nil, nil)
		}
	}
	heartbeatAt := b.now
	b.now = arrived + sentAfter + onItsWay
	b.p.Submit(b.now, Submit{
		Coordinator: "e1", Job: j, Waited: sentAfter, NeedsVouch: true, HeartbeatAt: heartbeatAt,
		MayHaveRun: true, HereBefore: true, VouchedElsewhereAgo: DefaultTakeoverDelay,
	})
	for b.clock() < first.LeaseUntilMS {
		b.hear("e1")
		b.tick(10 * ms)
		again := takeEffects[fleet.Start](b)
		assert.Equal(t, len(again), 0, "the task starts again %d ms before the lease of its first run ends", first.LeaseUntilMS-b.clock())
	}
	for range 200 { // it does start again
		b.hear("e1")
		b.tick(10 * ms)
		if len(takeEffects[fleet.Start](b)) > 0 {
			return
		}
	}
	t.Fatalf("the task has not started again by %v", time.Duration(b.now-arrived))
}
