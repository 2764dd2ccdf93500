package ledger

import (
	"slices"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Outcomes that a home answers without a record of the key.
var (
	keyConflict = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.KeyConflict,
		Message: "the key was used for a request with another body",
	}
	keyExpired = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.KeyExpired,
		Message: "the key is too old to tell whether its work ran",
	}
	claimLost = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.ClaimLost,
		Message: "entries that may have known of the key are gone",
	}
	keyFromFuture = structs.Outcome{
		Verdict: verdict.NotRun,
		Reason:  verdict.KeyFromFuture,
		Message: "the key's time is in the future",
	}
	holderLost = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.HolderLost,
		Message: "the entry that held the request is gone",
	}
)

// refusalOutcome returns the outcome of a copy that falls under a refusalOutcome mark.
func (l *Ledger) refusalOutcome(r verdict.Reason) structs.Outcome {
	return structs.Outcome{
		Verdict:    verdict.NotRun,
		Reason:     r,
		Message:    "another copy of the request was refused a moment ago",
		RetryAfter: l.cfg.RefusalMarkTTL(),
	}
}

// refuseUnderMark refuses a further copy under a mark. The refusal has to stay true
// for as long as the first one, unless callers that repeat without a pause
// would put off the next grant for ever: then it promises nothing.
func (l *Ledger) refuseUnderMark(now time.Time, id ID, m *refusalMark) *structs.Outcome {
	o := m.outcome
	o.RetryAfter = l.cfg.RefusalMarkTTL()
	if now.Sub(m.since) > (maxConsecutiveMarks-1)*l.cfg.RefusalMarkTTL() {
		o.Verdict = verdict.MayHaveRun
		o.RetryAfter = m.until.Sub(now)
		return &o
	}
	l.setMark(now, id, m, l.cfg.RefusalMarkTTL())
	return &o
}

func (l *Ledger) onClaim(now time.Time, from *structs.Member, c Claim) {
	l.send(from, l.decideClaim(now, from, c))
}

// decideClaim decides a claim as the key's home.
func (l *Ledger) decideClaim(now time.Time, from *structs.Member, c Claim) ClaimReply {
	r := ClaimReply{ID: c.ID, Attempt: c.Attempt, ViewVersion: l.inForce, Result: Ended}
	if !l.actsAsHome(c.ID, from) {
		r.Result = NotReady
		return r
	}
	e := l.claims[c.ID]
	switch {
	case e == nil:
		return l.decideNewClaim(now, from, c, r)
	case digestsConflict(e.digest, c.Digest) && !ranElsewhere(e):
		r.Outcome = &keyConflict
	case !e.open():
		r.Outcome = e.outcome
	case e.holder.Same(*from) && e.attempt == c.Attempt:
		r.Result = Granted
	default:
		l.attach(e, from, c)
		r.Result = Attached
	}
	return r
}

func ranElsewhere(e *claimState) bool {
	return e.outcome != nil && e.outcome.Reason == verdict.RanElsewhere
}

// decideNewClaim decides a claim on a key without a record.
func (l *Ledger) decideNewClaim(now time.Time, from *structs.Member, c Claim, r ClaimReply) ClaimReply {
	if o := l.unclaimableOutcome(now, c.ID); o != nil {
		r.Outcome = o
		return r
	}
	if m := l.marks[c.ID]; m != nil && now.Before(m.until) && !l.disabled.refusalMark {
		r.Outcome = l.refuseUnderMark(now, c.ID, m)
		return r
	}
	if l.keyOf(c.ID).MintedAt().Sub(now) > l.cfg.MaxClockSkew {
		l.setMark(now, c.ID, &refusalMark{holder: from, outcome: keyFromFuture}, l.cfg.RefusalMarkTTL())
		r.Outcome = &keyFromFuture
		return r
	}
	e := &claimState{holder: from, attempt: c.Attempt, digest: c.Digest, rank: ByHome}
	r.Result = Granted
	_, backup := l.latestView().homeAndBackup(c.ID)
	if from != l.self || backup == nil || l.disabled.backupRecord {
		l.addClaim(now, c.ID, e)
		return r
	}
	// The home itself holds the claim, so the second choice has to know of
	// it before anything starts.
	e.rank = ByHolder
	l.addClaim(now, c.ID, e)
	p := l.pending[c.ID]
	p.stage = replicating
	p.claim = e
	l.send(backup, StoreRecord{l.recordOf(c.ID, e)})
	r.Result = NotReady
	return r
}

// unclaimableOutcome returns why a key without a record can't be claimed though
// nothing is known of it, or nil.
func (l *Ledger) unclaimableOutcome(now time.Time, id ID) *structs.Outcome {
	if l.expired(now, id) {
		return &keyExpired
	}
	if l.keyOf(id).MintedAt().UnixMilli() <= l.horizonMS {
		return &claimLost
	}
	return nil
}

// attach notes a copy that waits for another's outcome, and asks the holder
// whether it still holds the claim: its release may have been lost.
func (l *Ledger) attach(e *claimState, from *structs.Member, c Claim) {
	w := waiter{from, c.Attempt}
	if !slices.ContainsFunc(e.waiters, func(o waiter) bool { return o.attempt == w.attempt && o.member.Same(*from) }) {
		e.waiters = append(e.waiters, w)
	}
	if !l.heldHere(e) {
		l.send(e.holder, Check{ID: c.ID, Attempt: e.attempt})
	}
}

