package ledger

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const (
	maxHandoverRecords = 256       // records in one Handover
	maxHandoverBytes   = 512 << 10 // bytes of answers in one Handover
)

// transfer is the hand-over of records to one member. One message is on its
// way at a time.
type transfer struct {
	to       structs.Member
	version  uint64
	leaving  bool
	serial   uint64 // of the message on its way
	ids      []ID   // still to be sent, the first ones on their way
	inFlight int    // ids on their way
}

// viewLearned takes a newer view and hands over what moves with it. The view
// comes in force only after everybody's hand-over, so its homes know of every
// claim before they grant any.
func (l *Ledger) viewLearned(now time.Time, e ViewLearned) {
	l.horizonMS = max(l.horizonMS, e.HorizonMS)
	if l.membershipEnded || len(l.views) > 0 && e.View.Version <= l.latestView().view.Version {
		return
	}
	l.views = append(l.views, newHashedView(e.View))
	l.transfers = nil
	if l.leaving {
		l.handOverAll(now)
		return
	}
	if !l.disabled.handover && len(l.views) > 1 {
		l.handOverMovedRecords(now)
	}
	l.reportIfHandedOver()
}

func (l *Ledger) handOverMovedRecords(now time.Time) {
	next := l.latestView()
	l.eachKey(func(id ID, holder *structs.Member, rank Rank) {
		home, other := next.recordMembers(id, holder)
		if !l.recordsMoved(id, holder, home, other) || !l.mayHandOver(id, holder, rank) {
			return
		}
		l.queueTransfer(home, id)
		l.queueTransfer(other, id)
	})
	l.startTransfers(now, false)
}

// recordsMoved reports whether a claim's records stand elsewhere in one of the views
// since the one in force: in any of them something may have been stored.
func (l *Ledger) recordsMoved(id ID, holder, home, other *structs.Member) bool {
	for _, p := range l.views[:len(l.views)-1] {
		h, o := p.recordMembers(id, holder)
		if !sameMember(h, home) || !sameMember(o, other) {
			return true
		}
	}
	return false
}

// mayHandOver reports whether this member hands over a record: the holder and
// the homes do. The second choice's copy may be stale, so it counts only if
// the home is gone.
func (l *Ledger) mayHandOver(id ID, holder *structs.Member, rank Rank) bool {
	if rank != ByBackup || holder.Same(*l.self) {
		return true
	}
	home, _ := l.views[0].homeAndBackup(id)
	return home.Same(*l.self) || !l.latestView().view.Has(*home)
}

// eachKey visits all records and refusal marks in a fixed order. A record may
// be visited twice.
func (l *Ledger) eachKey(visit func(id ID, holder *structs.Member, rank Rank)) {
	for _, bucket := range slices.Sorted(maps.Keys(l.expiry.ids)) {
		for _, id := range l.expiry.ids[bucket] {
			if e := l.claims[id]; e != nil {
				visit(id, e.holder, e.rank)
			}
		}
	}
	for _, id := range sortedIDs(l.marks) {
		if l.claims[id] == nil {
			visit(id, l.marks[id].holder, ByHome)
		}
	}
}

func (l *Ledger) queueTransfer(to *structs.Member, id ID) {
	if to == nil || to.Same(*l.self) {
		return
	}
	i := slices.IndexFunc(l.transfers, func(t *transfer) bool { return t.to.Same(*to) })
	if i < 0 {
		i = len(l.transfers)
		l.transfers = append(l.transfers, &transfer{to: *to, version: l.latestView().view.Version})
	}
	l.transfers[i].ids = append(l.transfers[i].ids, id)
}

func (l *Ledger) startTransfers(now time.Time, leaving bool) {
	for _, t := range l.transfers {
		t.leaving = leaving
		l.sendNextRecords(now, t)
	}
}

// sendNextRecords sends the next records of a transfer.
func (l *Ledger) sendNextRecords(now time.Time, t *transfer) {
	l.lastSerial++
	t.serial = l.lastSerial
	h := Handover{Version: t.version, Serial: t.serial, Leaving: t.leaving}
	size := 0
	t.inFlight = 0
	for _, id := range t.ids {
		if len(h.Records) == maxHandoverRecords || size > maxHandoverBytes {
			break
		}
		t.inFlight++
		if r, ok := l.handoverRecord(now, id); ok {
			h.Records = append(h.Records, r)
			if r.Outcome != nil {
				size += r.Outcome.Size()
			}
		}
	}
	l.send(&t.to, h)
	l.timers.add(now, l.cfg.RetryInterval*2, timer{kind: handoverRetry, serial: t.serial})
}

func (l *Ledger) handoverRecord(now time.Time, id ID) (ClaimRecord, bool) {
	if e := l.claims[id]; e != nil {
		return l.recordOf(id, e), true
	}
	m := l.marks[id]
	if m == nil || !now.Before(m.until) {
		return ClaimRecord{}, false
	}
	o := m.outcome
	r := ClaimRecord{ID: id, Holder: *m.holder, Attempt: m.attempt, Phase: Released, Rank: ByHome, Outcome: &o, RefusedFor: m.until.Sub(now)}
	if m.holder.Same(*l.self) {
		r.Rank = ByHolder
	}
	return r, true
}

func (l *Ledger) retryHandover(now time.Time, t timer) {
	for _, x := range l.transfers {
		if x.serial == t.serial {
			l.sendNextRecords(now, x)
			return
		}
	}
}

