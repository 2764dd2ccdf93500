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

// refusal returns the outcome of a copy that falls under a refusal mark.
func (l *Ledger) refusal(r verdict.Reason) structs.Outcome {
	return structs.Outcome{
		Verdict:    verdict.NotRun,
		Reason:     r,
		Message:    "another copy of the request was refused a moment ago",
		RetryAfter: l.cfg.RefusalMark(),
	}
}

// refuseAgain refuses a further copy under a mark. The refusal has to stay true
// for as long as the first one, unless callers that repeat without a pause
// would put off the next grant for ever: then it promises nothing.
func (l *Ledger) refuseAgain(now time.Time, id ID, m *mark) *structs.Outcome {
	o := m.outcome
	o.RetryAfter = l.cfg.RefusalMark()
	if now.Sub(m.since) > (maxMarks-1)*l.cfg.RefusalMark() {
		o.Verdict = verdict.MayHaveRun
		o.RetryAfter = m.until.Sub(now)
		return &o
	}
	l.setMark(now, id, m, l.cfg.RefusalMark())
	return &o
}

func (l *Ledger) onClaim(now time.Time, from *structs.Member, c Claim) {
	l.send(from, l.homeClaim(now, from, c))
}

// homeClaim decides a claim as the key's home.
func (l *Ledger) homeClaim(now time.Time, from *structs.Member, c Claim) ClaimReply {
	r := ClaimReply{ID: c.ID, Attempt: c.Attempt, View: l.inForce, Result: Ended}
	if !l.grants(c.ID, from) {
		r.Result = NotReady
		return r
	}
	e := l.entries[c.ID]
	switch {
	case e == nil:
		return l.homeGrant(now, from, c, r)
	case conflicts(e.digest, c.Digest) && !ranElsewhere(e):
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

func ranElsewhere(e *entry) bool {
	return e.outcome != nil && e.outcome.Reason == verdict.RanElsewhere
}

// homeGrant decides a claim on a key without a record.
func (l *Ledger) homeGrant(now time.Time, from *structs.Member, c Claim, r ClaimReply) ClaimReply {
	if o := l.unclaimed(now, c.ID); o != nil {
		r.Outcome = o
		return r
	}
	if m := l.marks[c.ID]; m != nil && now.Before(m.until) && !l.without.mark {
		r.Outcome = l.refuseAgain(now, c.ID, m)
		return r
	}
	if l.key(c.ID).MintedAt().Sub(now) > l.cfg.Skew {
		l.setMark(now, c.ID, &mark{holder: from, outcome: keyFromFuture}, l.cfg.RefusalMark())
		r.Outcome = &keyFromFuture
		return r
	}
	e := &entry{holder: from, attempt: c.Attempt, digest: c.Digest, rank: ByHome}
	r.Result = Granted
	_, second := l.latest().top(c.ID)
	if from != l.self || second == nil || l.without.secondCopy {
		l.add(now, c.ID, e)
		return r
	}
	// The home itself holds the claim, so the second choice has to know of
	// it before anything starts.
	e.rank = ByHolder
	l.add(now, c.ID, e)
	p := l.pending[c.ID]
	p.stage = copying
	p.entry = e
	l.send(second, Store{l.record(c.ID, e)})
	r.Result = NotReady
	return r
}

// unclaimed returns why a key without a record can't be claimed though
// nothing is known of it, or nil.
func (l *Ledger) unclaimed(now time.Time, id ID) *structs.Outcome {
	if l.expired(now, id) {
		return &keyExpired
	}
	if l.key(id).MintedAt().UnixMilli() <= l.horizon {
		return &claimLost
	}
	return nil
}

// attach notes a copy that waits for another's outcome, and asks the holder
// whether it still holds the claim: its release may have been lost.
func (l *Ledger) attach(e *entry, from *structs.Member, c Claim) {
	w := waiter{from, c.Attempt}
	if !slices.ContainsFunc(e.waiters, func(o waiter) bool { return o.attempt == w.attempt && o.member.Same(*from) }) {
		e.waiters = append(e.waiters, w)
	}
	if !l.mine(e) {
		l.send(e.holder, Check{ID: c.ID, Attempt: e.attempt})
	}
}

// tell sends an outcome to the copies that wait for it.
func (l *Ledger) tell(now time.Time, id ID, e *entry, o *structs.Outcome) {
	ws := e.waiters
	e.waiters = nil
	for _, w := range ws {
		r := ClaimReply{ID: id, Attempt: w.attempt, View: l.inForce, Result: Ended, Outcome: o}
		if w.member.Same(*l.self) {
			l.onReply(now, l.self, r)
			continue
		}
		l.send(w.member, r)
	}
}

// probe is a Refuse or Lookup on its way.
type probe struct {
	ticket uint64
	id     ID
	mark   bool
	asked  time.Time
	// refusal is the answer to an Acquire that the probe is to confirm.
	refusal *structs.Outcome
}

func (l *Ledger) probe(now time.Time, ticket uint64, k key.Key, mark bool) {
	if k.DC != l.cfg.DC {
		l.fail(ticket, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key is at home in %s", k.DC))
		return
	}
	if !l.member() {
		l.fail(ticket, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is in no view"))
		return
	}
	l.probeFor(now, &probe{ticket: ticket, id: k.ID, mark: mark})
}

func (l *Ledger) probeFor(now time.Time, p *probe) {
	l.serial++
	p.asked = now
	l.probes[l.serial] = p
	t := timer{id: p.id, serial: l.serial}
	t.kind = probeEnd
	l.timers.add(now, l.cfg.ProbeTimeout, t)
	t.kind = probeAgain
	l.timers.add(now, 0, t)
}

func (l *Ledger) probeAgain(now time.Time, t timer) {
	p := l.probes[t.serial]
	if p == nil {
		return
	}
	m := Probe{ID: p.id, Serial: t.serial, Mark: p.mark}
	home, _ := l.latest().top(p.id)
	if home.Same(*l.self) {
		l.onProbeReply(now, l.homeProbe(now, l.self, m))
	} else {
		l.send(home, m)
	}
	if l.probes[t.serial] != nil {
		l.timers.add(now, l.cfg.Retry, t)
	}
}

func (l *Ledger) probeEnd(t timer) {
	p := l.probes[t.serial]
	if p == nil {
		return
	}
	delete(l.probes, t.serial)
	l.fail(p.ticket, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home did not answer in time"))
}

func (l *Ledger) onProbe(now time.Time, from *structs.Member, p Probe) {
	l.send(from, l.homeProbe(now, from, p))
}

// homeProbe answers a probe as the key's home. Without a claim it keeps the
// refusal true: no copy received before it is granted later.
func (l *Ledger) homeProbe(now time.Time, from *structs.Member, p Probe) ProbeReply {
	r := ProbeReply{Serial: p.Serial, Result: Ended}
	e := l.entries[p.ID]
	switch {
	case !l.grants(p.ID, nil):
		r.Result = NotReady
	case e != nil && e.open():
		r.Result = Running
	case e != nil:
		r.Outcome = e.outcome
	default:
		r.Outcome = l.unclaimed(now, p.ID)
		if r.Outcome != nil {
			return r
		}
		if m := l.marks[p.ID]; p.Mark && m != nil && now.Before(m.until) {
			if o := l.refuseAgain(now, p.ID, m); o.Verdict != verdict.NotRun {
				r.Outcome = o
				return r
			}
		}
		r.Result = NoClaim
		if p.Mark {
			l.setMark(now, p.ID, &mark{holder: from, outcome: l.refusal(verdict.RefusedElsewhere)}, l.cfg.RefusalMark())
		}
	}
	return r
}

func (l *Ledger) onProbeReply(now time.Time, r ProbeReply) {
	p := l.probes[r.Serial]
	if p == nil || r.Result == NotReady {
		return
	}
	if now.Sub(p.asked) > l.cfg.ProbeTimeout {
		return // for probeEnd: the answer may be old
	}
	delete(l.probes, r.Serial)
	switch {
	case !p.mark:
		l.answerLookup(p, r)
	case r.Result == NoClaim:
		l.answerRefuse(now, p)
	case p.refusal != nil && r.Result == Ended:
		l.replyOutcome(now, p.ticket, r.Outcome)
	case r.Result == Running || r.Outcome.Verdict == verdict.Completed:
		l.fail(p.ticket, verdict.New(verdict.MayHaveRun, verdict.AlreadyClaimed, "another copy of the request was accepted"))
	default:
		l.fail(p.ticket, l.proven(now, outcomeError(r.Outcome)))
	}
}

func (l *Ledger) answerRefuse(now time.Time, p *probe) {
	if p.refusal != nil {
		l.fail(p.ticket, l.proven(now, outcomeError(p.refusal)))
		return
	}
	err := l.proven(now, verdict.New(verdict.NotRun, verdict.RefusedElsewhere, "refused"))
	if err.Verdict == verdict.NotRun {
		err = nil
	}
	l.act(Reply{Ticket: p.ticket, Err: err})
}

func (l *Ledger) answerLookup(p *probe, r ProbeReply) {
	switch r.Result {
	case NoClaim:
		l.fail(p.ticket, verdict.New(verdict.MayHaveRun, verdict.NotFound, "the key is not known"))
	case Running:
		l.act(Reply{Ticket: p.ticket, Running: true})
	default:
		l.act(Reply{Ticket: p.ticket, Kept: r.Outcome})
	}
}