// notifyWaiters sends an outcome to the copies that wait for it.
func (l *Ledger) notifyWaiters(now time.Time, id ID, e *claimState, o *structs.Outcome) {
	ws := e.waiters
	e.waiters = nil
	for _, w := range ws {
		r := ClaimReply{ID: id, Attempt: w.attempt, ViewVersion: l.inForce, Result: Ended, Outcome: o}
		if w.member.Same(*l.self) {
			l.onClaimReply(now, l.self, r)
			continue
		}
		l.send(w.member, r)
	}
}

// pendingProbe is a Refuse or Lookup on its way.
type pendingProbe struct {
	callID    uint64
	id        ID
	mark      bool
	startedAt time.Time
	// refusal is the answer to an Acquire that the probe is to confirm.
	refusal *structs.Outcome
}

func (l *Ledger) probeKey(now time.Time, callID uint64, k key.Key, mark bool) {
	if k.DC != l.cfg.DC {
		l.replyError(callID, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key is at home in %s", k.DC))
		return
	}
	if !l.isMember() {
		l.replyError(callID, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is in no view"))
		return
	}
	l.startProbe(now, &pendingProbe{callID: callID, id: k.ID, mark: mark})
}

func (l *Ledger) startProbe(now time.Time, p *pendingProbe) {
	l.lastSerial++
	p.startedAt = now
	l.probes[l.lastSerial] = p
	t := timer{id: p.id, serial: l.lastSerial}
	t.kind = probeTimeout
	l.timers.add(now, l.cfg.ProbeTimeout, t)
	t.kind = probeRetry
	l.timers.add(now, 0, t)
}

func (l *Ledger) retryProbe(now time.Time, t timer) {
	p := l.probes[t.serial]
	if p == nil {
		return
	}
	m := Probe{ID: p.id, Serial: t.serial, Mark: p.mark}
	home, _ := l.latestView().homeAndBackup(p.id)
	if home.Same(*l.self) {
		l.onProbeReply(now, l.decideProbe(now, l.self, m))
	} else {
		l.send(home, m)
	}
	if l.probes[t.serial] != nil {
		l.timers.add(now, l.cfg.RetryInterval, t)
	}
}

func (l *Ledger) probeTimedOut(t timer) {
	p := l.probes[t.serial]
	if p == nil {
		return
	}
	delete(l.probes, t.serial)
	l.replyError(p.callID, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home did not answer in time"))
}

func (l *Ledger) onProbe(now time.Time, from *structs.Member, p Probe) {
	l.send(from, l.decideProbe(now, from, p))
}

// decideProbe answers a probe as the key's home. Without a claim it keeps the
// refusal true: no copy received before it is granted later.
func (l *Ledger) decideProbe(now time.Time, from *structs.Member, p Probe) ProbeReply {
	r := ProbeReply{Serial: p.Serial, Result: Ended}
	e := l.claims[p.ID]
	switch {
	case !l.actsAsHome(p.ID, nil):
		r.Result = NotReady
	case e != nil && e.open():
		r.Result = Running
	case e != nil:
		r.Outcome = e.outcome
	default:
		r.Outcome = l.unclaimableOutcome(now, p.ID)
		if r.Outcome != nil {
			return r
		}
		if m := l.marks[p.ID]; p.Mark && m != nil && now.Before(m.until) {
			if o := l.refuseUnderMark(now, p.ID, m); o.Verdict != verdict.NotRun {
				r.Outcome = o
				return r
			}
		}
		r.Result = NoClaim
		if p.Mark {
			l.setMark(now, p.ID, &refusalMark{holder: from, outcome: l.refusalOutcome(verdict.RefusedElsewhere)}, l.cfg.RefusalMarkTTL())
		}
	}
	return r
}

func (l *Ledger) onProbeReply(now time.Time, r ProbeReply) {
	p := l.probes[r.Serial]
	if p == nil || r.Result == NotReady {
		return
	}
	if now.Sub(p.startedAt) > l.cfg.ProbeTimeout {
		return // for probeEnd: the answer may be old
	}
	delete(l.probes, r.Serial)
	switch {
	case !p.mark:
		l.replyLookup(p, r)
	case r.Result == NoClaim:
		l.replyRefuse(now, p)
	case p.refusal != nil && r.Result == Ended:
		l.replyOutcome(now, p.callID, r.Outcome)
	case r.Result == Running || r.Outcome.Verdict == verdict.Completed:
		l.replyError(p.callID, verdict.New(verdict.MayHaveRun, verdict.AlreadyClaimed, "another copy of the request was accepted"))
	default:
		l.replyError(p.callID, l.weakenWithoutLease(now, outcomeError(r.Outcome)))
	}
}

func (l *Ledger) replyRefuse(now time.Time, p *pendingProbe) {
	if p.refusal != nil {
		l.replyError(p.callID, l.weakenWithoutLease(now, outcomeError(p.refusal)))
		return
	}
	err := l.weakenWithoutLease(now, verdict.New(verdict.NotRun, verdict.RefusedElsewhere, "refused"))
	if err.Verdict == verdict.NotRun {
		err = nil
	}
	l.emit(Reply{CallID: p.callID, Err: err})
}

func (l *Ledger) replyLookup(p *pendingProbe, r ProbeReply) {
	switch r.Result {
	case NoClaim:
		l.replyError(p.callID, verdict.New(verdict.MayHaveRun, verdict.NotFound, "the key is not known"))
	case Running:
		l.emit(Reply{CallID: p.callID, Running: true})
	default:
		l.emit(Reply{CallID: p.callID, Outcome: r.Outcome})
	}
}
