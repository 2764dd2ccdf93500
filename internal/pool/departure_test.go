package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// callerJobOf is jobOf for a caller that has stated its deadline.
func callerJobOf(id string, deadline, takes time.Duration) fleet.Job {
	j := jobOf(id, queue("q", 0), 1, 14000, takes)
	j.Timeout, j.CallerLeaves = deadline, true
	return j
}

// endOfRunUnderWords runs a job whose coordinator answers all heartbeats and withdraws nothing, and
// whose target reports it until its lease ends. It returns when that is.
func (b *harness) endOfRunUnderWords(j fleet.Job) time.Duration {
	b.submitFrom("e1", j)
	b.tick(ms)
	starts := takeEffects[fleet.Start](b)
	assert.Equal(b.t, len(starts), 1)
	lease := starts[0].LeaseUntilMS
	b.replyStart(starts[0], fleet.Accepted)
	for began := b.now; b.clock() < lease && b.now < began+j.Timeout+callerReturns; {
		b.tick(10 * ms)
		b.hear("e1")
		lease = max(lease, b.answerHolds([]fleet.Running{{Task: starts[0].Task, Run: starts[0].Run, PercentDone: 10}}))
	}
	return time.Duration(lease) * ms
}

// A coordinator reads a request late, so that it keeps the job when the caller is back elsewhere, and
// its withdrawal does not arrive.
func TestRunsEndBeforeTheCallerOfALateCoordinatorReturns(t *testing.T) {
	const deadline, readLate = 1500 * ms, 600 * ms
	b := newHarness(t, 1)
	sent := b.now - readLate
	end := b.endOfRunUnderWords(callerJobOf("j", deadline, 5*time.Second))
	over := end + (DefaultTakeoverDelay - DefaultVouchFor)
	assert.Assert(t, over < sent+deadline+callerReturns, "the run is over %v after the caller is back", over-(sent+deadline+callerReturns))
	assert.Assert(t, end >= sent+readLate+deadline, "the run is cut short")
	assert.Equal(t, b.outcomes()["j"].Reason, verdict.DeadlinePassed)
}

func TestRunsOfACallerThatHasStatedNoDeadlineGoOn(t *testing.T) {
	b := newHarness(t, 1)
	j := callerJobOf("j", 300*ms, 5*time.Second)
	j.CallerLeaves = false
	b.submitFrom("e1", j)
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	for range 100 {
		b.tick(10 * ms)
		b.hear("e1")
		b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}})
	}
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0)
}

// The caller has come back at another entry, and is to get the answer of the run that is there.
func TestRunsOfACallerThatHasComeBackOutlastItsFirstDeadline(t *testing.T) {
	b := newHarness(t, 1)
	j := callerJobOf("j", 500*ms, 5*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	b.tick(400 * ms)
	b.submitFrom("e2", j)
	b.p.Abandon(b.now, "e1", "j") // as told that the caller is back
	for range 30 {
		b.tick(10 * ms)
		b.hear("e2")
		b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}})
	}
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0)
	assert.Equal(t, len(b.outcomes()), 0)
}

// Each ended job was kept, with its spec and tasks, until its caller's deadline.
func TestEndedJobsAreNotKeptUntilTheDeadlinesOfTheirCallers(t *testing.T) {
	b := newHarness(t, 1)
	for range 3 {
		b.submitFrom("e1", callerJobOf("j", time.Hour, 20*ms))
		b.submitFrom("e1", callerJobOf("j", time.Hour, 20*ms)) // once more
		assert.Equal(t, len(b.p.departures), 1)
		b.p.Cancel(b.now, "j")
		b.tick(ms)
	}
	assert.Equal(t, len(b.p.departures), 0)
}

// Jobs whose deadline is shorter than the time for which runs may outlast it were never started.
func TestJobsWithShortDeadlinesStart(t *testing.T) {
	for _, deadline := range []time.Duration{50 * ms, 100 * ms, 190 * ms, 300 * ms} {
		b := newHarness(t, 1)
		b.submitFrom("e1", callerJobOf("j", deadline, 20*ms))
		b.tick(ms)
		assert.Equal(t, len(b.acceptStarts()), 1, "deadline %v", deadline)
	}
}

// A queued job ended by the deadline of the first attempt, while the caller waited for the second one.
func TestQueuedJobWaitsForTheDeadlineOfTheLaterAttempt(t *testing.T) {
	b := newHarness(t, 1)
	filler := callerJobOf("f", time.Hour, 30*time.Second)
	filler.Steps[0].Needs.MilliCPU = 32000
	b.submitFrom("e1", filler)
	b.tick(ms)
	assert.Equal(t, len(b.acceptStarts()), 1)
	j := callerJobOf("j", 1500*ms, 100*ms)
	j.Queue.Name, j.Queue.Slack = "q2", 20*time.Second
	b.submitFrom("e1", j)
	for i := range 110 {
		if i == 50 {
			b.submitFrom("e1", j)
		}
		b.tick(20 * ms)
		b.hear("e1")
		assert.Equal(t, len(b.outcomes()), 0, "ended %d ms after the first attempt", i*20)
	}
}
