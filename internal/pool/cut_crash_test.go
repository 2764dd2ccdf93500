package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/verdict"
)

// Targets were cut off at once after a start, and started anew behind the cut seconds later: the
// lease of the run was over by then.
func TestCrashAfterTheLeaseOfARunIsNoCrashUnderIt(t *testing.T) {
	s := newCrashSim(t, 4)
	s.submit(patientJob("j", 1, 20000))
	cut := map[string]bool{}
	for range 2 {
		for range 300 {
			for id, rows := range s.running {
				if len(rows) > 0 && !cut[id] {
					cut[id], s.backAt[id] = true, s.now+4*time.Second
				}
			}
			if s.run(10 * ms); len(cut) == 2 {
				break
			}
		}
	}
	assert.Equal(t, len(cut), 2)
	s.run(2 * time.Second)
	for id := range cut {
		s.running[id], s.ended[id] = nil, nil // the lease is over; the target crashes now
	}
	s.run(20 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}
