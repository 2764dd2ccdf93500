package ledger

import (
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Step applies an event and returns what to do. Lease is the time up to which
// this member may start work; the zero time stands for no lease.
func (l *Ledger) Step(now, lease time.Time, e Event) []Action {
	l.actions = nil
	l.lease = lease
	switch e := e.(type) {
	case Tick:
		l.expire(now)
	case Acquire:
		l.acquire(now, e)
	case Cancel:
		l.cancel(e)
	case Refuse:
		l.probe(now, e.Ticket, e.Key, true)
	case Lookup:
		l.probe(now, e.Ticket, e.Key, false)
	case Finish:
		l.finish(now, e)
	case Received:
		l.received(now, l.intern(e.From), e.Message)
	case ViewLearned:
		l.viewLearned(now, e)
	case ViewInForce:
		l.horizon = max(l.horizon, e.HorizonMS)
		l.enforce(now, e.Version)
	case Out:
		l.goOut()
	case Leave:
		l.leaving = true
		l.handOverAll(now)
	}
	l.runTimers(now)
	return l.actions
}

// MayStart checks, right before a start, that this member holds the claim and
// a lease. It returns the time up to which a start is allowed. A refusal with
// NotRun speaks of this start: the claim was granted under a lease, so nobody
// else has started the work before, and none may after.
func (l *Ledger) MayStart(now, lease time.Time, k key.Key) (time.Time, *verdict.Error) {
	if !l.Holds(k) {
		return time.Time{}, verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry does not hold the claim")
	}
	if l.without.lease {
		return now.Add(time.Hour), nil
	}
	if l.out || !now.Before(lease) {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "this entry may start nothing now")
	}
	return lease, nil
}

func (l *Ledger) received(now time.Time, from *structs.Member, m Message) {
	if l.out && !isStored(m) {
		return
	}
	switch m := m.(type) {
	case Claim:
		l.onClaim(now, from, m)
	case ClaimReply:
		l.onReply(now, from, m)
	case Store:
		l.onStore(now, from, m.Record)
	case Stored:
		l.onStored(now, from, m)
	case Check:
		l.onCheck(now, from, m)
	case Probe:
		l.onProbe(now, from, m)
	case ProbeReply:
		l.onProbeReply(now, m)
	case Handover:
		l.onHandover(now, from, m)
	case HandoverAck:
		l.onHandoverAck(now, from, m)
	}
}

func isStored(m Message) bool {
	_, ok := m.(Stored)
	return ok
}

func (l *Ledger) runTimers(now time.Time) {
	for {
		t, ok := l.timers.due(now)
		if !ok {
			return
		}
		switch t.kind {
		case askAgain:
			l.askAgain(now, t)
		case askEnd:
			l.askEnd(now, t)
		case storeAgain:
			l.storeAgain(now, t)
		case releaseAgain:
			l.releaseAgain(now, t)
		case markEnd:
			l.markEnd(now, t.id)
		case probeAgain:
			l.probeAgain(now, t)
		case probeEnd:
			l.probeEnd(t)
		case handOverAgain:
			l.handOverAgain(now, t)
		}
	}
}
