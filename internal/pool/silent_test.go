package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run of a task whose target stands still past the end of its lease, and
// finds the first one done when it goes on.
func TestTaskOfATargetThatStandsStillIsNotStartedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		contact fleet.Contact
		refused bool
		returns time.Duration // when the target goes on, 0 for never
		again   time.Duration // the earliest second start, 0 for none
	}{
		"goes on":                 {contact: fleet.Connected, returns: 1900 * ms},
		"goes on after a minute":  {contact: fleet.Connected, returns: time.Minute},
		"does not":                {contact: fleet.Connected},
		"not tried in time":       {contact: fleet.ContactMissed},
		"refuses connections":     {contact: fleet.NotConnected, refused: true, again: DefaultLease + timeToEnd},
		"can't be reached":        {contact: fleet.NotConnected, again: DefaultLease + timeToEnd},
		"only connections of old": {contact: fleet.ContactUnknown, again: DefaultLease + timeToEnd},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.submit(jobOf("j", queue("q", 0), 1, 20000, 900*ms))
			b.tick(ms)
			first := b.acceptStarts()[0]
			lost, lease := b.now, first.LeaseUntilMS
			for b.now < lost+c.returns+10*time.Second {
				b.tick(20 * ms)
				for _, h := range takeEffects[fleet.Hold](b) {
					switch {
					case h.Target.ID != first.Target.ID:
						b.acceptHold(h, nil, nil)
					case c.returns > 0 && b.now >= lost+c.returns:
						b.acceptHold(h, nil, []fleet.End{{Number: 1, Task: first.Task, Run: first.Run, Kind: fleet.EndDone}})
					default:
						lease = max(lease, h.LeaseUntilMS)
						b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: c.contact, Refused: c.refused})
					}
				}
				starts := takeEffects[fleet.Start](b)
				if len(starts) == 0 {
					continue
				}
				assert.Assert(t, c.again > 0, "started %v after the target stood still", b.now-lost)
				leaseEnd := b.now - time.Duration(b.clock()-lease)*ms
				assert.Assert(t, b.now >= leaseEnd-DefaultLease+c.again, "%v after the lease", b.now-leaseEnd)
				return
			}
			assert.Equal(t, c.again, time.Duration(0), "not started again")
		})
	}
}

// Guards against a second run while the first hold over a new connection is under way.
func TestLostTargetIsWaitedForUntilAHoldShowsWhetherItIsSilent(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 900*ms))
	b.tick(ms)
	first := b.acceptStarts()[0]
	lost := b.now
	b.p.markUnreachable(lost, b.p.targets[first.Target.ID])
	var acquire fleet.Hold
	b.p.targets[first.Target.ID].nextAcquireAt = lost + 600*ms
	for b.now < lost+1000*ms {
		b.tick(20 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == first.Target.ID {
				acquire = h
			} else {
				b.acceptHold(h, nil, nil)
			}
		}
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "%v after the loss", b.now-lost)
	}
	b.p.HoldDone(b.now, b.now, acquire, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.NotConnected})
	b.tick(20 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// Guards against a second run at the next leader, while a target that stands still has a run of the
// former one.
func TestJobTakenOverWaitsForTargetsThatStandStill(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := newHarness(t, 2)
		standing := b.p.sortedTargets[0]
		b.p.markUnreachable(b.now, standing)
		b.p.Submit(b.now, Submit{Coordinator: "e1", Job: jobOf("j", queue("q", 0), 1, 20000, 900*ms), MayHaveRun: true})
		b.p.jobs["j"].Timeout = time.Hour
		begin, started := b.now, false
		for b.now < begin+30*time.Second {
			b.tick(20 * ms)
			for _, h := range takeEffects[fleet.Hold](b) {
				if h.Target.ID != standing.ID {
					b.acceptHold(h, nil, nil)
				} else if silent {
					b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
				} else {
					b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.NotConnected})
				}
			}
			started = started || len(takeEffects[fleet.Start](b)) > 0
		}
		assert.Equal(t, started, !silent)
		for _, h := range takeEffects[fleet.Hold](b) {
			b.acceptHold(h, nil, nil)
		}
		for b.now < begin+32*time.Second {
			b.tick(20 * ms)
			for _, h := range takeEffects[fleet.Hold](b) {
				b.acceptHold(h, nil, nil)
			}
			started = started || len(takeEffects[fleet.Start](b)) > 0
		}
		assert.Assert(t, started, "not started though the target has answered")
	}
}
