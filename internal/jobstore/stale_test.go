package jobstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/wire"
)

// cleanedBetweenReads are tables in which the rows of a job are cleaned up, as by a late transaction of a former
// owner, between the reads of the open jobs and of their records.
type cleanedBetweenReads struct {
	jobstore.Tables
	clean func()
	mu    sync.Mutex
	first string // the table that was read first
	once  sync.Once
}

func (c *cleanedBetweenReads) Read(ctx context.Context, table, part, from string, limit int) (jobstore.Page, error) {
	if limit == 0 && (table == "jobs-open" || table == "jobs-progress") {
		c.mu.Lock()
		if c.first == "" {
			c.first = table
		}
		second := c.first != table
		c.mu.Unlock()
		if second {
			c.once.Do(c.clean)
		}
	}
	return c.Tables.Read(ctx, table, part, from, limit)
}

// Guards against an ended job that its next owner runs again: the former owner's clean-up came between two
// reads, and the job seemed to be open and without a record.
func TestCleanUpBetweenTheReadsOfARestoreDoesNotReopenAJob(t *testing.T) {
	_, tables := startStore(t)
	ctx := context.Background()
	a := jobstore.NewAccepter(tables, discard())
	for i := range 2 {
		_, err := a.Accept(job(i))
		assert.NilError(t, err)
	}
	first, s1, stop := runOwner(t, tables, "e1")
	s1.eventually(t, "the first owner has acquired the jobs", func() bool { return s1.epoch == 1 })
	var open []jobstore.Row
	for part := range 8 {
		page, err := tables.Read(ctx, "jobs-open", fmt.Sprint(part), "", 0)
		assert.NilError(t, err)
		open = append(open, page.Rows...)
	}
	first.Save(jobstore.Save{Job: job(0).ID, Seq: 1, Record: fleet.Record{State: fleet.JobFailed}})
	s1.eventually(t, "the end is saved", func() bool { return s1.saved[job(0).ID] == 1 })
	stop()
	// The clean-up of the first owner may have been in time: undo it.
	for _, r := range open {
		if r.Key != job(0).ID {
			continue
		}
		progress := jobstore.Row{Table: "jobs-progress", Part: "owner", Key: r.Key, Value: recordValue(t, fleet.JobFailed)}
		for _, tx := range []jobstore.Tx{
			{Puts: []jobstore.Row{r}, Removals: []jobstore.Row{{Table: "jobs-used", Part: r.Part, Key: r.Key}}}, {Puts: []jobstore.Row{progress}},
		} {
			_, err := tables.Apply(ctx, tx)
			assert.NilError(t, err)
		}
		late := &cleanedBetweenReads{Tables: tables, clean: func() {
			for _, tx := range []jobstore.Tx{
				{Removals: []jobstore.Row{r}, Puts: []jobstore.Row{{Table: "jobs-used", Part: r.Part, Key: r.Key, Value: []byte{1}}}}, {Removals: []jobstore.Row{progress}},
			} {
				if _, err := tables.Apply(ctx, tx); err != nil {
					t.Error(err)
				}
			}
		}}
		_, s2, _ := runOwner(t, late, "e2")
		s2.eventually(t, "the second owner has acquired the jobs", func() bool { return s2.epoch == 2 })
		s2.locked(func() {
			rec, restored := s2.restored[r.Key]
			assert.Assert(t, !restored || rec.State == fleet.JobFailed, "restored as a job without progress")
			_, restored = s2.restored[job(1).ID]
			assert.Assert(t, restored)
		})
		return
	}
	t.Fatal("the job has no row")
}

// recordValue returns the value of the row of a record.
func recordValue(t *testing.T, state fleet.JobState) []byte {
	t.Helper()
	value, err := wire.Encode(fleet.Record{State: state})
	assert.NilError(t, err)
	return value
}
