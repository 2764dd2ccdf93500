package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run of a task whose target stands still: the holds that were under way went over connections from before,
// which do not show that, and the next one was sent only after the end of the lease.
func TestLostTargetIsAskedAgainAtOnceWhetherItIsSilent(t *testing.T) {
	const holdTimeout = contactWait - 5*ms
	for name, lose := range map[string]func(*harness, *target){
		"reports unanswered": func(_ *harness, lost *target) { lost.refreshDue = true },
		"fenced before":      func(b *harness, lost *target) { b.p.markFenced(b.now, lost) },
		"cut off": func(b *harness, lost *target) {
			lost.acquirePolicy.CutOff = true
			b.p.markFenced(b.now, lost)
		},
	} {
		t.Run(name, func(t *testing.T) {
			type call struct {
				fleet.Hold
				sent time.Duration
			}
			b := newHarness(t, 2)
			j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
			j.Queue.Slack, j.Timeout = 5*time.Second, time.Minute
			b.submit(j)
			b.tick(ms)
			first := b.acceptStarts()[0]
			b.now += 100 * ms
			lost, lease := b.now, first.LeaseUntilMS
			lose(b, b.p.targets[first.Target.ID])
			var calls []call
			for goesOn := lost + 20*time.Second; b.now < goesOn+4*time.Second; {
				b.tick(5 * ms)
				for _, h := range takeEffects[fleet.Hold](b) {
					if h.Target.ID != first.Target.ID || b.now >= goesOn {
						b.acceptHold(h, nil, nil)
						continue
					}
					lease = max(lease, h.LeaseUntilMS)
					calls = append(calls, call{h, b.now})
				}
				for len(calls) > 0 && b.now >= calls[0].sent+holdTimeout {
					c, contact := calls[0], fleet.Connected
					if c.sent < lost+holdTimeout {
						contact = fleet.ContactUnknown
					}
					calls = calls[1:]
					b.p.HoldDone(b.now, c.sent, c.Hold, fleet.HoldReply{Answer: fleet.Unanswered, Contact: contact})
				}
				if len(takeEffects[fleet.Start](b)) > 0 {
					assert.Assert(t, b.now >= goesOn, "started %d ms after the end of the lease", b.clock()-lease)
					return
				}
			}
			t.Fatal("not started again")
		})
	}
}

// A target that shows nothing however often it is asked is not asked without a pause.
func TestTargetThatShowsNothingIsAskedAtOnceOnlyOnce(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 900*ms))
	b.tick(ms)
	lost := b.acceptStarts()[0].Target.ID
	begin, holds := b.now, 0
	b.p.markUnreachable(b.now, b.p.targets[lost])
	for b.now < begin+2*time.Second {
		b.tick(5 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == lost {
				holds++
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.ContactUnknown})
			}
		}
	}
	assert.Assert(t, holds <= 2+int(2*time.Second/reacquireBackoff))
}
