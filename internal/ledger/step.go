package ledger

import (
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Step applies an event and returns the actions to carry out. Lease is the time
// up to which this member may start work; the zero time means that it holds no
// lease.
func (l *Ledger) Step(now, lease time.Time, e Event) []Action {
	l.actions = nil
	l.leaseEnd = lease
	switch e := e.(type) {
	case Tick:
		l.expireKeys(now)
	case Acquire:
		l.acquire(now, e)
	case Cancel:
		l.cancel(e)
	case Refuse:
		l.probeKey(now, e.CallID, e.Key, true)
	case Lookup:
		l.probeKey(now, e.CallID, e.Key, false)
	case Finish:
		l.finish(now, e)
	case Received:
		l.messageReceived(now, l.intern(e.From), e.Message)
	case ViewLearned:
		l.viewLearned(now, e)
	case ViewInForce:
		l.horizonMS = max(l.horizonMS, e.HorizonMS)
		l.viewInForce(now, e.Version)
	case MembershipEnded:
		l.endMembership()
	case Leave:
		l.leaving = true
		l.handOverAll(now)
	}
	l.runTimers(now)
	return l.actions
}

// MayStart checks, right before a start, that this member holds the claim and a
// lease. It returns the time up to which the start is allowed. A NotRun error
// is about this start: the claim was granted under a lease, so no other member
// has started the work before, and none may after.
func (l *Ledger) MayStart(now, lease time.Time, k key.Key) (time.Time, *verdict.Error) {
	if !l.Holds(k) {
		return time.Time{}, verdict.New(verdict.MayHaveRun, verdict.LeaseLapsed, "this entry does not hold the claim")
	}
	if l.disabled.leaseCheck {
		return now.Add(time.Hour), nil
	}
	if l.membershipEnded || !now.Before(lease) {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "this entry holds no lease to start work")
	}
	return lease, nil
}

func (l *Ledger) messageReceived(now time.Time, from *structs.Member, m Message) {
	if l.membershipEnded && !isStoreAck(m) {
		return
	}
	switch m := m.(type) {
	case Claim:
		l.onClaim(now, from, m)
	case ClaimReply:
		l.onClaimReply(now, from, m)
	case StoreRecord:
		l.onStore(now, from, m.Record)
	case StoreAck:
		l.onStoreAck(now, from, m)
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

func isStoreAck(m Message) bool {
	_, ok := m.(StoreAck)
	return ok
}

func (l *Ledger) runTimers(now time.Time) {
	for {
		t, ok := l.timers.popDue(now)
		if !ok {
			return
		}
		switch t.kind {
		case claimRetry:
			l.retryClaim(now, t)
		case claimTimeout:
			l.claimTimedOut(now, t)
		case outcomeRetry:
			l.retrySendOutcome(now, t)
		case releaseRetry:
			l.retryRelease(now, t)
		case markExpiry:
			l.expireMark(now, t.id)
		case probeRetry:
			l.retryProbe(now, t)
		case probeTimeout:
			l.probeTimedOut(t)
		case handoverRetry:
			l.retryHandover(now, t)
		}
	}
}
