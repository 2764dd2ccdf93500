package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// expiryBucketWidth groups keys by the time of their expiry.
const expiryBucketWidth = 10 * time.Second

// expiryBuckets holds the keys by expiry, so that forgetting needs no scan.
type expiryBuckets struct {
	ids             map[int64][]uuid.UUID
	oldest          int64 // the oldest bucket that may hold keys
	forgottenUpToMS int64 // Unix ms: keys minted before it may be forgotten
}

// keptAnswers counts the kept answers and knows their order of age.
type keptAnswers struct {
	order fifo[uuid.UUID]
	bytes int64
}

// answerDropped stands for an answer whose memory was needed.
var answerDropped = &structs.Outcome{
	Verdict: verdict.MayHaveRun,
	Reason:  verdict.AnswerDropped,
	Message: "the work ran to its end; its answer is no longer kept",
}

// outcomeBytes returns the bytes that an entry's outcome holds for itself.
func outcomeBytes(o *structs.Outcome) int64 {
	if o == nil || o == answerDropped {
		return 0
	}
	return int64(o.Size())
}

// addClaim notes a new entry for expiry.
func (l *Ledger) addClaim(now time.Time, id uuid.UUID, e *claimState) {
	if _, ok := l.claims[id]; !ok {
		l.scheduleExpiry(id, l.keyOf(id).MintedAt().Add(l.cfg.KeyTTL+2*l.cfg.MaxClockSkew), now)
	}
	l.dropClaim(id)
	l.claims[id] = e
	if e.outcome != nil {
		l.setOutcome(id, e, e.outcome)
	}
}

func (l *Ledger) scheduleExpiry(id uuid.UUID, at, now time.Time) {
	if l.expiry.ids == nil {
		l.expiry.ids = make(map[int64][]uuid.UUID)
		l.expiry.oldest = now.UnixMilli() / expiryBucketWidth.Milliseconds()
	}
	n := max(at.UnixMilli()/expiryBucketWidth.Milliseconds()+1, l.expiry.oldest)
	l.expiry.ids[n] = append(l.expiry.ids[n], id)
}

// dropClaim forgets an entry.
func (l *Ledger) dropClaim(id uuid.UUID) {
	e := l.claims[id]
	if e == nil {
		return
	}
	l.answers.bytes -= outcomeBytes(e.outcome)
	delete(l.claims, id)
}

// setOutcome sets an entry's outcome and drops the oldest answers over the bound.
func (l *Ledger) setOutcome(id uuid.UUID, e *claimState, o *structs.Outcome) {
	if e.outcome != o {
		l.answers.bytes -= outcomeBytes(e.outcome)
	}
	e.outcome = o
	size := outcomeBytes(o)
	if size == 0 {
		return
	}
	l.answers.bytes += size
	l.answers.order.push(id)
	for l.answers.bytes > l.cfg.KeptAnswerBytes {
		old, ok := l.answers.order.front()
		if !ok {
			return
		}
		l.answers.order.pop()
		l.dropAnswer(old)
	}
}

func (l *Ledger) dropAnswer(id uuid.UUID) {
	e := l.claims[id]
	if e == nil || e.outcome == nil || e.outcome == answerDropped {
		return
	}
	l.answers.bytes -= outcomeBytes(e.outcome)
	if e.outcome.Verdict == verdict.Completed {
		e.outcome = answerDropped
		return
	}
	o := *e.outcome
	o.Message = ""
	e.outcome = &o
}

// expireKeys forgets the keys that no home grants any more.
func (l *Ledger) expireKeys(now time.Time) {
	last := now.UnixMilli() / expiryBucketWidth.Milliseconds()
	for len(l.expiry.ids) > 0 && l.expiry.oldest <= last {
		ids := l.expiry.ids[l.expiry.oldest]
		delete(l.expiry.ids, l.expiry.oldest)
		l.expiry.oldest++
		l.forgetKeys(now, ids)
	}
	for {
		id, ok := l.answers.order.front()
		if !ok || l.claims[id] != nil {
			return
		}
		l.answers.order.pop()
	}
}

func (l *Ledger) forgetKeys(now time.Time, ids []uuid.UUID) {
	for _, id := range ids {
		e := l.claims[id]
		if e == nil {
			continue
		}
		if e.open() && l.heldHere(e) {
			l.scheduleExpiry(id, now.Add(expiryBucketWidth), now)
			continue
		}
		minted := l.keyOf(id).MintedAt().UnixMilli()
		l.expiry.forgottenUpToMS = max(l.expiry.forgottenUpToMS, minted)
		l.dropClaim(id)
	}
}

// expired reports whether a key's record may be forgotten.
func (l *Ledger) expired(now time.Time, id uuid.UUID) bool {
	minted := l.keyOf(id).MintedAt()
	return now.Sub(minted) > l.cfg.KeyTTL || minted.UnixMilli() <= l.expiry.forgottenUpToMS
}
