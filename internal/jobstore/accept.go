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
	// maxBatchJobs limits the jobs accepted by one transaction. Each needs two
	// conditions and a row; the store's limit is 100.
	maxBatchJobs = 30
	// maxBatchBytes limits the rows of one transaction, so that it stays below
	// 1 MB when encoded.
	maxBatchBytes = 600_000
	// acceptTimeout limits how long an acceptance is retried.
	acceptTimeout = 1200 * time.Millisecond
	// minBackoff is the backoff after the first failed call to the store; it
	// doubles up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Accepter accepts jobs by writing them to the store. Jobs of one part that
// arrive while a transaction is in flight share the next one. It is safe for
// concurrent use.
type Accepter struct {
	tables Tables
	log    *slog.Logger

	mu       sync.Mutex
	pending  map[string][]*acceptance // by part
	draining map[string]bool          // parts for which drain runs
}

// acceptance is a call of Accept that waits for its result.
type acceptance struct {
	id       string
	value    []byte
	deadline time.Time
	result   chan result
}

// NewAccepter returns an Accepter that writes to the given tables.
func NewAccepter(tables Tables, log *slog.Logger) *Accepter {
	return &Accepter{tables: tables, log: log, pending: make(map[string][]*acceptance), draining: make(map[string]bool)}
}

// result is the result of an acceptance, as returned by Accept.
type result struct {
	fresh bool
	err   error
}

// Accept stores a job. It returns no error once the job is stored,
// ErrOutcomeUnknown if it may be stored, ErrTooLarge if no row can hold it, and another
// error if it is not stored and will not be. A job that an earlier submission with the same ID has stored is not
// fresh: it may have ended long ago.
func (a *Accepter) Accept(j fleet.Job) (fresh bool, err error) {
	value, err := wire.Encode(openRow{Job: j, AcceptedMS: time.Now().UnixMilli()})
	if err != nil {
		return false, fmt.Errorf("store job %s: %w", j.ID, err)
	}
	if len(value) > platform.MaxRowBytes {
		return false, fmt.Errorf("store job %s of %d bytes: %w", j.ID, len(value), ErrTooLarge)
	}
	acc := &acceptance{id: j.ID, value: value, deadline: time.Now().Add(acceptTimeout), result: make(chan result, 1)}
	part := partOf(j.ID)
	a.mu.Lock()
	a.pending[part] = append(a.pending[part], acc)
	idle := !a.draining[part]
	a.draining[part] = true
	a.mu.Unlock()
	if idle {
		go a.drain(part)
	}
	r := <-acc.result
	return r.fresh, r.err
}

// drain stores the pending jobs of a part, batch by batch, until there are none.
func (a *Accepter) drain(part string) {
	for {
		a.mu.Lock()
		batch := nextBatch(a.pending[part])
		a.pending[part] = a.pending[part][len(batch):]
		a.draining[part] = len(batch) > 0
		a.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		a.storeBatch(part, batch)
	}
}

// nextBatch returns the first of the pending acceptances that fit into one
// transaction, at least one if there is any.
func nextBatch(pending []*acceptance) []*acceptance {
	size := 0
	for i, acc := range pending {
		size += len(acc.value)
		if i == maxBatchJobs || i > 0 && size > maxBatchBytes {
			return pending[:i]
		}
	}
	return pending
}

// storeBatch retries one batch until each of its acceptances has a result.
func (a *Accepter) storeBatch(part string, batch []*acceptance) {
	mayBeStored := false // an earlier attempt may have taken effect, or may yet
	backoff := minBackoff
	for len(batch) > 0 {
		ctx, cancel := context.WithDeadline(context.Background(), batch[0].deadline)
		_, err := a.tables.Apply(ctx, acceptTx(part, batch))
		cancel()
		var conflict *ConflictError
		switch {
		case err == nil:
			settle(batch, nil)
			return
		case errors.As(err, &conflict):
			remaining := settleDuplicates(batch, conflict.Current)
			if len(remaining) == len(batch) {
				// The conflicting row was removed in the meantime, since its job has
				// ended.
				sleep.For(context.Background(), minBackoff) //nolint:errcheck // a background context does not end
			}
			batch = remaining
			continue
		case errors.Is(err, platform.ErrUnknown):
			mayBeStored = true
		case errors.Is(err, platform.ErrRejected):
			a.log.Error("jobs not accepted: the store rejected the transaction", "part", part, "jobs", len(batch), "may_be_stored", mayBeStored, "err", err)
			settle(batch, notAccepted(err, mayBeStored))
			return
		}
		if time.Now().After(batch[0].deadline) {
			a.log.Warn("jobs not accepted: the store did not confirm them in time", "part", part, "jobs", len(batch), "may_be_stored", mayBeStored, "err", err)
			settle(batch, notAccepted(err, mayBeStored))
			return
		}
		sleep.For(context.Background(), backoff) //nolint:errcheck // a background context does not end
		backoff = min(2*backoff, maxBackoff)
	}
}

// notAccepted returns the result of acceptances whose last attempt has failed with err. A rejection tells
// nothing of earlier attempts.
func notAccepted(err error, mayBeStored bool) error {
	if mayBeStored {
		return ErrOutcomeUnknown
	}
	return err
}

// acceptTx returns the transaction that stores a batch. It conflicts if a job's
// ID is in use already, by an open job or an ended one.
func acceptTx(part string, batch []*acceptance) Tx {
	var tx Tx
	for _, acc := range batch {
		open := Row{Table: tableOpen, Part: part, Key: acc.id}
		tx.Conditions = append(tx.Conditions, open, Row{Table: tableUsed, Part: part, Key: acc.id})
		open.Value = acc.value
		tx.Puts = append(tx.Puts, open)
	}
	return tx
}

// settleDuplicates settles the acceptances whose jobs are stored already, and
// returns the others.
func settleDuplicates(batch []*acceptance, current []Row) []*acceptance {
	stored := make(map[string]bool, len(current))
	for _, r := range current {
		stored[r.Key] = stored[r.Key] || r.Version > 0 // a job has a row in one of two tables
	}
	var remaining []*acceptance
	for _, acc := range batch {
		if stored[acc.id] {
			acc.result <- result{}
		} else {
			remaining = append(remaining, acc)
		}
	}
	return remaining
}

// settle sends the same result to all acceptances of a batch.
func settle(batch []*acceptance, err error) {
	for _, acc := range batch {
		acc.result <- result{err == nil, err}
	}
}
