// Package claims runs the membership and ledger state machines of one entry: it
// passes them events from peers, timers and the platform, carries out their
// actions, and offers blocking calls to the engine.
package claims

import (
	"context"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// Claim is the result of Acquire: either Granted is set or Outcome is not nil.
type Claim struct {
	// Granted means that only this entry may start the work.
	Granted bool
	// Outcome is the outcome of an earlier copy of the request, or nil.
	Outcome *structs.Outcome
}

// Claims grants the right to start non-repeatable work.
type Claims interface {
	// Acquire claims the key for this entry. While another copy of the request
	// holds the claim, it blocks, and then returns that copy's outcome. The
	// error is a *verdict.Error; with NotRun, no copy received so far starts
	// later.
	Acquire(ctx context.Context, k key.Key, digest uint64) (Claim, error)
	// MayStart checks the lease right before a start. It returns the time up to
	// which the start is allowed, or an error. After a NotRun error, the work
	// has not been started.
	MayStart(k key.Key) (notAfter time.Time, err error)
	// Finish records the outcome of a granted claim, for resubmissions and the
	// account. An outcome with verdict NotRun releases the claim.
	Finish(k key.Key, o structs.Outcome)
	// Refuse asks whether a refusal of work that was never claimed here may
	// have the verdict not_run. It returns nil if so, otherwise the error to
	// answer with.
	Refuse(ctx context.Context, k key.Key) error
	// Outcome returns the outcome of a key, nil while its work is running, or
	// an error with reason NotFound or HomeUnreachable.
	Outcome(ctx context.Context, k key.Key) (*structs.Outcome, error)
}
