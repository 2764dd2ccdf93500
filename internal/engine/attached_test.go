package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/claims"
	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// heldClaims are claims of which each is held by another copy that does not end.
type heldClaims struct{ *fakeClaims }

func (heldClaims) Acquire(ctx context.Context, _ key.Key, _ uint64) (claims.Claim, error) {
	<-ctx.Done()
	return claims.Claim{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the wait for the claim ended")
}

// A copy of a request that another copy was running for past its deadline got no
// response at its own.
func TestCopyOfRunningRequestIsAnsweredAtItsDeadline(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	e := n.newEngine(t, "e1", "a", c)
	e.Claims = heldClaims{c}
	w := newWork(t, "unlock", structs.Request, 1)
	w.Deadline = time.Now().Add(minClaimWait)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	o := e.Do(ctx, w)

	assert.NilError(t, ctx.Err(), "no response by the deadline")
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	assert.Equal(t, o.Reason, verdict.Timeout, o.Message)
}
