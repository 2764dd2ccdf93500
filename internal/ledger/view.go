package ledger

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const (
	chunkRecords = 256       // records in one Handover
	chunkBytes   = 512 << 10 // bytes of answers in one Handover
)

// transfer is the hand-over of records to one member. One message is on its
// way at a time.
type transfer struct {
	to      structs.Member
	version uint64
	leaving bool
	serial  uint64 // of the message on its way
	ids     []ID   // still to be sent, the first ones on their way
	sent    int    // ids on their way
}

// viewLearned takes a newer view and hands over what moves with it. The view
// comes in force only after everybody's hand-over, so its homes know of every
// claim before they grant any.
func (l *Ledger) viewLearned(now time.Time, e ViewLearned) {
	l.horizon = max(l.horizon, e.HorizonMS)
	if l.out || len(l.chain) > 0 && e.View.Version <= l.latest().view.Version {
		return
	}
	l.chain = append(l.chain, newPlace(e.View))
	l.transfer = nil
	if l.leaving {
		l.handOverAll(now)
		return
	}
	if !l.without.resend && len(l.chain) > 1 {
		l.handOverMoved(now)
	}
	l.checkHandedOver()
}

func (l *Ledger) handOverMoved(now time.Time) {
	next := l.latest()
	l.eachID(func(id ID, holder *structs.Member, rank Rank) {
		home, other := next.records(id, holder)
		if !l.moved(id, holder, home, other) || !l.speaksFor(id, holder, rank) {
			return
		}
		l.queue(home, id)
		l.queue(other, id)
	})
	l.startTransfers(now, false)
}

// moved reports whether a claim's records stand elsewhere in one of the views
// since the one in force: in any of them something may have been stored.
func (l *Ledger) moved(id ID, holder, home, other *structs.Member) bool {
	for _, p := range l.chain[:len(l.chain)-1] {
		h, o := p.records(id, holder)
		if !same(h, home) || !same(o, other) {
			return true
		}
	}
	return false
}

// speaksFor reports whether this member hands over a record: the holder and
// the homes do. The second choice's copy may be stale, so it counts only if
// the home is gone.
func (l *Ledger) speaksFor(id ID, holder *structs.Member, rank Rank) bool {
	if rank != ByBackup || holder.Same(*l.self) {
		return true
	}
	home, _ := l.chain[0].top(id)
	return home.Same(*l.self) || !l.latest().view.Has(*home)
}

// eachID visits all records and refusal marks in a fixed order. A record may
// be visited twice.
func (l *Ledger) eachID(visit func(id ID, holder *structs.Member, rank Rank)) {
	for _, bucket := range slices.Sorted(maps.Keys(l.expiry.ids)) {
		for _, id := range l.expiry.ids[bucket] {
			if e := l.entries[id]; e != nil {
				visit(id, e.holder, e.rank)
			}
		}
	}
	for _, id := range sortedIDs(l.marks) {
		if l.entries[id] == nil {
			visit(id, l.marks[id].holder, ByHome)
		}
	}
}

func (l *Ledger) queue(to *structs.Member, id ID) {
	if to == nil || to.Same(*l.self) {
		return
	}
	i := slices.IndexFunc(l.transfer, func(t *transfer) bool { return t.to.Same(*to) })
	if i < 0 {
		i = len(l.transfer)
		l.transfer = append(l.transfer, &transfer{to: *to, version: l.latest().view.Version})
	}
	l.transfer[i].ids = append(l.transfer[i].ids, id)
}

func (l *Ledger) startTransfers(now time.Time, leaving bool) {
	for _, t := range l.transfer {
		t.leaving = leaving
		l.sendChunk(now, t)
	}
}

// sendChunk sends the next records of a transfer.
func (l *Ledger) sendChunk(now time.Time, t *transfer) {
	l.serial++
	t.serial = l.serial
	h := Handover{Version: t.version, Serial: t.serial, Leaving: t.leaving}
	size := 0
	t.sent = 0
	for _, id := range t.ids {
		if len(h.Records) == chunkRecords || size > chunkBytes {
			break
		}
		t.sent++
		if r, ok := l.recordOf(now, id); ok {
			h.Records = append(h.Records, r)
			if r.Outcome != nil {
				size += r.Outcome.Size()
			}
		}
	}
	l.send(&t.to, h)
	l.timers.add(now, l.cfg.Retry*2, timer{kind: handOverAgain, serial: t.serial})
}

func (l *Ledger) recordOf(now time.Time, id ID) (ClaimRecord, bool) {
	if e := l.entries[id]; e != nil {
		return l.record(id, e), true
	}
	m := l.marks[id]
	if m == nil || !now.Before(m.until) {
		return ClaimRecord{}, false
	}
	o := m.outcome
	r := ClaimRecord{ID: id, Holder: *m.holder, Attempt: m.attempt, Phase: Released, Rank: ByHome, Outcome: &o, Wait: m.until.Sub(now)}
	if m.holder.Same(*l.self) {
		r.Rank = ByHolder
	}
	return r, true
}

func (l *Ledger) handOverAgain(now time.Time, t timer) {
	for _, x := range l.transfer {
		if x.serial == t.serial {
			l.sendChunk(now, x)
			return
		}
	}
}

