package engine

import (
	"context"
	"time"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// awaitedTimeout limits the question whether the sender of forwarded work still waits.
const awaitedTimeout = time.Second

// notAwaited is the outcome of forwarded work that its sender no longer waits for.
func notAwaited() structs.Outcome {
	return structs.OutcomeFromError(verdict.New(verdict.NotRun, verdict.Cancelled, "the entry that forwarded the request no longer waits for it").WithRetryAfter(retryAfterShort))
}

// awaited asks the entry that forwarded work whether it still waits for the outcome. An
// entry that was paused or cut off may read the work long after the sender has given it
// up, and after the caller has been told not_run elsewhere.
//
// It is called once the claim is granted. The caller then still waited after the grant, and
// whoever refuses the key later finds the claim.
func (f *forwarder) awaited(ctx context.Context, from string, req *forward) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitedTimeout)
	defer cancel()
	d, _ := f.callPeer(ctx, from, &forward{Op: opAwaited, Key: req.Key, Call: req.ID, Remaining: awaitedTimeout})
	return d != nil && !d.Declined
}

// waitsFor reports whether a call to the peer still waits for its response.
func (f *forwarder) waitsFor(peer string, id uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[id]
	return c != nil && c.to == peer
}
