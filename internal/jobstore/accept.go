package jobstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

const (
	// maxBatchRows limits the conditions, puts and removals of one transaction; it is the
	// store's limit.
	maxBatchRows = 100
	// maxBatchBytes limits the rows of one transaction, so that it stays below
	// 1 MB when encoded.
	maxBatchBytes = 600_000
	// acceptTimeout limits how long a write is retried.
	acceptTimeout = 1200 * time.Millisecond
	// minBackoff is the backoff after the first failed call to the store; it
	// doubles up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Accepter accepts jobs by writing them to the store, and marks the IDs of jobs that are not
// stored. Writes of one part that arrive while a transaction is in flight share the next one. It is
// safe for concurrent use.
type Accepter struct {
	acceptances, marks *batcher
}

// NewAccepter returns an Accepter that writes to the given tables.
func NewAccepter(tables Tables, log *slog.Logger) *Accepter {
	return &Accepter{acceptances: newBatcher(tables, 0, log), marks: newBatcher(tables, markInterval, log)}
}

// Accept stores a job. It returns no error once the job is stored,
// ErrOutcomeUnknown if it may be stored, ErrTooLarge if no row can hold it, ErrCancelled if the job was
// cancelled before it was stored, and another error if it is not stored and will not be. A job that an earlier
// submission with the same ID has stored is not fresh: it may have ended long ago.
func (a *Accepter) Accept(j fleet.Job) (fresh bool, err error) {
	value, err := wire.Encode(openRow{Job: j, AcceptedMS: time.Now().UnixMilli()})
	if err != nil {
		return false, fmt.Errorf("store job %s: %w", j.ID, err)
	}
	if len(value) > platform.MaxRowBytes {
		return false, fmt.Errorf("store job %s of %d bytes: %w", j.ID, len(value), ErrTooLarge)
	}
	r := <-a.acceptances.add(j.ID, value, notMarked)
	return r.fresh, r.err
}

// batcher applies conditional writes of single jobs in transactions, one at a time for each part.
type batcher struct {
	tables   Tables
	interval time.Duration // pause after each transaction of a part
	log      *slog.Logger

	mu       sync.Mutex
	pending  map[string][]*write // by part
	draining map[string]bool     // parts for which drain runs
}

// write is the write of one job that waits for its result: its acceptance, or a mark of its ID.
type write struct {
	id       string
	value    []byte // of the row in tableOpen
	mark     mark   // notMarked for an acceptance
	replaces uint64 // the version of a rejected mark that the write replaces, 0 if there is none
	deadline time.Time
	result   chan result
}

// result is the result of a write. That of an acceptance is returned by Accept.
type result struct {
	fresh bool
	err   error
}

func newBatcher(tables Tables, interval time.Duration, log *slog.Logger) *batcher {
	return &batcher{tables: tables, interval: interval, log: log, pending: make(map[string][]*write), draining: make(map[string]bool)}
}

// add adds a write and returns the channel that receives its result.
func (b *batcher) add(id string, value []byte, m mark) <-chan result {
	w := &write{id: id, value: value, mark: m, deadline: time.Now().Add(acceptTimeout), result: make(chan result, 1)}
	part := partOf(id)
	b.mu.Lock()
	b.pending[part] = append(b.pending[part], w)
	idle := !b.draining[part]
	b.draining[part] = true
	b.mu.Unlock()
	if idle {
		go b.drain(part)
	}
	return w.result
}

// drain applies the pending writes of a part, batch by batch, until there are none.
func (b *batcher) drain(part string) {
	for {
		b.mu.Lock()
		batch := nextBatch(b.pending[part])
		b.pending[part] = b.pending[part][len(batch):]
		b.draining[part] = len(batch) > 0
		b.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		b.apply(part, batch)
		sleep.For(context.Background(), b.interval) //nolint:errcheck // a background context does not end
	}
}

// nextBatch returns the first of the pending writes that fit into one transaction, at
// least one if there is any.
func nextBatch(pending []*write) []*write {
	rows, size := 0, 0
	for i, w := range pending {
		rows += w.rows()
		size += len(w.value)
		if i > 0 && (rows > maxBatchRows || size > maxBatchBytes) {
			return pending[:i]
		}
	}
	return pending
}

// apply retries one batch until each of its writes has a result.
func (b *batcher) apply(part string, batch []*write) {
	mayBeApplied := false // an earlier attempt may have taken effect, or may yet
	backoff := minBackoff
	for len(batch) > 0 {
		first := nextBatch(batch) // writes that replace marks take more rows than expected
		ctx, cancel := context.WithDeadline(context.Background(), batch[0].deadline)
		_, err := b.tables.Apply(ctx, batchTx(part, first))
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			settle(first, nil)
			batch = batch[len(first):]
			continue
		case errors.As(err, &conflict):
			undecided, changed := settleDecided(first, conflict.Current)
			if !changed {
				// The conflicting row was removed in the meantime, since its job has
				// ended.
				sleep.For(context.Background(), minBackoff) //nolint:errcheck // a background context does not end
			}
			batch = append(undecided, batch[len(first):]...)
			continue
		case errors.Is(err, platform.ErrUnknown):
			mayBeApplied = true
		case errors.Is(err, platform.ErrRejected):
			b.log.Error("jobs not accepted or marked: the store rejected the transaction", "part", part, "jobs", len(batch), "may_be_stored", mayBeApplied, "err", err)
			settle(batch, notApplied(err, mayBeApplied))
			return
		}
		if time.Now().After(batch[0].deadline) {
			b.log.Warn("jobs not accepted or marked: the store did not confirm them in time", "part", part, "jobs", len(batch), "may_be_stored", mayBeApplied, "err", err)
			settle(batch, notApplied(err, mayBeApplied))
			return
		}
		sleep.For(context.Background(), backoff) //nolint:errcheck // a background context does not end
		backoff = min(2*backoff, maxBackoff)
	}
}