func (l *Ledger) onHandoverAck(now time.Time, from *structs.Member, a HandoverAck) {
	i := slices.IndexFunc(l.transfers, func(t *transfer) bool { return t.serial == a.Serial && t.to.Same(*from) })
	if i < 0 {
		return
	}
	t := l.transfers[i]
	t.ids = t.ids[t.inFlight:]
	if len(t.ids) > 0 {
		l.sendNextRecords(now, t)
		return
	}
	l.transfers = slices.Delete(l.transfers, i, i+1)
	l.reportIfHandedOver()
}

func (l *Ledger) reportIfHandedOver() {
	switch {
	case len(l.transfers) > 0 || len(l.views) == 0:
	default:
		l.emit(HandedOver{Version: l.latestView().view.Version})
		if l.leaving {
			l.emit(LeaveReady{Version: l.latestView().view.Version})
		}
	}
}

// handOverAll hands every record to where it stands without this member.
func (l *Ledger) handOverAll(now time.Time) {
	if !l.isMember() {
		return
	}
	rest := l.latestView().view
	rest.Members = slices.DeleteFunc(slices.Clone(rest.Members), l.self.Same)
	next := newHashedView(rest)
	l.transfers = nil
	l.eachKey(func(id ID, holder *structs.Member, _ Rank) {
		home, other := next.recordMembers(id, holder)
		l.queueTransfer(home, id)
		l.queueTransfer(other, id)
	})
	l.startTransfers(now, true)
	l.reportIfHandedOver()
}

func (l *Ledger) onHandover(now time.Time, from *structs.Member, h Handover) {
	// What a leaving member took now it would not hand over.
	if !l.isMember() || l.leaving || h.Version != l.latestView().view.Version {
		return
	}
	for _, r := range h.Records {
		l.mergeRecord(now, r)
		if e := l.claims[r.ID]; e != nil && h.Leaving {
			e.handoverVersion = uint32(h.Version)
		}
	}
	l.send(from, HandoverAck{Version: h.Version, Serial: h.Serial})
}

// mergeRecord takes a record that moved here. While this member grants the key its
// own record stands, but for an outcome; else the one with the higher rank
// does, since a holder knows best what it holds.
func (l *Ledger) mergeRecord(now time.Time, r ClaimRecord) {
	if r.Phase == Done {
		l.storeDone(now, r)
		return
	}
	if l.actsAsHome(r.ID, nil) {
		return
	}
	e := l.claims[r.ID]
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
		l.addClaim(now, r.ID, l.claimFromRecord(r, r.Rank))
	case !e.open() || l.heldHere(e):
	case e.holder.Same(r.Holder):
		e.attempt = max(e.attempt, r.Attempt)
		e.rank = max(e.rank, r.Rank)
	case r.Rank > e.rank:
		l.addClaim(now, r.ID, l.claimFromRecord(r, r.Rank))
	}
}

func (l *Ledger) mergeRelease(now time.Time, e *claimState, r ClaimRecord) {
	if e != nil && r.Rank == ByHolder && e.open() && !l.heldHere(e) && e.holder.Same(r.Holder) && e.attempt == r.Attempt {
		l.releaseLocally(now, r.ID, e, *r.Outcome)
		return
	}
	if e == nil {
		l.setMark(now, r.ID, &refusalMark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, r.RefusedFor)
	}
}

// learnInForce takes another member's word that a known view is in force.
func (l *Ledger) learnInForce(now time.Time, version uint64) {
	if version > l.inForce {
		l.viewInForce(now, version)
	}
}

// viewInForce lets a known view come in force: its homes settle the claims of
// holders that are gone.
func (l *Ledger) viewInForce(now time.Time, version uint64) {
	i := slices.IndexFunc(l.views, func(p *hashedView) bool { return p.view.Version == version })
	if l.membershipEnded || i < 0 || version <= l.inForce {
		return
	}
	l.views = l.views[i:]
	l.inForce = version
	v := l.views[0]
	l.eachKey(func(id ID, _ *structs.Member, _ Rank) {
		e := l.claims[id]
		if e == nil {
			return // a refusal mark
		}
		home, other := v.recordMembers(id, e.holder)
		switch {
		case sameMember(home, l.self):
			e.rank = max(e.rank, ByHome)
			l.settleGoneHolder(now, id, e, &v.view)
		case len(l.views) > 1 || l.heldHere(e) || e.handoverVersion >= uint32(version):
			// It may belong here in a view to come.
		case sameMember(other, l.self):
			e.rank = ByBackup
		default:
			l.dropClaim(id)
		}
	})
}

// settleGoneHolder ends the claim of a holder that is gone. The outcomes of a holder
// that was lost are recorded again, since it may not have got to it.
func (l *Ledger) settleGoneHolder(now time.Time, id ID, e *claimState, v *structs.View) {
	if v.Has(*e.holder) {
		return
	}
	if e.open() {
		o := holderLost
		l.setOutcome(id, e, &o)
		l.emit(Record{Key: l.keyOf(id), Outcome: o, Digest: e.digest, FromPeer: true})
		l.notifyWaiters(now, id, e, &o)
		return
	}
	lost := slices.ContainsFunc(v.Removed, func(r structs.Removal) bool {
		return !r.Left && r.Member.Same(*e.holder) && e.outcome.Reason != verdict.HolderLost
	})
	if lost {
		l.emit(Record{Key: l.keyOf(id), Outcome: *e.outcome, Digest: e.digest, FromPeer: true})
	}
}
