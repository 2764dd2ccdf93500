package ledger

import (
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// finish ends an own claim.
func (l *Ledger) finish(now time.Time, f Finish) {
	id := f.Key.ID
	e := l.entries[id]
	if e == nil || !e.open() || !l.mine(e) || l.out {
		l.finishOrphan(now, f)
		return
	}
	o := f.Outcome
	followers := l.follow[id]
	delete(l.follow, id)
	if o.Verdict == verdict.NotRun {
		l.release(now, id, e, o)
	} else {
		l.keep(id, e, &o)
		l.act(Record{Key: f.Key, Outcome: o, Digest: e.digest})
		l.tell(now, id, e, &o)
		l.storeOutcome(now, id, e)
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
	l.act(Record{Key: f.Key, Outcome: f.Outcome, Digest: e.digest})
	home, other := l.latest().records(f.Key.ID, e.holder)
	for _, m := range []*structs.Member{home, other} {
		if m != nil && m.Name != l.self.Name {
			l.sendLazily(m, Store{l.record(f.Key.ID, e)})
		}
	}
}

func (l *Ledger) record(id ID, e *entry) ClaimRecord {
	r := ClaimRecord{
		ID:      id,
		Holder:  *e.holder,
		Attempt: e.attempt,
		Digest:  e.digest,
		Phase:   Open,
		Rank:    min(e.rank, ByHome),
		Outcome: e.outcome,
	}
	if l.mine(e) {
		r.Rank = ByHolder
	}
	if e.outcome != nil {
		r.Phase = Done
	}
	return r
}

// storeOutcome sends an own outcome to the member with the other record.
func (l *Ledger) storeOutcome(now time.Time, id ID, e *entry) {
	if to := l.partner(id); to != nil {
		l.sendLazily(to, Store{l.record(id, e)})
		l.timers.add(now, l.cfg.AttachRetry, timer{kind: storeAgain, id: id, serial: e.attempt})
	}
}

func (l *Ledger) storeAgain(now time.Time, t timer) {
	e := l.entries[t.id]
	if e != nil && e.attempt == t.serial && l.mine(e) && !e.synced {
		l.storeOutcome(now, t.id, e)
	}
}

// release gives an own claim back and keeps the refusal true.
func (l *Ledger) release(now time.Time, id ID, e *entry, o structs.Outcome) {
	l.releaseHere(now, id, e, o)
	l.sendRelease(now, id, l.marks[id])
}

// releaseHere puts a refusal mark in the place of a claim.
func (l *Ledger) releaseHere(now time.Time, id ID, e *entry, o structs.Outcome) {
	if cur := l.entries[id]; cur != nil && cur.holder.Same(*e.holder) && cur.attempt == e.attempt {
		l.drop(id)
		e = cur
	}
	o.RetryAfter = max(o.RetryAfter, l.cfg.RefusalMark())
	l.setMark(now, id, &mark{holder: e.holder, attempt: e.attempt, outcome: o}, l.cfg.RefusalMark())
	l.tell(now, id, e, &o)
}

func (l *Ledger) setMark(now time.Time, id ID, m *mark, d time.Duration) {
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
	l.timers.add(now, l.cfg.RefusalMark(), timer{kind: markEnd, id: id})
}

func (l *Ledger) markEnd(now time.Time, id ID) {
	if m := l.marks[id]; m != nil && !now.Before(m.until) {
		delete(l.marks, id)
	}
}

// sendRelease tells the member with the other record. It is repeated only
// while the mark lives: after that, the home asks the holder when another
// copy of the request arrives.
func (l *Ledger) sendRelease(now time.Time, id ID, m *mark) {
	to := l.partner(id)
	if to == nil {
		return
	}
	o := m.outcome
	l.send(to, Store{ClaimRecord{
		ID: id, Holder: *m.holder, Attempt: m.attempt, Phase: Released, Rank: ByHolder, Outcome: &o, Wait: m.until.Sub(now),
	}})
	l.timers.add(now, l.cfg.Retry*2, timer{kind: releaseAgain, id: id, serial: m.attempt})
}

func (l *Ledger) releaseAgain(now time.Time, t timer) {
	m := l.marks[t.id]
	if m != nil && m.attempt == t.serial && !m.synced && now.Before(m.until) {
		l.sendRelease(now, t.id, m)
	}
}

// onStore keeps what a holder says of its claim.
func (l *Ledger) onStore(now time.Time, from *structs.Member, r ClaimRecord) {
	ok := true
	switch r.Phase {
	case Open:
		ok = l.storeCopy(now, from, r)
	case Released:
		l.storeRelease(now, r)
	case Done:
		l.storeDone(now, r)
	}
	switch {
	case ok && r.Phase == Open:
		// The start of the work waits for this receipt.
		l.send(from, Stored{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	case ok:
		l.sendLazily(from, Stored{ID: r.ID, Attempt: r.Attempt, Phase: r.Phase})
	}
}

// storeCopy keeps the second record of a claim that the home itself holds.
func (l *Ledger) storeCopy(now time.Time, from *structs.Member, r ClaimRecord) bool {
	if !l.member() || l.leaving {
		return false
	}
	home, second := l.latest().top(r.ID)
	if !home.Same(*from) || !same(second, l.self) {
		return false
	}
	e := l.entries[r.ID]
	if e != nil && e.holder.Same(r.Holder) && e.attempt >= r.Attempt {
		return true
	}
	if e != nil && (!e.open() || l.mine(e)) {
		return false
	}
	l.add(now, r.ID, l.entryOf(r, ByBackup))
	return true
}

func (l *Ledger) entryOf(r ClaimRecord, rank Rank) *entry {
	return &entry{holder: l.intern(r.Holder), attempt: r.Attempt, digest: r.Digest, outcome: r.Outcome, rank: rank}
}

func (l *Ledger) storeRelease(now time.Time, r ClaimRecord) {
	e := l.entries[r.ID]
	switch {
	case e != nil && e.open() && e.holder.Same(r.Holder) && e.attempt == r.Attempt:
		l.releaseHere(now, r.ID, e, *r.Outcome)
	case e == nil && r.Wait > 0:
		l.setMark(now, r.ID, &mark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, l.cfg.RefusalMark())
	}
}

// storeDone takes an outcome from whoever has it: work that ran never runs
// again, whatever else is known of the key.
func (l *Ledger) storeDone(now time.Time, r ClaimRecord) {
	e := l.entries[r.ID]
	if e == nil {
		l.add(now, r.ID, l.entryOf(r, ByHolder))
		return
	}
	switch {
	case e.open():
		l.keep(r.ID, e, r.Outcome)
		l.tell(now, r.ID, e, r.Outcome)
	case e.outcome.Reason == verdict.HolderLost && r.Outcome.Reason != verdict.HolderLost:
		l.keep(r.ID, e, r.Outcome)
		l.act(Record{Key: l.key(r.ID), Outcome: *r.Outcome, Digest: e.digest, Again: true})
	}
}

func (l *Ledger) onStored(now time.Time, from *structs.Member, s Stored) {
	if !same(l.partner(s.ID), from) {
		return
	}
	if p := l.pending[s.ID]; s.Phase == Open && p != nil && p.attempt == s.Attempt && p.stage == copying {
		if l.grants(s.ID, l.self) {
			r := ClaimReply{ID: s.ID, Attempt: s.Attempt, View: l.inForce, Result: Granted}
			l.granted(now, l.self, r, p)
		}
		return
	}
	if m := l.marks[s.ID]; s.Phase == Released && m != nil && m.attempt == s.Attempt {
		m.synced = true
	}
	if e := l.entries[s.ID]; s.Phase == Done && e != nil && e.attempt == s.Attempt && l.mine(e) {
		e.synced = true
	}
}

// onCheck answers a home that counts this member as a holder: with the
// outcome, or with a release if nothing is known of the claim.
func (l *Ledger) onCheck(now time.Time, from *structs.Member, c Check) {
	if p := l.pending[c.ID]; p != nil && p.attempt == c.Attempt {
		return
	}
	e := l.entries[c.ID]
	if e != nil && l.mine(e) && e.attempt == c.Attempt {
		if !e.open() {
			l.send(from, Store{l.record(c.ID, e)})
		}
		return
	}
	o := l.refusal(verdict.RefusedElsewhere)
	l.send(from, Store{ClaimRecord{
		ID: c.ID, Holder: *l.self, Attempt: c.Attempt, Phase: Released, Rank: ByHolder, Outcome: &o, Wait: l.cfg.RefusalMark(),
	}})
}
