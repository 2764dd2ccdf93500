package jobstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"currantstall/internal/platform"
	"currantstall/internal/sleep"
)

// mark is the value of a row in tableUsed whose job is not stored. An acceptance that has no
// outcome yet may still be performed by the store, so that a missing row does not show that the
// job will not be stored. The row of a mark makes such an acceptance conflict. The rows of stored jobs
// have the value usedMarker. Of two marks of a job the higher one holds.
type mark byte

const (
	notMarked mark = 0
	// rejected means that the submissions up to the mark were rejected. A later one replaces it.
	rejected mark = 2
	// cancelled means that the job was cancelled before it was stored. It is never stored.
	cancelled mark = 3
)

const (
	// markInterval is the pause between two transactions that write marks to a part: marks
	// must not use up the writes that the store allows.
	markInterval = 250 * time.Millisecond
	// markRetention is the minimum time for which marks are kept. Acceptances are performed
	// seconds after they were sent, if at all.
	markRetention = endedRetention
	// maxExpiredPerTx limits the marks that one transaction removes; each needs three rows.
	maxExpiredPerTx = 33
)

// ErrStored is returned by MarkCancelled and MarkRejected if the job is stored. It may have ended.
var ErrStored = errors.New("the job is stored")

// ErrCancelled is returned by Accept if the job was cancelled before it was stored.
var ErrCancelled = errors.New("the job was cancelled before it was stored")

// markOf returns the mark of a row, notMarked if it is that of a job.
func markOf(r Row) mark {
	if r.Table == tableUsed && len(r.Value) == 1 {
		if m := mark(r.Value[0]); m == rejected || m == cancelled {
			return m
		}
	}
	return notMarked
}

// MarkCancelled makes sure that a job which is not stored is never stored. It returns ErrStored if the
// job is stored, and another error if nothing is certain.
func (a *Accepter) MarkCancelled(ctx context.Context, id string) error {
	return a.mark(ctx, id, cancelled)
}

// MarkRejected makes sure that a job which is not stored is stored only if it is submitted again. It returns
// ErrStored if the job is stored, and another error if nothing is certain.
func (a *Accepter) MarkRejected(ctx context.Context, id string) error {
	return a.mark(ctx, id, rejected)
}

func (a *Accepter) mark(ctx context.Context, id string, m mark) error {
	select {
	case r := <-a.marks.add(id, nil, m):
		return r.err
	case <-ctx.Done():
		return fmt.Errorf("mark job %s: %w: %w", id, platform.ErrUnknown, ctx.Err())
	}
}

// expireMarks removes marks after markRetention, until the context ends.
func (o *Owner) expireMarks(ctx context.Context) {
	var seen map[string]uint64
	for sleep.For(ctx, markRetention) == nil {
		now, err := ExpireMarks(ctx, o.tables, seen)
		if err != nil {
			o.log.Info("marks of jobs that are not stored not expired", "err", err)
			continue
		}
		seen = now
	}
}

// ExpireMarks removes the marks that seen names, by ID and version, and returns those that remain.
// It needs no ownership.
func ExpireMarks(ctx context.Context, tables Tables, seen map[string]uint64) (map[string]uint64, error) {
	remaining := make(map[string]uint64)
	for p := range openPartCount {
		rows, _, err := readAll(ctx, tables, tableMarks, strconv.Itoa(p), 0)
		if err != nil {
			return nil, err
		}
		var due []Row
		for _, r := range rows {
			if seen[r.Key] == r.Version {
				due = append(due, r)
			} else {
				remaining[r.Key] = r.Version
			}
		}
		for len(due) > 0 {
			n := min(len(due), maxExpiredPerTx)
			if err := removeMarks(ctx, tables, due[:n]); err != nil {
				return nil, err
			}
			due = due[n:]
		}
	}
	return remaining, nil
}

// removeMarks removes marks, unless one of them was replaced in the meantime.
func removeMarks(ctx context.Context, tables Tables, rows []Row) error {
	var tx Tx
	for _, r := range rows {
		tx.Conditions = append(tx.Conditions, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: r.Version})
		tx.Removals = append(tx.Removals, Row{Table: r.Table, Part: r.Part, Key: r.Key}, Row{Table: tableUsed, Part: r.Part, Key: r.Key})
	}
	_, err := tables.Apply(ctx, tx)
	return err
}
