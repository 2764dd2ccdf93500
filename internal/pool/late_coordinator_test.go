package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A caller has left its first entry and is back at another one, whose submission arrives first: the
// first entry stood still, or was late. The late submission is of a caller that has left 2.8 s after its
// request. It must not take the job from the coordinator whose caller waits.
func TestLateSubmissionOfAnEarlierCoordinatorDoesNotReplaceTheLaterOne(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", queue("q", 0), 1, 14000, 900*ms)
	j.Timeout, j.CallerLeaves = 1500*ms, true
	b.submitFrom("e2", j)
	b.tick(ms)
	assert.Equal(t, len(b.acceptStarts()), 1)

	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, Waited: 2801 * ms, NeedsVouch: true, HeartbeatAt: b.now})
	for range 10 {
		b.hear("e1")
		b.hear("e2")
		b.tick(20 * ms)
	}

	for _, e := range takeEffects[Ended](b) {
		assert.Assert(t, e.Coordinator != "e2", "e2 was told %s after %v", e.Outcome.Reason, 200*time.Millisecond)
		assert.Equal(t, e.Outcome.Reason, verdict.Resubmitted)
	}
}

// The same with a caller whose connection had broken: nothing but its age tells that the late submission is the
// earlier one. The caller that waits at the later entry is answered (504) and returns 1.3 s after that, perhaps to the
// follower of another leader, which knows nothing of this one. The runs here must not go on by the word of the late
// coordinator until then.
func TestRunsDoNotOutlastTheAnswerToACallerWhoseCoordinatorWasReplaced(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	j.Timeout = 10 * time.Second
	b.submitFrom("e2", j)
	b.tick(ms)
	start := b.acceptStarts()[0]
	running := []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}
	b.tick(20 * ms)
	b.answerHolds(running)

	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, Waited: 2821 * ms, NeedsVouch: true, HeartbeatAt: b.now})
	answered := time.Duration(0)
	for range 100 {
		b.hear("e1")
		b.hear("e2")
		for _, e := range takeEffects[Ended](b) {
			if e.Coordinator == "e2" && answered == 0 {
				answered = b.now
				b.p.Abandon(b.now, "e2", "j") // as Node.handleOutcome does
			}
		}
		b.tick(20 * ms)
		lease := b.answerHolds(running)
		back := (answered + callerReturns).Milliseconds()
		assert.Assert(t, answered == 0 || lease <= back, "a lease lasts %d ms longer than the caller is away", lease-back)
	}
}
