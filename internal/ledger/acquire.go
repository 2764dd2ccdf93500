package ledger

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// acquireStage is the progress of an Acquire.
type acquireStage uint8

const (
	requesting  acquireStage = iota // no reply yet, or the home is not ready
	replicating                     // this member is the home; the backup has not acknowledged the claim yet
	attached                        // another copy of the request holds the claim
)

// pendingAcquire is an Acquire that was not answered yet. Further calls for the
// same key join it.
type pendingAcquire struct {
	attempt   uint64
	digest    uint64
	external  bool
	arrivedAt time.Time
	callIDs   []uint64 // the first is granted the claim, the others wait for its outcome
	stage     acquireStage
	claimSent bool // the home, which may be this member, may have granted the claim
	claim     *claimState
}

func (l *Ledger) acquire(now time.Time, a Acquire) {
	id := a.Key.ID
	switch {
	case a.Key.DC != l.cfg.DC:
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key belongs to data centre %s", a.Key.DC))
		return
	case l.leaving:
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case !l.isMember():
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is not a member of the view"))
		return
	}
	if claim := l.claims[id]; claim != nil && l.heldHere(claim) && !claim.open() && !digestsConflict(claim.digest, a.Digest) {
		l.emit(Reply{CallID: a.CallID, Outcome: claim.outcome})
		return
	}
	if p := l.pending[id]; p != nil {
		if digestsConflict(p.digest, a.Digest) {
			l.replyError(a.CallID, outcomeError(&keyConflict))
			return
		}
		p.callIDs = append(p.callIDs, a.CallID)
		return
	}
	l.lastSerial++
	p := &pendingAcquire{
		attempt:   l.lastSerial,
		digest:    a.Digest,
		external:  a.External,
		arrivedAt: now,
		callIDs:   []uint64{a.CallID},
	}
	l.pending[id] = p
	l.timers.add(now, l.cfg.ClaimTimeout, timer{kind: claimTimeout, id: id, serial: p.attempt})
	l.timers.add(now, l.cfg.RetryInterval, timer{kind: claimRetry, id: id, serial: p.attempt})
	l.requestClaim(now, id, p)
}

// digestsConflict reports whether two digests differ. 0 means an unknown
// digest, which conflicts with none.
func digestsConflict(a, b uint64) bool { return a != b && a != 0 && b != 0 }

func (l *Ledger) cancel(c Cancel) {
	id := c.Key.ID
	if p := l.pending[id]; p != nil {
		p.callIDs = slices.DeleteFunc(p.callIDs, func(callID uint64) bool { return callID == c.CallID })
	}
	if f := l.followers[id]; f != nil {
		l.followers[id] = slices.DeleteFunc(f, func(callID uint64) bool { return callID == c.CallID })
	}
}

// requestClaim sends the claim to the key's home, or decides it if this member
// is the home.
func (l *Ledger) requestClaim(now time.Time, id ID, p *pendingAcquire) {
	home, backup := l.latestView().homeAndBackup(id)
	p.claimSent = true
	if !home.Same(*l.self) {
		l.send(home, Claim{ID: id, Attempt: p.attempt, Digest: p.digest, External: p.external})
		return
	}
	if p.stage != replicating {
		l.onClaimReply(now, l.self, l.decideClaim(now, l.self, Claim{ID: id, Attempt: p.attempt, Digest: p.digest, External: p.external}))
		return
	}
	if backup != nil && l.actsAsHome(id, l.self) {
		l.send(backup, StoreRecord{l.recordOf(id, p.claim)})
	}
}

func (l *Ledger) retryClaim(now time.Time, t timer) {
	p := l.pending[t.id]
	if p == nil || p.attempt != t.serial || !l.isMember() {
		return
	}
	l.requestClaim(now, t.id, p)
	if l.pending[t.id] != p {
		return
	}
	every := l.cfg.RetryInterval
	if p.stage == attached {
		every = l.cfg.AttachRetryInterval
	}
	l.timers.add(now, every, timer{kind: claimRetry, id: t.id, serial: t.serial})
}

// claimTimedOut aborts an Acquire that was not granted in time. A later grant
// could start a copy of which another member has already answered not_run.
func (l *Ledger) claimTimedOut(now time.Time, t timer) {
	p := l.pending[t.id]
	if p == nil || p.attempt != t.serial || p.stage == attached {
		return
	}
	if p.stage == replicating {
		l.abortAcquire(now, t.id, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "no second member acknowledged the claim in time"))
		return
	}
	l.abortAcquire(now, t.id, p, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home entry did not reply in time"))
}

// abortAcquire fails an Acquire whose work was not started, and releases the
// claim that the home may have granted.
func (l *Ledger) abortAcquire(now time.Time, id ID, p *pendingAcquire, err *verdict.Error) {
	delete(l.pending, id)
	o := l.refusalOutcome(verdict.RefusedElsewhere)
	if p.claimSent || p.stage == replicating {
		l.release(now, id, &claimState{holder: l.self, attempt: p.attempt, digest: p.digest}, o)
	}
	for _, callID := range p.callIDs {
		l.replyError(callID, l.weakenWithoutLease(now, err))
	}
}

