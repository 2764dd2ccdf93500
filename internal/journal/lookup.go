package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/platform"
)

const (
	// timeSlack is how far the times of rows may be out of order: the clocks
	// of VMs and the time that a lost copy of a write may be on its way.
	timeSlack = 2 * time.Minute
	// lookupTimeout bounds one pass over a log.
	lookupTimeout = 10 * time.Second
)

// timeSpan is a stretch of Unix time in ms. The zero value is empty.
type timeSpan struct{ first, last int64 }

func (s *timeSpan) add(ms int64) {
	if s.first == 0 || ms < s.first {
		s.first = ms
	}
	s.last = max(s.last, ms)
}

// place is an entry with its place in the log.
type place struct {
	at    cursor
	entry Entry
}

// best returns, of each key that stands in the log, the entry that counts. It
// reads the part of the log that was written in the span.
func (j *Journal) best(ctx context.Context, dc string, keys map[key.Key]bool, span timeSpan) (map[key.Key]place, error) {
	found := map[key.Key]place{}
	next, err := j.firstSince(ctx, dc, span.first-timeSlack.Milliseconds())
	if err != nil {
		return nil, err
	}
	for {
		rows, more, err := j.scanLog(ctx, dc, next)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			collect(found, keys, row)
			next = row.seq + 1
		}
		if !more || rows[len(rows)-1].WrittenMS > span.last+timeSlack.Milliseconds() {
			return found, nil
		}
	}
}

func collect(found map[key.Key]place, keys map[key.Key]bool, row logRow) {
	for i, e := range row.Entries {
		if !keys[e.Key] {
			continue
		}
		if old, ok := found[e.Key]; !ok || e.replaces(old.entry) {
			found[e.Key] = place{at: cursor{row.seq, i}, entry: e}
		}
	}
}

// firstSince returns the number of the first row written at or after a time,
// by halving. The times of rows are in order but for timeSlack.
func (j *Journal) firstSince(ctx context.Context, dc string, ms int64) (uint64, error) {
	end, err := j.findEnd(ctx, dc, 0)
	if err != nil {
		return 0, err
	}
	low, high := uint64(1), end+1
	for low < high {
		mid := low + (high-low)/2
		row, err := j.cfg.Platform.Get(ctx, rowKey(dc, mid))
		if err != nil {
			return 0, fmt.Errorf("search journal of %s: %w", dc, err)
		}
		b, err := decodeBatchRow(row)
		if err != nil {
			return 0, err
		}
		if b.WrittenMS < ms {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, nil
}

// lookup is one call of Lookup that waits for a pass.
type lookup struct {
	key   key.Key
	done  bool
	found bool
	entry Entry
	err   error
}

// lookupQueue gathers lookups, so that one pass over a log answers all that
// wait.
type lookupQueue struct {
	mu      sync.Mutex
	waiting []*lookup
	pass    sync.Mutex // held by the one pass in progress
}

// Lookup returns the entry that counts for a key: from what waits in this
// process, else from the log of the key's data centre. Entries that wait in
// other processes are not seen, so not found proves nothing by itself.
func (j *Journal) Lookup(ctx context.Context, k key.Key) (e Entry, found bool, err error) {
	if e, ok := j.lookupPending(k); ok && e.settled() {
		return e, true, nil
	}
	l := &lookup{key: k}
	q := &j.lookups
	q.mu.Lock()
	q.waiting = append(q.waiting, l)
	q.mu.Unlock()
	q.pass.Lock()
	defer q.pass.Unlock()
	if !l.done {
		j.lookupPass(ctx)
	}
	if l.err == nil && !l.found {
		l.entry, l.found = j.lookupPending(k)
	}
	return l.entry, l.found, l.err
}

// lookupPass answers all lookups that wait. It outlives its caller's ctx,
// since others wait for it too.
func (j *Journal) lookupPass(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	q := &j.lookups
	q.mu.Lock()
	batch := q.waiting
	q.waiting = nil
	q.mu.Unlock()
	byDC := map[string][]*lookup{}
	for _, l := range batch {
		byDC[l.key.DC] = append(byDC[l.key.DC], l)
	}
	for dc, ls := range byDC {
		j.lookupLog(ctx, dc, ls)
	}
}

func (j *Journal) lookupLog(ctx context.Context, dc string, ls []*lookup) {
	keys := map[key.Key]bool{}
	span := timeSpan{}
	for _, l := range ls {
		keys[l.key] = true
		span.add(l.key.MintedAt().UnixMilli())
	}
	span.last = j.cfg.Now().UnixMilli()
	best, err := j.best(ctx, dc, keys, span)
	for _, l := range ls {
		p, ok := best[l.key]
		l.entry, l.found, l.err, l.done = p.entry, ok, err, true
	}
}

// lookupPending returns the entry that counts among those that wait here.
func (j *Journal) lookupPending(k key.Key) (Entry, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var best Entry
	found := false
	if j.waiting[k] == 0 {
		return best, false
	}
	for _, e := range j.pending {
		if e.Key == k && (!found || e.replaces(best)) {
			best, found = e, true
		}
	}
	return best, found
}

// findEnd returns the number of a log's last row, which is at least from; 0
// for an empty log. It doubles its steps and then halves them, so that a long
// log costs few reads.
func (j *Journal) findEnd(ctx context.Context, dc string, from uint64) (uint64, error) {
	low, step := from, uint64(1) // row low exists, or is 0
	for {
		ok, err := j.exists(ctx, dc, low+step)
		if err != nil {
			return 0, err
		}
		if !ok {
			break
		}
		low, step = low+step, step*2
	}
	for step > 1 {
		step /= 2
		ok, err := j.exists(ctx, dc, low+step)
		if err != nil {
			return 0, err
		}
		if ok {
			low += step
		}
	}
	return low, nil
}

// exists checks for a row without reading it.
func (j *Journal) exists(ctx context.Context, dc string, seq uint64) (bool, error) {
	missing := platform.Condition{Key: rowKey(dc, seq)}
	err := j.cfg.Platform.Commit(ctx, platform.Txn{Conditions: []platform.Condition{missing}})
	if errors.Is(err, platform.ErrConflict) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("find the end of the journal of %s: %w", dc, err)
	}
	return false, nil
}
