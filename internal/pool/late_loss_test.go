package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// runUntilStarts runs until starts are under way, and returns them.
func (s *crashSim) runUntilStarts() []fleet.Start {
	s.t.Helper()
	for range 1000 {
		s.reviveTargets()
		s.endRuns()
		s.tick(10 * ms)
		if starts := takeEffects[fleet.Start](s.harness); len(starts) > 0 {
			return starts
		}
		s.obey()
	}
	s.t.Fatal("no starts")
	return nil
}

// All targets crashed at once while starts were under way. The starts that were lost after their
// targets were not part of the moment, and failed their jobs.
func TestStartsThatAreLostAfterTheirTargetsDoNotFailAJob(t *testing.T) {
	for _, stored := range []bool{false, true} {
		t.Run(fmt.Sprintf("stored=%v", stored), func(t *testing.T) {
			s := newCrashSim(t, 12)
			if stored {
				s.ownStored()
			}
			for i := range 12 {
				j := patientJob(fmt.Sprintf("j%02d", i), 1, 30000)
				j.Stored = stored
				s.submit(j)
			}
			for range 2 {
				late := s.runUntilStarts()
				assert.Assert(t, len(late) > 8, "%d starts", len(late))
				s.crashAll(400 * ms)
				s.run(30 * ms)
				for _, o := range late {
					s.replyStart(o, fleet.Unanswered)
				}
			}
			s.run(60 * time.Second)
			assert.Equal(t, len(s.failedJobs()), 0, "%v", s.failedJobs())
			for id, e := range s.p.stored.ended {
				assert.Equal(t, e.state, fleet.JobComplete, id)
			}
		})
	}
}

// A job whose tasks crash many targets is given up after two crashes of a task, also if its starts
// are lost after their targets.
func TestJobWhoseStartsAreLostAfterTheirTargetsIsGivenUp(t *testing.T) {
	s := newCrashSim(t, 20)
	s.submit(patientJob("j", 8, 20000))
	for range 2 {
		late := s.runUntilStarts()
		for _, o := range late {
			s.crash(o.Target.ID)
		}
		s.run(30 * ms)
		for _, o := range late {
			s.replyStart(o, fleet.Unanswered)
		}
	}
	s.run(10 * time.Second)
	assert.DeepEqual(t, s.failedJobs(), []string{"j"})
}
