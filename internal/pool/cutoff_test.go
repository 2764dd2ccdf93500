package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// At the end of a partition, the leader of the other side took targets from their owner
// before a link had told it of that owner.
func TestCutOffTargetKeepsItsOwnerWhenItIsInReachAgain(t *testing.T) {
	b := newHarness(t, 0)
	b.p.StepDown()
	const owner = uint64(1) << 50
	b.p.SetTargets(b.now, targetList(1))
	b.p.SetAcquirePolicy(b.now, func(string) AcquirePolicy { return AcquirePolicy{Delay: time.Second, CutOff: true} })
	b.p.BecomeLeader(b.now, owner)
	for range 300 { // cut off
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			assert.Assert(t, h.Fence < owner, "a target that is cut off was fenced")
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered})
		}
	}
	probes := 0
	for b.now < 10*time.Second+3*time.Second+cutOffPause/2 { // in reach again
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			assert.Assert(t, h.Fence < owner, "the target was fenced before links could come up")
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Fenced, Incarnation: 1})
			probes++
		}
	}
	assert.Equal(t, probes, 1)
	b.tick(cutOffPause)
	got := takeEffects[fleet.Hold](b)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Fence > owner, "a target without an owner must be acquired in the end")
}
