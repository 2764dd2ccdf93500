package ledger

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const (
	maxHandoverRecords = 256       // in one Handover
	maxHandoverBytes   = 512 << 10 // of answers in one Handover
)

// transfer hands over records to one member. One message is in flight at a
// time.
type transfer struct {
	to       structs.Member
	version  uint64
	leaving  bool
	serial   uint64 // of the message in flight
	ids      []ID   // still to be acknowledged; the first inFlight of them are in flight
	inFlight int    // number of ids in the message
}

// viewLearned adds a newer view and hands over the records that move under it.
// The view comes into force only after the handovers of all members, so its
// homes know every claim before they grant any.
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

// recordsMoved reports whether the members that keep a claim's records differ
// between the newest view and any view since the one in force: under each of
// those views, records may have been stored.
func (l *Ledger) recordsMoved(id ID, holder, home, other *structs.Member) bool {
	for _, v := range l.views[:len(l.views)-1] {
		h, o := v.recordMembers(id, holder)
		if !sameMember(h, home) || !sameMember(o, other) {
			return true
		}
	}
	return false
}

// mayHandOver reports whether this member hands over a record: the holder and
// the home do. The backup's copy may be stale, so it is handed over only if the
// home is no longer a member.
func (l *Ledger) mayHandOver(id ID, holder *structs.Member, rank Rank) bool {
	if rank != ByBackup || holder.Same(*l.self) {
		return true
	}
	home, _ := l.views[0].homeAndBackup(id)
	return home.Same(*l.self) || !l.latestView().view.Has(*home)
}

// eachKey visits all records and refusal marks in a deterministic order. A
// record may be visited twice.
func (l *Ledger) eachKey(visit func(id ID, holder *structs.Member, rank Rank)) {
	for _, bucket := range slices.Sorted(maps.Keys(l.expiry.ids)) {
		for _, id := range l.expiry.ids[bucket] {
			if claim := l.claims[id]; claim != nil {
				visit(id, claim.holder, claim.rank)
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

// sendNextRecords sends the next message of a transfer.
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
	if claim := l.claims[id]; claim != nil {
		return l.recordOf(id, claim), true
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

func (l *Ledger) retryHandover(now time.Time, due timer) {
	for _, t := range l.transfers {
		if t.serial == due.serial {
			l.sendNextRecords(now, t)
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

// handOverAll hands over every record to the members that keep it once this
// member has left.
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
	// A leaving member would not hand over the records it accepted now.
	if !l.isMember() || l.leaving || h.Version != l.latestView().view.Version {
		return
	}
	for _, r := range h.Records {
		l.mergeRecord(now, r)
		if claim := l.claims[r.ID]; claim != nil && h.Leaving {
			claim.handoverVersion = uint32(h.Version)
		}
	}
	l.send(from, HandoverAck{Version: h.Version, Serial: h.Serial})
}

// mergeRecord stores a record that was handed over. While this member decides
// for the key as its home, its own record takes precedence, except over an
// outcome. Otherwise the record with the higher rank does: the holder knows
// best whether it holds the claim.
func (l *Ledger) mergeRecord(now time.Time, r ClaimRecord) {
	if r.Phase == Done {
		l.storeDone(now, r)
		return
	}
	if l.actsAsHome(r.ID, nil) {
		return
	}
	claim := l.claims[r.ID]
	if r.Phase == Released {
		l.mergeRelease(now, claim, r)
		return
	}
	m := l.marks[r.ID]
	if m != nil && m.holder.Same(r.Holder) && m.attempt >= r.Attempt && r.Rank != ByHolder {
		return
	}
	switch {
	case claim == nil:
		l.addClaim(now, r.ID, l.claimFromRecord(r, r.Rank))
	case !claim.open() || l.heldHere(claim):
	case claim.holder.Same(r.Holder):
		claim.attempt = max(claim.attempt, r.Attempt)
		claim.rank = max(claim.rank, r.Rank)
	case r.Rank > claim.rank:
		l.addClaim(now, r.ID, l.claimFromRecord(r, r.Rank))
	}
}

func (l *Ledger) mergeRelease(now time.Time, claim *claimState, r ClaimRecord) {
	if claim != nil && r.Rank == ByHolder && claim.open() && !l.heldHere(claim) && claim.holder.Same(r.Holder) && claim.attempt == r.Attempt {
		l.releaseLocally(now, r.ID, claim, *r.Outcome)
		return
	}
	if claim == nil {
		l.setMark(now, r.ID, &refusalMark{holder: l.intern(r.Holder), attempt: r.Attempt, outcome: *r.Outcome}, r.RefusedFor)
	}
}

// learnInForce handles another member's information that a view is in force.
func (l *Ledger) learnInForce(now time.Time, version uint64) {
	if version > l.inForce {
		l.viewInForce(now, version)
	}
}

// viewInForce brings a known view into force: its homes settle the claims of
// holders that are no longer members.
func (l *Ledger) viewInForce(now time.Time, version uint64) {
	i := slices.IndexFunc(l.views, func(v *hashedView) bool { return v.view.Version == version })
	if l.membershipEnded || i < 0 || version <= l.inForce {
		return
	}
	l.views = l.views[i:]
	l.inForce = version
	v := l.views[0]
	l.eachKey(func(id ID, _ *structs.Member, _ Rank) {
		claim := l.claims[id]
		if claim == nil {
			return // a refusal mark
		}
		home, other := v.recordMembers(id, claim.holder)
		switch {
		case sameMember(home, l.self):
			claim.rank = max(claim.rank, ByHome)
			l.settleGoneHolder(now, id, claim, &v.view)
		case len(l.views) > 1 || l.heldHere(claim) || claim.handoverVersion >= uint32(version):
			// A newer view may assign the record to this member.
		case sameMember(other, l.self):
			claim.rank = ByBackup
		default:
			l.dropClaim(id)
		}
	})
}

// settleGoneHolder ends the open claim of a holder that is no longer a member.
// An outcome of a holder that was lost is recorded in the account again, since
// the holder may not have done so.
func (l *Ledger) settleGoneHolder(now time.Time, id ID, claim *claimState, v *structs.View) {
	if v.Has(*claim.holder) {
		return
	}
	if claim.open() {
		o := holderLost
		l.setOutcome(id, claim, &o)
		l.emit(Record{Key: l.keyOf(id), Outcome: o, Digest: claim.digest, FromPeer: true})
		l.notifyWaiters(now, id, claim, &o)
		return
	}
	lost := slices.ContainsFunc(v.Removed, func(r structs.Removal) bool {
		return !r.Left && r.Member.Same(*claim.holder) && claim.outcome.Reason != verdict.HolderLost
	})
	if lost {
		l.emit(Record{Key: l.keyOf(id), Outcome: *claim.outcome, Digest: claim.digest, FromPeer: true})
	}
}
