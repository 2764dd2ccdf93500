package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run at a leader that has just begun to lead: it starts a job that it has taken over before it has asked
// the target of the first run, which stands still.
func TestJobTakenOverWaitsUntilTargetsHaveBeenAsked(t *testing.T) {
	const asksAfter, safeIn, holdTimeout = 1500 * ms, 190 * ms, contactWait - 20*ms
	for name, c := range map[string]struct {
		cutOff  bool
		shownIn time.Duration // how long after it was asked the target shows
		contact fleet.Contact
		startIn time.Duration // how long after the leader has begun to lead the job starts at the earliest
		answers time.Duration // when the target goes on, 0 for never
	}{
		"silent":              {shownIn: holdTimeout, contact: fleet.Connected, answers: 8 * time.Second, startIn: 8 * time.Second},
		"cut off and silent":  {cutOff: true, shownIn: holdTimeout, contact: fleet.Connected, answers: 8 * time.Second, startIn: 8 * time.Second},
		"can't be reached":    {shownIn: 200 * ms, contact: fleet.NotConnected, startIn: 200 * ms},
		"connection from old": {shownIn: holdTimeout, contact: fleet.ContactUnknown, startIn: contactWait},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.p.SetTargets(b.now, targetList(2))
			b.p.SetAcquirePolicy(b.now, func(id string) AcquirePolicy {
				if id == "t00" {
					return AcquirePolicy{Home: true}
				}
				return AcquirePolicy{Delay: asksAfter, CutOff: c.cutOff}
			})
			j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
			j.Queue.Slack, j.Timeout = 3*time.Second, time.Minute
			begin := b.now
			b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true, VouchedAgo: DefaultTakeoverDelay - safeIn})
			var calls []fleet.Hold
			var sent []time.Duration
			for b.now < begin+c.answers+4*time.Second {
				b.tick(5 * ms)
				for _, h := range takeEffects[fleet.Hold](b) {
					if h.Target.ID == "t00" || c.answers > 0 && b.now >= begin+c.answers {
						b.acceptHold(h, nil, nil)
						continue
					}
					calls, sent = append(calls, h), append(sent, b.now)
				}
				for len(calls) > 0 && b.now >= sent[0]+c.shownIn {
					b.p.HoldDone(b.now, sent[0], calls[0], fleet.HoldReply{Answer: fleet.Unanswered, Contact: c.contact})
					calls, sent = calls[1:], sent[1:]
				}
				if len(takeEffects[fleet.Start](b)) > 0 {
					assert.Assert(t, b.now >= begin+c.startIn, "started after %v", b.now-begin)
					// A silent target is asked each 0.3 s, and each hold takes 0.45 s.
					late := 20 * ms
					if c.answers > 0 {
						late += holdTimeout + reacquireBackoff
					}
					if c.cutOff {
						late += cutOffPause
					}
					assert.Assert(t, b.now <= begin+c.startIn+late, "started after %v", b.now-begin)
					return
				}
			}
			t.Fatal("not started")
		})
	}
}

// Targets that are listed later, or are lost, do not put off the jobs of a leader that has led for a while.
func TestJobTakenOverDoesNotWaitForTargetsThatAreListedLater(t *testing.T) {
	b := newHarness(t, 1)
	b.tick(2 * time.Second)
	b.p.SetTargets(b.now, targetList(2))
	b.p.Submit(b.now, Submit{
		Coordinator: "e1", Job: jobOf("j", queue("q", 0), 1, 20000, 900*ms), MayHaveRun: true, VouchedAgo: DefaultTakeoverDelay,
	})
	b.tick(5 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}
