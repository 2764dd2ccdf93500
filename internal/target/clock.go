package target

import (
	"sync"
	"time"
)

// maxClockDrift bounds the difference in rate between two clocks, in parts of one.
const maxClockDrift = 500e-6

// clockEstimate bounds a target's clock from below, so that a time of this
// process can be told in the target's clock without ever being told too late.
//
// A reading that was received at time r was taken at r or before; so the
// target's clock then showed at least the reading. Later the bound loses what
// the two clocks may have drifted apart.
type clockEstimate struct {
	mu          sync.Mutex
	incarnation string
	lastReading time.Duration
	receivedAt  time.Time
}

// observe takes in a reading that was received at time r.
func (e *clockEstimate) observe(c Clock, receivedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Incarnation == e.incarnation && e.atLocked(receivedAt) > c.At {
		return
	}
	e.incarnation, e.lastReading, e.receivedAt = c.Incarnation, c.At, receivedAt
}

// at returns the target's clock at time t or a little earlier, and false
// before the first reading.
func (e *clockEstimate) at(t time.Time) (Clock, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == "" {
		return Clock{}, false
	}
	return Clock{Incarnation: e.incarnation, At: e.atLocked(t)}, true
}

func (e *clockEstimate) atLocked(t time.Time) time.Duration {
	elapsed := t.Sub(e.receivedAt)
	return e.lastReading + elapsed - time.Duration(float64(elapsed.Abs())*maxClockDrift)
}
