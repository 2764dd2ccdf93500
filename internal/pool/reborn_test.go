package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// nextLife answers the pending holds of a target as its next life, on its own clock, which has begun anew.
func (b *harness) nextLife(id string, incarnation int64, running []fleet.Running, ended []fleet.End) {
	for _, h := range takeEffects[fleet.Hold](b) {
		if h.Target.ID == id {
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: 200, Incarnation: incarnation, Running: running, Ended: ended})
		} else {
			b.acceptHold(h, nil, nil)
		}
	}
}

// liveOn plays some rounds in which a target answers as its next life.
func (b *harness) liveOn(id string, incarnation int64, running []fleet.Running, ended []fleet.End) {
	for range 5 {
		b.tick(5 * ms)
		b.nextLife(id, incarnation, running, ended)
	}
}

// Guards against starts on a target that is smaller, or of another kind, than the life before it: it answers before its
// row is read, and got tasks by the row of that life.
func TestNextLifeGetsNoTasksByTheRowOfTheFormerOne(t *testing.T) {
	b := newHarness(t, 1)
	b.p.targets["t00"].refreshDue = true
	b.liveOn("t00", 2, nil, nil)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started by the room of the former life")

	list := targetList(1)
	b.p.SetTargets(b.now, list) // read before it was written anew
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started by the room of the former life")

	list[0].Incarnation = 2
	b.p.SetTargets(b.now, list)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// Guards against a target that stays idle while the platform's store is out of reach.
func TestNextLifeWhoseRowIsNotReadGetsTasksAfterAWhile(t *testing.T) {
	b := newHarness(t, 1)
	b.p.targets["t00"].refreshDue = true
	begin := b.now
	b.liveOn("t00", 2, nil, nil)
	b.submit(patientJob("j", 1, 20000))
	for len(takeEffects[fleet.Start](b)) == 0 {
		b.tick(10 * ms)
		b.nextLife("t00", 2, nil, nil)
		assert.Assert(t, b.now < begin+maxRowWait+50*ms)
	}
	assert.Assert(t, b.now >= begin+maxRowWait)
}

// Guards against ends that are acknowledged unread: a row without a birth made the next life pass for the one before.
func TestRowWithoutABirthDoesNotHideTheNextLife(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	first := b.acceptStarts()[0]
	b.tick(5 * ms)
	b.answerHold("t00", []fleet.Running{{Task: first.Task, Run: first.Run, PercentDone: 1}}, []fleet.End{{Number: 7, Task: fleet.TaskID{Job: "gone"}, Run: 1, Kind: fleet.EndDone}})

	list := targetList(1)
	list[0].Incarnation = 0
	b.p.SetTargets(b.now, list)
	b.tick(5 * ms)
	b.nextLife("t00", 2, nil, nil)

	assert.Equal(t, b.p.targets["t00"].Incarnation, int64(2))
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(0), "ends of the next life are acknowledged unread")
}

// withhold answers the pending orders to a target as its next life does, to which none that renews, acknowledges, starts or stops is sent.
func (b *harness) withhold(id string, incarnation int64) {
	for _, h := range takeEffects[fleet.Hold](b) {
		rep := fleet.HoldReply{Answer: fleet.Accepted, ClockMS: 200, Incarnation: incarnation}
		if h.Target.Incarnation != incarnation && (h.LeaseUntilMS != 0 || h.AckedEnd != 0) {
			rep = fleet.HoldReply{Answer: fleet.Unanswered, Incarnation: incarnation}
		}
		b.p.HoldDone(b.now, b.now, h, rep)
	}
	for _, o := range takeEffects[fleet.Start](b) {
		rep := fleet.Reply{Answer: fleet.Accepted, ClockMS: 200, Incarnation: incarnation}
		if o.Target.Incarnation != incarnation {
			rep = fleet.Reply{Answer: fleet.Unreachable, Incarnation: incarnation}
		}
		b.p.StartDone(b.now, o, rep)
	}
}

// bornAt lists the only target with the given birth.
func (b *harness) bornAt(incarnation int64) {
	list := targetList(1)
	list[0].Incarnation = incarnation
	b.p.SetTargets(b.now, list)
}

