package jobstore_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/platform/platformd"
	"currantstall/platform/store"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func startStore(t *testing.T) (*platformd.Server, store.JobTables) {
	t.Helper()
	s, err := platformd.Start("")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	s.Store.SetFaults(platformd.Faults{})
	return s, store.New(s.Addr()).JobTables()
}

func monotonicClock() time.Duration { return time.Since(processStart) }

var processStart = time.Now()

// eventRecorder records the events of an owner.
type eventRecorder struct {
	mu         sync.Mutex
	none       bool
	epoch      int
	restored   map[string]fleet.Record
	accepted   map[string]bool
	saved      map[string]int
	lost       int
	startUntil time.Duration
	keepUntil  time.Duration
}

func newEventRecorder() *eventRecorder {
	return &eventRecorder{restored: map[string]fleet.Record{}, accepted: map[string]bool{}, saved: map[string]int{}}
}

func (s *eventRecorder) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *eventRecorder) JobsExist()     {}
func (s *eventRecorder) NoJobs()        { s.locked(func() { s.none = true }) }
func (s *eventRecorder) OwnershipLost() { s.locked(func() { s.lost++; s.epoch = 0 }) }

func (s *eventRecorder) Acquired(epoch int, _ time.Duration, jobs []jobstore.StoredJob) {
	s.locked(func() {
		s.epoch = epoch
		for _, j := range jobs {
			s.restored[j.Job.ID] = j.Record
		}
	})
}

func (s *eventRecorder) MayKeepRuns(until time.Duration) {
	s.locked(func() { s.keepUntil = max(s.keepUntil, until) })
}

func (s *eventRecorder) Renewed(_, until time.Duration) {
	s.locked(func() { s.startUntil = max(s.startUntil, until) })
}
func (s *eventRecorder) JobAccepted(a jobstore.AcceptedJob) {
	s.locked(func() { s.accepted[a.Job.ID] = true })
}
func (s *eventRecorder) RecordSaved(job string, seq int) {
	s.locked(func() { s.saved[job] = max(s.saved[job], seq) })
}

func (s *eventRecorder) eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 2000 {
		done := false
		s.locked(func() { done = ok() })
		if done {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 20 s: %s", condition)
}

func runOwner(t *testing.T, tables jobstore.Tables, name string) (*jobstore.Owner, *eventRecorder, func()) {
	t.Helper()
	s := newEventRecorder()
	o := jobstore.NewOwner(tables, name, monotonicClock, s, discard())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	stop := func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return o, s, stop
}

func job(i int) fleet.Job {
	return fleet.Job{ID: fmt.Sprintf("%016x", i), Stored: true, Steps: []fleet.Step{{Count: 2}}}
}

func TestDuplicateSubmissionsAreOneJobDespiteLostAnswers(t *testing.T) {
	server, tables := startStore(t)
	server.Store.SetFaults(platformd.Faults{LoseProbability: 0.4, Seed: 3})
	accepters := []*jobstore.Accepter{jobstore.NewAccepter(tables, discard()), jobstore.NewAccepter(tables, discard())}
	var wg sync.WaitGroup
	var mu sync.Mutex
	fresh := map[string]int{}
	for i := range 60 {
		for _, a := range accepters {
			wg.Go(func() {
				wasFresh, err := a.Accept(job(i))
				mu.Lock()
				defer mu.Unlock()
				if wasFresh {
					fresh[job(i).ID]++
				}
				if err != nil {
					t.Errorf("job %d: %v", i, err)
				}
			})
		}
	}
	wg.Wait()
	for id, n := range fresh {
		assert.Equal(t, n, 1, "job %s was accepted as fresh more than once", id)
	}
	server.Store.SetFaults(platformd.Faults{})
	_, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "all jobs are restored", func() bool { return len(s.restored) == 60 })
}

func TestJobIsNotStoredWhileStoreIsDown(t *testing.T) {
	server, tables := startStore(t)
	server.Store.SetFaults(platformd.Faults{Down: true})
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(1))
	assert.Assert(t, err != nil)
	server.Store.SetFaults(platformd.Faults{})
	_, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "NoJobs is reported", func() bool { return s.none })
}

