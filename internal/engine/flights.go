package engine

import (
	"context"
	"sync"
)

// inFlight counts the work that a planned stop has to wait for: work of callers
// and tasks of peers.
type inFlight struct {
	mu       sync.Mutex
	n        int
	draining bool          // nothing new may enter
	idle     chan struct{} // closed when closed and n is 0
}

func newInFlight() *inFlight { return &inFlight{idle: make(chan struct{})} }

// tryAdd counts one more, or returns false if the stop has begun.
func (f *inFlight) tryAdd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.n++
	return true
}

// add counts one more of what has entered already, such as work that outlives
// its caller.
func (f *inFlight) add() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

// remove ends what enter or hold counted.
func (f *inFlight) remove() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.signalIdle()
}

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

// close lets nothing new enter.
func (f *inFlight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	f.signalIdle()
}

// wait waits until all is over after close, or ctx ends.
func (f *inFlight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isDraining reports whether the stop has begun.
func (f *inFlight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}
