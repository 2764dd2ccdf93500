package pool

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/wire"
)

// nextOwner is the owner of stored jobs that follows one which has lost a target with runs.
type nextOwner struct {
	*harness
	lost    fleet.Target
	first   []fleet.Start // the runs there
	begin   time.Duration // when it takes over
	running []fleet.Running
	started map[string]time.Duration // when tasks of each job were first started
}

// ownerAfterStandstill lets an owner start a job on a target that stands still from then on, and lets another one follow it
// after some time, which sees the given targets.
func ownerAfterStandstill(t *testing.T, j fleet.Job, after time.Duration, listed []fleet.Target, others ...fleet.Job) *nextOwner {
	b := newHarness(t, 1)
	b.p.cfg.RowsRenewed = true
	b.setWallClock()
	b.ownStored()
	b.submit(j)
	if b.tick(ms); j.Occurrences > 0 {
		b.tick(time.Duration(j.FirstDueMS-testStartUnixMS)*ms + 2*dueMargin)
	}
	x := &nextOwner{first: b.acceptStarts(), started: map[string]time.Duration{}}
	assert.Equal(t, len(x.first), j.TaskCount())
	x.lost = x.first[0].Target
	saved := jobstore.Save{}
	for until := b.now + after; b.now < until; {
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
		}
		for _, s := range takeEffects[jobstore.Save](b) {
			assert.Assert(t, s.Seq > saved.Seq)
			saved = s
			b.p.RecordSaved(s.Job, s.Seq)
		}
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	}
	x.harness = &harness{t: t, p: New(DefaultSettings(), nil), now: b.now, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	x.p.cfg.RowsRenewed = true
	x.p.SetWallClock(b.now, testStartUnixMS+b.now.Milliseconds()-10_000)
	x.follow(listed, j, saved.Record, others...)
	return x
}

// follow makes the harness the next owner, which restores a job with its record.
func (x *nextOwner) follow(listed []fleet.Target, j fleet.Job, rec fleet.Record, others ...fleet.Job) {
	x.p.SetTargets(x.now, listed)
	x.p.BecomeLeader(x.now, 1<<40)
	value, err := wire.Encode(rec)
	assert.NilError(x.t, err)
	restored := restoredJob(j)
	assert.NilError(x.t, wire.Decode(value, &restored.Record))
	jobs := []jobstore.StoredJob{restored}
	for _, o := range others {
		jobs = append(jobs, restoredJob(o))
	}
	x.begin = x.now
	x.p.ExpectStored()
	x.p.RenewStored(x.now, x.now+jobstore.StartLease)
	x.p.TakeOverStored(x.now, x.now-jobstore.StartLease, 2, jobs)
}

// play advances the owner. The target that was lost answers holds as told, nil for not at all.
func (x *nextOwner) play(d time.Duration, answer func(h fleet.Hold) *fleet.HoldReply) {
	x.t.Helper()
	for until := x.now + d; x.now < until; {
		x.tick(10 * ms)
		x.p.RenewStored(x.now, x.now+jobstore.StartLease)
		for _, h := range takeEffects[fleet.Hold](x.harness) {
			if h.Target.ID != x.lost.ID {
				x.acceptHold(h, x.running, nil)
				continue
			}
			assert.Equal(x.t, h.Target.Addr, x.lost.Addr)
			if rep := answer(h); rep != nil {
				x.p.HoldDone(x.now, x.now, h, *rep)
			}
		}
		for _, s := range x.acceptStarts() {
			assert.Assert(x.t, s.Target.ID != x.lost.ID)
			x.running = append(x.running, fleet.Running{Task: s.Task, Run: s.Run})
			if id := s.Task.Job; x.started[id] == 0 {
				x.started[id] = x.now
			}
		}
		for _, s := range takeEffects[jobstore.Save](x.harness) {
			x.p.RecordSaved(s.Job, s.Seq)
		}
	}
}

func (x *nextOwner) unanswered(c fleet.Contact) func(fleet.Hold) *fleet.HoldReply {
	return func(fleet.Hold) *fleet.HoldReply {
		return &fleet.HoldReply{Answer: fleet.Unanswered, Contact: c}
	}
}

// standstillJobs returns a job of each kind, whose tasks all fit on one target.
func standstillJobs() map[string]fleet.Job {
	lasting, gang, recurring := storedJob("j", 1), storedJob("j", 2), recurringTestJob("j", 1)
	lasting.Steps[0].LongRunning, gang.Steps[0].Gang = true, true
	return map[string]fleet.Job{"plain": storedJob("j", 2), "long-running": lasting, "gang": gang, "recurring": recurring}
}

