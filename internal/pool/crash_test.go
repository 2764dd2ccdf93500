package pool

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/verdict"
)

// crashSim answers the orders of a harness's pool like targets on which some tasks
// crash. A crashed target answers nothing, and is back as a new incarnation after 3 s.
type crashSim struct {
	*harness
	crashing map[fleet.TaskID]bool
	list     []fleet.Target
	backAt   map[string]time.Duration
	running  map[string][]fleet.Running // by target
	ended    map[string][]fleet.End     // not acknowledged yet
	lastEnd  map[string]int64
	started  map[fleet.TaskID]int
	crashes  map[fleet.TaskID]int
	told     map[string]fleet.Suspicions // by job
	newNames bool                        // a target is back under another ID, at the address that it had
	until    map[runKey]time.Duration
	lives    int
	// silentDown is how long orders to a target that is down take to fail.
	silentDown time.Duration
	lateHolds  []lateHold
}

// lateHold is a hold to a target that is down, until it fails.
type lateHold struct {
	hold fleet.Hold
	at   time.Duration
}

func newCrashSim(t *testing.T, targets int, crashing ...fleet.TaskID) *crashSim {
	s := &crashSim{
		harness: newHarness(t, targets), list: targetList(targets), crashing: map[fleet.TaskID]bool{}, backAt: map[string]time.Duration{},
		running: map[string][]fleet.Running{}, ended: map[string][]fleet.End{}, lastEnd: map[string]int64{},
		started: map[fleet.TaskID]int{}, crashes: map[fleet.TaskID]int{}, told: map[string]fleet.Suspicions{}, until: map[runKey]time.Duration{},
	}
	for _, id := range crashing {
		s.crashing[id] = true
	}
	return s
}

// run advances the simulation in steps of 10 ms. Tasks take 300 ms.
func (s *crashSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.reviveTargets()
		s.endRuns()
		s.tick(10 * ms)
		s.obey()
	}
}

func (s *crashSim) down(id string) bool { return s.backAt[id] > 0 }

func (s *crashSim) crash(id string) {
	for _, r := range s.running[id] {
		s.crashes[r.Task]++
	}
	s.running[id], s.ended[id], s.backAt[id] = nil, nil, s.now+3*time.Second
}

func (s *crashSim) reviveTargets() {
	for i := range len(s.list) {
		id := s.list[i].ID
		if !s.down(id) || s.now < s.backAt[id] {
			continue
		}
		if s.lives++; s.newNames {
			s.list = append(s.list, s.list[i])
			s.list[len(s.list)-1].ID = fmt.Sprintf("life%d", s.lives)
			s.backAt[id] = time.Hour
		} else {
			delete(s.backAt, id)
			s.list[i].Incarnation++
			s.lastEnd[id] = 0
		}
		s.p.SetTargets(s.now, s.list)
	}
}

func (s *crashSim) endRuns() {
	for id, rows := range s.running {
		s.running[id] = slices.DeleteFunc(rows, func(r fleet.Running) bool {
			if s.now < s.until[runKey{r.Task, r.Run}] || s.waitsForGang(r) {
				return false
			}
			s.lastEnd[id]++
			s.ended[id] = append(s.ended[id], fleet.End{Number: s.lastEnd[id], Task: r.Task, Run: r.Run, Kind: fleet.EndDone})
			return true
		})
	}
}

// waitsForGang reports whether not all members of the run's gang are running.
func (s *crashSim) waitsForGang(r fleet.Running) bool {
	if tk := s.p.task(r.Task); tk == nil || !tk.step.Gang {
		return false
	}
	n := 0
	for _, rows := range s.running {
		for _, o := range rows {
			if o.Task.Job == r.Task.Job && o.Task.Step == r.Task.Step && o.Run == r.Run {
				n++
			}
		}
	}
	return n < s.p.task(r.Task).step.Count
}