func TestNextOwnerRestoresSavedRecords(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	for i := range 3 {
		_, err := a.Accept(job(i))
		assert.NilError(t, err)
	}
	first, s1, stop := runOwner(t, tables, "e1")
	s1.eventually(t, "the first owner has acquired the jobs", func() bool { return s1.epoch == 1 && len(s1.restored) == 3 })
	var done fleet.Record
	done.SetDone(1)
	first.Save(jobstore.Save{Job: job(0).ID, Seq: 4, Record: done})
	first.Save(jobstore.Save{Job: job(1).ID, Seq: 2, Record: fleet.Record{State: fleet.JobComplete}})
	s1.eventually(t, "the records are saved", func() bool { return s1.saved[job(0).ID] == 4 && s1.saved[job(1).ID] == 2 })
	_, err := a.Accept(job(3))
	assert.NilError(t, err)
	s1.eventually(t, "a job accepted later is reported", func() bool { return s1.accepted[job(3).ID] })
	stop()

	_, s2, _ := runOwner(t, tables, "e2")
	s2.eventually(t, "the second owner has acquired the jobs", func() bool { return s2.epoch == 2 })
	assert.Assert(t, func() bool { r := s2.restored[job(0).ID]; return r.IsDone(1) && !r.IsDone(0) }())
	_, open := s2.restored[job(3).ID]
	assert.Assert(t, open)
	state, known, err := jobstore.FinalState(context.Background(), tables, job(1).ID)
	assert.NilError(t, err)
	assert.Assert(t, known && state == fleet.JobComplete)
	wasFresh, err := a.Accept(job(1))
	assert.NilError(t, err)
	assert.Assert(t, !wasFresh, "an ended job was accepted as fresh")
}

func TestLargeRecordsAreSplitAcrossTransactions(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	const jobs = 30
	for i := range jobs {
		_, err := a.Accept(job(i))
		assert.NilError(t, err)
	}
	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	large := fleet.Record{Done: make([]byte, 50_000)}
	for i := range jobs {
		o.Save(jobstore.Save{Job: job(i).ID, Seq: 1, Record: large})
	}
	s.eventually(t, "all records are saved", func() bool { return len(s.saved) == jobs })
}

// partitionedTables are tables whose transactions fail at their deadline once cut
// is set, as after a network partition.
type partitionedTables struct {
	jobstore.Tables
	mu  sync.Mutex
	cut bool
}

func (c *partitionedTables) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return c.Tables.Apply(ctx, tx)
}

func TestNextOwnerWaitsForFormerStartLease(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(1))
	assert.NilError(t, err)
	partitioned := &partitionedTables{Tables: tables}
	_, s1, _ := runOwner(t, partitioned, "e1")
	s1.eventually(t, "the first owner has acquired the jobs", func() bool { return s1.epoch == 1 })
	partitioned.mu.Lock()
	partitioned.cut = true
	partitioned.mu.Unlock()

	_, s2, _ := runOwner(t, tables, "e2")

	s2.eventually(t, "the second owner has acquired the jobs", func() bool { return s2.epoch == 2 })
	now := monotonicClock()
	s1.locked(func() {
		assert.Assert(t, now > s1.startUntil, "the first owner may still start tasks for %v", s1.startUntil-now)
	})
}

func TestOwnerIsNotifiedOfLostOwnership(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(1))
	assert.NilError(t, err)
	first, s1, _ := runOwner(t, tables, "e1")
	s1.eventually(t, "the first owner has acquired the jobs", func() bool { return s1.epoch == 1 })
	// Another entry writes the owner's row, as it would after a long process pause
	// of the first owner.
	page, err := tables.Read(context.Background(), "jobs-owner", "owner", "", 1)
	assert.NilError(t, err)
	ownerRow := page.Rows[0]
	ownerRow.Value = []byte{0xa3, 0x01, 0x62, 'e', '2', 0x02, 0x09, 0x03, 0x01} // {1: "e2", 2: 9, 3: 1}
	for err = fmt.Errorf("not tried"); err != nil; {
		page, readErr := tables.Read(context.Background(), "jobs-owner", "owner", "", 1)
		assert.NilError(t, readErr)
		ownerRow.Version = page.Rows[0].Version
		_, err = tables.Apply(context.Background(), jobstore.Tx{Conditions: []jobstore.Row{ownerRow}, Puts: []jobstore.Row{ownerRow}})
	}
	first.Save(jobstore.Save{Job: job(1).ID, Seq: 1, Record: fleet.Record{State: fleet.JobComplete}})
	s1.eventually(t, "the first owner is notified of the loss", func() bool { return s1.lost == 1 })
	s1.locked(func() { assert.Equal(t, s1.saved[job(1).ID], 0, "a record was saved without the ownership") })
}

