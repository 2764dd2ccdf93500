package ledger

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// stage says how far an Acquire is.
type stage uint8

const (
	asking   stage = iota // no answer, or the home isn't ready
	copying               // granted by itself, the second record is on its way
	attached              // another copy runs
)

// pending is an Acquire on its way.
type pending struct {
	attempt  uint64
	digest   uint64
	external bool
	arrival  time.Time
	tickets  []uint64 // the first gets the grant
	stage    stage
	sent     bool // the home may have granted the claim
	entry    *entry
}

func (l *Ledger) acquire(now time.Time, a Acquire) {
	id := a.Key.ID
	switch {
	case a.Key.DC != l.cfg.DC:
		l.fail(a.Ticket, verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the key is at home in %s", a.Key.DC))
		return
	case l.leaving:
		l.fail(a.Ticket, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case !l.member():
		l.fail(a.Ticket, verdict.New(verdict.MayHaveRun, verdict.NotReady, "this entry is in no view"))
		return
	}
	if e := l.entries[id]; e != nil && l.mine(e) && !e.open() && !conflicts(e.digest, a.Digest) {
		l.act(Reply{Ticket: a.Ticket, Kept: e.outcome})
		return
	}
	if p := l.pending[id]; p != nil {
		if conflicts(p.digest, a.Digest) {
			l.fail(a.Ticket, outcomeError(&keyConflict))
			return
		}
		p.tickets = append(p.tickets, a.Ticket)
		return
	}
	l.serial++
	p := &pending{
		attempt:  l.serial,
		digest:   a.Digest,
		external: a.External,
		arrival:  now,
		tickets:  []uint64{a.Ticket},
	}
	l.pending[id] = p
	l.timers.add(now, l.cfg.ClaimTimeout, timer{kind: askEnd, id: id, serial: p.attempt})
	l.timers.add(now, l.cfg.Retry, timer{kind: askAgain, id: id, serial: p.attempt})
	l.ask(now, id, p)
}

// conflicts reports whether two digests, 0 for an unknown one, differ.
func conflicts(a, b uint64) bool { return a != b && a != 0 && b != 0 }

func (l *Ledger) cancel(c Cancel) {
	id := c.Key.ID
	if p := l.pending[id]; p != nil {
		p.tickets = slices.DeleteFunc(p.tickets, func(t uint64) bool { return t == c.Ticket })
	}
	if f := l.follow[id]; f != nil {
		l.follow[id] = slices.DeleteFunc(f, func(t uint64) bool { return t == c.Ticket })
	}
}

// ask sends the claim to the home, or handles it if this is the home.
func (l *Ledger) ask(now time.Time, id ID, p *pending) {
	home, second := l.latest().top(id)
	if !home.Same(*l.self) {
		p.sent = true
		l.send(home, Claim{ID: id, Attempt: p.attempt, Digest: p.digest, External: p.external})
		return
	}
	if p.stage != copying {
		l.onReply(now, l.self, l.homeClaim(now, l.self, Claim{ID: id, Attempt: p.attempt, Digest: p.digest, External: p.external}))
		return
	}
	if second != nil && l.grants(id, l.self) {
		l.send(second, Store{l.record(id, p.entry)})
	}
}

func (l *Ledger) askAgain(now time.Time, t timer) {
	p := l.pending[t.id]
	if p == nil || p.attempt != t.serial || !l.member() {
		return
	}
	l.ask(now, t.id, p)
	if l.pending[t.id] != p {
		return
	}
	every := l.cfg.Retry
	if p.stage == attached {
		every = l.cfg.AttachRetry
	}
	l.timers.add(now, every, timer{kind: askAgain, id: t.id, serial: t.serial})
}

// askEnd gives a claim up that wasn't granted in time: a later grant could
// start a copy that a refusal elsewhere has declared not run.
func (l *Ledger) askEnd(now time.Time, t timer) {
	p := l.pending[t.id]
	if p == nil || p.attempt != t.serial || p.stage == attached {
		return
	}
	if p.stage == copying {
		l.giveBack(now, t.id, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "the claim got no second record in time"))
		return
	}
	l.giveBack(now, t.id, p, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the key's home did not answer in time"))
}

// giveBack ends an Acquire without a start and releases what the home may
// have granted.
func (l *Ledger) giveBack(now time.Time, id ID, p *pending, err *verdict.Error) {
	delete(l.pending, id)
	o := l.refusal(verdict.RefusedElsewhere)
	if p.sent || p.stage == copying {
		l.release(now, id, &entry{holder: l.self, attempt: p.attempt, digest: p.digest}, o)
	}
	for _, t := range p.tickets {
		l.fail(t, l.proven(now, err))
	}
}

// proven weakens a NotRun error that rests on the home's word unless this
// member's lease holds for as long as any copy received so far may still be
// granted: a lapsed lease may mean that the home is no home any more.
func (l *Ledger) proven(now time.Time, err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun || l.without.proof || now.Add(l.cfg.RefusalMark()).Before(l.lease) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "not proven without a lease: %s", err.Message)
}

func (l *Ledger) onReply(now time.Time, from *structs.Member, r ClaimReply) {
	l.adopt(now, r.View)
	p := l.pending[r.ID]
	if p == nil || p.attempt != r.Attempt {
		l.returnStray(now, from, r)
		return
	}
	switch r.Result {
	case Attached:
		p.stage = attached
	case Ended:
		l.ended(now, r.ID, p, r.Outcome)
	case Granted:
		l.granted(now, from, r, p)
	}
}

// returnStray gives back a grant that nobody here waits for.
func (l *Ledger) returnStray(now time.Time, from *structs.Member, r ClaimReply) {
	if r.Result != Granted {
		return
	}
	l.onCheck(now, from, Check{ID: r.ID, Attempt: r.Attempt})
}

func (l *Ledger) ended(now time.Time, id ID, p *pending, o *structs.Outcome) {
	delete(l.pending, id)
	late := p.stage == attached || now.Sub(p.arrival) > l.cfg.ProbeTimeout
	for _, t := range p.tickets {
		if late && o.Verdict == verdict.NotRun {
			// The home said so at an unknown time, and may have granted
			// another claim since. Ask again.
			l.probeFor(now, &probe{ticket: t, id: id, mark: true, refusal: o})
			continue
		}
		l.replyOutcome(now, t, o)
	}
}

// replyOutcome answers with what the home knows of another copy.
func (l *Ledger) replyOutcome(now time.Time, ticket uint64, o *structs.Outcome) {
	if o.Verdict == verdict.NotRun {
		l.fail(ticket, l.proven(now, outcomeError(o)))
		return
	}
	l.act(Reply{Ticket: ticket, Kept: o})
}

func (l *Ledger) granted(now time.Time, from *structs.Member, r ClaimReply, p *pending) {
	if !l.grantedBy(r.ID, from, r.View) {
		return
	}
	switch {
	case now.Sub(p.arrival) > l.cfg.ClaimTimeout:
		l.giveBack(now, r.ID, p, verdict.New(verdict.NotRun, verdict.ClaimTimeout, "the claim was granted too late"))
		return
	case !now.Before(l.lease) && !l.without.lease:
		l.giveBack(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry may start nothing now"))
		return
	case l.leaving:
		l.giveBack(now, r.ID, p, verdict.New(verdict.MayHaveRun, verdict.Draining, "this entry is stopping"))
		return
	case len(p.tickets) == 0:
		l.giveBack(now, r.ID, p, verdict.New(verdict.NotRun, verdict.Cancelled, "the caller has gone"))
		return
	}
	delete(l.pending, r.ID)
	e := p.entry
	if e == nil {
		e = &entry{holder: l.self, attempt: p.attempt, digest: p.digest}
	}
	e.rank = ByHolder
	if l.entries[r.ID] != e {
		l.add(now, r.ID, e)
	}
	delete(l.marks, r.ID)
	l.act(Reply{Ticket: p.tickets[0], Granted: true})
	if len(p.tickets) > 1 {
		l.follow[r.ID] = p.tickets[1:]
	}
}

func (l *Ledger) fail(ticket uint64, err *verdict.Error) {
	l.act(Reply{Ticket: ticket, Err: err})
}

// goOut ends everything that needs membership. Open claims stay known, so
// that their outcomes still reach the homes that count them as lost.
func (l *Ledger) goOut() {
	l.out = true
	for id, e := range l.entries {
		if e.open() && l.mine(e) {
			l.orphans[id] = e
		}
	}
	err := verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry was removed from the view")
	for _, id := range sortedIDs(l.pending) {
		for _, t := range l.pending[id].tickets {
			l.fail(t, err)
		}
	}
	for _, id := range sortedIDs(l.follow) {
		for _, t := range l.follow[id] {
			l.fail(t, err)
		}
	}
	for _, serial := range slices.Sorted(maps.Keys(l.probes)) {
		l.fail(l.probes[serial].ticket, err)
	}
	l.pending = make(map[ID]*pending)
	l.follow = make(map[ID][]uint64)
	l.probes = make(map[uint64]*probe)
	l.transfer = nil
}

func sortedIDs[V any](m map[ID]V) []ID {
	return slices.SortedFunc(maps.Keys(m), func(a, b ID) int { return bytes.Compare(a[:], b[:]) })
}

// outcomeError returns the error that an unsuccessful outcome stands for.
func outcomeError(o *structs.Outcome) *verdict.Error { return verdict.Of(o.Err()) }
