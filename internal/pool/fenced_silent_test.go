package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run of a task whose target was fenced and stands still since: it is acquired again only after
// the end of the lease, and nothing has shown until then whether it is silent.
func TestFencedTargetThatStandsStillIsWaitedFor(t *testing.T) {
	const holdTimeout = contactWait - 20*ms
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
	begin, target := b.now, b.p.targets[first.Target.ID]
	b.p.markFenced(b.now, target)
	target.nextAcquireAt = b.now + maxBackoff
	var calls []call
	for goesOn := begin + 20*time.Second; b.now < goesOn+5*time.Second; {
		b.tick(5 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != target.ID || b.now >= goesOn {
				b.acceptHold(h, nil, nil)
				continue
			}
			calls = append(calls, call{h, b.now})
		}
		for len(calls) > 0 && b.now >= calls[0].sent+holdTimeout {
			b.p.HoldDone(b.now, calls[0].sent, calls[0].Hold, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
			calls = calls[1:]
		}
		if len(takeEffects[fleet.Start](b)) > 0 {
			assert.Assert(t, b.now >= goesOn, "started %d ms after the end of the lease", b.clock()-first.LeaseUntilMS)
			return
		}
	}
	t.Fatal("not started again")
}