// obey carries out the pending orders.
func (s *crashSim) obey() {
	s.lateHolds = slices.DeleteFunc(s.lateHolds, func(l lateHold) bool {
		if s.now < l.at {
			return false
		}
		s.p.HoldDone(s.now, l.at-s.silentDown, l.hold, fleet.HoldReply{Answer: fleet.Unanswered})
		return true
	})
	for _, o := range takeEffects[fleet.Start](s.harness) {
		if s.down(o.Target.ID) {
			s.answerDown(o.Target.ID, func(a fleet.Answer) { s.replyStart(o, a) })
			continue
		}
		s.started[o.Task]++
		s.running[o.Target.ID] = append(s.running[o.Target.ID], fleet.Running{Task: o.Task, Run: o.Run, PercentDone: 1})
		s.until[runKey{o.Task, o.Run}] = s.now + 300*ms
		if s.crashing[o.Task] {
			s.crash(o.Target.ID)
			s.replyStart(o, fleet.Unanswered)
			continue
		}
		s.replyStart(o, fleet.Accepted)
	}
	for _, o := range takeEffects[fleet.Stop](s.harness) {
		if s.down(o.Target.ID) {
			continue
		}
		s.running[o.Target.ID] = slices.DeleteFunc(s.running[o.Target.ID], func(r fleet.Running) bool { return r.Task == o.Task && r.Run == o.Run })
		s.p.StopDone(s.now, o, fleet.Reply{Answer: fleet.Accepted, ClockMS: s.clock(), Incarnation: o.Target.Incarnation})
	}
	for _, h := range takeEffects[fleet.Hold](s.harness) {
		id := h.Target.ID
		if s.down(id) && s.silentDown > 0 {
			s.lateHolds = append(s.lateHolds, lateHold{h, s.now + s.silentDown})
			continue
		}
		if s.down(id) {
			s.answerDown(id, func(a fleet.Answer) { s.p.HoldDone(s.now, s.now, h, fleet.HoldReply{Answer: a}) })
			continue
		}
		s.ended[id] = slices.DeleteFunc(s.ended[id], func(e fleet.End) bool { return e.Number <= h.AckedEnd })
		s.acceptHold(h, slices.Clone(s.running[id]), slices.Clone(s.ended[id]))
	}
	for _, e := range takeEffects[Suspected](s.harness) {
		s.told[e.Job] = e.Suspicions
	}
}

// answerDown passes the answer of a target that is down, or at whose address there is another one.
func (s *crashSim) answerDown(id string, answer func(fleet.Answer)) {
	if s.backAt[id] == time.Hour {
		answer(fleet.OtherIncarnation)
		return
	}
	answer(fleet.Unanswered)
}

// patientJob returns a job that waits for targets rather than being rejected.
func patientJob(id string, tasks int, cpu int64) fleet.Job {
	j := jobOf(id, queue("q", 0), tasks, cpu, 300*ms)
	j.Queue.Slack, j.Timeout = time.Minute, time.Minute
	return j
}

// A task crashes each target that starts it. It was started on one after another, without
// end.
func TestTaskThatCrashesEachTargetIsGivenUp(t *testing.T) {
	for _, newNames := range []bool{false, true} {
		for _, stored := range []bool{false, true} {
			t.Run(fmt.Sprintf("newNames=%v,stored=%v", newNames, stored), func(t *testing.T) {
				crashing := fleet.TaskID{Job: "j", Index: 1}
				s := newCrashSim(t, 6, crashing)
				s.newNames = newNames
				j := patientJob("j", 3, 20000)
				if j.Stored = stored; stored {
					s.ownStored()
				}
				s.submit(j)
				s.run(20 * time.Second)
				assert.Equal(t, s.started[crashing], 2)
				if stored {
					assert.Equal(t, s.p.stored.ended["j"].state, fleet.JobFailed)
					return
				}
				assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Failed)
				assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets)
			})
		}
	}
}

// The tasks that share their targets with those that crash them are not given up.
func TestNeighboursOfACrashingTaskAreNotFailed(t *testing.T) {
	s := newCrashSim(t, 8)
	for i := range 6 {
		s.crashing[fleet.TaskID{Job: fmt.Sprintf("bad%d", i), Index: i % 3}] = true
	}
	for i := range 30 {
		if i%5 == 0 {
			s.submit(patientJob(fmt.Sprintf("bad%d", i/5), 3, 6000))
		}
		s.submit(patientJob(fmt.Sprintf("good%02d", i), 4, 6000))
		s.run(30 * ms)
	}
	s.run(40 * time.Second)
	out := s.outcomes()
	for id, o := range out {
		want := verdict.Completed
		if id[0] == 'b' {
			want = verdict.Failed
		}
		assert.Check(t, o.Verdict == want, "%s: %s (%s)", id, o.Verdict, o.Reason)
	}
	assert.Equal(t, len(out), 36)
	for task := range s.crashing {
		assert.Check(t, s.started[task] <= 3, "%s was started %d times", task, s.started[task])
	}
}

