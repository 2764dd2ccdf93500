package jobstore_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// allFailed returns the record of a job with as many tasks as there may be, each of which has failed.
func allFailed() fleet.Record {
	rec := fleet.Record{State: fleet.JobRunning, Failures: map[int]int{}, FailedRuns: map[int]int{}}
	for i := range fleet.MaxTasks {
		rec.Failures[i], rec.FailedRuns[i] = 1+i%3, 5<<20+i%7
	}
	return rec
}

// A record that no row can hold would make the store reject those of all jobs that are saved with it, again and again.
func TestRecordOfManyFailuresIsSaved(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	for i := range 3 {
		_, err := a.Accept(job(i))
		assert.NilError(t, err)
	}
	first, s1, stop := runOwner(t, tables, "e1")
	s1.eventually(t, "the first owner has acquired the jobs", func() bool { return len(s1.restored) == 3 })
	tooLarge := fleet.Record{State: fleet.JobRunning, Occurrences: map[int]fleet.Record{}}
	for k := range 4 {
		tooLarge.Occurrences[k] = allFailed()
	}
	other := fleet.Record{State: fleet.JobRunning}
	other.SetDone(0)
	for i, rec := range []fleet.Record{allFailed(), tooLarge, other} {
		first.Save(jobstore.Save{Job: job(i).ID, Seq: 1, Record: rec})
	}
	s1.eventually(t, "the other records are saved", func() bool { return s1.saved[job(0).ID] == 1 && s1.saved[job(2).ID] == 1 })
	tooLarge.State = fleet.JobFailed
	first.Save(jobstore.Save{Job: job(1).ID, Seq: 2, Record: tooLarge})
	s1.eventually(t, "the end of a job is saved", func() bool { return s1.saved[job(1).ID] == 2 })
	stop()

	_, s2, _ := runOwner(t, tables, "e2")
	s2.eventually(t, "the second owner has acquired the jobs", func() bool { return s2.epoch > 0 })
	assert.DeepEqual(t, s2.restored[job(0).ID], allFailed())
	assert.DeepEqual(t, s2.restored[job(2).ID], other)
}
