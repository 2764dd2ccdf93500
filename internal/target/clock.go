package target

import (
	"sync"
	"time"
)

// maxClockDrift bounds the relative difference in rate between two clocks:
// 500 parts per million.
const maxClockDrift = 500e-6

// clockEstimate keeps a lower bound of a target's clock. It converts a time of
// this process to the target's clock such that the result is never too late.
//
// A reading is taken before it is received, so at the time of receipt the
// target's clock shows at least the reading. The bound for any other time is
// reduced by the possible drift between the two clocks since then.
type clockEstimate struct {
	mu          sync.Mutex
	incarnation string
	lastReading time.Duration
	receivedAt  time.Time
}

// observe updates the estimate with a reading that was received at receivedAt. A
// reading of the same incarnation that gives a lower bound is ignored.
func (e *clockEstimate) observe(c Clock, receivedAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Incarnation == e.incarnation && e.atLocked(receivedAt) > c.At {
		return
	}
	e.incarnation, e.lastReading, e.receivedAt = c.Incarnation, c.At, receivedAt
}

// at returns a lower bound of the target's clock at time t, and false before the
// first reading.
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
