package jobstore_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/jobstore"
	"currantstall/internal/platform"
)

// rejectAfterLostAnswer carries out the first transaction and loses the answer. It rejects all later ones,
// like a store that is full or whose key was revoked in between.
type rejectAfterLostAnswer struct {
	jobstore.Tables
	calls int
}

func (r *rejectAfterLostAnswer) Apply(ctx context.Context, tx jobstore.Tx) (uint64, error) {
	if r.calls++; r.calls > 1 {
		return 0, fmt.Errorf("status 403: %w", platform.ErrRejected)
	}
	if _, err := r.Tables.Apply(ctx, tx); err != nil {
		return 0, err
	}
	return 0, fmt.Errorf("connection reset: %w", platform.ErrUnknown)
}

// The caller would be told that its job has not run, and will not, while the job is stored.
func TestJobThatMayBeStoredIsNotReportedAsNotStoredAfterARejection(t *testing.T) {
	_, tables := startStore(t)
	lost := &rejectAfterLostAnswer{Tables: tables}
	_, err := jobstore.NewAccepter(lost, discard()).Accept(job(1))
	exists, readErr := jobstore.Exists(context.Background(), tables, job(1).ID)
	assert.NilError(t, readErr)
	assert.Assert(t, exists, "the first transaction has taken effect")
	assert.ErrorIs(t, err, jobstore.ErrOutcomeUnknown)
}
