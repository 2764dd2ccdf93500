// Package watch follows a table of the platform's store: it reads a snapshot and
// then the changes, and reads a new snapshot when the store no longer has the
// history. A removed row is kept for a while, since an outage of the store can
// remove rows whose writers are alive.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"currantstall/internal/sleep"
)

// ErrHistoryGone is returned by Source.Changes if the source no longer has the
// changes since a version.
var ErrHistoryGone = errors.New("watch: the history is no longer available")

// Row is a row as of its Version, or the removal of one.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Source is a table that can be followed.
type Source interface {
	// Snapshot returns all rows and the version of the table that they show.
	Snapshot(ctx context.Context) ([]Row, uint64, error)
	// Changes returns the rows that changed after a version, and the version to
	// continue from. It returns as soon as there is a change, or without one when
	// the wait is over. If the history is gone, it returns ErrHistoryGone.
	Changes(ctx context.Context, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// Options configures Follow.
type Options struct {
	Name string // of the table, in the log
	// Wait is how long a read waits for a change.
	Wait time.Duration
	// Pause returns the time between two reads; nil means none. It is asked again whenever
	// Hurry receives.
	Pause func() time.Duration
	Hurry <-chan struct{}
	// ResnapshotAfter, if not 0, is the time since the last read after which a snapshot is
	// read in place of the changes: for rows that change often, which many changes replace.
	ResnapshotAfter time.Duration
	// KeepRemoved is how long a removed row is still shown.
	KeepRemoved time.Duration
	Log         *slog.Logger
}

const (
	// minBackoff is the backoff after the first failed read; it doubles up to
	// maxBackoff, with jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// Table holds the rows that a follower shows: those of the source, and removed ones
// until Sweep drops them.
type Table struct {
	rows    map[string]Row
	removed map[string]time.Duration // when a row that is still shown was removed
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]Row), removed: make(map[string]time.Duration)}
}

// Reset replaces the content by a snapshot. Rows that it lacks count as removed.
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

// Apply applies changes. It ignores a change with a lower version than the row
// that is shown.
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

// markRemoved records the time of a row's removal, unless one is recorded already.
func (t *Table) markRemoved(now time.Duration, key string) {
	if _, shown := t.rows[key]; !shown {
		return
	}
	if _, marked := t.removed[key]; !marked {
		t.removed[key] = now
	}
}

// Sweep drops the rows that were removed at least keep ago, and reports whether
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

// Follow follows a source until the context ends. It calls apply after each
// successful read, with the rows shown, whether they changed, and the time at
// which the read began.
func Follow(ctx context.Context, src Source, o Options, apply func(rows map[string]Row, changed bool, at time.Time)) {
	f := &follower{src: src, o: o, table: NewTable(), startedAt: time.Now()}
	backoff := minBackoff
	for ctx.Err() == nil {
		at := time.Now()
		changed, err := f.read(ctx)
		switch {
		case err == nil:
			if backoff != minBackoff {
				o.Log.Info("reads of the table succeed again", "table", o.Name, "version", f.version)
			}
			backoff = minBackoff
			apply(f.table.Rows(), changed, at)
			o.pause(ctx)
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistoryGone):
			o.Log.Info("history of the table is gone; reading a new snapshot", "table", o.Name, "version", f.version, "err", err)
			f.loaded = false
		default:
			if backoff == minBackoff {
				o.Log.Warn("read of the table failed; retrying with backoff", "table", o.Name, "version", f.version, "err", err)
			}
			sleep.For(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// Every returns a constant pause.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// pause waits until the next read is due.
func (o *Options) pause(ctx context.Context) {
	if o.Pause == nil {
		return
	}
	since := time.Now()
	for {
		left := o.Pause() - time.Since(since)
		if left <= 0 || ctx.Err() != nil {
			return
		}
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-o.Hurry:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// follower is the state of one Follow.
type follower struct {
	src       Source
	o         Options
	table     *Table
	startedAt time.Time
	version   uint64
	readAt    time.Time // of the last read that succeeded
	loaded    bool      // the next read asks for changes, not for a snapshot
}

// read reads a snapshot or the next changes into the table, and reports whether the
// rows that it shows may have changed.
func (f *follower) read(ctx context.Context) (bool, error) {
	var rows []Row
	var version uint64
	var err error
	began := time.Now()
	snapshot := !f.loaded || f.o.ResnapshotAfter > 0 && began.Sub(f.readAt) > f.o.ResnapshotAfter
	if snapshot {
		rows, version, err = f.src.Snapshot(ctx)
	} else {
		rows, version, err = f.src.Changes(ctx, f.version, f.o.Wait)
	}
	if err != nil {
		return false, err
	}
	now := time.Since(f.startedAt)
	if snapshot {
		f.table.Reset(now, rows)
		f.version = version // may be lower: of a store that was restored
	} else {
		f.table.Apply(now, rows)
		f.version = max(f.version, version)
	}
	f.loaded, f.readAt = true, began
	return f.table.Sweep(now, f.o.KeepRemoved) || snapshot || len(rows) > 0, nil
}
