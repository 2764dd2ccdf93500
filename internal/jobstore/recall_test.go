package jobstore_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/wire"
)

// ownerRow is the owner's row of this release. The last one has no recall.
type ownerRow struct {
	Holder string `cbor:"1,keyasint"`
	Epoch  int    `cbor:"2,keyasint"`
	Write  uint64 `cbor:"3,keyasint"`
	Recall bool   `cbor:"4,keyasint,omitempty"`
}

func decodeOwner(t *testing.T, value []byte) ownerRow {
	t.Helper()
	var row ownerRow
	assert.NilError(t, wire.Decode(value, &row))
	return row
}

func readOwnerRow(t *testing.T, tables jobstore.Tables) ownerRow {
	t.Helper()
	page, err := tables.Read(context.Background(), "jobs-owner", "owner", "", 1)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Rows), 1)
	return decodeOwner(t, page.Rows[0].Value)
}

func writeOwnerRow(t *testing.T, tables jobstore.Tables, row any) {
	t.Helper()
	value, err := wire.Encode(row)
	assert.NilError(t, err)
	_, err = tables.Apply(context.Background(), jobstore.Tx{Puts: []jobstore.Row{{Table: "jobs-owner", Part: "owner", Key: "owner", Value: value}}})
	assert.NilError(t, err)
}

// ownerWrites are tables that record whether the last write of the owner's row shows the recall.
type ownerWrites struct {
	jobstore.Tables
	mu     sync.Mutex
	recall bool
}

func (w *ownerWrites) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	version, err := w.Tables.Apply(ctx, tx)
	for _, r := range tx.Puts {
		var row ownerRow
		if err == nil && r.Table == "jobs-owner" && wire.Decode(r.Value, &row) == nil {
			w.mu.Lock()
			w.recall = row.Recall
			w.mu.Unlock()
		}
	}
	return version, err
}

// renewals check the renewals of an owner whose recall is in force from a time on.
type renewals struct {
	*eventRecorder
	writes   *ownerWrites
	from     time.Duration // guarded by the mutex of eventRecorder
	recalled int
	without  int // renewals that were sent since then, and do not recall
}

func (r *renewals) Renewed(renewed, until time.Duration) {
	r.eventRecorder.Renewed(renewed, until)
	r.writes.mu.Lock()
	recall := r.writes.recall
	r.writes.mu.Unlock()
	r.locked(func() {
		if r.from == 0 || renewed < r.from {
			return
		}
		if recall {
			r.recalled++
		} else {
			r.without++
		}
	})
}

// Each renewal that was sent from the time of a recall on has it in the row: the pool counts on that. The write for it
// does not wait for the next renewal.
func TestRenewalsSentSinceARecallShowIt(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	w := &ownerWrites{Tables: tables}
	r := &renewals{eventRecorder: newEventRecorder(), writes: w}
	o := jobstore.NewOwner(w, "e1", monotonicClock, r, discard())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { o.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	r.eventually(t, "the owner has acquired the jobs", func() bool { return r.epoch == 1 })
	for seq := range 30 {
		o.Save(jobstore.Save{Job: job(0).ID, Seq: seq + 1, Epoch: 1, Record: fleet.Record{State: fleet.JobRunning}})
		asked := monotonicClock() + time.Duration(seq%3-1)*10*time.Millisecond
		from := o.RecallFrom(asked)
		assert.Assert(t, from >= asked)
		r.locked(func() { r.from, r.recalled = from, 0 })
		r.eventually(t, "a renewal recalls", func() bool { return r.recalled > 0 || r.without > 0 })
		r.locked(func() {
			r.from = 0
			assert.Equal(t, r.without, 0, "a renewal sent after the recall does not show it")
		})
		assert.Equal(t, o.RecallFrom(0), time.Duration(0))
	}
}

// Another leader may keep runs while the owner's row shows no recall, and by no later read.
func TestRunsMayBeKeptUnlessTheOwnersRowRecallsThem(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	o, s1, _ := runOwner(t, tables, "e1")
	s1.eventually(t, "the owner has acquired the jobs", func() bool { return s1.epoch == 1 })
	_, s2, _ := runOwner(t, tables, "e2")
	s2.eventually(t, "runs may be kept", func() bool { return s2.keepUntil > 0 })

	from := o.RecallFrom(monotonicClock())
	s1.eventually(t, "the recall is in the row", func() bool { return s1.startUntil >= from+jobstore.StartLease })
	recalledAt := monotonicClock()
	assert.Assert(t, readOwnerRow(t, tables).Recall)
	reads := monotonicClock() + 700*time.Millisecond
	s1.eventually(t, "the other leader has read the row some times", func() bool { return monotonicClock() > reads })
	s2.locked(func() { assert.Assert(t, s2.keepUntil <= recalledAt+jobstore.KeepLease, "kept by a later read") })

	o.RecallFrom(0)
	s2.eventually(t, "runs may be kept again", func() bool { return s2.keepUntil > recalledAt+jobstore.KeepLease })
}

// The next owner does not go on with the recall of a lost one, and stops short of nobody's runs until it recalls some.
func TestRecallEndsWithItsOwner(t *testing.T) {
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	writeOwnerRow(t, tables, ownerRow{Holder: "lost", Epoch: 6, Write: 9, Recall: true})
	_, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "the next owner has the jobs", func() bool { return s.epoch == 7 })
	s.locked(func() { assert.Equal(t, s.keepUntil, time.Duration(0), "kept against the recall") })
	assert.Assert(t, !readOwnerRow(t, tables).Recall)
}

// In a rolling upgrade, the row of the last release recalls nothing, and that release reads the row of this one.
func TestOwnersRowOfTheLastRelease(t *testing.T) {
	type before struct {
		Holder string `cbor:"1,keyasint"`
		Epoch  int    `cbor:"2,keyasint"`
		Write  uint64 `cbor:"3,keyasint"`
	}
	_, tables := startStore(t)
	_, err := jobstore.NewAccepter(tables, discard()).Accept(job(0))
	assert.NilError(t, err)
	writeOwnerRow(t, tables, before{Holder: "old", Epoch: 3, Write: 1})
	_, s, _ := runOwner(t, tables, "e1")
	s.eventually(t, "runs may be kept", func() bool { return s.keepUntil > 0 })
	s.eventually(t, "the next owner has the jobs", func() bool { return s.epoch == 4 })

	value, err := wire.Encode(ownerRow{Holder: "new", Epoch: 8, Write: 2, Recall: true})
	assert.NilError(t, err)
	var old before
	assert.NilError(t, wire.Decode(value, &old))
	assert.Equal(t, old, before{Holder: "new", Epoch: 8, Write: 2})
}
