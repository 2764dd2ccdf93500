package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
