// Package claims runs the membership and ledger step functions of one entry:
// it feeds them events from peers, timers and the platform, carries out their
// actions, and offers blocking calls to the engine.
package claims

import (
	"context"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// Claim is the answer to Acquire. Exactly one of Granted and Kept
// holds.
type Claim struct {
	// Granted means that this entry alone may start the work.
	Granted bool
	// Outcome is the outcome of an earlier copy, or nil.
	Outcome *structs.Outcome
}

// Claims grants the right to start work that may not be repeated.
type Claims interface {
	// Acquire claims the key for this entry. It blocks while another entry
	// holds the claim, and then returns that one's outcome as Kept. The
	// error is a *verdict.Error; with NotRun it holds that no copy received
	// so far starts later.
	Acquire(ctx context.Context, k key.Key, digest uint64) (Claim, error)
	// MayStart checks the lease right before a start. It returns the time
	// up to which a start is allowed, or a NotRun error.
	MayStart(k key.Key) (notAfter time.Time, err error)
	// Finish records the outcome of a granted claim, for resubmissions and
	// the journal. An outcome with verdict NotRun gives the claim back.
	Finish(k key.Key, o structs.Outcome)
	// Refuse asks whether a refusal of work that was never claimed here may
	// say not_run. It returns nil if so, else the error to answer with.
	Refuse(ctx context.Context, k key.Key) error
	// Outcome returns what is known of a key: its outcome, or nil while it
	// runs, or an error with reason NotFound or HomeUnreachable.
	Outcome(ctx context.Context, k key.Key) (*structs.Outcome, error)
}
