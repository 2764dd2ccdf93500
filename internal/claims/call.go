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

// call is a blocked call of the engine.
type call struct {
	key   key.Key
	reply chan ledger.Reply

	mu        sync.Mutex
	delivered bool
	abandoned bool
}

// deliver hands the reply over. It reports whether the caller still waits.
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

// abandon ends the wait. It reports whether a reply had been delivered.
func (c *call) abandon() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	return c.delivered
}

// do runs an event that is answered by a Reply, and waits for it.
func (r *Runtime) do(ctx context.Context, k key.Key, event func(ticket uint64) ledger.Event) (ledger.Reply, bool) {
	c := &call{key: k, reply: make(chan ledger.Reply, 1)}
	var ticket uint64
	r.post(func() {
		r.tickets++
		ticket = r.tickets
		r.calls[ticket] = c
		r.stepLedger(event(ticket))
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
		delete(r.calls, ticket)
		r.stepLedger(ledger.Cancel{Ticket: ticket, Key: k})
	})
	return ledger.Reply{}, false
}

// reply answers a call. A claim granted to a caller that has gone is given
// back.
func (r *Runtime) reply(l *ledger.Ledger, a ledger.Reply) {
	c := r.calls[a.Ticket]
	delete(r.calls, a.Ticket)
	if c != nil && c.deliver(a) || !a.Granted {
		return
	}
	if c != nil {
		r.stepOf(l, ledger.Finish{Key: c.key, Outcome: structs.Outcome{Verdict: verdict.NotRun, Reason: verdict.Cancelled}})
	}
}

// Acquire implements Claims. A MayHaveRun error speaks of earlier copies: this
// copy itself never starts after an error, so the caller may answer NotRun
// where no other copy can exist.
func (r *Runtime) Acquire(ctx context.Context, k key.Key, digest uint64) (Claim, error) {
	return r.acquire(ctx, ledger.Acquire{Key: k, Digest: digest})
}

// ExternalClaim claims a key for the old system. It returns nil, nil if the
// old system may run it, and the outcome if a copy ran here. It blocks while
// one runs.
func (r *Runtime) ExternalClaim(ctx context.Context, k key.Key) (*structs.Outcome, error) {
	c, err := r.acquire(ctx, ledger.Acquire{Key: k, External: true})
	if err != nil || c.Kept != nil {
		return c.Kept, err
	}
	_, err = r.MayStart(k)
	o := structs.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.RanElsewhere, Message: "the old system has claimed the key"}
	if err != nil {
		o = structs.OutcomeOf(err)
	}
	r.Finish(k, o)
	return nil, err
}

func (r *Runtime) acquire(ctx context.Context, a ledger.Acquire) (Claim, error) {
	reply, ok := r.do(ctx, a.Key, func(ticket uint64) ledger.Event {
		a.Ticket = ticket
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
	return r.kept(ctx, a.Key, reply.Kept)
}

// kept tells outcomes of earlier copies from what the home says without one.
func (r *Runtime) kept(ctx context.Context, k key.Key, o *structs.Outcome) (Claim, error) {
	switch o.Reason {
	case verdict.KeyConflict, verdict.RefusedElsewhere:
		return Claim{}, o.Err()
	case verdict.ClaimLost, verdict.KeyExpired:
		if found := r.lookUp(ctx, k); found != nil {
			return Claim{Kept: found}, nil
		}
		return Claim{}, o.Err()
	}
	return Claim{Kept: o}, nil
}

// lookUp asks the account for a key that no entry knows any more.
func (r *Runtime) lookUp(ctx context.Context, k key.Key) *structs.Outcome {
	if r.cfg.Journal == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	e, found, err := r.cfg.Journal.Lookup(ctx, k)
	if err != nil || !found {
		return nil
	}
	return outcomeOf(e)
}

// outcomeOf returns an entry of the account as an outcome. The account keeps
// no answers.
func outcomeOf(e journal.Entry) *structs.Outcome {
	if e.Verdict == verdict.Completed {
		return &structs.Outcome{
			Verdict: verdict.MayHaveRun,
			Reason:  verdict.AnswerDropped,
			Message: "the account says that the work completed; its answer is no longer kept",
		}
	}
	return &structs.Outcome{Verdict: e.Verdict, Reason: e.Reason, Message: "from the account"}
}

// MayStart implements Claims.
func (r *Runtime) MayStart(k key.Key) (time.Time, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "this entry has stopped")
	}
	now := r.now()
	l := r.led
	var lease time.Time
	if r.prev != nil && !l.Holds(k) && r.prev.Holds(k) {
		l = r.prev
	} else {
		lease = r.mem.LeaseEnd()
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
		l := r.led
		if r.prev != nil && !l.Holds(k) {
			l = r.prev
		}
		r.stepOf(l, ledger.Finish{Key: k, Outcome: o})
	})
}

// Refuse implements Claims.
func (r *Runtime) Refuse(ctx context.Context, k key.Key) error {
	reply, ok := r.do(ctx, k, func(ticket uint64) ledger.Event { return ledger.Refuse{Ticket: ticket, Key: k} })
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
	reply, ok := r.do(ctx, k, func(ticket uint64) ledger.Event { return ledger.Lookup{Ticket: ticket, Key: k} })
	switch {
	case !ok:
		return nil, verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "the wait for the key's home ended: %w", context.Cause(ctx))
	case reply.Err != nil && reply.Err.Reason == verdict.NotFound:
		if found := r.lookUp(ctx, k); found != nil {
			return found, nil
		}
		return nil, reply.Err
	case reply.Err != nil:
		return nil, reply.Err
	case reply.Running:
		return nil, nil
	}
	c, err := r.kept(ctx, k, reply.Kept)
	return c.Kept, err
}
