package jobstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/platform"
	"currantstall/platform/store"
)

// lateTables hold back each transaction that stores a job, without an answer, unless it conflicts at first.
type lateTables struct {
	jobstore.Tables
	mu   sync.Mutex
	held []jobstore.Tx
}

func (l *lateTables) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	if _, err := l.Tables.Apply(ctx, jobstore.Tx{Conditions: tx.Conditions}); err != nil {
		return 0, err
	}
	l.mu.Lock()
	l.held = append(l.held, tx)
	l.mu.Unlock()
	return 0, fmt.Errorf("connection reset: %w", platform.ErrUnknown)
}

// perform performs the transactions that were held back, and returns how many took effect.
func (l *lateTables) perform() (applied int) {
	for _, tx := range l.held {
		if _, err := l.Tables.Apply(context.Background(), tx); err == nil {
			applied++
		}
	}
	return applied
}

// rowsNaming returns how many rows of the given tables have the ID of a job as their key.
func rowsNaming(t *testing.T, tables jobstore.Tables, id string, names ...string) (n int) {
	t.Helper()
	for _, name := range names {
		for part := range 8 {
			page, err := tables.Read(context.Background(), name, fmt.Sprint(part), id, 1)
			assert.NilError(t, err)
			if len(page.Rows) == 1 && page.Rows[0].Key == id {
				n++
			}
		}
	}
	return n
}

// acceptLate submits a job whose acceptance gets no answer.
func acceptLate(t *testing.T, tables store.JobTables, j fleet.Job) *lateTables {
	t.Helper()
	late := &lateTables{Tables: tables}
	_, err := jobstore.NewAccepter(late, discard()).Accept(j)
	assert.ErrorIs(t, err, jobstore.ErrOutcomeUnknown)
	return late
}

// Guards against a cancelled job that is stored when the store performs an acceptance of before.
func TestCancellationBeatsALateAcceptance(t *testing.T) {
	_, tables := startStore(t)
	late := acceptLate(t, tables, job(1))
	a := jobstore.NewAccepter(tables, discard())
	for range 2 { // the second one finds the mark of the first
		assert.NilError(t, a.MarkCancelled(t.Context(), job(1).ID))
	}
	assert.Equal(t, late.perform(), 0)
	exists, err := jobstore.Exists(t.Context(), tables, job(1).ID)
	assert.NilError(t, err)
	assert.Assert(t, !exists)
	_, err = a.Accept(job(1))
	assert.ErrorIs(t, err, jobstore.ErrCancelled)
}

// Guards against a rejected job that is stored when the store performs an acceptance of before, and against one that can't
// be submitted again.
func TestRejectionBeatsALateAcceptance(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	const jobs = 120 // acceptances that replace marks need more rows than one transaction may have
	inParallel(jobs, func(i int) { assert.Check(t, a.MarkRejected(t.Context(), job(i).ID)) })
	early := acceptLate(t, tables, job(0)) // is answered before the second rejection
	inParallel(jobs, func(i int) { assert.Check(t, a.MarkRejected(t.Context(), job(i).ID)) })
	assert.Equal(t, early.perform(), 0)

	inParallel(jobs, func(i int) {
		fresh, err := a.Accept(job(i))
		assert.Check(t, err)
		assert.Check(t, fresh)
	})
	for i := range jobs {
		assert.Equal(t, rowsNaming(t, tables, job(i).ID, "jobs-open"), 1)
		assert.Equal(t, rowsNaming(t, tables, job(i).ID, "jobs-used", "jobs-marks"), 0)
	}
	assert.ErrorIs(t, a.MarkRejected(t.Context(), job(0).ID), jobstore.ErrStored)
}

// Guards against a rejection that lets a cancelled job be submitted again.
func TestRejectionKeepsTheMarkOfACancellation(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	assert.NilError(t, a.MarkRejected(t.Context(), job(1).ID))
	assert.NilError(t, a.MarkCancelled(t.Context(), job(1).ID))
	assert.NilError(t, a.MarkRejected(t.Context(), job(1).ID))
	_, err := a.Accept(job(1))
	assert.ErrorIs(t, err, jobstore.ErrCancelled)
}

// Guards against a cancellation that is lost to a rejection in the same transaction.
func TestCancellationBeatsARejectionInTheSameTransaction(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	inParallel(20, func(i int) {
		mark := a.MarkRejected
		if i == 0 {
			mark = a.MarkCancelled
		}
		assert.Check(t, mark(t.Context(), job(1).ID))
	})
	_, err := a.Accept(job(1))
	assert.ErrorIs(t, err, jobstore.ErrCancelled)
}

// inParallel calls f with all numbers below n and waits for the calls.
func inParallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// Guards against a stored job whose cancellation is taken for that of a job that was never stored.
func TestStoredJobIsNotMarked(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	_, err := a.Accept(job(1))
	assert.NilError(t, err)
	assert.ErrorIs(t, a.MarkCancelled(t.Context(), job(1).ID), jobstore.ErrStored)

	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the job", func() bool { return s.epoch == 1 })
	o.Save(jobstore.Save{Job: job(1).ID, Seq: 1, Epoch: 1, Record: fleet.Record{State: fleet.JobComplete}})
	s.eventually(t, "the job has ended", func() bool {
		_, ended, err := jobstore.FinalState(t.Context(), tables, job(1).ID)
		return err == nil && ended
	})
	assert.ErrorIs(t, a.MarkCancelled(t.Context(), job(1).ID), jobstore.ErrStored)
	s.eventually(t, "the job's rows are cleaned up", func() bool { return rowsNaming(t, tables, job(1).ID, "jobs-open") == 0 })
	assert.ErrorIs(t, a.MarkCancelled(t.Context(), job(1).ID), jobstore.ErrStored)
}

// Guards against marks that fill the store, and against one that is removed as soon as it is written.
func TestMarksExpire(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	// Several transactions for each part.
	inParallel(300, func(i int) { assert.Check(t, a.MarkCancelled(t.Context(), job(i).ID)) })
	seen, err := jobstore.ExpireMarks(t.Context(), tables, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(seen), 300)
	assert.NilError(t, a.MarkCancelled(t.Context(), job(300).ID))
	seen, err = jobstore.ExpireMarks(t.Context(), tables, seen)
	assert.NilError(t, err)
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, rowsNaming(t, tables, job(300).ID, "jobs-used", "jobs-marks"), 2)
	for i := range 300 {
		assert.Equal(t, rowsNaming(t, tables, job(i).ID, "jobs-used", "jobs-marks"), 0)
	}
	fresh, err := a.Accept(job(0))
	assert.NilError(t, err)
	assert.Assert(t, fresh)
}
