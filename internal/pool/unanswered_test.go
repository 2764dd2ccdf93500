package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// crashBeforeStartsOf runs until starts of a job are sent, and crashes their targets before these
// arrive, with as many others that have runs.
func (s *crashSim) crashBeforeStartsOf(job string, others int) {
	s.t.Helper()
	for range 1000 {
		s.tick(10 * ms)
		sent := false
		for _, o := range takeEffects[fleet.Start](s.harness) {
			if o.Task.Job == job {
				s.crash(o.Target.ID)
				s.replyStart(o, fleet.Unanswered)
				sent = true
				continue
			}
			s.running[o.Target.ID] = append(s.running[o.Target.ID], fleet.Running{Task: o.Task, Run: o.Run, PercentDone: 1})
			s.until[runKey{o.Task, o.Run}] = s.now + 300*ms
			s.replyStart(o, fleet.Accepted)
		}
		if sent {
			for id, rows := range s.running {
				if len(rows) > 0 && others > 0 {
					s.crash(id)
					others--
				}
			}
			return
		}
		s.reviveTargets()
		s.endRuns()
		s.obey()
	}
	s.t.Fatal("not started")
}

// Some targets of many fell at a moment, one of them just before a start arrived there. Two such
// starts failed a job under which no target had crashed.
func TestStartsThatArriveAfterACrashDoNotFailAJob(t *testing.T) {
	s := newCrashSim(t, 40)
	for i := range 2 {
		for k := range 6 {
			s.submit(patientJob(fmt.Sprintf("other%d%d", i, k), 1, 20000))
		}
		s.run(20 * ms)
		if i == 0 {
			s.submit(patientJob("j", 1, 20000))
		}
		s.crashBeforeStartsOf("j", 3)
	}
	s.run(30 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}