func (l *Ledger) onHandoverAck(now time.Time, from *structs.Member, a HandoverAck) {
	i := slices.IndexFunc(l.transfer, func(t *transfer) bool { return t.serial == a.Serial && t.to.Same(*from) })
	if i < 0 {
		return
	}
	t := l.transfer[i]
	t.ids = t.ids[t.sent:]
	if len(t.ids) > 0 {
		l.sendChunk(now, t)
		return
	}
	l.transfer = slices.Delete(l.transfer, i, i+1)
	l.checkHandedOver()
}

func (l *Ledger) checkHandedOver() {
	switch {
	case len(l.transfer) > 0 || len(l.chain) == 0:
	default:
		l.act(HandedOver{Version: l.latest().view.Version})
		if l.leaving {
			l.act(LeaveReady{Version: l.latest().view.Version})
		}
	}
}

// handOverAll hands every record to where it stands without this member.
func (l *Ledger) handOverAll(now time.Time) {
	if !l.member() {
		return
	}
	rest := l.latest().view
	rest.Members = slices.DeleteFunc(slices.Clone(rest.Members), l.self.Same)
	next := newPlace(rest)
	l.transfer = nil
	l.eachID(func(id ID, holder *structs.Member, _ Rank) {
		home, other := next.records(id, holder)
		l.queue(home, id)
		l.queue(other, id)
	})
	l.startTransfers(now, true)
	l.checkHandedOver()
}

func (l *Ledger) onHandover(now time.Time, from *structs.Member, h Handover) {
	// What a leaving member took now it would not hand over.
	if !l.member() || l.leaving || h.Version != l.latest().view.Version {
		return
	}
	for _, r := range h.Records {
		l.merge(now, r)
		if e := l.entries[r.ID]; e != nil && h.Leaving {
			e.handed = uint32(h.Version)
		}
	}
	l.send(from, HandoverAck{Version: h.Version, Serial: h.Serial})
}

// merge takes a record that moved here. While this member grants the key its
// own record stands, but for an outcome; else the one with the higher rank
// does, since a holder knows best what it holds.
func (l *Ledger) merge(now time.Time, r ClaimRecord) {
	if r.Phase == Done {
		l.storeDone(now, r)
		return
	}
	if l.grants(r.ID, nil) {
		return
	}
	e := l.entries[r.ID]
	if r.Phase == Released {
		l.mergeRelease(now, e, r)
		return
	}
	m := l.marks[r.ID]
	if m != nil && m.holder.Same(r.Holder) && m.attempt >= r.Attempt && r.Rank != ByHolder {
		return
	}
	switch {
	case e == nil:
		l.add(now, r.ID, l.entryOf(r, r.Rank))
	case !e.open() || l.mine(e):
	case e.holder.Same(r.Holder):
		e.attempt = max(e.attempt, r.Attempt)
		e.rank = max(e.rank, r.Rank)
	case r.Rank > e.rank:
		l.add(now, r.ID, l.entryOf(r, r.Rank))
	}
}

func (l *Ledger) mergeRelease(now time.Time, e *entry, r ClaimRecord) {
	if e != nil && r.Rank == ByHolder && e.open() && !l.mine(e) && e.holder.Same(r.Holder) && e.attempt == r.Attempt {
		l.releaseHere(now, r.ID, e, *r.Outcome)
		return
	}
	if e == nil {
		l.setMark(now, r.ID, &mark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, r.Wait)
	}
}

// adopt takes another member's word that a known view is in force.
func (l *Ledger) adopt(now time.Time, version uint64) {
	if version > l.inForce {
		l.enforce(now, version)
	}
}

// enforce lets a known view come in force: its homes settle the claims of
// holders that are gone.
func (l *Ledger) enforce(now time.Time, version uint64) {
	i := slices.IndexFunc(l.chain, func(p *place) bool { return p.view.Version == version })
	if l.out || i < 0 || version <= l.inForce {
		return
	}
	l.chain = l.chain[i:]
	l.inForce = version
	v := l.chain[0]
	l.eachID(func(id ID, _ *structs.Member, _ Rank) {
		e := l.entries[id]
		if e == nil {
			return // a refusal mark
		}
		home, other := v.records(id, e.holder)
		switch {
		case same(home, l.self):
			e.rank = max(e.rank, ByHome)
			l.settle(now, id, e, &v.view)
		case len(l.chain) > 1 || l.mine(e) || e.handed >= uint32(version):
			// It may belong here in a view to come.
		case same(other, l.self):
			e.rank = ByBackup
		default:
			l.drop(id)
		}
	})
}

// settle ends the claim of a holder that is gone. The outcomes of a holder
// that was lost are recorded again, since it may not have got to it.
func (l *Ledger) settle(now time.Time, id ID, e *entry, v *structs.View) {
	if v.Has(*e.holder) {
		return
	}
	if e.open() {
		o := holderLost
		l.keep(id, e, &o)
		l.act(Record{Key: l.key(id), Outcome: o, Digest: e.digest, Again: true})
		l.tell(now, id, e, &o)
		return
	}
	lost := slices.ContainsFunc(v.Removed, func(r structs.Removal) bool {
		return !r.Left && r.Member.Same(*e.holder) && e.outcome.Reason != verdict.HolderLost
	})
	if lost {
		l.act(Record{Key: l.key(id), Outcome: *e.outcome, Digest: e.digest, Again: true})
	}
}
