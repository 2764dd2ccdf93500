package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// takeOver makes the pool the owner of stored jobs that a former owner had.
func (b *harness) takeOver(jobs ...jobstore.StoredJob) {
	b.p.ExpectStored()
	b.p.TakeOverStored(b.now, b.now, 2, jobs)
	b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
}

// reportEnds answers a hold of a target with ends, and permits to acknowledge them.
func (b *harness) reportEnds(id string, ends ...fleet.End) {
	b.t.Helper()
	b.p.targets[id].refreshDue = true
	b.tick(heldEndPause)
	b.answerHold(id, nil, ends)
	for _, s := range takeEffects[jobstore.Save](b) {
		b.p.RecordSaved(s.Job, s.Seq)
	}
}

// assertState fails the test if the job is in another state.
func (b *harness) assertState(id string, want fleet.JobState) {
	b.t.Helper()
	state, _ := b.p.JobState(id)
	assert.Equal(b.t, state, want)
}

// failedEnd is the end of a run of the former owner, which failed.
func failedEnd(number int64, job string, index, run int) fleet.End {
	return fleet.End{Number: number, Task: fleet.TaskID{Job: job, Index: index}, Run: runsPerEpoch + run, Kind: fleet.EndFailed}
}

// Guards against a gang that is given up after one failed run: two members list its end, one of them only after the
// next owner has counted it, and again once a report of the ends was lost.
func TestFailedRunOfAFormerOwnersGangCountsOnce(t *testing.T) {
	b := newHarness(t, 2)
	j := gangJob("j", 2, 14000)
	j.Stored = true
	b.takeOver(restoredJob(j))
	b.reportEnds("t00", failedEnd(1, "j", 0, 1))
	b.reportEnds("t01", failedEnd(1, "j", 1, 1))
	b.p.targets["t01"].lastEnd = 0
	b.reportEnds("t01", failedEnd(1, "j", 1, 1))
	b.assertState("j", fleet.JobRunning)
	assert.Equal(t, b.p.jobs["j"].steps[0][0].failures, 1)

	b.reportEnds("t01", failedEnd(2, "j", 1, 2))
	b.assertState("j", fleet.JobFailed)
}

// Guards against a failure that counts twice: the target lists it again in a later incarnation.
func TestFailureListedByTwoIncarnationsCountsOnce(t *testing.T) {
	b := newHarness(t, 1)
	b.takeOver(restoredJob(storedJob("j", 1)))
	b.reportEnds("t00", failedEnd(1, "j", 0, 1))
	reborn := targetList(1)
	reborn[0].Incarnation = 2
	b.p.SetTargets(b.now, reborn)
	b.tick(maxLease)
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, nil, []fleet.End{failedEnd(1, "j", 0, 1)})
	}
	b.assertState("j", fleet.JobRunning)
	assert.Equal(t, b.p.jobs["j"].steps[0][0].failures, 1)
}

// Guards against a job that is given up by the attempts of a later configuration.
func TestAttemptsAreThoseThatTheJobWasAcceptedWith(t *testing.T) {
	b := newHarness(t, 1)
	b.takeOver(restoredJob(storedJob("j", 1)))
	later := storedJob("k", 1)
	later.Queue.MaxAttempts = 1
	b.submit(later)
	b.reportEnds("t00", failedEnd(1, "j", 0, 1))
	b.assertState("j", fleet.JobRunning)
}

// Guards against failures of one occurrence that count for another.
func TestFailuresOfOccurrencesCountApart(t *testing.T) {
	b := newHarness(t, 1)
	b.setWallClock()
	b.now += 26 * time.Second // occurrences 0 to 2 are due
	r := restoredJob(recurringTestJob("j", 4))
	r.Record.Occurrences = map[int]fleet.Record{
		0: {Failures: map[int]int{0: 1}, FailedRuns: map[int]int{0: runsPerEpoch + 1}},
		1: {State: fleet.JobRunning},
	}
	b.takeOver(r)
	b.reportEnds("t00", failedEnd(1, "j", 0, 1), failedEnd(2, "j.1", 0, 1), failedEnd(3, "j.2", 0, 1))
	b.assertState("j", fleet.JobRunning)
	assert.Equal(t, b.p.jobs["j"].steps[0][0].failures, 1)
	assert.Equal(t, b.p.jobs["j.1"].steps[0][0].failures, 1)
	b.reportEnds("t00", failedEnd(4, "j.1", 0, 2))
	b.assertState("j", fleet.JobFailed)
}

// Guards against an occurrence that runs again: its end came while it was not due yet by the clock of the next owner,
// which forgot the end.
func TestEndOfAnOccurrenceThatIsNotDueYetIsNotForgotten(t *testing.T) {
	for name, before := range map[string]bool{"before": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.setWallClock() // 5 s before the first occurrence is due
			b.p.ExpectStored()
			done := failedEnd(1, "j", 0, 1)
			done.Kind = fleet.EndDone
			if before {
				b.reportEnds("t00", done)
			}
			b.takeOver(restoredJob(recurringTestJob("j", 1)))
			if !before {
				b.reportEnds("t00", done)
			}
			for range 40 {
				b.tick(500 * ms)
				b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
			}
			assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
		})
	}
}

// Guards against ends that are held for ever: of an occurrence that has ended by its record, or of a job that has ended.
func TestEndOfAnOccurrenceThatIsOverIsAcknowledged(t *testing.T) {
	b := newHarness(t, 1)
	b.setWallClock()
	r := restoredJob(recurringTestJob("j", 3))
	r.Record.Occurrences = map[int]fleet.Record{0: {State: fleet.JobComplete}}
	b.takeOver(r)
	done, later := failedEnd(1, "j", 0, 1), failedEnd(2, "j.1", 0, 1)
	done.Kind = fleet.EndDone
	b.reportEnds("t00", done)
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(1))
	b.tick(6 * time.Second)
	b.reportEnds("t00", later)
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(1), "acknowledged before the occurrence is due")

	b.p.Cancel(b.now, "j")
	assert.Equal(t, b.p.targets["t00"].ackNumber(), int64(2))
}
