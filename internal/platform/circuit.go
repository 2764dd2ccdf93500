package platform

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// circuitBreaker rejects requests while the platform is down, so that in an
// outage only one request per probe interval is sent and callers don't wait.
type circuitBreaker struct {
	mu               sync.Mutex
	failureThreshold int           // consecutive failures that open the circuit
	probeInterval    time.Duration // time between two probes while the circuit is open
	failures         int
	open             bool
	probing          bool
	nextProbe        time.Time
	gauge            tally.Gauge
}

func newCircuitBreaker(threshold int, interval time.Duration, gauge tally.Gauge) *circuitBreaker {
	gauge.Update(0)
	return &circuitBreaker{failureThreshold: threshold, probeInterval: interval, gauge: gauge}
}

// allow reports whether a request may be sent. The caller must follow each
// allowed request by recordSuccess, recordFailure or recordCancelled.
func (c *circuitBreaker) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.open {
		return true
	}
	if c.probing || now.Before(c.nextProbe) {
		return false
	}
	c.probing = true
	return true
}

// wouldReject reports whether allow would return false, without claiming a probe.
func (c *circuitBreaker) wouldReject(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open && (c.probing || now.Before(c.nextProbe))
}

func (c *circuitBreaker) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
	c.probing = false
	if c.open {
		c.open = false
		c.gauge.Update(0)
	}
}

func (c *circuitBreaker) recordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	c.probing = false
	if c.failures < c.failureThreshold {
		return
	}
	c.nextProbe = now.Add(c.probeInterval)
	if !c.open {
		c.open = true
		c.gauge.Update(1)
	}
}

// recordCancelled ends a request that its caller cancelled, which shows nothing
// about the platform.
func (c *circuitBreaker) recordCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

func (c *circuitBreaker) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
