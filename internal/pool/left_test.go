package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// A data centre is cut off in silence, with the coordinator of a job, the target of its run, and an
// entry that leads there from then on. The coordinator hands the job over and goes on vouching: a
// connection that is cut off in silence has no end, so that it knows of the loss of its caller by the
// stated deadline only (rule 14). The caller hands the job in again 1.3 s after the cut, at an entry
// on the leader's side.
func TestCallerThatReturnsWaitsForTheRunOfItsCutOffCoordinator(t *testing.T) {
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	j.Queue.Slack, j.Timeout = 3*time.Second, 6*time.Second
	x := loseTarget(t, j, Submit{Coordinator: "e1"})
	led, handed, lost, returned, began := false, false, false, false, 0
	for x.at() < 3*time.Second {
		if !led && x.at() >= 450*ms {
			led = true
			x.other.now = x.leader.now
			x.lead()
		}
		if !handed && x.at() >= 470*ms {
			handed = true
			x.other.now = x.leader.now
			x.handOver(Submit{Coordinator: "e1", VouchedAgo: 470 * ms})
		}
		if !lost && x.at() >= 470*ms { // both ends notice the loss of their link
			lost = true
			x.leader.p.CoordinatorLost(x.leader.now, "e1")
		}
		if !returned && x.at() >= callerReturns {
			returned = true
			x.leader.submitFrom("e2", j)
		}
		if handed {
			x.other.hear("e1")
		}
		if returned {
			x.leader.hear("e2")
		}
		if x.step() {
			began++
		}
	}
	assert.Assert(t, returned)
	assert.Equal(t, began, 0)
	assert.Assert(t, x.lease > x.leader.clock(), "the other leader renews the run")
}

// A job ends at its deadline while one of its tasks is at work on a target that its stop does not
// reach; its caller gets the answer at once, and submits the job again.
func TestJobThatIsSubmittedAgainAfterItsEndWaitsForItsRuns(t *testing.T) {
	for _, how := range []string{"deadline", "cancelled"} {
		b := newHarness(t, 2)
		b.tick(5 * time.Second)                                 // the takeover is over
		j := jobOf("j", queue("q", 0), 3, 20000, 3*time.Second) // two tasks run, one waits
		j.Queue.Slack, j.Timeout = 3*time.Second, 300*ms
		b.submitFrom("e1", j)
		b.tick(ms)
		starts := b.acceptStarts()
		assert.Equal(t, len(starts), 2)
		lost := starts[0]
		b.p.markUnreachable(b.now, b.p.targets[lost.Target.ID])
		if how == "cancelled" {
			b.p.Cancel(b.now, "j")
		} else {
			b.tick(301 * ms)
		}
		outcome, over := b.outcomes()["j"]
		assert.Assert(t, over, how)
		t.Logf("%s: the caller is answered %v %v", how, outcome.Verdict, outcome.Reason)
		// The other run is stopped, as its target reports.
		other := b.p.targets[starts[1].Target.ID]
		for _, s := range takeEffects[fleet.Stop](b) {
			if s.Target.ID == other.ID {
				b.p.StopDone(b.now, s, fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
			}
		}
		for range 3 {
			b.tick(ms)
			for _, h := range takeEffects[fleet.Hold](b) {
				if h.Target.ID == other.ID {
					b.acceptHold(h, nil, nil)
				}
			}
		}
		b.submitFrom("e1", j)
		b.tick(ms)
		for _, s := range takeEffects[fleet.Start](b) {
			assert.Assert(t, s.Task != lost.Task || b.clock() > lost.LeaseUntilMS, "%s: run %d of %s on %s %d ms before the lease of its run on %s ends",
				how, s.Run, s.Task, s.Target.ID, lost.LeaseUntilMS-b.clock(), lost.Target.ID)
		}
	}
}