// The coordinator of a job submits it to the next leader with the suspicions that it was
// told of. The next leader started the task until two more targets had crashed.
func TestSuspicionsSurviveAChangeOfLeader(t *testing.T) {
	crashing := fleet.TaskID{Job: "j"}
	for _, newNames := range []bool{false, true} {
		s := newCrashSim(t, 4, crashing)
		s.newNames = newNames
		j := patientJob("j", 1, 20000)
		s.submit(j)
		s.run(500 * ms)
		assert.Equal(t, s.started[crashing], 1)
		assert.Equal(t, len(s.told["j"][0]), 1)

		s.p.StepDown()
		s.p = New(DefaultSettings(), nil)
		s.p.SetTargets(s.now, s.list)
		s.p.BecomeLeader(s.now, 1<<40)
		s.p.Submit(s.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true, Suspicions: s.told["j"]})
		s.run(20 * time.Second)
		assert.Equal(t, s.started[crashing], 2)
		assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets)
	}
}

// A caller that has no answer in time submits its job again.
func TestSuspicionsSurviveAResubmission(t *testing.T) {
	crashing := fleet.TaskID{Job: "j"}
	s := newCrashSim(t, 6, crashing)
	j := patientJob("j", 1, 20000)
	j.Timeout = 1500 * ms
	for range 8 {
		s.submit(j)
		s.run(1600 * ms)
		if o, over := s.outcomes()["j"]; over && o.Verdict == verdict.Failed {
			assert.Equal(t, s.started[crashing], 2)
			return
		}
		delete(s.harness.ended, "j")
	}
	t.Fatalf("not given up, %d starts", s.started[crashing])
}

// The owner of the stored jobs is lost, before or after the first crash is proved. The next
// one finds the losses in the record, proved or not.
func TestSuspicionsSurviveInTheRecord(t *testing.T) {
	crashing := fleet.TaskID{Job: "j"}
	for lostAfter, starts := range map[time.Duration]int{500 * ms: 2, 3020 * ms: 2, 3200 * ms: 2, 5 * time.Second: 2} {
		s := newCrashSim(t, 5, crashing)
		s.ownStored()
		j := patientJob("j", 1, 20000)
		j.Stored = true
		s.submit(j)
		s.run(lostAfter)
		restored := restoredJob(j)
		for _, save := range takeEffects[jobstore.Save](s.harness) {
			restored.Record = save.Record
		}

		s.p.StepDown()
		s.p = New(DefaultSettings(), nil)
		s.p.SetTargets(s.now, s.list)
		s.p.BecomeLeader(s.now, 1<<40)
		s.ownStored(restored)
		s.run(40 * time.Second)
		assert.Equal(t, s.started[crashing], starts, "owner lost after %v", lostAfter)
		assert.Equal(t, lastSave(s.harness).Record.State, fleet.JobFailed)
	}
}

// Targets that were cut off and answer again have not crashed.
func TestTargetThatIsBackInTheSameLifeHasNotCrashed(t *testing.T) {
	s := newCrashSim(t, 3)
	j := patientJob("j", 1, 20000)
	s.submit(j)
	s.tick(ms)
	s.obey()
	for i := range 4 {
		var on string
		for id, rows := range s.running {
			if len(rows) > 0 {
				on = id
			}
		}
		assert.Assert(t, on != "", "cut %d", i)
		s.running[on], s.backAt[on] = nil, time.Minute // cut off: the lease lapses
		for range 300 {
			s.tick(10 * ms)
			s.obey()
			if len(s.running[on]) == 0 && slices.ContainsFunc(slices.Collect(maps.Values(s.running)), func(r []fleet.Running) bool { return len(r) > 0 }) {
				break
			}
		}
		delete(s.backAt, on)
		s.p.targets[on].nextAcquireAt = s.now
		s.tick(10 * ms)
		s.obey()
	}
	s.run(time.Second)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
	assert.Equal(t, len(s.told["j"]), 0)
}

// A long-running task outlives any number of targets.
func TestTaskThatHasWorkedIsNotSuspected(t *testing.T) {
	s := newCrashSim(t, 3)
	j := patientJob("j", 1, 20000)
	j.Steps[0].LongRunning = true
	s.submit(j)
	for i := range 6 {
		s.tick(ms)
		s.obey()
		for k := range s.until {
			s.until[k] = time.Hour
		}
		s.run(4 * time.Second)
		for id, rows := range s.running {
			if len(rows) > 0 {
				s.crash(id)
			}
		}
		for range 500 {
			s.reviveTargets()
			s.tick(10 * ms)
			s.obey()
			if s.started[fleet.TaskID{Job: "j"}] > i+1 {
				break
			}
		}
	}
	assert.Equal(t, len(s.outcomes()), 0)
	assert.Equal(t, s.started[fleet.TaskID{Job: "j"}], 7)
}

