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
	// maxRowTimeSkew bounds how far the times of rows may be out of order, due
	// to the skew of the VMs' clocks and to delayed delivery of a write.
	maxRowTimeSkew = 2 * time.Minute
	// lookupTimeout bounds one pass over the logs.
	lookupTimeout = 10 * time.Second
)

// timeRange is a range of Unix time in ms, both ends included. The zero value is
// empty.
type timeRange struct{ first, last int64 }

func (s *timeRange) add(ms int64) {
	if s.first == 0 || ms < s.first {
		s.first = ms
	}
	s.last = max(s.last, ms)
}

// locatedRecord is a record with its position in its log.
type locatedRecord struct {
	cursor cursor
	record Record
}

// effectiveRecords returns the effective record of each of the keys that has one
// in the log of a data centre. It reads the rows that were written in the span.
func (j *Journal) effectiveRecords(ctx context.Context, dc string, keys map[key.Key]bool, span timeRange) (map[key.Key]locatedRecord, error) {
	found := map[key.Key]locatedRecord{}
	next, err := j.firstRowSince(ctx, dc, span.first-maxRowTimeSkew.Milliseconds())
	if err != nil {
		return nil, err
	}
	for {
		rows, more, err := j.scanLog(ctx, dc, next)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			collectEffective(found, keys, row)
			next = row.seq + 1
		}
		if !more || rows[len(rows)-1].WrittenMS > span.last+maxRowTimeSkew.Milliseconds() {
			return found, nil
		}
	}
}

func collectEffective(found map[key.Key]locatedRecord, keys map[key.Key]bool, row logRow) {
	for i, rec := range row.Records {
		if !keys[rec.Key] {
			continue
		}
		if old, ok := found[rec.Key]; !ok || rec.replaces(old.record) {
			found[rec.Key] = locatedRecord{cursor: cursor{row.seq, i}, record: rec}
		}
	}
}

// firstRowSince returns the number of the first row written at or after a time,
// by binary search. The times of rows are in order up to maxRowTimeSkew.
func (j *Journal) firstRowSince(ctx context.Context, dc string, ms int64) (uint64, error) {
	end, err := j.findLastRow(ctx, dc, 0)
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

// lookupCall is one call of Lookup that waits for a pass over the logs.
type lookupCall struct {
	key    key.Key
	done   bool
	found  bool
	record Record
	err    error
}

// lookupQueue collects concurrent lookups, so that one pass over a log answers
// all that are waiting.
type lookupQueue struct {
	mu      sync.Mutex
	waiting []*lookupCall
	passMu  sync.Mutex // held by the pass in progress
}

// Lookup returns the effective record of a key: a final one from the pending
// records of this process, else the one in the log of the key's data centre,
// else a pending one that is not final. It does not see the pending records of
// other processes, so found == false does not prove that the key has no outcome.
func (j *Journal) Lookup(ctx context.Context, k key.Key) (rec Record, found bool, err error) {
	if rec, ok := j.lookupPending(k); ok && rec.final() {
		return rec, true, nil
	}
	l := &lookupCall{key: k}
	q := &j.lookups
	q.mu.Lock()
	q.waiting = append(q.waiting, l)
	q.mu.Unlock()
	q.passMu.Lock()
	defer q.passMu.Unlock()
	if !l.done {
		j.runLookupPass(ctx)
	}
	if l.err == nil && !l.found {
		l.record, l.found = j.lookupPending(k)
	}
	return l.record, l.found, l.err
}

// runLookupPass answers all waiting lookups. It is not cancelled by the caller's
// ctx, since other lookups wait for it too.
func (j *Journal) runLookupPass(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
	defer cancel()
	q := &j.lookups
	q.mu.Lock()
	batch := q.waiting
	q.waiting = nil
	q.mu.Unlock()
	byDC := map[string][]*lookupCall{}
	for _, l := range batch {
		byDC[l.key.DC] = append(byDC[l.key.DC], l)
	}
	for dc, ls := range byDC {
		j.lookupInLog(ctx, dc, ls)
	}
}

// lookupInLog answers the lookups of keys of one data centre from its log.
func (j *Journal) lookupInLog(ctx context.Context, dc string, ls []*lookupCall) {
	keys := map[key.Key]bool{}
	span := timeRange{}
	for _, l := range ls {
		keys[l.key] = true
		span.add(l.key.MintedAt().UnixMilli())
	}
	span.last = j.cfg.Now().UnixMilli()
	best, err := j.effectiveRecords(ctx, dc, keys, span)
	for _, l := range ls {
		p, ok := best[l.key]
		l.record, l.found, l.err, l.done = p.record, ok, err, true
	}
}

// lookupPending returns the effective record among the pending ones.
func (j *Journal) lookupPending(k key.Key) (Record, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var best Record
	found := false
	if j.pendingCount[k] == 0 {
		return best, false
	}
	for _, rec := range j.pending {
		if rec.Key == k && (!found || rec.replaces(best)) {
			best, found = rec, true
		}
	}
	return best, found
}

// findLastRow returns the number of a log's last row, 0 for an empty log. The
// caller knows that row from exists, or passes 0. The search doubles its step
// and then halves it, so that a long log costs few reads.
func (j *Journal) findLastRow(ctx context.Context, dc string, from uint64) (uint64, error) {
	low, step := from, uint64(1) // row low exists, or low is 0
	for {
		ok, err := j.rowExists(ctx, dc, low+step)
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
		ok, err := j.rowExists(ctx, dc, low+step)
		if err != nil {
			return 0, err
		}
		if ok {
			low += step
		}
	}
	return low, nil
}

// rowExists reports whether a row exists, without reading its value.
func (j *Journal) rowExists(ctx context.Context, dc string, seq uint64) (bool, error) {
	missing := platform.Condition{Key: rowKey(dc, seq)}
	err := j.cfg.Platform.Commit(ctx, platform.Txn{Conditions: []platform.Condition{missing}})
	if errors.Is(err, platform.ErrConflict) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("find last row of the journal of %s: %w", dc, err)
	}
	return false, nil
}
