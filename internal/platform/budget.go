package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"currantstall/internal/sleep"
)

// WriteBudget limits the rate of one process's writes to the platform. Writes
// under a context marked by WithBackground yield to all others: they take only
// tokens that are free at the moment and never reserve tokens ahead.
type WriteBudget struct {
	limiter        *rate.Limiter
	burst          int
	backgroundTurn chan struct{} // held by the one background writer that polls for tokens
}

// NewWriteBudget returns a budget in rows and objects per second. Its burst is
// the budget of one second.
func NewWriteBudget(perSecond float64) *WriteBudget {
	burst := max(int(perSecond), 1)
	return &WriteBudget{
		limiter:        rate.NewLimiter(rate.Limit(perSecond), burst),
		burst:          burst,
		backgroundTurn: make(chan struct{}, 1),
	}
}

type backgroundKey struct{}

// WithBackground marks the writes under ctx as background writes, for group
// commits that can wait until no other writer needs the budget.
func WithBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// Wait blocks until the budget allows n writes. It returns an error if ctx ends
// first.
func (b *WriteBudget) Wait(ctx context.Context, n int) error {
	for n > 0 {
		part := min(n, b.burst)
		if err := b.waitPart(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// waitPart is Wait for at most one burst.
func (b *WriteBudget) waitPart(ctx context.Context, n int) error {
	if ctx.Value(backgroundKey{}) == nil {
		if err := b.limiter.WaitN(ctx, n); err != nil {
			return fmt.Errorf("wait for %d writes: %w", n, err)
		}
		return nil
	}
	select {
	case b.backgroundTurn <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-b.backgroundTurn }()
	for !b.limiter.AllowN(time.Now(), n) {
		if err := sleep.For(ctx, b.timeUntilFree(n)); err != nil {
			return err
		}
	}
	return nil
}

// timeUntilFree returns the time until the budget allows n writes, provided that
// there are no other writes.
func (b *WriteBudget) timeUntilFree(n int) time.Duration {
	missing := float64(n) - b.limiter.Tokens()
	seconds := max(missing, 0) / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
