package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// The row of a target names a wrong address for a moment, at which another target answers. The
// target itself goes on with its runs until their lease expires.
func TestRunsOfATargetWithAWrongAddressLastUntilTheirLease(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := b.acceptStarts()[0]
	list := targetList(2)
	other := 0
	if start.Target.ID == list[0].ID {
		other = 1
	}
	list[1-other].Addr = list[other].Addr
	b.p.SetTargets(b.now, list)
	takeEffects[fleet.Hold](b)
	b.p.targets[start.Target.ID].holds = holdsInFlight{}
	for range 20 {
		b.hear("e1")
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == start.Target.ID {
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.OtherIncarnation})
			} else {
				b.acceptHold(h, nil, nil)
			}
		}
		for _, s := range takeEffects[fleet.Start](b) {
			assert.Assert(t, b.clock() > start.LeaseUntilMS, "run %d on %s starts %d ms before the lease of run %d on %s ends",
				s.Run, s.Target.ID, start.LeaseUntilMS-b.clock(), start.Run, start.Target.ID)
		}
	}
}
