package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// bucketWidth groups keys by the time of their expiry.
const bucketWidth = 10 * time.Second

// buckets holds the keys by expiry, so that forgetting needs no scan.
type buckets struct {
	ids       map[int64][]uuid.UUID
	next      int64 // the oldest bucket that may hold keys
	forgotten int64 // Unix ms: keys minted before it may be forgotten
}

// bodies counts the kept answers and knows their order of age.
type bodies struct {
	order fifo[uuid.UUID]
	bytes int64
}

// answerDropped stands for an answer whose memory was needed.
var answerDropped = &structs.Outcome{
	Verdict: verdict.MayHaveRun,
	Reason:  verdict.AnswerDropped,
	Message: "the work ran to its end; its answer is no longer kept",
}

// keptBytes returns the bytes that an entry's outcome holds for itself.
func keptBytes(o *structs.Outcome) int64 {
	if o == nil || o == answerDropped {
		return 0
	}
	return int64(o.Size())
}

// add notes a new entry for expiry.
func (l *Ledger) add(now time.Time, id uuid.UUID, e *entry) {
	if _, ok := l.entries[id]; !ok {
		l.bucket(id, l.key(id).MintedAt().Add(l.cfg.KeyTTL+2*l.cfg.Skew), now)
	}
	l.drop(id)
	l.entries[id] = e
	if e.outcome != nil {
		l.keep(id, e, e.outcome)
	}
}

func (l *Ledger) bucket(id uuid.UUID, at, now time.Time) {
	if l.expiry.ids == nil {
		l.expiry.ids = make(map[int64][]uuid.UUID)
		l.expiry.next = now.UnixMilli() / bucketWidth.Milliseconds()
	}
	n := max(at.UnixMilli()/bucketWidth.Milliseconds()+1, l.expiry.next)
	l.expiry.ids[n] = append(l.expiry.ids[n], id)
}

// drop forgets an entry.
func (l *Ledger) drop(id uuid.UUID) {
	e := l.entries[id]
	if e == nil {
		return
	}
	l.bodies.bytes -= keptBytes(e.outcome)
	delete(l.entries, id)
}

// keep sets an entry's outcome and drops the oldest answers over the bound.
func (l *Ledger) keep(id uuid.UUID, e *entry, o *structs.Outcome) {
	if e.outcome != o {
		l.bodies.bytes -= keptBytes(e.outcome)
	}
	e.outcome = o
	size := keptBytes(o)
	if size == 0 {
		return
	}
	l.bodies.bytes += size
	l.bodies.order.push(id)
	for l.bodies.bytes > l.cfg.KeptBytes {
		old, ok := l.bodies.order.front()
		if !ok {
			return
		}
		l.bodies.order.pop()
		l.dropAnswer(old)
	}
}

func (l *Ledger) dropAnswer(id uuid.UUID) {
	e := l.entries[id]
	if e == nil || e.outcome == nil || e.outcome == answerDropped {
		return
	}
	l.bodies.bytes -= keptBytes(e.outcome)
	if e.outcome.Verdict == verdict.Completed {
		e.outcome = answerDropped
		return
	}
	o := *e.outcome
	o.Message = ""
	e.outcome = &o
}

// expire forgets the keys that no home grants any more.
func (l *Ledger) expire(now time.Time) {
	last := now.UnixMilli() / bucketWidth.Milliseconds()
	for len(l.expiry.ids) > 0 && l.expiry.next <= last {
		ids := l.expiry.ids[l.expiry.next]
		delete(l.expiry.ids, l.expiry.next)
		l.expiry.next++
		l.forget(now, ids)
	}
	for {
		id, ok := l.bodies.order.front()
		if !ok || l.entries[id] != nil {
			return
		}
		l.bodies.order.pop()
	}
}

func (l *Ledger) forget(now time.Time, ids []uuid.UUID) {
	for _, id := range ids {
		e := l.entries[id]
		if e == nil {
			continue
		}
		if e.open() && l.mine(e) {
			l.bucket(id, now.Add(bucketWidth), now)
			continue
		}
		minted := l.key(id).MintedAt().UnixMilli()
		l.expiry.forgotten = max(l.expiry.forgotten, minted)
		l.drop(id)
	}
}

// expired reports whether a key's record may be forgotten.
func (l *Ledger) expired(now time.Time, id uuid.UUID) bool {
	minted := l.key(id).MintedAt()
	return now.Sub(minted) > l.cfg.KeyTTL || minted.UnixMilli() <= l.expiry.forgotten
}
