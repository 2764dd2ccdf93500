package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantstall/internal/sleep"
)

// backoff draws random waits between attempts. Each wait is uniform below a
// bound that doubles with every try ("full jitter"), so that retries do not
// arrive in waves.
type backoff struct {
	base, limit time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

func newBackoff(base, limit time.Duration, seed uint64) *backoff {
	return &backoff{base: base, limit: limit, rng: rand.New(rand.NewPCG(seed, seed))}
}

// draw returns the wait before try n, counted from 0.
func (b *backoff) draw(n int) time.Duration {
	bound := min(b.base<<min(n, 20), b.limit)
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.rng.Int64N(int64(bound))) + 1
}

// wait sleeps before try n. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context, n int) bool {
	return sleep.For(ctx, b.draw(n)) == nil
}