// Guards against a second run at the next owner of a stored job: the target of the first run stands still until its row is
// gone, so that the next owner does not know it.
func TestRestoredTaskWaitsForARunOnATargetThatIsListedNoMore(t *testing.T) {
	others := targetList(2)[1:]
	for name, j := range standstillJobs() {
		t.Run(name, func(t *testing.T) {
			x := ownerAfterStandstill(t, j, 5*time.Second, others, storedJob("other", 1))
			x.play(time.Minute, x.unanswered(fleet.Connected))
			assert.Equal(t, x.started["j"], time.Duration(0), "started %v after the takeover", x.started["j"]-x.begin)
			assert.Assert(t, x.started["other"] > 0 && x.started["other"] < x.begin+formerRunsTimeout+time.Second, "the other job waits too")
			// The process goes on, and its row is back.
			x.p.SetTargets(x.now, targetList(2))
			var ends []fleet.End
			for i, s := range x.first {
				ends = append(ends, fleet.End{Number: int64(i + 1), Task: s.Task, Run: s.Run, Kind: fleet.EndDone})
			}
			x.play(3*time.Second, func(h fleet.Hold) *fleet.HoldReply {
				return &fleet.HoldReply{Answer: fleet.Accepted, ClockMS: 20_000, Incarnation: 1, Ended: ends}
			})
			if j.Steps[0].LongRunning {
				assert.Assert(t, x.started["j"] > 0, "not started again")
				return
			}
			assert.Equal(t, x.started["j"], time.Duration(0), "started again though its run is done")
			state, _ := x.p.JobState("j")
			assert.Equal(t, state, fleet.JobComplete)
		})
	}
}

// A task that is restored with an open run starts again once its target is gone for certain.
func TestRestoredTaskStartsOnceTheTargetOfItsRunIsGone(t *testing.T) {
	others := targetList(2)[1:]
	later := targetList(2)
	later[0].Incarnation = 2
	for name, j := range standstillJobs() {
		for end, play := range map[string]func(x *nextOwner){
			"its VM is gone": func(x *nextOwner) { x.play(goneAfter+2*time.Second, x.unanswered(fleet.NotConnected)) },
			"its VM refuses connections": func(x *nextOwner) {
				x.play(2*time.Second, func(fleet.Hold) *fleet.HoldReply {
					return &fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.NotConnected, Refused: true}
				})
			},
			"a later life is listed": func(x *nextOwner) {
				x.p.SetTargets(x.now, later)
				x.play(2*time.Second, x.unanswered(fleet.NotConnected))
			},
			"it has lost its owner and goes on": func(x *nextOwner) {
				x.play(returnWait+2*time.Second, func(h fleet.Hold) *fleet.HoldReply {
					return &fleet.HoldReply{Answer: fleet.Fenced, ClockMS: x.first[0].LeaseUntilMS + 1000, Incarnation: 1}
				})
			},
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				x := ownerAfterStandstill(t, j, 5*time.Second, others)
				x.play(20*time.Second, x.unanswered(fleet.Connected))
				assert.Equal(t, x.started["j"], time.Duration(0), "started %v after the takeover", x.started["j"]-x.begin)
				play(x)
				assert.Assert(t, x.started["j"] > 0, "not started again")
			})
		}
	}
}

// Guards against a second run where the VM of the first one was suspended: the first answer after that comes before the lease
// has ended there.
func TestRestoredTaskWaitsForTheEndOfTheLeaseOnTheClockOfASuspendedVM(t *testing.T) {
	x := ownerAfterStandstill(t, storedJob("j", 1), 5*time.Second, targetList(2)[1:])
	clock := x.first[0].LeaseUntilMS - 500
	answer := func(fleet.Hold) *fleet.HoldReply {
		return &fleet.HoldReply{Answer: fleet.Fenced, ClockMS: clock, Incarnation: 1}
	}
	x.play(20*time.Second, answer)
	assert.Equal(t, x.started["j"], time.Duration(0), "started %v after the takeover", x.started["j"]-x.begin)
	clock += 1000
	x.play(returnWait+2*time.Second, answer)
	assert.Assert(t, x.started["j"] > 0, "not started again")
}

// A record may name a run that is over, since nothing is saved for its end alone: a later run of the task shows that.
func TestLaterRunIsKeptThoughTheRecordNamesAnEarlierOne(t *testing.T) {
	for name, j := range standstillJobs() {
		t.Run(name, func(t *testing.T) {
			x := ownerAfterStandstill(t, j, 5*time.Second, targetList(2)[1:])
			for _, s := range x.first {
				x.running = append(x.running, fleet.Running{Task: s.Task, Run: s.Run + 1, PercentDone: 100})
			}
			x.play(20*time.Second, x.unanswered(fleet.Connected))
			assert.Equal(t, len(takeEffects[fleet.Stop](x.harness)), 0)
			assert.Equal(t, len(x.started), 0)
			assert.DeepEqual(t, slices.Sorted(maps.Keys(x.p.targets)), []string{"t01"})
		})
	}
}
