package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

const (
	// callerReturns is how soon a caller that lost its connection submits its job again, at
	// any entry.
	callerReturns = 1300 * ms
	// linkLossNoticed is how long an entry may take to notice that a link is lost.
	linkLossNoticed = 466 * ms
)

// submitFrom submits a job of a coordinator that this entry has just heard from.
func (b *harness) submitFrom(coordinator string, j fleet.Job) {
	b.p.Submit(b.now, Submit{Coordinator: coordinator, Job: j, NeedsVouch: true, HeartbeatAt: b.now})
}

// hear makes a coordinator answer a heartbeat of this moment.
func (b *harness) hear(coordinator string) {
	b.p.Vouched(Voucher{Coordinator: coordinator}, b.now)
}

// answerHolds answers the pending holds with the given runs and returns the latest lease
// that they grant.
func (b *harness) answerHolds(running []fleet.Running) (lease int64) {
	for _, h := range takeEffects[fleet.Hold](b) {
		lease = max(lease, h.LeaseUntilMS)
		b.acceptHold(h, running, nil)
	}
	return lease
}

// A coordinator loses the link to a leader and hands its job to the next one. The former
// leader notices later, starts a task meanwhile, and steps down.
func TestRunOfALeaderThatWasNotToldEndsBeforeTheNextLeaderStarts(t *testing.T) {
	former, next := newHarness(t, 1), newHarness(t, 1)
	former.p.Submit(former.now, Submit{Coordinator: "e2", Job: jobOf("full", queue("q", 0), 1, 32000, 60*ms)})
	former.tick(ms)
	full := takeEffects[fleet.Start](former)[0]
	former.replyStart(full, fleet.Accepted)
	patient := queue("q", 0)
	patient.Slack = time.Second
	j := jobOf("j", patient, 1, 14000, 900*ms)
	former.submitFrom("e1", j)
	former.tick(ms)

	former.hear("e1")
	next.now = former.now
	next.p.Submit(next.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	former.now += 220 * ms
	former.endRun(full, 1, fleet.EndDone, "")
	former.tick(ms)
	starts := takeEffects[fleet.Start](former)
	assert.Equal(t, len(starts), 1, "the former leader goes on")
	former.p.StepDown()

	for range 300 {
		next.tick(10 * ms)
		next.answerHolds(nil)
		if again := takeEffects[fleet.Start](next); len(again) > 0 {
			assert.Assert(t, next.clock() > starts[0].LeaseUntilMS, "started at %d, the former run may last until %d", next.clock(), starts[0].LeaseUntilMS)
			return
		}
	}
	t.Fatal("the next leader did not start the task")
}

// A coordinator dies. Its callers submit their jobs again to any entry, which may lead to
// another leader.
func TestRunsOfALostCoordinatorEndBeforeItsCallersReturn(t *testing.T) {
	b := newHarness(t, 1)
	b.submitFrom("e1", jobOf("j", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	died := b.now
	b.hear("e1")
	lease, lost := start.LeaseUntilMS, false
	for b.now < died+linkLossNoticed+DefaultLinkGrace {
		if !lost && b.now >= died+linkLossNoticed {
			lost = true
			b.p.CoordinatorLost(b.now, "e1")
		}
		b.tick(20 * ms)
		lease = max(lease, b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 20}}))
	}
	// The target is out of reach from now on, so that its leases expire.
	left := time.Duration(lease-b.clock()) * time.Millisecond
	over := b.now + time.Duration(float64(left)*(1+maxClockDrift))
	assert.Assert(t, over < died+callerReturns, "the run may last %v after the loss", over-died)
}

// Another leader has the job of a run that this owner finds on a target, and starts its
// task again once the lease must have expired.
func TestLeasesOfUnknownRunsAreNotRenewed(t *testing.T) {
	b := &harness{t: t, p: New(DefaultSettings(), nil), now: time.Second, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	b.p.SetTargets(b.now, targetList(1))
	b.p.BecomeLeader(b.now, 7)
	running := []fleet.Running{{Task: fleet.TaskID{Job: "elsewhere"}, Run: 3, PercentDone: 10}}
	b.answerHolds(running)
	assert.Equal(t, b.p.Owned(), 1)
	for range 20 {
		b.tick(20 * ms)
		assert.Equal(t, b.answerHolds(running), int64(0))
	}
	assert.Assert(t, len(takeEffects[fleet.Stop](b)) > 0, "it is stopped")
}

// Guards against two runs of a task at one time: a leader started the task of a target out of reach
// elsewhere at the very end of its lease, while the target was still about to end the run.
func TestExpiredRunsHaveTimeToEnd(t *testing.T) {
	b := newHarness(t, 2)
	s := func() fleet.Start {
		b.submit(jobOf("j", queue("q", 0), 1, 14000, 900*ms))
		b.tick(ms)
		return b.acceptStarts()[0]
	}()
	b.p.markUnreachable(b.now, b.p.targets[s.Target.ID])
	ends := time.Duration(s.LeaseUntilMS)*ms + timeToEnd
	for b.now < ends {
		b.p.targets[s.Target.ID].nextAcquireAt = ends + time.Second // still out of reach
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "%v before the run must have ended", ends-b.now)
		b.tick(5 * ms)
	}
	b.tick(time.Duration(maxClockDrift*float64(DefaultLease)) + 10*ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}
