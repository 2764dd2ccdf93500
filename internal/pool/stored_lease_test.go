package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// An owner of the stored jobs can't renew its ownership, and stands still for a moment just before
// its runs may no longer continue. The first thing that it does then must not be to grant one more
// lease: the next owner counts on the end of all runs after formerRunsTimeout.
func TestNoLeaseIsGrantedForStoredRunsOnceTheOwnershipHasLapsed(t *testing.T) {
	const (
		roundTrip  = 5 * ms
		standsFrom = jobstore.RunLease - 10*ms // since the last renewal
		standsFor  = 600 * ms                  // less than a lease
	)
	b := newHarness(t, 1)
	b.p.ExpectStored()
	b.p.TakeOverStored(b.now, b.now, 1, nil)
	renewed := b.now
	b.p.RenewStored(renewed, renewed+jobstore.StartLease)
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	start := b.submitAndStart(j)[0]
	running := []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}
	for b.now+roundTrip < renewed+standsFrom {
		b.tick(roundTrip)
		b.answerHolds(running)
	}
	b.now += standsFor

	b.tick(0)

	over := (renewed + formerRunsTimeout - timeToEnd).Milliseconds()
	for _, h := range takeEffects[fleet.Hold](b) {
		assert.Assert(t, h.LeaseUntilMS <= over, "a lease granted %v after the last renewal lasts %d ms longer than the next owner waits", b.now-renewed, h.LeaseUntilMS-over)
	}
}
