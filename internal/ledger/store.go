package ledger

import (
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// finish ends a claim held here.
func (l *Ledger) finish(now time.Time, f Finish) {
	id := f.Key.ID
	claim := l.claims[id]
	if claim == nil || !claim.open() || !l.heldHere(claim) || l.membershipEnded {
		l.finishOrphan(now, f)
		return
	}
	o := f.Outcome
	followers := l.followers[id]
	delete(l.followers, id)
	if o.Verdict == verdict.NotRun {
		l.release(now, id, claim, o)
	} else {
		l.setOutcome(id, claim, &o)
		l.emit(Record{Key: f.Key, Outcome: o, Digest: claim.digest})
		l.notifyWaiters(now, id, claim, &o)
		l.sendOutcome(now, id, claim)
	}
	for _, callID := range followers {
		l.replyOutcome(now, callID, &o)
	}
}

// finishOrphan sends the outcome of a claim whose holder's membership has ended
// to the members that keep its records in the last known view. They may count
// the holder as lost.
func (l *Ledger) finishOrphan(now time.Time, f Finish) {
	claim := l.orphans[f.Key.ID]
	delete(l.orphans, f.Key.ID)
	if claim == nil || f.Outcome.Verdict == verdict.NotRun {
		return
	}
	claim.outcome = &f.Outcome
	l.emit(Record{Key: f.Key, Outcome: f.Outcome, Digest: claim.digest})
	home, other := l.latestView().recordMembers(f.Key.ID, claim.holder)
	for _, m := range []*structs.Member{home, other} {
		if m != nil && m.Name != l.self.Name {
			l.sendLazily(m, StoreRecord{l.recordOf(f.Key.ID, claim)})
		}
	}
}

func (l *Ledger) recordOf(id ID, claim *claimState) ClaimRecord {
	r := ClaimRecord{
		ID:      id,
		Holder:  *claim.holder,
		Attempt: claim.attempt,
		Digest:  claim.digest,
		Phase:   Open,
		Rank:    min(claim.rank, ByHome),
		Outcome: claim.outcome,
	}
	if l.heldHere(claim) {
		r.Rank = ByHolder
	}
	if claim.outcome != nil {
		r.Phase = Done
	}
	return r
}

// sendOutcome sends the outcome of a claim held here to the member that keeps
// the other record.
func (l *Ledger) sendOutcome(now time.Time, id ID, claim *claimState) {
	if to := l.partner(id); to != nil {
		l.sendLazily(to, StoreRecord{l.recordOf(id, claim)})
		l.timers.add(now, l.cfg.AttachRetryInterval, timer{kind: outcomeRetry, id: id, serial: claim.attempt})
	}
}

func (l *Ledger) retrySendOutcome(now time.Time, t timer) {
	claim := l.claims[t.id]
	if claim != nil && claim.attempt == t.serial && l.heldHere(claim) && !claim.acked {
		l.sendOutcome(now, t.id, claim)
	}
}

// release gives back a claim held here. A refusal mark keeps its refusal true.
func (l *Ledger) release(now time.Time, id ID, claim *claimState, o structs.Outcome) {
	l.releaseLocally(now, id, claim, o)
	l.sendRelease(now, id, l.marks[id])
}

// releaseLocally replaces a claim by a refusal mark.
func (l *Ledger) releaseLocally(now time.Time, id ID, claim *claimState, o structs.Outcome) {
	if cur := l.claims[id]; cur != nil && cur.holder.Same(*claim.holder) && cur.attempt == claim.attempt {
		l.dropClaim(id)
		claim = cur
	}
	o.RetryAfter = max(o.RetryAfter, l.cfg.RefusalMarkTTL())
	l.setMark(now, id, &refusalMark{holder: claim.holder, attempt: claim.attempt, outcome: o}, l.cfg.RefusalMarkTTL())
	l.notifyWaiters(now, id, claim, &o)
}

func (l *Ledger) setMark(now time.Time, id ID, m *refusalMark, d time.Duration) {
	until := now.Add(d)
	since := now
	if old := l.marks[id]; old != nil && now.Before(old.until) {
		since = old.since
		if old.until.After(until) {
			until = old.until
		}
	}
	m.since = since
	m.until = until
	l.marks[id] = m
	l.timers.add(now, l.cfg.RefusalMarkTTL(), timer{kind: markExpiry, id: id})
}

func (l *Ledger) expireMark(now time.Time, id ID) {
	if m := l.marks[id]; m != nil && !now.Before(m.until) {
		delete(l.marks, id)
	}
}

// sendRelease sends the release to the member that keeps the other record. It
// is repeated only while the mark exists: after that, the home asks the holder
// when another copy of the request arrives.
func (l *Ledger) sendRelease(now time.Time, id ID, m *refusalMark) {
	to := l.partner(id)
	if to == nil {
		return
	}
	o := m.outcome
	l.send(to, StoreRecord{ClaimRecord{
		ID: id, Holder: *m.holder, Attempt: m.attempt, Phase: Released, Rank: ByHolder, Outcome: &o, RefusedFor: m.until.Sub(now),
	}})
	l.timers.add(now, l.cfg.RetryInterval*2, timer{kind: releaseRetry, id: id, serial: m.attempt})
}

func (l *Ledger) retryRelease(now time.Time, t timer) {
	m := l.marks[t.id]
	if m != nil && m.attempt == t.serial && !m.acked && now.Before(m.until) {
		l.sendRelease(now, t.id, m)
	}
}

// onStore stores a holder's record of its claim.
func (l *Ledger) onStore(now time.Time, from *structs.Member, r ClaimRecord) {
	ok := true
	switch r.Phase {
	case Open:
		ok = l.storeBackup(now, from, r)
	case Released:
		l.storeRelease(now, r)
	case Done:
		l.storeDone(now, r)
	}
	switch {
	case ok && r.Phase == Open:
		// The holder waits for this acknowledgement before it starts the work.
		l.send(from, StoreAck{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	case ok:
		l.sendLazily(from, StoreAck{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	}
}

// storeBackup stores the backup record of a claim that the home itself holds.
func (l *Ledger) storeBackup(now time.Time, from *structs.Member, r ClaimRecord) bool {
	if !l.isMember() || l.leaving {
		return false
	}
	home, backup := l.latestView().homeAndBackup(r.ID)
	if !home.Same(*from) || !sameMember(backup, l.self) {
		return false
	}
	claim := l.claims[r.ID]
	if claim != nil && claim.holder.Same(r.Holder) && claim.attempt >= r.Attempt {
		return true
	}
	if claim != nil && (!claim.open() || l.heldHere(claim)) {
		return false
	}
	l.addClaim(now, r.ID, l.claimFromRecord(r, ByBackup))
	return true
}

func (l *Ledger) claimFromRecord(r ClaimRecord, rank Rank) *claimState {
	return &claimState{holder: l.intern(r.Holder), attempt: r.Attempt, digest: r.Digest, outcome: r.Outcome, rank: rank}
}

func (l *Ledger) storeRelease(now time.Time, r ClaimRecord) {
	claim := l.claims[r.ID]
	switch {
	case claim != nil && claim.open() && claim.holder.Same(r.Holder) && claim.attempt == r.Attempt:
		l.releaseLocally(now, r.ID, claim, *r.Outcome)
	case claim == nil && r.RefusedFor > 0:
		l.setMark(now, r.ID, &refusalMark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, l.cfg.RefusalMarkTTL())
	}
}

// storeDone stores an outcome from any member: work that ran must not run
// again, regardless of the other records of the key.
func (l *Ledger) storeDone(now time.Time, r ClaimRecord) {
	claim := l.claims[r.ID]
	if claim == nil {
		l.addClaim(now, r.ID, l.claimFromRecord(r, ByHolder))
		return
	}
	switch {
	case claim.open():
		l.setOutcome(r.ID, claim, r.Outcome)
		l.notifyWaiters(now, r.ID, claim, r.Outcome)
	case claim.outcome.Reason == verdict.HolderLost && r.Outcome.Reason != verdict.HolderLost:
		l.setOutcome(r.ID, claim, r.Outcome)
		l.emit(Record{Key: l.keyOf(r.ID), Outcome: *r.Outcome, Digest: claim.digest, FromPeer: true})
	}
}

func (l *Ledger) onStoreAck(now time.Time, from *structs.Member, s StoreAck) {
	if !sameMember(l.partner(s.ID), from) {
		return
	}
	if p := l.pending[s.ID]; s.Phase == Open && p != nil && p.attempt == s.Attempt && p.stage == replicating {
		if l.actsAsHome(s.ID, l.self) {
			r := ClaimReply{ID: s.ID, Attempt: s.Attempt, ViewVersion: l.inForce, Result: Granted}
			l.onGranted(now, l.self, r, p)
		}
		return
	}
	if m := l.marks[s.ID]; s.Phase == Released && m != nil && m.attempt == s.Attempt {
		m.acked = true
	}
	if claim := l.claims[s.ID]; s.Phase == Done && claim != nil && claim.attempt == s.Attempt && l.heldHere(claim) {
		claim.acked = true
	}
}

// onCheck replies to a home that has this member as the holder of a claim: with
// the outcome, or with a release if the claim is unknown here. It doesn't reply
// while the claim is held or pending.
func (l *Ledger) onCheck(now time.Time, from *structs.Member, c Check) {
	if p := l.pending[c.ID]; p != nil && p.attempt == c.Attempt {
		return
	}
	claim := l.claims[c.ID]
	if claim != nil && l.heldHere(claim) && claim.attempt == c.Attempt {
		if !claim.open() {
			l.send(from, StoreRecord{l.recordOf(c.ID, claim)})
		}
		return
	}
	o := l.refusalOutcome(verdict.RefusedElsewhere)
	l.send(from, StoreRecord{ClaimRecord{
		ID: c.ID, Holder: *l.self, Attempt: c.Attempt, Phase: Released, Rank: ByHolder, Outcome: &o, RefusedFor: l.cfg.RefusalMarkTTL(),
	}})
}
