package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Targets had new IDs after each crash. Their former lives counted as targets, so that all
// targets that crashed at once were too few to have one cause.
func TestFormerLivesOfTargetsAreNotCountedWhenLossesAreAssessed(t *testing.T) {
	s := newCrashSim(t, 16)
	s.newNames = true
	for range 8 {
		s.crashAll(200 * ms)
		s.run(3 * time.Second)
	}
	for i := range 16 {
		s.submit(patientJob(fmt.Sprintf("j%02d", i), 2, 20000))
	}
	for range 5 {
		s.runUntilBusy(12)
		s.run(50 * ms)
		s.crashAll(500 * ms)
	}
	s.run(60 * time.Second)
	assert.Equal(t, len(s.failedJobs()), 0, "%v", s.failedJobs())
}
