package engine

import (
	"context"
	"sync"
)

// inFlight counts the work that a planned stop waits for: work of callers and
// tasks that peers offloaded.
type inFlight struct {
	mu       sync.Mutex
	n        int
	draining bool          // tryAdd fails
	idle     chan struct{} // closed once draining is set and n is 0
}

func newInFlight() *inFlight { return &inFlight{idle: make(chan struct{})} }

// tryAdd counts one more piece of work. It reports false, and counts nothing,
// once draining has begun.
func (f *inFlight) tryAdd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.n++
	return true
}

// add counts one more piece of work, also while draining. It is for work that
// was accepted already, such as an execution that outlives its caller.
func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

// remove undoes one tryAdd or add.
func (f *inFlight) remove() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.signalIdle()
}

// signalIdle closes idle if the last work has ended. The caller holds the lock.
func (f *inFlight) signalIdle() {
	if !f.draining || f.n > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// close begins draining: tryAdd fails from now on.
func (f *inFlight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.signalIdle()
}

// wait waits until all counted work has ended after close, or ctx ends.
func (f *inFlight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isDraining reports whether close was called.
func (f *inFlight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}
