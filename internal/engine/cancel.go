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

// cancelHere cancels work that this entry holds.
func (e *Engine) cancelHere(ctx context.Context, k key.Key) (structs.Outcome, error) {
	g := e.tracked(k)
	if g == nil {
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.NotFound, "key %s does not run at this entry", k)
	}
	g.cancelWith(verdict.New(verdict.NotRun, verdict.Cancelled, "cancelled by the caller"))
	select {
	case <-g.done:
		return g.outcome, nil
	case <-ctx.Done():
		return structs.Outcome{}, verdict.New(verdict.MayHaveRun, verdict.Timeout, "tasks are still stopping")
	}
}

// cancelElsewhere asks every linked entry of the data centre to cancel, since
// any of them may hold the work. Without a holder, the key's outcome answers.
func (e *Engine) cancelElsewhere(ctx context.Context, k key.Key) (structs.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	if o := e.askHolders(ctx, k); o != nil {
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

// askHolders returns the outcome that the holder reports, or nil.
func (e *Engine) askHolders(ctx context.Context, k key.Key) *structs.Outcome {
	found := make(chan *structs.Outcome, 1)
	var g errgroup.Group
	for _, name := range e.Links.Linked(e.DC) {
		g.Go(func() error {
			q := &forward{Op: opCancelHere, Key: k, Remaining: remaining(ctx)}
			o, answered := e.forwards.askOne(ctx, name, q)
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
		return e.forwards.claimExternal(ctx, k)
	}
	if e.journalFull(1) {
		full := verdict.New(verdict.NotRun, verdict.MemoryFull, "too many outcomes wait for the platform").After(retryJournal)
		return e.Refuse(ctx, k, full)
	}
	return e.External.ClaimExternal(ctx, k)
}