// weakenWithoutLease turns a NotRun error that relies on the home's reply into
// MayHaveRun, unless this member's lease lasts as long as any copy received so
// far may still be granted: without the lease, the member that replied may no
// longer be the home.
func (l *Ledger) weakenWithoutLease(now time.Time, err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun || l.disabled.refusalProof || now.Add(l.cfg.RefusalMarkTTL()).Before(l.leaseEnd) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry's lease ends too early to prove that no copy will run: %s", err.Message)
}

func (l *Ledger) onClaimReply(now time.Time, from *structs.Member, r ClaimReply) {
	l.learnInForce(now, r.ViewVersion)
	p := l.pending[r.ID]
	if p == nil || p.attempt != r.Attempt {
		l.releaseStrayGrant(now, from, r)
		return
	}
	switch r.Result {
	case Attached:
		p.stage = attached
	case Ended:
		l.onClaimEnded(now, r.ID, p, r.Outcome)
	case Granted:
		l.onGranted(now, from, r, p)
	}
}

// releaseStrayGrant releases a granted claim for which no call waits.
func (l *Ledger) releaseStrayGrant(now time.Time, from *structs.Member, r ClaimReply) {
	if r.Result != Granted {
		return
	}
	l.onCheck(now, from, Check{ID: r.ID, Attempt: r.Attempt})
}

func (l *Ledger) onClaimEnded(now time.Time, id ID, p *pendingAcquire, o *structs.Outcome) {
	delete(l.pending, id)
	late := p.stage == attached || now.Sub(p.arrivedAt) > l.cfg.ProbeTimeout
	for _, callID := range p.callIDs {
		if late && o.Verdict == verdict.NotRun {
			// The home decided this at an unknown time and may have granted
			// another claim since, so ask it again.
			l.startProbe(now, &pendingProbe{callID: callID, id: id, mark: true, refusal: o})
			continue
		}
		l.replyOutcome(now, callID, o)
	}
}

// replyOutcome replies with the home's outcome of an earlier copy.
func (l *Ledger) replyOutcome(now time.Time, callID uint64, o *structs.Outcome) {
	if o.Verdict == verdict.NotRun {
		l.replyError(callID, l.weakenWithoutLease(now, outcomeError(o)))
		return
	}
	l.emit(Reply{CallID: callID, Outcome: o})
}

func (l *Ledger) onGranted(now time.Time, from *structs.Member, r ClaimReply, p *pendingAcquire) {
	if !l.validGrant(r.ID, from, r.ViewVersion) {
		return
	}
	switch {
	case now.Sub(p.arrivedAt) > l.cfg.ClaimTimeout:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "the claim was granted after the claim timeout"))
		return
	case !now.Before(l.leaseEnd) && !l.disabled.leaseCheck:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry holds no lease to start work"))
		return
	case l.leaving:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case len(p.callIDs) == 0:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.NotRun, verdict.Cancelled, "the caller no longer waits"))
		return
	}
	delete(l.pending, r.ID)
	claim := p.claim
	if claim == nil {
		claim = &claimState{holder: l.self, attempt: p.attempt, digest: p.digest}
	}
	claim.rank = ByHolder
	if l.claims[r.ID] != claim {
		l.addClaim(now, r.ID, claim)
	}
	delete(l.marks, r.ID)
	l.emit(Reply{CallID: p.callIDs[0], Granted: true})
	if len(p.callIDs) > 1 {
		l.followers[r.ID] = p.callIDs[1:]
	}
}

func (l *Ledger) replyError(callID uint64, err *verdict.Error) {
	l.emit(Reply{CallID: callID, Err: err})
}

// endMembership fails all waiting calls. Open claims of this member are kept as
// orphans, so that their outcomes still reach the homes that count them as
// lost.
func (l *Ledger) endMembership() {
	l.membershipEnded = true
	for id, claim := range l.claims {
		if claim.open() && l.heldHere(claim) {
			l.orphans[id] = claim
		}
	}
	err := verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry is no longer a member of the view")
	for _, id := range sortedIDs(l.pending) {
		for _, callID := range l.pending[id].callIDs {
			l.replyError(callID, err)
		}
	}
	for _, id := range sortedIDs(l.followers) {
		for _, callID := range l.followers[id] {
			l.replyError(callID, err)
		}
	}
	for _, serial := range slices.Sorted(maps.Keys(l.probes)) {
		l.replyError(l.probes[serial].callID, err)
	}
	l.pending = make(map[ID]*pendingAcquire)
	l.followers = make(map[ID][]uint64)
	l.probes = make(map[uint64]*pendingProbe)
	l.transfers = nil
}

func sortedIDs[V any](m map[ID]V) []ID {
	return slices.SortedFunc(maps.Keys(m), func(a, b ID) int { return bytes.Compare(a[:], b[:]) })
}

// outcomeError returns the error of an unsuccessful outcome.
func outcomeError(o *structs.Outcome) *verdict.Error { return verdict.FromError(o.Err()) }
