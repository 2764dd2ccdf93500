package engine

import (
	"context"
	"time"

	"currantstall/internal/claims"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// minClaimWait is how long a claim is waited for at least. It is decided in less unless
// another copy of the request holds it, and then a refusal can say not_run.
const minClaimWait = 600 * time.Millisecond

// acquire claims the key of the work. It waits for the outcome of another copy until the
// deadline of this one.
func (e *Engine) acquire(ctx context.Context, w *structs.Work) (claims.Claim, error) {
	wait := max(time.Until(w.Deadline), minClaimWait)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c, err := e.Claims.Acquire(waitCtx, w.Key, w.Digest())
	if err != nil && ctx.Err() == nil && waitCtx.Err() != nil && verdict.FromError(err).Reason == verdict.Cancelled {
		return claims.Claim{}, verdict.New(verdict.MayHaveRun, verdict.Timeout, "the deadline passed while another copy of the request was waited for")
	}
	return c, err
}
