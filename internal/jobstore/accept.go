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
	// maxBatchJobs is the most jobs that are accepted by one transaction: two
	// conditions and a row each, below the store's bound of 100.
	maxBatchJobs = 30
	// maxBatchBytes bounds their rows, below 1 MB with their encoding.
	maxBatchBytes = 600_000
	// acceptTimeout bounds how long an acceptance is tried.
	acceptTimeout = 1200 * time.Millisecond
	// minBackoff and lastRetry are the pauses after a call that failed.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Accepter accepts jobs by storing them. Jobs of one part that arrive while a
// transaction is under way share the next one.
type Accepter struct {
	tables Tables
	log    *slog.Logger

	mu       sync.Mutex
	pending  map[string][]*acceptance // by part
	draining map[string]bool
}

type acceptance struct {
	id       string
	value    []byte
	deadline time.Time
	result   chan result
}

// NewAccepter returns an Accepter.
func NewAccepter(rows Tables, log *slog.Logger) *Accepter {
	return &Accepter{tables: rows, log: log, pending: make(map[string][]*acceptance), draining: make(map[string]bool)}
}

// result is how an acceptance ended.
type result struct {
	fresh bool
	err   error
}

// Accept stores a job. It returns no error once the job is stored, ErrUnknown if it
// may be, and another error if it is not and won't be. A job that an earlier copy has
// stored is not fresh: it may have ended long ago.
func (a *Accepter) Accept(j fleet.Job) (fresh bool, err error) {
	value, err := wire.Encode(openRow{Job: j, AcceptedMS: time.Now().UnixMilli()})
	if err != nil {
		return false, fmt.Errorf("store job %s: %w", j.ID, err)
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

// drain stores what waits for a part, batch by batch, until nothing does.
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

func nextBatch(waiting []*acceptance) []*acceptance {
	size := 0
	for i, acc := range waiting {
		size += len(acc.value)
		if i == maxBatchJobs || i > 0 && size > maxBatchBytes {
			return waiting[:i]
		}
	}
	return waiting
}

// storeBatch tries one batch until each of its jobs is settled.
func (a *Accepter) storeBatch(part string, batch []*acceptance) {
	maybe := false // an earlier try may have taken effect, or may yet
	pause := minBackoff
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
			rest := settleDuplicates(batch, conflict.Current)
			if len(rest) == len(batch) {
				// The row that stood in the way is gone again: its job has ended.
				sleep.For(context.Background(), minBackoff) //nolint:errcheck // never ends early
			}
			batch = rest
			continue
		case errors.Is(err, platform.ErrUnknown):
			maybe = true
		case errors.Is(err, platform.ErrRejected):
			a.log.Error("jobs not stored", "part", part, "jobs", len(batch), "err", err)
			settle(batch, err)
			return
		}
		if time.Now().After(batch[0].deadline) {
			a.log.Warn("jobs not stored in time", "part", part, "jobs", len(batch), "may_be_stored", maybe, "err", err)
			if maybe {
				err = ErrOutcomeUnknown
			}
			settle(batch, err)
			return
		}
		sleep.For(context.Background(), pause) //nolint:errcheck // never ends early
		pause = min(2*pause, maxBackoff)
	}
}

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

// settleDuplicates settles the jobs that are stored already, and returns the others.
func settleDuplicates(batch []*acceptance, current []Row) []*acceptance {
	known := make(map[string]bool, len(current))
	for _, r := range current {
		known[r.Key] = r.Version > 0
	}
	var rest []*acceptance
	for _, acc := range batch {
		if known[acc.id] {
			acc.result <- result{}
		} else {
			rest = append(rest, acc)
		}
	}
	return rest
}

func settle(batch []*acceptance, err error) {
	for _, acc := range batch {
		acc.result <- result{err == nil, err}
	}
}
