package engine

import (
	"context"
	"sync"
)

// flights counts the work that a planned stop has to wait for: work of callers
// and tasks of peers.
type flights struct {
	mu     sync.Mutex
	n      int
	closed bool          // nothing new may enter
	idle   chan struct{} // closed when closed and n is 0
}

func newFlights() *flights { return &flights{idle: make(chan struct{})} }

// enter counts one more, or returns false if the stop has begun.
func (f *flights) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

// hold counts one more of what has entered already, such as work that outlives
// its caller.
func (f *flights) hold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
}

// leave ends what enter or hold counted.
func (f *flights) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	f.settle()
}

func (f *flights) settle() {
	if !f.closed || f.n > 0 {
		return
	}
	select {
	case <-f.idle:
	default:
		close(f.idle)
	}
}

// close lets nothing new enter.
func (f *flights) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.settle()
}

// wait waits until all is over after close, or ctx ends.
func (f *flights) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// draining reports whether the stop has begun.
func (f *flights) draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}
