package claims

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/journal"
	"currantstall/internal/key"
	"currantstall/internal/ledger"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// call is a blocking call of the engine that waits for a ledger.Reply.
type call struct {
	key   key.Key
	reply chan ledger.Reply

	mu        sync.Mutex
	delivered bool
	abandoned bool
}

// deliver passes the reply to the caller. It reports whether the caller still
// waits.
func (c *call) deliver(a ledger.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned || c.delivered {
		return false
	}
	c.delivered = true
	c.reply <- a
	return true
}

// abandon ends the wait. It reports whether a reply was already delivered.
func (c *call) abandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return c.delivered
}

// callLedger passes an event to the ledger and waits for its Reply. It returns
// false if ctx or the runtime ended first; the event is then cancelled.
func (r *Runtime) callLedger(ctx context.Context, k key.Key, event func(callID uint64) ledger.Event) (ledger.Reply, bool) {
	c := &call{key: k, reply: make(chan ledger.Reply, 1)}
	var callID uint64
	r.post(func() {
		r.lastCallID++
		callID = r.lastCallID
		r.calls[callID] = c
		r.stepLedger(event(callID))
	})
	select {
	case a := <-c.reply:
		return a, true
	case <-ctx.Done():
	case <-r.done:
	}
	if c.abandon() {
		return <-c.reply, true
	}
	r.post(func() {
		delete(r.calls, callID)
		r.stepLedger(ledger.Cancel{CallID: callID, Key: k})
	})
	return ledger.Reply{}, false
}

// deliverReply passes a reply to its call. A claim granted to a caller that no
// longer waits is released.
func (r *Runtime) deliverReply(l *ledger.Ledger, a ledger.Reply) {
	c := r.calls[a.CallID]
	delete(r.calls, a.CallID)
	if c != nil && c.deliver(a) || !a.Granted {
		return
	}
	if c != nil {
		r.stepLedgerOf(l, ledger.Finish{Key: c.key, Outcome: structs.Outcome{Verdict: verdict.NotRun, Reason: verdict.Cancelled}})
	}
}

// Acquire implements Claims. A MayHaveRun error refers to earlier copies of the
// request: this copy never starts after an error, so the caller may answer
// NotRun if no other copy can exist.
func (r *Runtime) Acquire(ctx context.Context, k key.Key, digest uint64) (Claim, error) {
	return r.acquire(ctx, ledger.Acquire{Key: k, Digest: digest})
}

// ExternalClaim claims a key for the old system. It returns nil, nil if the old
// system may run the work, or the outcome if a copy ran here. It blocks while a
// copy is running here.
func (r *Runtime) ExternalClaim(ctx context.Context, k key.Key) (*structs.Outcome, error) {
	c, err := r.acquire(ctx, ledger.Acquire{Key: k, External: true})
	if err != nil || c.Outcome != nil {
		return c.Outcome, err
	}
	_, err = r.MayStart(k)
	o := structs.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.RanElsewhere, Message: "the old system has claimed the key"}
	if err != nil {
		o = structs.OutcomeFromError(err)
	}
	r.Finish(k, o)
	return nil, err
}

func (r *Runtime) acquire(ctx context.Context, a ledger.Acquire) (Claim, error) {
	reply, ok := r.callLedger(ctx, a.Key, func(callID uint64) ledger.Event {
		a.CallID = callID
		return a
	})
	switch {
	case !ok:
		return Claim{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the wait for the claim ended: %w", context.Cause(ctx))
	case reply.Err != nil:
		return Claim{}, reply.Err
	case reply.Granted:
		return Claim{Granted: true}, nil
	}
	return r.resolveOutcome(ctx, a.Key, reply.Outcome)
}

// resolveOutcome distinguishes the outcome of an earlier copy, which it
// returns, from a refusal by the home, which it returns as an error. If the
// home no longer knows the key, it looks the key up in the account.
func (r *Runtime) resolveOutcome(ctx context.Context, k key.Key, o *structs.Outcome) (Claim, error) {
	switch o.Reason {
	case verdict.KeyConflict, verdict.RefusedElsewhere:
		return Claim{}, o.Err()
	case verdict.ClaimLost, verdict.KeyExpired:
		if found := r.lookUpInJournal(ctx, k); found != nil {
			return Claim{Outcome: found}, nil
		}
		return Claim{}, o.Err()
	}
	return Claim{Outcome: o}, nil
}

// lookUpInJournal returns the outcome of a key from the account, or nil if it
// has none or can't be read.
func (r *Runtime) lookUpInJournal(ctx context.Context, k key.Key) *structs.Outcome {
	if r.cfg.Journal == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	e, found, err := r.cfg.Journal.Lookup(ctx, k)
	if err != nil || !found {
		return nil
	}
	return journalOutcome(e)
}

// journalOutcome returns a record of the account as an outcome. The account
// does not contain answers.
func journalOutcome(e journal.Record) *structs.Outcome {
	if e.Verdict == verdict.Completed {
		return &structs.Outcome{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.AnswerDropped,
			Message: "according to the account, the work completed; its answer is no longer kept",
		}
	}
	return &structs.Outcome{Verdict: e.Verdict, Reason: e.Reason, Message: "outcome read from the account"}
}

// MayStart implements Claims.
func (r *Runtime) MayStart(k key.Key) (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "this entry has stopped")
	}
	now := r.stepTime()
	l := r.ledger
	var lease time.Time
	if r.prevLedger != nil && !l.Holds(k) && r.prevLedger.Holds(k) {
		l = r.prevLedger
	} else {
		lease = r.membership.LeaseEnd()
	}
	until, err := l.MayStart(now, lease, k)
	if err != nil {
		return time.Time{}, err
	}
	return until, nil
}

// Finish implements Claims.
func (r *Runtime) Finish(k key.Key, o structs.Outcome) {
	r.post(func() {
		l := r.ledger
		if r.prevLedger != nil && !l.Holds(k) {
			l = r.prevLedger
		}
		r.stepLedgerOf(l, ledger.Finish{Key: k, Outcome: o})
	})
}

// Refuse implements Claims.
func (r *Runtime) Refuse(ctx context.Context, k key.Key) error {
	reply, ok := r.callLedger(ctx, k, func(callID uint64) ledger.Event { return ledger.Refuse{CallID: callID, Key: k} })
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the wait for the key's home ended: %w", context.Cause(ctx))
	}
	if reply.Err != nil {
		return reply.Err
	}
	return nil
}

// Outcome implements Claims.
func (r *Runtime) Outcome(ctx context.Context, k key.Key) (*structs.Outcome, error) {
	reply, ok := r.callLedger(ctx, k, func(callID uint64) ledger.Event { return ledger.Lookup{CallID: callID, Key: k} })
	switch {
	case !ok:
		return nil, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the wait for the key's home ended: %w", context.Cause(ctx))
	case reply.Err != nil && reply.Err.Reason == verdict.NotFound:
		if found := r.lookUpInJournal(ctx, k); found != nil {
			return found, nil
		}
		return nil, reply.Err
	case reply.Err != nil:
		return nil, reply.Err
	case reply.Running:
		return nil, nil
	}
	c, err := r.resolveOutcome(ctx, k, reply.Outcome)
	return c.Outcome, err
}
