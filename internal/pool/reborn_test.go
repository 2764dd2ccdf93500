package pool

import (
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

// Guards against a target that is never acquired again, whose runs are never taken for over: the clock of its VM was set back
// before it started anew.
func TestNextLifeThatIsBornEarlierIsAcquired(t *testing.T) {
	b := newHarness(t, 1)
	listed := func(incarnation int64) {
		list := targetList(1)
		list[0].Incarnation = incarnation
		b.p.SetTargets(b.now, list)
	}
	listed(5000)
	b.tick(ms)
	b.acquireTargets()
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	start := b.acceptStarts()[0]
	assert.Equal(t, start.Target.Incarnation, int64(5000))

	b.liveOn("t00", 3000, nil, nil)
	listed(3000)
	b.tick(ms)
	again := b.acceptStarts()
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Target.Incarnation == 3000 && again[0].Run > start.Run)

	listed(5000) // a row from before
	b.liveOn("t00", 3000, []fleet.Running{{Task: again[0].Task, Run: again[0].Run, PercentDone: 1}}, nil)
	assert.Equal(t, b.p.targets["t00"].Incarnation, int64(3000))
	assert.Equal(t, len(b.p.targets["t00"].runs), 1, "its run goes on")
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}

// Guards against an idle target that is taken for what it was before: its row is the first to show a restart with an earlier birth.
func TestIdleTargetIsAskedIfItsRowShowsAnEarlierBirth(t *testing.T) {
	b := newHarness(t, 1)
	list := targetList(1)
	list[0].Incarnation = 5000
	b.p.SetTargets(b.now, list)
	b.tick(ms)
	b.acquireTargets()
	list[0].Incarnation = 3000
	b.p.SetTargets(b.now, list)
	b.liveOn("t00", 3000, nil, nil)
	assert.Equal(t, b.p.targets["t00"].Incarnation, int64(3000))
	assert.Assert(t, b.p.targets["t00"].owned)
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
