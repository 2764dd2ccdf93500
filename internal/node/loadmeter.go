package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// loadInterval is the time between two log lines on the load of an entry that leads.
const loadInterval = time.Second

// loadMeter measures the load of a node's loop between two log lines.
type loadMeter struct {
	since     time.Duration // start of the measurement
	cpuSince  time.Duration // processor time of the process at that time
	events    int           // handled
	maxQueued int           // longest queue of events
	maxLag    time.Duration // of a tick
}

// record adds a round of the loop that handled a number of events.
func (m *loadMeter) record(events, queued int, lag time.Duration) {
	m.events += events
	m.maxQueued = max(m.maxQueued, queued)
	m.maxLag = max(m.maxLag, lag)
}

// processCPU returns the processor time that the process has used.
func processCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// logLoad logs the load of the loop and of the pool while this entry leads, once in
// loadInterval.
func (n *Node) logLoad(now time.Duration) {
	if now < n.load.since+loadInterval {
		return
	}
	cpu := processCPU()
	if n.pool.Leading() && n.load.since > 0 {
		s := n.pool.Load()
		n.log.Info("load", "period_ms", (now - n.load.since).Milliseconds(), "cpu_ms", (cpu - n.load.cpuSince).Milliseconds(),
			"events", n.load.events, "max_queued", n.load.maxQueued, "max_lag_ms", n.load.maxLag.Milliseconds(), "mean_lag_ms", n.lag.mean.Milliseconds(),
			"targets", s.Targets, "owned", s.Owned, "capacity", s.Capacity.MilliCPU, "used", s.Used.MilliCPU, "jobs", s.Jobs, "waiting", s.Waiting)
	}
	n.load = loadMeter{since: now, cpuSince: cpu}
}
