package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// Guards against a recall that stays in the owner's row for as long as a lost target stands still: if the owner is lost meanwhile, all runs of
// stored jobs lapse. Once the target is gone the recall is in force again before the task is started.
func TestRecallDoesNotLastForAsLongAsALostTargetStandsStill(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		b := newHarness(t, 2)
		b.p.cfg.RowsRenewed = true
		b.ownStored()
		j := storedJob("j", 1)
		j.Steps[0].LongRunning = longRunning
		lost := b.submitAndStart(j)[0].Target
		list := targetList(2)
		if lost.ID == "t00" {
			list = list[1:]
		} else {
			list = list[:1]
		}
		const gone = time.Minute
		begin, recalledFrom, recalledFor := b.now, time.Duration(0), time.Duration(0)
		for {
			b.tick(10 * ms)
			b.p.RenewStored(b.now, b.now+jobstore.StartLease)
			at := b.now - begin
			if at == 5*time.Second {
				b.p.SetTargets(b.now, list)
			}
			for _, h := range takeEffects[fleet.Hold](b) {
				switch {
				case h.Target.ID != lost.ID:
					b.acceptHold(h, nil, nil)
				case at < gone:
					b.p.HoldDone(b.now, b.now, h, connected(at))
				default:
					b.p.HoldDone(b.now, b.now, h, notConnected(at))
				}
			}
			for _, r := range takeEffects[RecallStored](b) {
				if recalledFrom = r.From; r.From != 0 {
					b.p.StoredRecalledFrom(r.From)
				}
			}
			if recalledFrom != 0 && b.now >= recalledFrom && at < gone {
				recalledFor += 10 * ms
			}
			if len(takeEffects[fleet.Start](b)) > 0 {
				assert.Assert(t, at >= gone && at < gone+goneAfter+3*time.Second, "started after %v", at)
				assert.Assert(t, recalledFrom > 0 && b.now >= recalledFrom+recallWait(nil))
				break
			}
			assert.Assert(t, at < gone+goneAfter+5*time.Second, "not started again")
		}
		assert.Assert(t, recalledFor <= unreachableWait, "recalled for %v", recalledFor)
	}
}

// Guards against a recall that stops the runs that other leaders keep for a new owner as soon as that one has restored an open run.
func TestRestoredOpenRunIsNotRecalledBeforeItsTargetIsGone(t *testing.T) {
	for name, j := range standstillJobs() {
		t.Run(name, func(t *testing.T) {
			x := ownerAfterStandstill(t, j, 5*time.Second, targetList(2)[1:])
			x.play(20*time.Second, x.unanswered(fleet.Connected))
			assert.Equal(t, len(takeEffects[RecallStored](x.harness)), 0)
			gone := x.now
			x.play(goneAfter+2*time.Second, x.unanswered(fleet.NotConnected))
			assert.Assert(t, len(takeEffects[RecallStored](x.harness)) > 0)
			assert.Assert(t, x.started["j"] >= gone+recallWait(nil), "started %v after its target is gone", x.started["j"]-gone)
		})
	}
	for _, longRunning := range []bool{true, false} {
		j := storedJob("j", 1)
		j.Steps[0].LongRunning = longRunning
		x := ownerAfterStandstill(t, j, 5*time.Second, targetList(2)[1:])
		x.play(unreachableWait, x.unanswered(fleet.NotConnected))
		lastSeen := x.begin - jobstore.StartLease
		for _, r := range takeEffects[RecallStored](x.harness) {
			assert.Assert(t, r.From == 0 || r.From >= lastSeen+formerRunsTimeout-recallWait(nil), "recalled %v after the former owner was seen", r.From-lastSeen)
		}
	}
}
