package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// Guards against the start of a stored task that is done: its target stands still for longer than a lost target has to come back, finds the run
// done when it goes on, and shows that it has gone on some time before it is listed and its end can be read.
func TestStoredTaskWaitsForTheEndsOfATargetThatGoesOnLate(t *testing.T) {
	for _, stands := range []time.Duration{unreachableWait - time.Second, unreachableWait + time.Second, time.Minute} {
		b := newHarness(t, 2)
		b.p.cfg.RowsRenewed = true
		b.ownStored()
		first := b.submitAndStart(storedJob("j", 1))[0]
		lost := first.Target
		others := targetList(2)
		if lost.ID == "t00" {
			others = others[1:]
		} else {
			others = others[:1]
		}
		listedAgain := stands + rowWrites + rowReads
		for begin := b.now; b.now < begin+listedAgain+10*time.Second; {
			b.tick(10 * ms)
			b.p.RenewStored(b.now, b.now+jobstore.StartLease)
			at := b.now - begin
			switch at {
			case 5 * time.Second:
				b.p.SetTargets(b.now, others)
			case listedAgain:
				b.p.SetTargets(b.now, targetList(2))
			}
			for _, h := range takeEffects[fleet.Hold](b) {
				switch {
				case h.Target.ID != lost.ID:
					b.acceptHold(h, nil, nil)
				case at < stands:
					b.p.HoldDone(b.now, b.now, h, connected(at))
				case h.Fence < first.Fence:
					b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Fenced, ClockMS: b.clock(), Incarnation: 1})
				default:
					b.acceptHold(h, nil, []fleet.End{{Number: 1, Task: first.Task, Run: first.Run, Kind: fleet.EndDone}})
				}
			}
			for _, r := range takeEffects[RecallStored](b) {
				if r.From != 0 {
					b.p.StoredRecalledFrom(r.From)
				}
			}
			for _, s := range takeEffects[jobstore.Save](b) {
				b.p.RecordSaved(s.Job, s.Seq)
			}
			assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started %v after its target has gone on", at-stands)
		}
		state, _ := b.p.JobState("j")
		assert.Equal(t, state, fleet.JobComplete)
	}
}
