package node

import "time"

// loadInterval is the time between two log lines on the load of an entry that leads.
const loadInterval = time.Second

// loadMeter measures the load of a node's loop between two log lines.
type loadMeter struct {
	since     time.Duration // start of the measurement
	busy      time.Duration // spent in the loop's rounds
	events    int           // handled
	maxQueued int           // longest queue of events
	maxLag    time.Duration // of a tick
	starts    int           // answers to starts
	startTime time.Duration // total time from the start orders to these answers
}

// recordRound adds a round of the loop that handled a number of events.
func (m *loadMeter) recordRound(events, queued int, took time.Duration) {
	m.events += events
	m.maxQueued = max(m.maxQueued, queued)
	m.busy += took
}

// recordStart adds the answer to a start order.
func (m *loadMeter) recordStart(took time.Duration) {
	m.starts++
	m.startTime += took
}

// logLoad logs the load of the loop and of the pool while this entry leads, once in
// loadInterval.
func (n *Node) logLoad(now time.Duration) {
	m := &n.load
	if now < m.since+loadInterval {
		return
	}
	var slow, suspect, ejected int
	for _, sh := range n.shards {
		sh.pool.TakeEjections(n.counts.ejection)
		if !sh.pool.Leading() || m.since == 0 {
			continue
		}
		s := sh.pool.Load()
		slow, suspect, ejected = slow+s.Slow, suspect+s.Suspect, ejected+s.Ejected
		n.log.Info("load", "pool", sh.index, "period_ms", (now - m.since).Milliseconds(), "busy_ms", m.busy.Milliseconds(),
			"events", m.events, "max_queued", m.maxQueued, "max_lag_ms", m.maxLag.Milliseconds(),
			"starts", m.starts, "mean_start_ms", m.startTime.Milliseconds()/int64(max(m.starts, 1)),
			"targets", s.Targets, "owned", s.Owned, "capacity", s.Capacity.MilliCPU, "used", s.Used.MilliCPU, "jobs", s.Jobs, "waiting", s.Waiting,
			"slow", s.Slow, "suspected", s.Suspect, "ejected", s.Ejected)
	}
	n.counts.slowTargets.Update(float64(slow))
	n.counts.suspectTargets.Update(float64(suspect))
	n.counts.ejectedTargets.Update(float64(ejected))
	n.load = loadMeter{since: now}
}
