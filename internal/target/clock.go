package target

import (
	"sync"
	"time"
)

// maxDrift bounds the difference in rate between two clocks, in parts of one.
const maxDrift = 500e-6

// clockEstimate bounds a target's clock from below, so that a time of this
// process can be told in the target's clock without ever being told too late.
//
// A reading that was received at time r was taken at r or before; so the
// target's clock then showed at least the reading. Later the bound loses what
// the two clocks may have drifted apart.
type clockEstimate struct {
	mu       sync.Mutex
	instance string
	reading  time.Duration
	received time.Time
}

// observe takes in a reading that was received at time r.
func (e *clockEstimate) observe(c Clock, r time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Instance == e.instance && e.atLocked(r) > c.At {
		return
	}
	e.instance, e.reading, e.received = c.Instance, c.At, r
}

// at returns the target's clock at time t or a little earlier, and false
// before the first reading.
func (e *clockEstimate) at(t time.Time) (Clock, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.instance == "" {
		return Clock{}, false
	}
	return Clock{Instance: e.instance, At: e.atLocked(t)}, true
}

func (e *clockEstimate) atLocked(t time.Time) time.Duration {
	passed := t.Sub(e.received)
	return e.reading + passed - time.Duration(float64(passed.Abs())*maxDrift)
}
