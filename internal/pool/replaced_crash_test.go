package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/verdict"
)

// The row of a target named the address of another one for a moment, and the answers from there
// counted as a crash, also once the target had answered as before.
func TestTargetThatAnswersAsBeforeHasNotBeenReplaced(t *testing.T) {
	s := newCrashSim(t, 4)
	j := patientJob("j", 1, 20000)
	s.submit(j)
	misnamed := map[string]bool{}
	for range 2 {
		s.runUntilBusy(1)
		at := -1
		for i := range s.list {
			if len(s.running[s.list[i].ID]) > 0 && !misnamed[s.list[i].ID] {
				at = i
			}
		}
		if at < 0 {
			s.run(10 * ms)
			continue
		}
		id, addr := s.list[at].ID, s.list[at].Addr
		misnamed[id] = true
		s.list[at].Addr = "elsewhere"
		s.p.SetTargets(s.now, s.list)
		s.backAt[id] = time.Hour // another ID answers there
		s.run(50 * ms)
		s.list[at].Addr = addr
		s.p.SetTargets(s.now, s.list)
		delete(s.backAt, id)
		s.running[id], s.ended[id] = nil, nil // stopped or lapsed
		s.p.targets[id].nextAcquireAt = s.now
		s.run(20 * ms)
		assert.Assert(t, s.p.targets[id].owned)
		assert.Equal(t, crashesAgainst(s, "j"), 0)
	}
	s.run(20 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}

// crashesAgainst returns how many crashes are held against the tasks of a job.
func crashesAgainst(s *crashSim, job string) int {
	n := 0
	if sj := s.p.suspected[job]; sj != nil {
		for _, list := range sj.tasks {
			for _, x := range list {
				if x.Crashed {
					n++
				}
			}
		}
	}
	return n
}