// A task that was suspected and then works is cleared.
func TestSuspectThatWorksIsCleared(t *testing.T) {
	s := newCrashSim(t, 2)
	j := patientJob("j", 1, 20000)
	j.Steps[0].LongRunning = true
	s.p.Submit(s.now, Submit{Coordinator: "e1", Job: j, Suspicions: fleet.Suspicions{0: {{Target: "gone", Alone: true, Crashed: true}}}})
	s.run(100 * ms)
	assert.Assert(t, s.p.task(fleet.TaskID{Job: "j"}).suspect)
	s.run(200 * ms)
	told, ok := s.told["j"]
	assert.Assert(t, ok && len(told) == 0)
	assert.Assert(t, !s.p.task(fleet.TaskID{Job: "j"}).suspect)
}

// A target whose starts are answered by its successor did not crash under them.
func TestStartAnsweredByTheNextIncarnationIsNoCrash(t *testing.T) {
	s := newCrashSim(t, 2)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	s.p.StartDone(s.now, o, fleet.Reply{Answer: fleet.OtherIncarnation, Incarnation: 2})
	s.tick(ms)
	assert.Equal(t, len(s.p.suspected), 0)
}

func TestDepartureOfALeavingTargetIsNoCrash(t *testing.T) {
	s := newCrashSim(t, 2)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	s.obey()
	for id, rows := range s.running {
		if len(rows) == 0 {
			continue
		}
		for i := range s.list {
			s.list[i].Leaving = s.list[i].ID == id
		}
		s.p.SetTargets(s.now, s.list)
		s.crash(id)
	}
	s.run(2 * time.Second)
	assert.Equal(t, len(s.p.suspected), 0)
}

func TestGangThatCrashesEachTargetIsGivenUp(t *testing.T) {
	crashing := fleet.TaskID{Job: "j", Index: 2}
	s := newCrashSim(t, 8, crashing)
	j := patientJob("j", 3, 12000)
	j.Steps[0].Gang = true
	s.submit(j)
	s.run(30 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets)
	assert.Assert(t, s.started[crashing] <= 3)
}

// While a suspect has not proved harmless, it shares its target with nothing else that
// has not.
func TestSuspectIsStartedApart(t *testing.T) {
	s := newCrashSim(t, 3)
	s.p.Submit(s.now, Submit{Coordinator: "e1", Job: patientJob("j", 1, 6000), Suspicions: fleet.Suspicions{0: {{Target: "gone"}}}})
	for i := range 3 {
		s.submit(patientJob(fmt.Sprintf("k%d", i), 4, 6000))
	}
	s.tick(ms)
	on := map[string][]string{}
	for _, o := range takeEffects[fleet.Start](s.harness) {
		on[o.Target.ID] = append(on[o.Target.ID], o.Task.Job)
	}
	for id, jobs := range on {
		assert.Assert(t, !slices.Contains(jobs, "j") || len(jobs) == 1, "%s: %v", id, jobs)
	}
}

// lastSave returns the last record that the pool wanted saved.
func lastSave(b *harness) jobstore.Save {
	b.t.Helper()
	saves := takeEffects[jobstore.Save](b)
	assert.Assert(b.t, len(saves) > 0, "no record")
	return saves[len(saves)-1]
}

// A new owner of the stored jobs finds a target that has crashed, whether it still stands in
// the list or not. Another one has its address: it holds no runs of the former owner.
func TestReplacedTargetsDoNotDelayRestoredJobs(t *testing.T) {
	for _, unlisted := range []bool{false, true} {
		s := newCrashSim(t, 3)
		s.newNames = true
		s.crash("t02")
		s.run(3200 * ms) // until its successor is there
		s.p = New(DefaultSettings(), nil)
		s.p.SetTargets(s.now, s.list)
		if unlisted {
			s.list = slices.Delete(s.list, 2, 3)
			s.p.SetTargets(s.now, s.list)
		}
		s.run(5 * time.Second)
		s.p.BecomeLeader(s.now, 1<<40)
		s.run(100 * ms)
		s.p.ExpectStored()
		lastSeen := s.now - jobstore.StartLease - formerStartsMargin // the former owner may start nothing any more
		s.p.TakeOverStored(s.now, lastSeen, 1, []jobstore.StoredJob{restoredJob(storedJob("j", 1))})
		s.p.RenewStored(s.now+time.Minute, s.now+time.Minute)
		s.run(500 * ms)
		assert.Equal(t, s.started[fleet.TaskID{Job: "j"}], 1, "unlisted: %v", unlisted)
	}
}
