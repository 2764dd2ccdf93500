// Package sleep waits for a duration or for the end of a context, whichever comes
// first.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or not at all if d is 0 or less. It returns the error of ctx
// if ctx ended first, else nil.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
