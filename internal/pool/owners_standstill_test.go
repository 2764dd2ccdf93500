package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// ownersSim is a faultSim of stored jobs, whose owners follow each other and whose targets stand still for a while.
type ownersSim struct {
	*faultSim
	owner     *Pool // nil between two owners
	epoch     int
	ownedAt   time.Duration
	renewAt   time.Duration
	readAt    time.Duration
	records   map[string]fleet.Record
	stands    map[*simTarget]*standstill
	rows      map[*simTarget]*simRow
	longLived int // standstills in which the row was gone
}

// standstill is a time in which a target carries out nothing.
type standstill struct {
	since, until time.Duration
	contact      fleet.Contact
	suspended    bool // its clock stands still too
}

// simRow is the row of a target in the platform's list.
type simRow struct {
	version   uint64
	writtenAt time.Duration
}

func newOwnersSim(t *rapid.T) *ownersSim {
	s := &ownersSim{faultSim: newFaultSim(t, 3), records: map[string]fleet.Record{}, stands: map[*simTarget]*standstill{}, rows: map[*simTarget]*simRow{}}
	s.longestRunMS = 8000
	for i, x := range s.targets {
		x.info.Addr = fmt.Sprintf("a%d", i)
		s.rows[x] = &simRow{1, s.now}
	}
	return s
}

// takeOver makes a new process the owner, after the former one was lost at the given time.
func (s *ownersSim) takeOver(lastSeen time.Duration) {
	s.epoch++
	s.owner = New(DefaultSettings(), nil)
	s.owner.cfg.RowsRenewed = true
	s.pools, s.holds, s.ownedAt = []*Pool{s.owner}, nil, s.now
	s.readRows()
	s.owner.BecomeLeader(s.now, uint64(s.epoch)<<40)
	s.owner.ExpectStored()
	s.owner.RenewStored(s.now, s.now+jobstore.StartLease)
	var jobs []jobstore.StoredJob
	for _, j := range s.jobs {
		r := restoredJob(j)
		r.Record = s.records[j.ID]
		jobs = append(jobs, r)
	}
	s.owner.TakeOverStored(s.now, lastSeen, s.epoch, jobs)
}

// readRows lets the owner read the platform's list.
func (s *ownersSim) readRows() {
	const silence = 4500 * ms
	s.readAt = s.now
	var list []fleet.Target
	versions := map[string]uint64{}
	for _, x := range s.targets {
		if r := s.rows[x]; s.now < r.writtenAt+silence {
			list, versions[x.info.ID] = append(list, x.info), r.version
		}
	}
	s.owner.SetTargets(s.now, list)
	s.owner.ObserveRenewals(s.now, versions)
}

// play advances the simulation in steps of 20 ms.
func (s *ownersSim) play(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 20 * ms
		s.runProcesses()
		if s.owner == nil {
			continue
		}
		if s.now >= s.readAt+rowReads {
			s.readRows()
		}
		if s.now >= s.renewAt+300*ms {
			s.renewAt = s.now
			s.owner.RenewStored(s.now, s.now+jobstore.StartLease)
		}
		s.owner.Tick(s.now)
		s.takeStoredEffects()
		s.perform(0)
		s.failStandingHolds()
		s.answerHolds()
		s.takeStoredEffects()
	}
}

// runProcesses ends runs and writes rows, except where a target stands still.
func (s *ownersSim) runProcesses() {
	all := s.targets
	s.targets = nil
	for _, x := range all {
		if st := s.stands[x]; st != nil {
			if s.now < st.until {
				continue
			}
			s.goOn(x, st)
		}
		if r := s.rows[x]; s.now >= r.writtenAt+rowWrites {
			r.version, r.writtenAt = r.version+1, s.now
		}
		s.targets = append(s.targets, x)
	}
	s.runTargets()
	s.targets = all
}

func (s *ownersSim) goOn(x *simTarget, st *standstill) {
	delete(s.stands, x)
	x.cut[0] = false
	if s.now-s.rows[x].writtenAt > 6*time.Second {
		s.longLived++
	}
	if !st.suspended {
		return
	}
	stood := s.now - st.since
	x.base += stood
	for task, r := range x.runs {
		x.runs[task] = simRun{r.n, r.end + stood}
	}
}

