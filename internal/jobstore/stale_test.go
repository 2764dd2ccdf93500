package jobstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/platform"
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

// Guards against a job that is shown with the state of a former ownership: the entry lost the ownership and had it
// again before it had handled the loss.
func TestRecordsOfALostOwnershipAreNotSavedInTheNext(t *testing.T) {
	_, tables := startStore(t)
	for i := range 2 {
		_, err := jobstore.NewAccepter(tables, discard()).Accept(job(i))
		assert.NilError(t, err)
	}
	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	replaceOwner(t, tables)
	s.eventually(t, "the owner has the jobs again", func() bool { return s.lost == 1 && s.epoch > 1 })
	var epoch int
	s.locked(func() { epoch = s.epoch })

	o.Save(jobstore.Save{Job: job(0).ID, Seq: 5, Epoch: 1, Record: fleet.Record{State: fleet.JobFailed}})
	o.Save(jobstore.Save{Job: job(1).ID, Seq: 1, Epoch: epoch, Record: fleet.Record{State: fleet.JobComplete}})

	s.eventually(t, "the record of this ownership is saved", func() bool { return s.saved[job(1).ID] == 1 })
	_, known, err := jobstore.FinalState(context.Background(), tables, job(0).ID)
	assert.NilError(t, err)
	assert.Assert(t, !known, "the state of a lost ownership was saved")
}

// Records of an epoch that the same owner has continued in the next one are saved: no other owner has saved any since.
func TestRecordsOfAnUninterruptedOwnershipAreSaved(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	o.JobsDropped(1)
	s.eventually(t, "the owner has restored the jobs", func() bool { return s.epoch == 2 })
	o.Save(jobstore.Save{Job: job(0).ID, Seq: 5, Epoch: 1, Record: fleet.Record{State: fleet.JobComplete}})
	s.eventually(t, "the record is saved", func() bool { return s.saved[job(0).ID] == 5 })
}

// replaceOwner writes another entry into the owner's row, which releases it at once.
func replaceOwner(t *testing.T, tables jobstore.Tables) {
	t.Helper()
	for range 100 {
		page, err := tables.Read(context.Background(), "jobs-owner", "owner", "", 1)
		assert.NilError(t, err)
		row := page.Rows[0]
		row.Value = []byte{0xa2, 0x02, 0x09, 0x03, 0x01} // {2: 9, 3: 1}
		if _, err = tables.Apply(context.Background(), jobstore.Tx{Conditions: []jobstore.Row{row}, Puts: []jobstore.Row{row}}); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the owner's row was not written")
}

// rejectOnce are tables that reject one transaction on records, and let another entry have the ownership meanwhile.
type rejectOnce struct {
	jobstore.Tables
	meanwhile func()
	once      sync.Once
}

func (r *rejectOnce) Apply(ctx context.Context, tx jobstore.Tx) (version uint64, err error) {
	if len(tx.Puts) > 0 && tx.Puts[0].Table == "jobs-progress" {
		r.once.Do(func() {
			r.meanwhile()
			err = platform.ErrRejected
		})
	}
	if err != nil {
		return 0, err
	}
	return r.Tables.Apply(ctx, tx)
}

// Guards against an owner that goes on with jobs as they were before another entry had them: it was interrupted by an
// error of the store, and found out nothing of the other owner.
func TestOwnerIsNotifiedOfAnOwnershipThatItLostWhileInterrupted(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	o, s, _ := runOwner(t, &rejectOnce{Tables: tables, meanwhile: func() { replaceOwner(t, tables) }}, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	o.Save(jobstore.Save{Job: job(0).ID, Seq: 1, Epoch: 1, Record: fleet.Record{State: fleet.JobFailed}})
	s.eventually(t, "the owner has the jobs again", func() bool { return s.epoch > 1 })
	s.locked(func() { assert.Equal(t, s.lost, 1) })
}

// movedAfter are tables in which the rows of an ended job move once so many reads were answered.
type movedAfter struct {
	jobstore.Tables
	reads int
	move  func()
}

func (m *movedAfter) Read(ctx context.Context, table, part, from string, limit int) (jobstore.Page, error) {
	page, err := m.Tables.Read(ctx, table, part, from, limit)
	if m.reads--; m.reads == 0 {
		m.move()
	}
	return page, err
}

// Guards against an accepted job that is not known: it ends, and its rows move, between the reads by which an entry
// looks for it.
func TestJobIsKnownWhileItsRowsMove(t *testing.T) {
	for reads := 1; reads <= 3; reads++ {
		_, tables := startStore(t)
		_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
		assert.NilError(t, err)
		o, s, _ := runOwner(t, tables, "e1")
		s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
		moved := &movedAfter{Tables: tables, reads: reads, move: func() {
			o.Save(jobstore.Save{Job: job(0).ID, Seq: 1, Epoch: 1, Record: fleet.Record{State: fleet.JobComplete}})
			s.eventually(t, "the rows have moved", func() bool {
				for part := range 8 {
					page, err := tables.Read(context.Background(), "jobs-open", fmt.Sprint(part), "", 0)
					if err != nil || len(page.Rows) > 0 {
						return false
					}
				}
				return true
			})
		}}
		_, known, err := jobstore.FinalState(context.Background(), moved, job(0).ID)
		assert.NilError(t, err)
		if !known {
			known, err = jobstore.Exists(context.Background(), moved, job(0).ID)
			assert.NilError(t, err)
		}
		assert.Assert(t, known, "after %d reads", reads)
	}
}
