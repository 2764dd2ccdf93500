package engine

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const cancelTimeout = 2 * time.Second

// cancelLocal cancels work that this entry holds.
func (e *Engine) cancelLocal(ctx context.Context, k key.Key) (structs.Outcome, error) {
	ex := e.tracked(k)
	if ex == nil {
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.NotFound, "key %s does not run at this entry", k)
	}
	ex.cancelBecause(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled by the caller"))
	select {
	case <-ex.done:
		return ex.outcome, nil
	case <-ctx.Done():
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.Timeout, "tasks are still stopping")
	}
}

// cancelAtPeers asks every linked entry of the data centre to cancel, since
// any of them may hold the work. Without a holder, the key's outcome answers.
func (e *Engine) cancelAtPeers(ctx context.Context, k key.Key) (structs.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if o := e.callCancelLocal(ctx, k); o != nil {
		return *o, nil
	}
	o, err := e.Claims.Outcome(ctx, k)
	if err != nil {
		return structs.Outcome{}, err
	}
	if o == nil {
		return structs.Outcome{}, unreachable(k)
	}
	return *o, nil
}

// callCancelLocal returns the outcome that the holder reports, or nil.
func (e *Engine) callCancelLocal(ctx context.Context, k key.Key) *structs.Outcome {
	found := make(chan *structs.Outcome, 1)
	var g errgroup.Group
	for _, name := range e.Links.Linked(e.DC) {
		g.Go(func() error {
			req := &forward{Op: opCancelLocal, Key: k, Remaining: remaining(ctx)}
			o, answered := e.forwarder.callPeer(ctx, name, req)
			if answered && o != nil && o.Reason != verdict.NotFound {
				select {
				case found <- o:
				default:
				}
			}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	select {
	case o := <-found:
		return o
	default:
		return nil
	}
}

// ClaimExternal claims a key for the old system. It returns nil if the old
// system may run it, else what is known of the key.
func (e *Engine) ClaimExternal(ctx context.Context, k key.Key) error {
	if k.DC != e.DC {
		return e.forwarder.claimExternal(ctx, k)
	}
	if e.journalFull(1) {
		full := verdict.New(verdict.NotRun, verdict.MemoryFull, "too many outcomes wait for the platform").After(retryAfterJournalFull)
		return e.Refuse(ctx, k, full)
	}
	return e.ExternalClaims.ClaimExternal(ctx, k)
}