// Guards against a target that is never acquired again, whose runs are never taken for over: the clock of its VM was set back
// before it started anew.
func TestNextLifeThatIsBornEarlierIsAcquired(t *testing.T) {
	for _, withheld := range []bool{false, true} {
		t.Run(fmt.Sprintf("withheld=%v", withheld), func(t *testing.T) {
			b := newHarness(t, 1)
			b.bornAt(5000)
			b.tick(ms)
			b.acquireTargets()
			b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
			b.tick(ms)
			start := b.acceptStarts()[0]
			assert.Equal(t, start.Target.Incarnation, int64(5000))

			if withheld {
				for range 5 {
					b.tick(5 * ms)
					b.withhold("t00", 3000)
				}
			} else {
				b.liveOn("t00", 3000, nil, nil)
			}
			b.bornAt(3000)
			b.tick(ms)
			again := b.acceptStarts()
			assert.Equal(t, len(again), 1)
			assert.Assert(t, again[0].Target.Incarnation == 3000 && again[0].Run > start.Run)

			b.bornAt(5000) // a row from before
			b.liveOn("t00", 3000, []fleet.Running{{Task: again[0].Task, Run: again[0].Run, PercentDone: 1}}, nil)
			assert.Equal(t, b.p.targets["t00"].Incarnation, int64(3000))
			assert.Equal(t, len(b.p.targets["t00"].runs), 1, "its run goes on")
			assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
		})
	}
}

// Guards against an idle target that is taken for what it was before: its row, or a start, is the first to show a restart with
// an earlier birth.
func TestIdleTargetThatWasBornEarlierIsAsked(t *testing.T) {
	for _, by := range []string{"row", "start"} {
		t.Run(by, func(t *testing.T) {
			b := newHarness(t, 1)
			b.bornAt(5000)
			b.tick(ms)
			b.acquireTargets()
			if by == "row" {
				b.bornAt(3000)
			} else {
				b.submit(patientJob("j", 1, 20000))
			}
			for range 5 {
				b.tick(5 * ms)
				b.withhold("t00", 3000)
			}
			assert.Equal(t, b.p.targets["t00"].Incarnation, int64(3000))
			assert.Assert(t, b.p.targets["t00"].owned)
		})
	}
}

// Guards against runs that are stopped for nothing: a target was out of reach and has another leader since. It was taken from
// that one since it had crashed in between.
func TestNextLifeThatAnotherLeaderUsesIsLeftToIt(t *testing.T) {
	others := []fleet.Running{{Task: fleet.TaskID{Job: "other"}, Run: 1, PercentDone: 10}}
	for name, incarnation := range map[string]int64{"same life": 1, "next life": 2} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.p.markUnreachable(b.now, b.p.targets["t00"])
			for range 100 {
				b.tick(5 * ms)
				b.nextLife("t00", incarnation, others, nil)
				assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0)
			}
			assert.Assert(t, !b.p.targets["t00"].owned)
		})
	}
}

// Guards against ends that stay unacknowledged by the number of an end of the former life, whose job is restored now.
func TestEndOfAFormerLifeHoldsBackNoneOfTheNext(t *testing.T) {
	b := newHarness(t, 1)
	b.p.ExpectStored()
	j := storedJob("j", 2)
	b.p.targets["t00"].refreshDue = true
	b.tick(ms)
	b.answerHold("t00", nil, []fleet.End{{Number: 1, Task: fleet.TaskID{Job: "j"}, Run: 1, Kind: fleet.EndDone}})
	b.tick(restorePause)
	interrupted := []fleet.End{{Number: 1, Task: fleet.TaskID{Job: "x"}, Run: 1, Kind: fleet.EndInterrupted}, {Number: 2, Task: fleet.TaskID{Job: "x"}, Run: 2, Kind: fleet.EndInterrupted}}
	b.liveOn("t00", 2, nil, interrupted)
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(2))

	b.p.TakeOverStored(b.now, b.now, 1, []jobstore.StoredJob{restoredJob(j)})
	b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)

	saves := takeEffects[jobstore.Save](b)
	assert.Equal(t, len(saves), 1)
	assert.Assert(t, saves[0].Record.IsDone(0), "it is done all the same")
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(2), "held back by an end of the former life")
}
