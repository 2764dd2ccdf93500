package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// An owner of the stored jobs that has none need not renew its ownership, and has it by its own account
// for as long as it hears nothing else. Another entry may have claimed it long ago. The end of a run of that one's
// epoch is not this owner's to acknowledge: the target would forget it, and the task would run again.
func TestIdleOwnerDoesNotAcknowledgeTheEndOfALaterOwnersRun(t *testing.T) {
	b := newHarness(t, 1)
	b.p.ExpectStored()
	b.p.TakeOverStored(b.now, b.now, 1, nil)
	b.p.RenewStored(b.now, b.now+jobstore.StartLease)
	b.tick(10 * time.Second) // cut off from the store and from the next owner
	takeEffects[fleet.Hold](b)
	target := b.p.targets["t00"]
	target.refreshDue, target.holds = true, holdsInFlight{}
	b.tick(ms)
	later := fleet.End{Number: 1, Task: fleet.TaskID{Job: "x"}, Run: 2*runsPerEpoch + 1, Kind: fleet.EndDone}
	b.answerHold("t00", nil, []fleet.End{later})
	b.tick(ms)
	assert.DeepEqual(t, takeEffects[StoredDropped](b), []StoredDropped{{Epoch: 1}}) // it claims the ownership again
	for range 100 {
		b.tick(20 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			assert.Assert(t, h.AckedEnd < later.Number, "the end of run %d is acknowledged by the owner of epoch 1", later.Run)
			b.acceptHold(h, nil, []fleet.End{later})
		}
	}
}
