package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// expiryBucketWidth is the span of expiry times that share a bucket.
const expiryBucketWidth = 10 * time.Second

// expiryBuckets groups the keys by expiry time, so that expiry needs no scan
// over all keys.
type expiryBuckets struct {
	ids             map[int64][]uuid.UUID
	oldest          int64 // the oldest bucket that may contain keys
	forgottenUpToMS int64 // Unix ms; keys minted up to then may be forgotten
}

// keptAnswers counts the bytes of the kept answers and lists their keys from
// the oldest.
type keptAnswers struct {
	order fifo[uuid.UUID]
	bytes int64
}

// answerDropped replaces a successful outcome whose answers were dropped to
// free memory.
var answerDropped = &structs.Outcome{
	Verdict: verdict.MayHaveRun,
	Reason:  verdict.AnswerDropped,
	Message: "the work completed; its answer is no longer kept",
}

// outcomeBytes returns the bytes that an outcome counts against
// KeptAnswerBytes. answerDropped is shared and counts as 0.
func outcomeBytes(o *structs.Outcome) int64 {
	if o == nil || o == answerDropped {
		return 0
	}
	return int64(o.Size())
}

// addClaim stores a claim, in place of an earlier one on the key, and schedules
// its expiry.
func (l *Ledger) addClaim(now time.Time, id uuid.UUID, claim *claimState) {
	if _, ok := l.claims[id]; !ok {
		l.scheduleExpiry(id, l.keyOf(id).MintedAt().Add(l.cfg.KeyTTL+2*l.cfg.MaxClockSkew), now)
	}
	l.dropClaim(id)
	l.claims[id] = claim
	if claim.outcome != nil {
		l.setOutcome(id, claim, claim.outcome)
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

// dropClaim removes a claim.
func (l *Ledger) dropClaim(id uuid.UUID) {
	claim := l.claims[id]
	if claim == nil {
		return
	}
	l.answers.bytes -= outcomeBytes(claim.outcome)
	delete(l.claims, id)
}

// setOutcome sets a claim's outcome and drops the oldest answers if their total
// exceeds KeptAnswerBytes.
func (l *Ledger) setOutcome(id uuid.UUID, claim *claimState, o *structs.Outcome) {
	if claim.outcome != o {
		l.answers.bytes -= outcomeBytes(claim.outcome)
	}
	claim.outcome = o
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
	claim := l.claims[id]
	if claim == nil || claim.outcome == nil || claim.outcome == answerDropped {
		return
	}
	l.answers.bytes -= outcomeBytes(claim.outcome)
	if claim.outcome.Verdict == verdict.Completed {
		claim.outcome = answerDropped
		return
	}
	o := *claim.outcome
	o.Message = ""
	claim.outcome = &o
}

// expireKeys removes the claims on keys that no home grants any longer, and
// pops removed claims from the front of the queue of kept answers.
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
		claim := l.claims[id]
		if claim == nil {
			continue
		}
		if claim.open() && l.heldHere(claim) {
			l.scheduleExpiry(id, now.Add(expiryBucketWidth), now)
			continue
		}
		minted := l.keyOf(id).MintedAt().UnixMilli()
		l.expiry.forgottenUpToMS = max(l.expiry.forgottenUpToMS, minted)
		l.dropClaim(id)
	}
}

// expired reports whether the records of a key may have been removed.
func (l *Ledger) expired(now time.Time, id uuid.UUID) bool {
	minted := l.keyOf(id).MintedAt()
	return now.Sub(minted) > l.cfg.KeyTTL || minted.UnixMilli() <= l.expiry.forgottenUpToMS
}
