// Package watch follows a table of the platform's store: it reads it whole,
// then its changes, and reads it whole again where the history is gone. A row
// that vanishes is kept for a while, since an outage of the store can make rows
// vanish whose writers live.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"currantstall/internal/sleep"
)

// ErrHistoryGone is returned by Changes if the changes since a version are no
// longer kept.
var ErrHistoryGone = errors.New("watch: the history is no longer available")

// Row is a row as of its Version, or its removal.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Source is a table that can be followed.
type Source interface {
	// Snapshot returns all rows and the version that they are of.
	Snapshot(ctx context.Context) ([]Row, uint64, error)
	// Changes returns what changed after a version, as soon as there is
	// something or the wait is over, and the version to go on from.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// Options of Follow.
type Options struct {
	Name string
	// Wait is how long a read waits for a change; Pause is the time between two
	// reads.
	Wait, Pause time.Duration
	// KeepRemoved is how long a row that vanished is still shown.
	KeepRemoved time.Duration
	Log         *slog.Logger
}

const (
	// minBackoff is the pause after a failed read; it doubles up to maxRetry,
	// with jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Table is the state of a follower: the rows that it shows.
type Table struct {
	rows    map[string]Row
	removed map[string]time.Duration // when a row that is still shown vanished
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]Row), removed: make(map[string]time.Duration)}
}

// Reset takes in a whole table.
func (t *Table) Reset(now time.Duration, rows []Row) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for k := range t.rows {
		if !present[k] {
			t.markRemoved(now, k)
		}
	}
	t.Apply(now, rows)
}

// Apply takes in changes.
func (t *Table) Apply(now time.Duration, rows []Row) {
	for _, r := range rows {
		if cur, ok := t.rows[r.Key]; ok && r.Version != 0 && r.Version < cur.Version {
			continue
		}
		if r.Removed {
			t.markRemoved(now, r.Key)
			continue
		}
		delete(t.removed, r.Key)
		t.rows[r.Key] = r
	}
}

func (t *Table) markRemoved(now time.Duration, key string) {
	if _, shown := t.rows[key]; !shown {
		return
	}
	if _, since := t.removed[key]; !since {
		t.removed[key] = now
	}
}

// Sweep drops the rows that vanished longer than keep ago, and reports whether
// there were any.
func (t *Table) Sweep(now, keep time.Duration) bool {
	swept := false
	for k, at := range t.removed {
		if now >= at+keep {
			delete(t.removed, k)
			delete(t.rows, k)
			swept = true
		}
	}
	return swept
}

// Rows returns the rows that are shown. The caller must not change the map.
func (t *Table) Rows() map[string]Row { return t.rows }

// Follow follows the source until the context ends. It calls apply after each
// read that succeeded, with the rows shown, whether they changed, and the time
// before the read.
func Follow(ctx context.Context, src Source, o Options, apply func(rows map[string]Row, changed bool, at time.Time)) {
	f := &follower{src: src, o: o, table: NewTable(), startedAt: time.Now()}
	retry := minBackoff
	for ctx.Err() == nil {
		at := time.Now()
		changed, err := f.read(ctx)
		switch {
		case err == nil:
			if retry != minBackoff {
				o.Log.Info("table regained", "table", o.Name, "version", f.version)
			}
			retry = minBackoff
			apply(f.table.Rows(), changed, at)
			sleep.For(ctx, o.Pause)
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistoryGone):
			o.Log.Info("table read anew", "table", o.Name, "version", f.version, "err", err)
			f.loaded = false
		default:
			if retry == minBackoff {
				o.Log.Warn("table lost", "table", o.Name, "version", f.version, "err", err)
			}
			sleep.For(ctx, retry/2+rand.N(retry/2))
			retry = min(2*retry, maxBackoff)
		}
	}
}

type follower struct {
	src       Source
	o         Options
	table     *Table
	startedAt time.Time
	version   uint64
	loaded    bool
}

func (f *follower) read(ctx context.Context) (bool, error) {
	var rows []Row
	var version uint64
	var err error
	first := !f.loaded
	if first {
		rows, version, err = f.src.Snapshot(ctx)
	} else {
		rows, version, err = f.src.Changes(ctx, f.version, f.o.Wait)
	}
	if err != nil {
		return false, err
	}
	now := time.Since(f.startedAt)
	if first {
		f.table.Reset(now, rows)
	} else {
		f.table.Apply(now, rows)
	}
	f.loaded, f.version = true, max(f.version, version)
	return f.table.Sweep(now, f.o.KeepRemoved) || first || len(rows) > 0, nil
}
