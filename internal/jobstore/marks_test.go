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

// lateTables hold back each transaction that stores a job, without an answer.
type lateTables struct {
	jobstore.Tables
	mu   sync.Mutex
	held []jobstore.Tx
}

func (l *lateTables) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	if tx.Puts[0].Table != "jobs-open" {
		return l.Tables.Apply(ctx, tx)
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
	var marked sync.WaitGroup
	for i := range 300 { // several transactions for each part
		marked.Go(func() {
			if err := a.MarkCancelled(t.Context(), job(i).ID); err != nil {
				t.Error(err)
			}
		})
	}
	marked.Wait()
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