// takeStoredEffects saves records, and puts recalls in force at once. It fails the test if a task is started that is done.
func (s *ownersSim) takeStoredEffects() {
	effects := s.owner.Effects()
	for _, e := range effects {
		switch e := e.(type) {
		case jobstore.Save:
			s.records[e.Job] = e.Record
			s.owner.RecordSaved(e.Job, e.Seq)
		case RecallStored:
			if e.From != 0 {
				s.owner.StoredRecalledFrom(max(e.From, s.now+1))
			}
		case fleet.Start:
			for _, x := range s.targets {
				for _, end := range x.ends {
					done := end.Task == e.Task && end.Kind == fleet.EndDone && !s.jobs[e.Task.Job].Steps[0].LongRunning
					assert.Assert(s.t, !done, "%v is started, and done on %s", e.Task, x.info.ID)
				}
			}
		}
	}
	s.owner.effects = append(effects, s.owner.Effects()...)
}

// failStandingHolds answers the holds to targets that stand still once they time out.
func (s *ownersSim) failStandingHolds() {
	const holdTimeout = 450 * ms
	var rest []pendingHold
	for _, h := range s.holds {
		st := s.stands[s.target(h.hold.Target.ID)]
		if st == nil || s.now < h.sent+holdTimeout {
			rest = append(rest, h)
			continue
		}
		s.owner.HoldDone(s.now, h.sent, h.hold, fleet.HoldReply{Answer: fleet.Unanswered, Contact: st.contact})
	}
	s.holds = rest
}

// standStill makes a target with runs stand still once the owner has seen it.
func (s *ownersSim) standStill(x *simTarget) {
	s.play(max(0, s.ownedAt+2*time.Second-s.now))
	if len(x.runs) == 0 || len(s.stands) >= len(s.targets)-1 || s.stands[x] != nil {
		return
	}
	st := &standstill{since: s.now, contact: fleet.Connected, suspended: rapid.Bool().Draw(s.t, "suspended")}
	least := rapid.SampledFrom([]int{100, 1000, 6000, 11_000}).Draw(s.t, "stands for at least")
	st.until = s.now + time.Duration(rapid.IntRange(least, least+5000).Draw(s.t, "stands for"))*time.Millisecond
	s.stands[x], x.cut[0] = st, true
}

// changeOwner loses the owner, and makes another one follow it. An owner that is lost before it has noted the runs of a target which
// stands still leaves nothing of them.
func (s *ownersSim) changeOwner() {
	for _, st := range s.stands {
		s.play(max(0, st.since+3*time.Second-s.now))
	}
	lost := s.now
	s.owner, s.holds = nil, nil
	s.play(time.Duration(rapid.IntRange(1100, 1500).Draw(s.t, "follows in")) * time.Millisecond)
	s.takeOver(lost)
}

// openJobs returns the number of jobs that have not ended and are not long-running.
func (s *ownersSim) openJobs() int {
	n := 0
	for id, j := range s.jobs {
		if state, known := s.owner.JobState(id); known && !state.Ended() && !j.Steps[0].LongRunning {
			n++
		}
	}
	return n
}

// No task of a stored job has two runs at once, or is started after it is done, however long its targets stand still and whoever owns the job;
// and all jobs end once the targets go on.
func TestPropertyStoredTasksRunOnceOnTargetsThatStandStill(t *testing.T) {
	longLived := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newOwnersSim(t)
		s.takeOver(s.now)
		for i := range rapid.IntRange(5, 15).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				j := storedJob(fmt.Sprintf("j%d", i), rapid.IntRange(1, 3).Draw(t, "tasks"))
				j.Steps[0].Gang = rapid.Bool().Draw(t, "gang")
				j.Steps[0].LongRunning = !j.Steps[0].Gang && rapid.Bool().Draw(t, "long-running")
				j.Steps[0].Needs.MilliCPU, j.Steps[0].Estimate = 8000, 4*time.Second
				if j.Steps[0].LongRunning {
					j.Steps[0].Needs.MilliCPU = 1000 // leaves room for the others
				}
				s.jobs[j.ID], s.needs[j.ID] = j, j.Steps[0].Needs.MilliCPU
				s.owner.Submit(s.now, Submit{Job: j})
			case 2, 3:
				s.standStill(s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")])
			default:
				s.changeOwner()
			}
			s.play(time.Duration(rapid.IntRange(10, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		for end := s.now + time.Minute; s.openJobs() > 0; {
			s.play(time.Second)
			assert.Assert(t, s.now < end, "%d jobs have not ended", s.openJobs())
		}
		longLived += s.longLived
	})
	assert.Assert(t, longLived > 30, "%d standstills only outlasted the row of their target", longLived)
}