// notApplied returns the result of writes whose last attempt has failed with err. A rejection tells
// nothing of earlier attempts.
func notApplied(err error, mayBeApplied bool) error {
	if mayBeApplied {
		return ErrOutcomeUnknown
	}
	return err
}

// rows returns the number of conditions, puts and removals of the write.
func (w *write) rows() int {
	switch {
	case w.mark != notMarked:
		return 4
	case w.replaces > 0:
		return 5
	}
	return 3
}

// batchTx returns the transaction of a batch. It conflicts if a job's ID is in use
// already, by an open job, an ended one or a mark that the write does not replace.
func batchTx(part string, batch []*write) Tx {
	var tx Tx
	for _, w := range batch {
		open, used := Row{Table: tableOpen, Part: part, Key: w.id}, Row{Table: tableUsed, Part: part, Key: w.id, Version: w.replaces}
		tx.Conditions = append(tx.Conditions, open, used)
		listed := Row{Table: tableMarks, Part: part, Key: w.id}
		if w.mark != notMarked {
			used.Value = []byte{byte(strongestMark(batch, w.id))}
			listed.Value = used.Value
			tx.Puts = append(tx.Puts, used, listed)
			continue
		}
		open.Value = w.value
		tx.Puts = append(tx.Puts, open)
		if w.replaces > 0 {
			tx.Removals = append(tx.Removals, used, listed)
		}
	}
	return tx
}

// strongestMark returns the mark of a job that has several in a batch: a cancellation is final.
func strongestMark(batch []*write, id string) mark {
	m := notMarked
	for _, w := range batch {
		if w.id == id {
			m = max(m, w.mark)
		}
	}
	return m
}

// settleDecided settles the writes whose result follows from the current rows, and
// returns the others. It reports whether any write was settled or is to replace another mark.
func settleDecided(batch []*write, current []Row) (undecided []*write, changed bool) {
	found := make(map[string]Row, len(current))
	for _, r := range current {
		if r.Version > 0 { // a job has a row in one of two tables
			found[r.Key] = r
		}
	}
	for _, w := range batch {
		row, ok := found[w.id]
		if m := markOf(row); ok && m != rejected {
			w.result <- result{err: w.errOf(m)}
			changed = true
			continue
		}
		changed = changed || w.replaces != row.Version
		w.replaces = row.Version
		undecided = append(undecided, w)
	}
	return undecided, changed
}

// errOf returns the result of a write that conflicts with a stored job, or with the mark of a cancelled one.
func (w *write) errOf(m mark) error {
	switch {
	case w.mark == notMarked && m == cancelled:
		return ErrCancelled
	case w.mark != notMarked && m == notMarked:
		return ErrStored
	}
	return nil
}

// settle sends the same result to all writes of a batch.
func settle(batch []*write, err error) {
	for _, w := range batch {
		w.result <- result{err == nil, err}
	}
}
