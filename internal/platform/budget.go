package platform

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"currantstall/internal/sleep"
)

// WriteBudget bounds the writes of one process to the platform. Writers go first
// unless their context is marked by WithBackground: those take only what is
// free at the moment and never hold a place in the queue.
type WriteBudget struct {
	limiter        *rate.Limiter
	burst          int
	backgroundTurn chan struct{} // held by the one background writer that waits
}

// NewWriteBudget returns a budget of rows and objects written per second, with
// bursts of one second's worth.
func NewWriteBudget(perSecond float64) *WriteBudget {
	burst := max(int(perSecond), 1)
	return &WriteBudget{
		limiter:        rate.NewLimiter(rate.Limit(perSecond), burst),
		burst:          burst,
		backgroundTurn: make(chan struct{}, 1),
	}
}

type backgroundKey struct{}

// WithBackground marks the writes under ctx as the least urgent, for group
// commits that can wait.
func WithBackground(ctx context.Context) context.Context {
	return context.WithValue(ctx, backgroundKey{}, true)
}

// Wait blocks until n writes fit the budget. It returns an error if ctx ends
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

// timeUntilFree returns the time until n writes fit if nobody else writes.
func (b *WriteBudget) timeUntilFree(n int) time.Duration {
	missing := float64(n) - b.limiter.Tokens()
	seconds := max(missing, 0) / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
