package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// keptOnTarget plays an owner that does not reach a target, where another leader keeps a run of a stored job. The target
// answers it as fenced until some time, and stands still from then on until it goes on. It returns when a task is started, and for how long
// a recall was in force until then.
func (b *harness) keptOnTarget(id string, standsFrom, goesOn time.Duration) (startedAt, recalled time.Duration) {
	const writeTakes = 300 * ms
	recalls := false
	for begin := b.now; b.now < begin+goesOn+10*time.Second; {
		b.tick(10 * ms)
		b.p.RenewStored(b.now, b.now+jobstore.StartLease)
		at := b.now - begin
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID != id:
				b.acceptHold(h, nil, nil)
			case at < standsFrom || at >= goesOn:
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Fenced, ClockMS: b.clock(), Incarnation: 1})
			default:
				b.p.HoldDone(b.now, b.now, h, connected(at))
			}
		}
		for _, r := range takeEffects[RecallStored](b) {
			if recalls = r.From != 0; recalls {
				b.p.StoredRecalledFrom(max(r.From, b.now+writeTakes))
			}
		}
		if recalls {
			recalled += 10 * ms
		}
		if len(takeEffects[fleet.Start](b)) > 0 {
			return at, recalled
		}
	}
	b.t.Fatal("not started")
	return 0, 0
}

// Guards against a second run of a stored task where the first one was kept by another leader: the target has shown that it ran after
// the owner's lease, and stands still before the lease of that leader has ended.
func TestKeptRunOfATargetThatStandsStillBeforeTheRecallIsOverIsWaitedFor(t *testing.T) {
	const standsFrom, goesOn = 1200 * ms, time.Minute
	b := newHarness(t, 2)
	b.p.cfg.RowsRenewed = true
	b.ownStored()
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	lost := b.submitAndStart(j)[0].Target.ID
	b.p.markUnreachable(b.now, b.p.targets[lost])
	at, recalled := b.keptOnTarget(lost, standsFrom, goesOn)
	assert.Assert(t, at >= goesOn && at < goesOn+2*time.Second, "started after %v", at)
	assert.Assert(t, recalled < unreachableWait+3*time.Second, "recalled for %v", recalled)
}

// Guards against the same with a task that is restored.
func TestKeptRunOfAFormerOwnerIsWaitedForWhereItsTargetStandsStillBeforeTheRecallIsOver(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		standsFrom, goesOn := formerRunsTimeout+200*ms, 10*time.Second
		if !longRunning {
			standsFrom, goesOn = unreachableWait-300*ms, 20*time.Second
		}
		b := newHarness(t, 1)
		b.p.cfg.RowsRenewed = true
		b.p.SetTargets(b.now, targetList(2))
		b.tick(0)
		b.p.markUnreachable(b.now, b.p.targets["t01"])
		b.p.ExpectStored()
		j := storedJob("j", 1)
		j.Steps[0].LongRunning = longRunning
		b.p.TakeOverStored(b.now, b.now, 2, []jobstore.StoredJob{restoredJob(j)})
		at, _ := b.keptOnTarget("t01", standsFrom, goesOn)
		assert.Assert(t, at >= goesOn && at < goesOn+2*time.Second, "long-running %v, started after %v", longRunning, at)
	}
}
