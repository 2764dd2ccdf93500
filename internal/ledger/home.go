package ledger

import (
	"slices"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Outcomes with which a home replies for a key of which it has no matching
// record.
var (
	keyConflict = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.KeyConflict,
		Message: "the key was already used for a request with a different body",
	}
	keyExpired = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.KeyExpired,
		Message: "the key is too old to tell whether its work ran",
	}
	claimLost = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.ClaimLost,
		Message: "the entries that may have stored a claim on the key were lost",
	}
	keyFromFuture = structs.Outcome{
		Verdict: verdict.NotRun,
		Reason:  verdict.KeyFromFuture,
		Message: "the time in the key is in the future",
	}
	holderLost = structs.Outcome{
		Verdict: verdict.MayHaveRun,
		Reason:  verdict.HolderLost,
		Message: "the entry that held the claim is no longer a member of the view",
	}
)

// refusalOutcome returns the outcome of a copy that is refused because of a
// refusal mark.
func (l *Ledger) refusalOutcome(r verdict.Reason) structs.Outcome {
	return structs.Outcome{
		Verdict:    verdict.NotRun,
		Reason:     r,
		Message:    "another copy of the request was refused a moment ago",
		RetryAfter: l.cfg.RefusalMarkTTL(),
	}
}

// refuseUnderMark refuses another copy while a refusal mark exists, and extends
// the mark so that this refusal stays true for as long as the first one.
// Callers that retry without a pause would delay the next grant forever, so
// after maxConsecutiveMarks the mark is not extended and the verdict is
// MayHaveRun.
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
	claim := l.claims[c.ID]
	switch {
	case claim == nil:
		return l.decideNewClaim(now, from, c, r)
	case digestsConflict(claim.digest, c.Digest) && !ranElsewhere(claim):
		r.Outcome = &keyConflict
	case !claim.open():
		r.Outcome = claim.outcome
	case claim.holder.Same(*from) && claim.attempt == c.Attempt:
		r.Result = Granted
	default:
		l.attach(claim, from, c)
		r.Result = Attached
	}
	return r
}

func ranElsewhere(claim *claimState) bool {
	return claim.outcome != nil && claim.outcome.Reason == verdict.RanElsewhere
}

// decideNewClaim decides a claim on a key of which the home has no record.
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
	claim := &claimState{holder: from, attempt: c.Attempt, digest: c.Digest, rank: ByHome}
	r.Result = Granted
	_, backup := l.latestView().homeAndBackup(c.ID)
	if from != l.self || backup == nil || l.disabled.backupRecord {
		l.addClaim(now, c.ID, claim)
		return r
	}
	// This home is the holder, so the backup must store the claim before any
	// work starts.
	claim.rank = ByHolder
	l.addClaim(now, c.ID, claim)
	p := l.pending[c.ID]
	p.stage = replicating
	p.claim = claim
	l.send(backup, StoreRecord{l.recordOf(c.ID, claim)})
	r.Result = NotReady
	return r
}

// unclaimableOutcome returns why a key without a record must not be claimed, or
// nil if it may be: the record may have expired, or its members may have been
// lost.
func (l *Ledger) unclaimableOutcome(now time.Time, id ID) *structs.Outcome {
	if l.expired(now, id) {
		return &keyExpired
	}
	if l.keyOf(id).MintedAt().UnixMilli() <= l.horizonMS {
		return &claimLost
	}
	return nil
}

// attach adds a waiter for the outcome of the copy that holds the claim, and
// asks the holder whether it still holds it, since a release may have been
// lost.
func (l *Ledger) attach(claim *claimState, from *structs.Member, c Claim) {
	w := waiter{from, c.Attempt}
	if !slices.ContainsFunc(claim.waiters, func(o waiter) bool { return o.attempt == w.attempt && o.member.Same(*from) }) {
		claim.waiters = append(claim.waiters, w)
	}
	if !l.heldHere(claim) {
		l.send(claim.holder, Check{ID: c.ID, Attempt: claim.attempt})
	}
}

// notifyWaiters sends the outcome to the copies that wait for it.
func (l *Ledger) notifyWaiters(now time.Time, id ID, claim *claimState, o *structs.Outcome) {
	ws := claim.waiters
	claim.waiters = nil
	for _, w := range ws {
		r := ClaimReply{ID: id, Attempt: w.attempt, ViewVersion: l.inForce, Result: Ended, Outcome: o}
		if w.member.Same(*l.self) {
			l.onClaimReply(now, l.self, r)
			continue
		}
		l.send(w.member, r)
	}
}

// pendingProbe is a Refuse or Lookup that was not answered yet.
type pendingProbe struct {
	callID    uint64
	id        ID
	mark      bool
	startedAt time.Time
	// refusal is the outcome of an Acquire that the probe is to confirm.
	refusal *structs.Outcome
}

func (l *Ledger) probeKey(now time.Time, callID uint64, k key.Key, mark bool) {
	if k.DC != l.cfg.DC {
		l.replyError(callID, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key belongs to data centre %s", k.DC))
		return
	}
	if !l.isMember() {
		l.replyError(callID, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is not a member of the view"))
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
	l.replyError(p.callID, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home entry did not reply in time"))
}

func (l *Ledger) onProbe(now time.Time, from *structs.Member, p Probe) {
	l.send(from, l.decideProbe(now, from, p))
}

// decideProbe answers a probe as the key's home. If there is no claim and the
// probe asks for a mark, it sets one: no copy received before the probe is
// granted later.
func (l *Ledger) decideProbe(now time.Time, from *structs.Member, p Probe) ProbeReply {
	r := ProbeReply{Serial: p.Serial, Result: Ended}
	claim := l.claims[p.ID]
	switch {
	case !l.actsAsHome(p.ID, nil):
		r.Result = NotReady
	case claim != nil && claim.open():
		r.Result = Running
	case claim != nil:
		r.Outcome = claim.outcome
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
		return // the reply may be outdated; probeTimedOut ends the probe
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
		l.replyError(p.callID, verdict.New(verdict.MayHaveRun, verdict.NotFound, "the key is unknown"))
	case Running:
		l.emit(Reply{CallID: p.callID, Running: true})
	default:
		l.emit(Reply{CallID: p.callID, Outcome: r.Outcome})
	}
}
