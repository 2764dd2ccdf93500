package engine

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"currantstall/internal/dispatch"
	"currantstall/internal/key"
	"currantstall/internal/sleep"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// cancelTimeout limits the search for the entry that holds the work to cancel. That
// entry responds once the tasks have stopped.
const cancelTimeout = dispatch.StopTimeout + time.Second

// cancelLocal cancels work that this entry runs as its coordinator, and waits
// until all its tasks have ended, or ctx ends.
func (e *Engine) cancelLocal(ctx context.Context, k key.Key) (structs.Outcome, error) {
	ex := e.tracked(k)
	if ex == nil {
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.NotFound, "no work with key %s is running at this entry", k)
	}
	ex.cancelBecause(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled by the caller"))
	select {
	case <-ex.done:
		return ex.outcome, nil
	case <-ctx.Done():
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.Timeout, "the cancelled tasks have not all stopped yet")
	}
}

// cancelAtPeers asks every linked entry of the data centre to cancel the work,
// since any of them may be its coordinator. If none is, it returns the recorded
// outcome of the key. While the key is claimed without one, or its home is out of
// reach, it tries again: the link to the coordinator or to the home may be down.
func (e *Engine) cancelAtPeers(ctx context.Context, k key.Key) (structs.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		if o := e.callCancelLocal(ctx, k); o != nil {
			return *o, nil
		}
		o, err := e.Claims.Outcome(ctx, k)
		switch {
		case o != nil:
			return *o, nil
		case err != nil && verdict.FromError(err).Reason != verdict.HomeUnreachable:
			return structs.Outcome{}, err
		}
		if sleep.For(ctx, forwardRetryDelay) != nil {
			return structs.Outcome{}, unreachable(k)
		}
	}
}

// callCancelLocal sends opCancelLocal to every linked entry of the data centre
// and returns the outcome that the coordinator of the work reports, or nil.
func (e *Engine) callCancelLocal(ctx context.Context, k key.Key) *structs.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	found := make(chan *structs.Outcome, 1)
	var g errgroup.Group
	for _, name := range e.Links.Linked(e.DC) {
		g.Go(func() error {
			req := &forward{Op: opCancelLocal, Key: k, Remaining: remaining(ctx)}
			d, _ := e.forwarder.callPeer(ctx, name, req)
			if d != nil && !d.Declined && d.Outcome != nil && d.Outcome.Reason != verdict.NotFound {
				select {
				case found <- d.Outcome:
					cancel() // the entries that are silent need not respond
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
// system may run the work of the key. Otherwise the error describes the
// state of the key.
func (e *Engine) ClaimExternal(ctx context.Context, k key.Key) error {
	if k.DC != e.DC {
		return e.forwarder.claimExternal(ctx, k)
	}
	if e.journalFull(1) {
		full := verdict.New(verdict.NotRun, verdict.MemoryFull, "the journal is full: too many outcomes are waiting to be written to the platform").WithRetryAfter(retryAfterJournalFull)
		return e.Refuse(ctx, k, full)
	}
	return e.ExternalClaims.ClaimExternal(ctx, k)
}
