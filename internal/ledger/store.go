package ledger

import (
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// finish ends an own claim.
func (l *Ledger) finish(now time.Time, f Finish) {
	id := f.Key.ID
	e := l.claims[id]
	if e == nil || !e.open() || !l.heldHere(e) || l.membershipEnded {
		l.finishOrphan(now, f)
		return
	}
	o := f.Outcome
	followers := l.followers[id]
	delete(l.followers, id)
	if o.Verdict == verdict.NotRun {
		l.release(now, id, e, o)
	} else {
		l.setOutcome(id, e, &o)
		l.emit(Record{Key: f.Key, Outcome: o, Digest: e.digest})
		l.notifyWaiters(now, id, e, &o)
		l.sendOutcome(now, id, e)
	}
	for _, t := range followers {
		l.replyOutcome(now, t, &o)
	}
}

// finishOrphan sends the outcome of a claim whose run is out to the members
// that it last knew, who may count its holder as lost.
func (l *Ledger) finishOrphan(now time.Time, f Finish) {
	e := l.orphans[f.Key.ID]
	delete(l.orphans, f.Key.ID)
	if e == nil || f.Outcome.Verdict == verdict.NotRun {
		return
	}
	e.outcome = &f.Outcome
	l.emit(Record{Key: f.Key, Outcome: f.Outcome, Digest: e.digest})
	home, other := l.latestView().recordMembers(f.Key.ID, e.holder)
	for _, m := range []*structs.Member{home, other} {
		if m != nil && m.Name != l.self.Name {
			l.sendLazily(m, StoreRecord{l.recordOf(f.Key.ID, e)})
		}
	}
}

func (l *Ledger) recordOf(id ID, e *claimState) ClaimRecord {
	r := ClaimRecord{
		ID:      id,
		Holder:  *e.holder,
		Attempt: e.attempt,
		Digest:  e.digest,
		Phase:   Open,
		Rank:    min(e.rank, ByHome),
		Outcome: e.outcome,
	}
	if l.heldHere(e) {
		r.Rank = ByHolder
	}
	if e.outcome != nil {
		r.Phase = Done
	}
	return r
}

// sendOutcome sends an own outcome to the member with the other record.
func (l *Ledger) sendOutcome(now time.Time, id ID, e *claimState) {
	if to := l.partner(id); to != nil {
		l.sendLazily(to, StoreRecord{l.recordOf(id, e)})
		l.timers.add(now, l.cfg.AttachRetryInterval, timer{kind: outcomeRetry, id: id, serial: e.attempt})
	}
}

func (l *Ledger) retrySendOutcome(now time.Time, t timer) {
	e := l.claims[t.id]
	if e != nil && e.attempt == t.serial && l.heldHere(e) && !e.acked {
		l.sendOutcome(now, t.id, e)
	}
}

// release gives an own claim back and keeps the refusal true.
func (l *Ledger) release(now time.Time, id ID, e *claimState, o structs.Outcome) {
	l.releaseLocally(now, id, e, o)
	l.sendRelease(now, id, l.marks[id])
}

// releaseLocally puts a refusal mark in the place of a claim.
func (l *Ledger) releaseLocally(now time.Time, id ID, e *claimState, o structs.Outcome) {
	if cur := l.claims[id]; cur != nil && cur.holder.Same(*e.holder) && cur.attempt == e.attempt {
		l.dropClaim(id)
		e = cur
	}
	o.RetryAfter = max(o.RetryAfter, l.cfg.RefusalMarkTTL())
	l.setMark(now, id, &refusalMark{holder: e.holder, attempt: e.attempt, outcome: o}, l.cfg.RefusalMarkTTL())
	l.notifyWaiters(now, id, e, &o)
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

// sendRelease tells the member with the other record. It is repeated only
// while the mark lives: after that, the home asks the holder when another
// copy of the request arrives.
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

// onStore keeps what a holder says of its claim.
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
		// The start of the work waits for this receipt.
		l.send(from, StoreAck{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	case ok:
		l.sendLazily(from, StoreAck{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	}
}

// storeBackup keeps the second record of a claim that the home itself holds.
func (l *Ledger) storeBackup(now time.Time, from *structs.Member, r ClaimRecord) bool {
	if !l.isMember() || l.leaving {
		return false
	}
	home, backup := l.latestView().homeAndBackup(r.ID)
	if !home.Same(*from) || !sameMember(backup, l.self) {
		return false
	}
	e := l.claims[r.ID]
	if e != nil && e.holder.Same(r.Holder) && e.attempt >= r.Attempt {
		return true
	}
	if e != nil && (!e.open() || l.heldHere(e)) {
		return false
	}
	l.addClaim(now, r.ID, l.claimFromRecord(r, ByBackup))
	return true
}

func (l *Ledger) claimFromRecord(r ClaimRecord, rank Rank) *claimState {
	return &claimState{holder: l.intern(r.Holder), attempt: r.Attempt, digest: r.Digest, outcome: r.Outcome, rank: rank}
}

func (l *Ledger) storeRelease(now time.Time, r ClaimRecord) {
	e := l.claims[r.ID]
	switch {
	case e != nil && e.open() && e.holder.Same(r.Holder) && e.attempt == r.Attempt:
		l.releaseLocally(now, r.ID, e, *r.Outcome)
	case e == nil && r.RefusedFor > 0:
		l.setMark(now, r.ID, &refusalMark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, l.cfg.RefusalMarkTTL())
	}
}

// storeDone takes an outcome from whoever has it: work that ran never runs
// again, whatever else is known of the key.
func (l *Ledger) storeDone(now time.Time, r ClaimRecord) {
	e := l.claims[r.ID]
	if e == nil {
		l.addClaim(now, r.ID, l.claimFromRecord(r, ByHolder))
		return
	}
	switch {
	case e.open():
		l.setOutcome(r.ID, e, r.Outcome)
		l.notifyWaiters(now, r.ID, e, r.Outcome)
	case e.outcome.Reason == verdict.HolderLost && r.Outcome.Reason != verdict.HolderLost:
		l.setOutcome(r.ID, e, r.Outcome)
		l.emit(Record{Key: l.keyOf(r.ID), Outcome: *r.Outcome, Digest: e.digest, FromPeer: true})
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
	if e := l.claims[s.ID]; s.Phase == Done && e != nil && e.attempt == s.Attempt && l.heldHere(e) {
		e.acked = true
	}
}

// onCheck answers a home that counts this member as a holder: with the
// outcome, or with a release if nothing is known of the claim.
func (l *Ledger) onCheck(now time.Time, from *structs.Member, c Check) {
	if p := l.pending[c.ID]; p != nil && p.attempt == c.Attempt {
		return
	}
	e := l.claims[c.ID]
	if e != nil && l.heldHere(e) && e.attempt == c.Attempt {
		if !e.open() {
			l.send(from, StoreRecord{l.recordOf(c.ID, e)})
		}
		return
	}
	o := l.refusalOutcome(verdict.RefusedElsewhere)
	l.send(from, StoreRecord{ClaimRecord{
		ID: c.ID, Holder: *l.self, Attempt: c.Attempt, Phase: Released, Rank: ByHolder, Outcome: &o, RefusedFor: l.cfg.RefusalMarkTTL(),
	}})
}
