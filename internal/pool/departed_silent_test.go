package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run where a target stood still shortly before the deadline of a job passed, and shows so only
// after the job has left the pool.
func TestRunsOfAnEndedJobAreWaitedForWhereTheirTargetFallsSilentAfterwards(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 20000, 1400*ms)
	j.Timeout, j.CallerLeaves = 1500*ms, true
	b.submitFrom("e1", j)
	b.tick(ms)
	first := b.acceptStarts()[0]
	came, back, orphaned := b.now, false, false
	var late []fleet.Hold
	var at []time.Duration
	freeze := came + 1450*ms
	for goesOn := came + 20*time.Second; b.now < goesOn+6*time.Second; {
		b.tick(10 * ms)
		if b.now < came+1500*ms {
			b.hear("e1")
		}
		if !orphaned && b.now >= came+1510*ms {
			orphaned = true
			b.p.Abandon(b.now, "e1", "j")
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID != first.Target.ID:
				b.acceptHold(h, nil, nil)
			case b.now < freeze:
				b.acceptHold(h, []fleet.Running{{Task: first.Task, Run: first.Run}}, nil)
			case b.now >= goesOn:
				b.acceptHold(h, nil, nil)
			default:
				late = append(late, h)
				at = append(at, b.now+450*ms)
			}
		}
		for len(at) > 0 && at[0] <= b.now {
			b.p.HoldDone(b.now, b.now, late[0], fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
			late, at = late[1:], at[1:]
		}
		takeEffects[fleet.Stop](b)
		if !back && b.now >= came+2800*ms {
			back = true
			b.submitFrom("e2", j)
		}
		if back {
			b.hear("e2")
		}
		if b.now >= came+2800*ms && (b.now-came)%(3*time.Second) < 10*ms && b.p.jobs["j"] == nil {
			b.submitFrom("e2", j) // after the deadline of the last attempt
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			assert.Assert(t, b.now >= goesOn, "started again on %s (first on %s) %v before the target goes on", s[0].Target.ID, first.Target.ID, goesOn-b.now)
			return
		}
	}
	t.Fatal("not started again")
}
