package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// crashAll crashes all targets, which are back after the given time.
func (s *crashSim) crashAll(back time.Duration) {
	for _, t := range s.list {
		if s.down(t.ID) {
			continue
		}
		s.crash(t.ID)
		s.backAt[t.ID] = s.now + back
	}
}

// runUntilBusy runs until a number of targets have runs.
func (s *crashSim) runUntilBusy(targets int) {
	s.t.Helper()
	for range 1000 {
		busy := 0
		for _, rows := range s.running {
			if len(rows) > 0 {
				busy++
			}
		}
		if busy >= targets {
			return
		}
		s.run(10 * ms)
	}
	s.t.Fatal("not enough targets have runs")
}

// failedJobs returns the sorted IDs of the jobs that were shown as failed.
func (s *crashSim) failedJobs() []string {
	var ids []string
	for id, o := range s.outcomes() {
		if o.Verdict == verdict.Failed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// All targets crashed at once, again and again. Jobs with new runs at two such moments were
// shown as failed.
func TestJobsAreNotFailedWhenAllTargetsCrashAtOnce(t *testing.T) {
	for _, c := range []struct{ stored, newNames bool }{{}, {stored: true}, {newNames: true}} {
		stored := c.stored
		t.Run(fmt.Sprintf("stored=%v,newNames=%v", stored, c.newNames), func(t *testing.T) {
			s := newCrashSim(t, 12)
			if s.newNames = c.newNames; s.newNames {
				for range 10 { // most of the targets that are known are over then
					s.crashAll(100 * ms)
					s.run(time.Second)
				}
			}
			if stored {
				s.ownStored()
			}
			n := 24
			for i := range n {
				j := patientJob(fmt.Sprintf("j%02d", i), 2, 10000)
				j.Stored = stored
				s.submit(j)
			}
			for range 3 {
				s.runUntilBusy(10)
				s.run(50 * ms)
				s.crashAll(500 * ms)
			}
			s.run(60 * time.Second)
			for i := range n {
				id := fmt.Sprintf("j%02d", i)
				if stored {
					assert.Equal(t, s.p.stored.ended[id].state, fleet.JobComplete, id)
				} else {
					assert.Equal(t, s.outcomes()[id].Verdict, verdict.Completed, id)
				}
			}
		})
	}
}

// A target was cut off soon after a start, and was back as another incarnation later. The run may
// have ended in between, but two such losses failed its job.
func TestTargetsThatStartAnewWhileCutOffDoNotFailAJob(t *testing.T) {
	s := newCrashSim(t, 3)
	j := patientJob("j", 1, 20000)
	s.submit(j)
	for range 2 {
		s.runUntilBusy(1)
		var on string
		for id, rows := range s.running {
			if len(rows) > 0 {
				on = id
			}
		}
		assert.Assert(t, s.silence(on, 600*ms) > 0, "no hold")
		s.crash(on)
		s.backAt[on] = s.now + 200*ms
	}
	s.run(20 * time.Second)
	assert.Equal(t, len(s.failedJobs()), 0)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}

// silence lets a target answer nothing for a while. It returns the number of holds that were
// sent to it meanwhile, which fail at the end of that time.
func (s *crashSim) silence(id string, d time.Duration) int {
	var kept []fleet.Hold
	for end := s.now + d; s.now < end; {
		s.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](s.harness) {
			if h.Target.ID == id {
				kept = append(kept, h)
				continue
			}
			s.acceptHold(h, slices.Clone(s.running[h.Target.ID]), slices.Clone(s.ended[h.Target.ID]))
		}
	}
	for _, h := range kept {
		s.p.HoldDone(s.now, s.now, h, fleet.HoldReply{Answer: fleet.Unanswered})
	}
	return len(kept)
}

// A task crashes its targets while all targets crash now and then. It is given up all the same,
// after some crashes more.
func TestTaskThatCrashesTargetsBesideOtherCrashesIsGivenUp(t *testing.T) {
	crashing := fleet.TaskID{Job: "bad"}
	s := newCrashSim(t, 12, crashing)
	s.submit(patientJob("bad", 1, 10000))
	for i := range 8 {
		for k := range 6 {
			s.submit(patientJob(fmt.Sprintf("good%d%d", i, k), 2, 10000))
		}
		s.run(100 * ms)
		s.crashAll(500 * ms)
		s.run(1500 * ms)
	}
	s.run(40 * time.Second)
	assert.DeepEqual(t, s.failedJobs(), []string{"bad"})
	assert.Assert(t, s.started[crashing] <= 4, "%d starts", s.started[crashing])
}

// A start that was not sent, since its target had fallen, is no suspicion against its task.
func TestStartThatWasNotSentIsNoSuspicion(t *testing.T) {
	s := newCrashSim(t, 2)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	s.crash(o.Target.ID)
	s.replyStart(o, fleet.Unreachable)
	s.run(4 * time.Second)
	assert.Equal(t, len(s.p.suspected), 0)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}

// Idle targets that were gone long before are found gone one after another as a task is
// started. That they are tells nothing of the targets that the task crashes.
func TestTargetsThatWereLongGoneDoNotExcuseATask(t *testing.T) {
	crashing := fleet.TaskID{Job: "bad"}
	s := newCrashSim(t, 12, crashing)
	s.newNames = true
	s.run(time.Second)
	s.crashAll(100 * ms)
	s.run(200 * ms)
	for i := 12; i < len(s.list); i++ {
		s.list[i].Capacity.MilliCPU += 1000 // the targets that are gone fit better
	}
	s.p.SetTargets(s.now, s.list)
	s.run(2 * time.Second)
	s.submit(patientJob("bad", 1, 20000))
	s.run(20 * time.Second)
	assert.DeepEqual(t, s.failedJobs(), []string{"bad"})
	assert.Equal(t, s.started[crashing], 2)
}
