package ledger

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// acquireStage says how far an Acquire is.
type acquireStage uint8

const (
	requesting  acquireStage = iota // no answer, or the home isn't ready
	replicating                     // granted by itself, the second record is on its way
	attached                        // another copy runs
)

// pendingAcquire is an Acquire on its way.
type pendingAcquire struct {
	attempt   uint64
	digest    uint64
	external  bool
	arrivedAt time.Time
	callIDs   []uint64 // the first gets the grant
	stage     acquireStage
	claimSent bool // the home may have granted the claim
	claim     *claimState
}

func (l *Ledger) acquire(now time.Time, a Acquire) {
	id := a.Key.ID
	switch {
	case a.Key.DC != l.cfg.DC:
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key is at home in %s", a.Key.DC))
		return
	case l.leaving:
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case !l.isMember():
		l.replyError(a.CallID, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is in no view"))
		return
	}
	if e := l.claims[id]; e != nil && l.heldHere(e) && !e.open() && !digestsConflict(e.digest, a.Digest) {
		l.emit(Reply{CallID: a.CallID, Outcome: e.outcome})
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

// digestsConflict reports whether two digests, 0 for an unknown one, differ.
func digestsConflict(a, b uint64) bool { return a != b && a != 0 && b != 0 }

func (l *Ledger) cancel(c Cancel) {
	id := c.Key.ID
	if p := l.pending[id]; p != nil {
		p.callIDs = slices.DeleteFunc(p.callIDs, func(t uint64) bool { return t == c.CallID })
	}
	if f := l.followers[id]; f != nil {
		l.followers[id] = slices.DeleteFunc(f, func(t uint64) bool { return t == c.CallID })
	}
}

// requestClaim sends the claim to the home, or handles it if this is the home.
func (l *Ledger) requestClaim(now time.Time, id ID, p *pendingAcquire) {
	home, backup := l.latestView().homeAndBackup(id)
	if !home.Same(*l.self) {
		p.claimSent = true
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

// claimTimedOut gives a claim up that wasn't granted in time: a later grant could
// start a copy that a refusal elsewhere has declared not run.
func (l *Ledger) claimTimedOut(now time.Time, t timer) {
	p := l.pending[t.id]
	if p == nil || p.attempt != t.serial || p.stage == attached {
		return
	}
	if p.stage == replicating {
		l.abortAcquire(now, t.id, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "the claim got no second record in time"))
		return
	}
	l.abortAcquire(now, t.id, p, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home did not answer in time"))
}

// abortAcquire ends an Acquire without a start and releases what the home may
// have granted.
func (l *Ledger) abortAcquire(now time.Time, id ID, p *pendingAcquire, err *verdict.Error) {
	delete(l.pending, id)
	o := l.refusalOutcome(verdict.RefusedElsewhere)
	if p.claimSent || p.stage == replicating {
		l.release(now, id, &claimState{holder: l.self, attempt: p.attempt, digest: p.digest}, o)
	}
	for _, t := range p.callIDs {
		l.replyError(t, l.weakenWithoutLease(now, err))
	}
}

// weakenWithoutLease weakens a NotRun error that rests on the home's word unless this
// member's lease holds for as long as any copy received so far may still be
// granted: a lapsed lease may mean that the home is no home any more.
func (l *Ledger) weakenWithoutLease(now time.Time, err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun || l.disabled.refusalProof || now.Add(l.cfg.RefusalMarkTTL()).Before(l.leaseEnd) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "not proven without a lease: %s", err.Message)
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

// releaseStrayGrant gives back a grant that nobody here waits for.
func (l *Ledger) releaseStrayGrant(now time.Time, from *structs.Member, r ClaimReply) {
	if r.Result != Granted {
		return
	}
	l.onCheck(now, from, Check{ID: r.ID, Attempt: r.Attempt})
}

func (l *Ledger) onClaimEnded(now time.Time, id ID, p *pendingAcquire, o *structs.Outcome) {
	delete(l.pending, id)
	late := p.stage == attached || now.Sub(p.arrivedAt) > l.cfg.ProbeTimeout
	for _, t := range p.callIDs {
		if late && o.Verdict == verdict.NotRun {
			// The home said so at an unknown time, and may have granted
			// another claim since. Ask again.
			l.startProbe(now, &pendingProbe{callID: t, id: id, mark: true, refusal: o})
			continue
		}
		l.replyOutcome(now, t, o)
	}
}

// replyOutcome answers with what the home knows of another copy.
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
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "the claim was granted too late"))
		return
	case !now.Before(l.leaseEnd) && !l.disabled.leaseCheck:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry may start nothing now"))
		return
	case l.leaving:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case len(p.callIDs) == 0:
		l.abortAcquire(now, r.ID, p, verdict.New(verdict.NotRun, verdict.Cancelled, "the caller has gone"))
		return
	}
	delete(l.pending, r.ID)
	e := p.claim
	if e == nil {
		e = &claimState{holder: l.self, attempt: p.attempt, digest: p.digest}
	}
	e.rank = ByHolder
	if l.claims[r.ID] != e {
		l.addClaim(now, r.ID, e)
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

// endMembership ends everything that needs membership. Open claims stay known, so
// that their outcomes still reach the homes that count them as lost.
func (l *Ledger) endMembership() {
	l.membershipEnded = true
	for id, e := range l.claims {
		if e.open() && l.heldHere(e) {
			l.orphans[id] = e
		}
	}
	err := verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry was removed from the view")
	for _, id := range sortedIDs(l.pending) {
		for _, t := range l.pending[id].callIDs {
			l.replyError(t, err)
		}
	}
	for _, id := range sortedIDs(l.followers) {
		for _, t := range l.followers[id] {
			l.replyError(t, err)
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

// outcomeError returns the error that an unsuccessful outcome stands for.
func outcomeError(o *structs.Outcome) *verdict.Error { return verdict.FromError(o.Err()) }
