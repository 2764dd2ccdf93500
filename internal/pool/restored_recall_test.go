package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// restoreLost makes a new owner restore a job, a run of which is at work on a target that it can't reach.
// Another leader takes that target at the same time. The former owner was seen last before that.
func restoreLost(t *testing.T, j fleet.Job, lastSeenAgo time.Duration) *lostTarget {
	x := &lostTarget{leader: newHarness(t, 1), job: j, target: "t01"}
	b := x.leader
	b.p.SetTargets(b.now, targetList(2))
	b.tick(0)
	x.begin, x.lease = b.now, b.clock()+500
	x.running = []fleet.Running{{Task: fleet.TaskID{Job: j.ID}, Run: runsPerEpoch + 1}}
	b.p.markUnreachable(b.now, b.p.targets[x.target])
	x.other = &harness{t: t, p: New(DefaultSettings(), nil), now: b.now, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	x.other.p.SetTargets(b.now, targetList(2))
	x.other.p.ExpectStored()
	x.lead()
	b.p.ExpectStored()
	b.p.TakeOverStored(b.now, b.now-lastSeenAgo, 2, []jobstore.StoredJob{restoredJob(j)})
	b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
	return x
}

// Guards against a second run of a restored task: another leader keeps the run of the former owner, on a target that the
// new owner can't reach, for longer than the new owner waits.
func TestRestoredTaskIsNotStartedWhileAnotherLeaderKeepsItsRun(t *testing.T) {
	for name, c := range map[string]struct {
		longRunning bool
		startsIn    time.Duration // since the former owner was seen last
	}{"long-running": {true, formerRunsTimeout}, "may complete": {false, unreachableWait}} {
		t.Run(name, func(t *testing.T) {
			const lastSeenAgo = 1100 * ms
			j := storedJob("j", 1)
			j.Steps[0].LongRunning = c.longRunning
			x := restoreLost(t, j, lastSeenAgo)
			keptUntil := time.Duration(0)
			for !x.step() {
				if x.lease > x.leader.clock() {
					keptUntil = x.at()
				}
				assert.Assert(t, x.at() < c.startsIn+time.Second, "the task is not started again")
			}
			assert.Assert(t, len(x.running) > 0 && keptUntil > time.Second, "the other leader keeps the run")
			assert.Assert(t, x.at()+lastSeenAgo >= c.startsIn)
		})
	}
}

// A new owner that reaches all targets recalls nothing, whatever it waits for.
func TestOwnerOfAllTargetsRecallsNothingForRestoredTasks(t *testing.T) {
	b := newHarness(t, 2)
	begin := b.now
	b.ownStored(restoredJob(storedJob("j", 1)))
	for started := 0; started == 0; started = len(takeEffects[fleet.Start](b)) {
		b.tick(5 * ms)
		assert.Assert(t, b.now <= begin+formerRunsTimeout+20*ms, "it waits for a recall")
		b.answerHolds(nil)
		assert.Equal(t, len(takeEffects[RecallStored](b)), 0)
	}
}

// A recall for restored tasks ends with the wait for them, and an occurrence that falls due later needs none: it starts at once.
func TestRecallForRestoredTasksEndsWithTheirWait(t *testing.T) {
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	x := restoreLost(t, j, 0)
	b, recalls, started := x.leader, []RecallStored{}, map[string]time.Duration{}
	const dueIn = formerRunsTimeout + 100*ms
	b.setWallClock()
	later := recurringTestJob("later", 1)
	later.FirstDueMS, later.Steps[0].LongRunning = testStartUnixMS+dueIn.Milliseconds(), true
	restored := restoredJob(later)
	b.p.restoreJob(b.now, &restored)
	for b.now < x.begin+formerRunsTimeout+200*ms {
		b.tick(5 * ms)
		x.answer(b, false)
		for _, s := range b.acceptStarts() {
			if id := fleet.BaseJobID(s.Task.Job); started[id] == 0 {
				started[id] = b.now - x.begin
			}
		}
		recalls = append(recalls, takeEffects[RecallStored](b)...)
	}
	assert.Assert(t, started["j"] >= formerRunsTimeout && started["j"] <= formerRunsTimeout+10*ms, "%v", started)
	assert.Assert(t, started["later"] >= dueIn && started["later"] <= dueIn+dueMargin+10*ms, "%v", started)
	assert.Equal(t, len(recalls), 2)
	assert.Assert(t, recalls[0].From >= x.begin+formerRunsTimeout-withDrift(jobstore.KeepLease)-timeToEnd)
	assert.Equal(t, recalls[1].From, time.Duration(0))
}

// A recall that has begun goes on if the lost target is seen for a moment: the tasks do not wait for another one.
func TestRecallForRestoredTasksOutlastsAGlimpseOfTheirTarget(t *testing.T) {
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	x := restoreLost(t, j, 0)
	b, lost := x.leader, x.leader.p.targets[x.target]
	over, recalls := x.begin+formerRunsTimeout, 0
	glimpse := over - 500*ms
	for len(takeEffects[fleet.Start](b)) == 0 {
		b.tick(5 * ms)
		x.answer(b, false)
		recalls += len(takeEffects[RecallStored](b))
		switch b.now {
		case glimpse:
			assert.Equal(t, recalls, 1)
			lost.owned = true
		case glimpse + 50*ms:
			b.p.markUnreachable(b.now, lost)
		}
		assert.Assert(t, b.now < over+20*ms)
	}
	assert.Assert(t, b.now >= over)
}

// A restored job whose tasks all run waits for no former run, and another leader may keep what it has found.
func TestNothingIsRecalledForRestoredJobsThatWaitForNothing(t *testing.T) {
	b := newHarness(t, 2)
	b.p.markUnreachable(b.now, b.p.targets["t01"])
	b.p.targets["t01"].nextAcquireAt = b.now + time.Hour
	b.p.ExpectStored()
	running := []fleet.Running{{Task: fleet.TaskID{Job: "j"}, Run: runsPerEpoch + 1, PercentDone: 10}}
	b.p.targets["t00"].refreshDue = true
	b.tick(ms)
	b.answerHold("t00", running, nil)
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	begin := b.now
	b.ownStored(restoredJob(j))
	for b.now < begin+formerRunsTimeout+time.Second {
		b.tick(5 * ms)
		b.answerHolds(running)
		assert.Equal(t, len(takeEffects[RecallStored](b)), 0)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	}
	assert.Equal(t, len(b.p.targets["t00"].runs), 1)
}

// A target that is silent does not bring the recall forward: it puts the start off.
func TestSilentTargetPutsOffRestoredTasksAndNotTheirRecall(t *testing.T) {
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	x := restoreLost(t, j, 0)
	b := x.leader
	const standsFor = 20 * time.Second
	for len(takeEffects[fleet.Start](b)) == 0 {
		b.tick(5 * ms)
		b.p.RenewStored(b.now, b.now+time.Second)
		x.answer(b, false)
		b.p.targets[x.target].silent = b.now < x.begin+standsFor
		for _, r := range takeEffects[RecallStored](b) {
			assert.Assert(t, r.From == 0 || r.From >= x.begin+formerRunsTimeout-withDrift(jobstore.KeepLease)-timeToEnd)
		}
		assert.Assert(t, b.now < x.begin+standsFor+time.Second)
	}
	assert.Assert(t, b.now >= x.begin+standsFor)
}

// newRestoredSim returns a simulation of an owner that has restored a job, a run of which is at work on a target that it can't reach.
func newRestoredSim(t *rapid.T, j fleet.Job) *recallSim {
	s := newRecallSim(t, storedJob("first", 1))
	s.owner = New(DefaultSettings(), nil)
	s.owner.SetTargets(s.now, targetList(2))
	s.owner.BecomeLeader(s.now, s.fence+1)
	s.running = []fleet.Running{{Task: fleet.TaskID{Job: j.ID}, Run: runsPerEpoch + 1}}
	s.owner.ExpectStored()
	lastSeen := s.now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "last seen"))*time.Millisecond
	s.owner.TakeOverStored(s.now, lastSeen, 2, []jobstore.StoredJob{restoredJob(j)})
	s.owner.RenewStored(s.now, s.now+jobstore.StartLease)
	return s
}

// No restored task is started while its run may be at work, however many leaders keep that in turn; and it does not wait for long
// once the store answers.
func TestPropertyRestoredTasksStartAfterTheirFormerRuns(t *testing.T) {
	kept := 0
	rapid.Check(t, func(t *rapid.T) {
		j := storedJob("j", 1)
		j.Steps[0].LongRunning = rapid.Bool().Draw(t, "long-running")
		s := newRestoredSim(t, j)
		s.newLeader()
		begin, limit := s.now, 9*time.Second
		if !j.Steps[0].LongRunning {
			limit += unreachableWait
		}
		s.playUntilStart(begin + limit)
		if len(s.holds) > 0 {
			kept++
		}
		if s.startWhileRuns {
			t.Fatalf("the next run starts %v after the takeover, the former one is at work", s.startedAt-begin)
		}
		if s.startedAt == 0 && s.lossRate < 30 && s.owner.OwnsStored() {
			t.Fatalf("the task is not started again within %v", limit)
		}
	})
	assert.Assert(t, kept > 50, "another leader has kept the former run in %d plays only", kept)
}
