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

// The targets of a small pool crashed at once, again and again. Jobs with new runs at two such
// moments were shown as failed, since fewer targets than minOtherCauses could be lost beside one.
func TestJobsAreNotFailedWhenTheFewTargetsOfAPoolCrashAtOnce(t *testing.T) {
	for _, targets := range []int{2, 3, 4} {
		t.Run(fmt.Sprintf("targets=%d", targets), func(t *testing.T) {
			s := newCrashSim(t, targets)
			for i := range 2 * targets {
				s.submit(patientJob(fmt.Sprintf("j%02d", i), 2, 10000))
			}
			for range 3 {
				s.runUntilBusy(targets)
				s.run(50 * ms)
				s.crashAll(500 * ms)
			}
			s.run(60 * time.Second)
			assert.Equal(t, len(s.failedJobs()), 0, "%v", s.failedJobs())
		})
	}
}

// The losses of a moment were noticed over more than lossWindow. The last ones were too few by
// themselves, and counted in full against their jobs.
func TestLastLossesOfAMomentAreWeakEvidence(t *testing.T) {
	s := newCrashSim(t, 16)
	lose := func(i int) { s.p.markUnreachable(s.now, s.p.targets[s.list[i].ID]) }
	for i := range 6 { // without runs
		s.tick(20 * ms)
		lose(i)
	}
	for i := range 8 {
		s.submit(patientJob(fmt.Sprintf("j%02d", i), 1, 30000))
	}
	s.run(10 * ms)
	for i := 6; i < 14; i++ {
		s.tick(20 * ms)
		lose(i)
	}
	s.tick(lossWindow + lossBatch)
	weak := 0
	for _, sj := range s.p.suspected {
		for _, x := range sj.tasks[0] {
			assert.Assert(t, x.Weak, "%+v", x)
			weak++
		}
	}
	assert.Equal(t, weak, 8)
}
