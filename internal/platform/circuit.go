package platform

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// circuit holds back requests while the platform is down, so that an outage
// costs its users one attempt at each interval and no waiting.
type circuit struct {
	mu        sync.Mutex
	threshold int           // failures in a row that open the circuit
	interval  time.Duration // between two probes while open
	failures  int
	open      bool
	probing   bool
	nextProbe time.Time
	gauge     tally.Gauge
}

func newCircuit(threshold int, interval time.Duration, gauge tally.Gauge) *circuit {
	gauge.Update(0)
	return &circuit{threshold: threshold, interval: interval, gauge: gauge}
}

// enter reports whether a request may be sent. Each request that may is
// followed by success, failure or abandon.
func (c *circuit) enter(now time.Time) bool {
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

// blocked reports whether enter would refuse, without entering.
func (c *circuit) blocked(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open && (c.probing || now.Before(c.nextProbe))
}

func (c *circuit) success() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
	c.probing = false
	if c.open {
		c.open = false
		c.gauge.Update(0)
	}
}

func (c *circuit) failure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	c.probing = false
	if c.failures < c.threshold {
		return
	}
	c.nextProbe = now.Add(c.interval)
	if !c.open {
		c.open = true
		c.gauge.Update(1)
	}
}

// abandon ends a request that showed nothing.
func (c *circuit) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

func (c *circuit) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