// absentRowsTables are tables whose conflicts also list the rows that do not exist, with version 0.
type absentRowsTables struct{ jobstore.Tables }

func (a absentRowsTables) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	version, err := a.Tables.Apply(ctx, tx)
	var conflict *jobstore.ConflictError
	if errors.As(err, &conflict) {
		for _, c := range tx.Conditions {
			if !slices.ContainsFunc(conflict.Current, func(r jobstore.Row) bool { return r.Table == c.Table && r.Key == c.Key }) {
				conflict.Current = append(conflict.Current, jobstore.Row{Table: c.Table, Part: c.Part, Key: c.Key})
			}
		}
	}
	return version, err
}

// Guards against a stored job whose second submission is told that it was not accepted, because its
// row in one table was taken for that in another.
func TestDuplicateIsFoundAmongRowsThatDoNotExist(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(absentRowsTables{tables}, discard())
	_, err := a.Accept(job(1))
	assert.NilError(t, err)
	fresh, err := a.Accept(job(1))
	assert.NilError(t, err)
	assert.Assert(t, !fresh)
}

// silentFeed are tables whose changes never arrive.
type silentFeed struct{ jobstore.Tables }

func (silentFeed) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]jobstore.Row, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against an owner that lets its ownership lapse while the entry runs jobs that the
// store has not reported yet.
func TestOwnerRenewsForJobsThatTheStoreHasNotReported(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	_, err := a.Accept(job(0))
	assert.NilError(t, err)
	o, s, _ := runOwner(t, silentFeed{tables}, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	o.Save(jobstore.Save{Job: job(0).ID, Seq: 1, Record: fleet.Record{State: fleet.JobComplete}})
	s.eventually(t, "the only job has ended", func() bool { return s.saved[job(0).ID] == 1 })
	_, err = a.Accept(job(1))
	assert.NilError(t, err)

	o.AddJob(job(1).ID)

	from := monotonicClock()
	s.eventually(t, "starts are permitted after the run lease", func() bool { return s.startUntil > from+jobstore.RunLease })
}

func TestOwnerRestoresJobsThatTheEntryHasDropped(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	s.locked(func() { clear(s.restored) })

	o.JobsDropped(1)

	s.eventually(t, "the jobs are restored in the next epoch", func() bool { return s.epoch == 2 && len(s.restored) == 1 })
	o.JobsDropped(1) // of an epoch that is over
	o.Save(jobstore.Save{Job: job(0).ID, Seq: 1})
	s.eventually(t, "the record is saved", func() bool { return s.saved[job(0).ID] == 1 })
	s.locked(func() { assert.Equal(t, s.epoch, 2) })
}

// An entry holds the ends of runs of a later owner until it owns the stored jobs again, also if there are none.
func TestOwnerWithoutJobsClaimsTheOwnershipThatTheEntryHasDropped(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	o, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the owner has acquired the jobs", func() bool { return s.epoch == 1 })
	o.Save(jobstore.Save{Job: job(0).ID, Seq: 1, Record: fleet.Record{State: fleet.JobComplete}})
	s.eventually(t, "the only job has ended", func() bool { return s.saved[job(0).ID] == 1 })
	s.eventually(t, "its row is removed", func() bool {
		for part := range 8 {
			page, err := tables.Read(context.Background(), "jobs-open", fmt.Sprint(part), "", 1)
			if err != nil || len(page.Rows) > 0 {
				return false
			}
		}
		return true
	})

	o.JobsDropped(1)

	s.eventually(t, "the owner has the next epoch", func() bool { return s.epoch == 2 })
}
