package node

import (
	"runtime/debug"
	"time"
)

const (
	// maxContained is the number of panics within containWindow that a process survives. A
	// fault that comes back at once ends the process, which starts again with a new state.
	maxContained  = 3
	containWindow = time.Minute
	// quarantine is how long an entry leads no pool after a panic, if another entry can, so
	// that the jobs move to an entry whose state is sound.
	quarantine = 2 * time.Second
)

// containment is the state of a node for panics of its loop.
type containment struct {
	recent           []time.Duration // times of the panics in containWindow
	quarantinedUntil time.Duration
}

// contain runs part of the loop. After a panic the pools of this entry are empty: what
// they held may be wrong. Runs go on until the next leader adopts or stops them.
func (n *Node) contain(handle func()) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		now := n.now()
		c := &n.containment
		for len(c.recent) > 0 && now > c.recent[0]+containWindow {
			c.recent = c.recent[1:]
		}
		c.recent = append(c.recent, now)
		n.counts.panics.Inc(1)
		n.log.Error("panic in the loop; this entry gives up its pools", "panic", r, "in_window", len(c.recent), "stack", string(debug.Stack()))
		if len(c.recent) > maxContained {
			panic(r)
		}
		c.quarantinedUntil = now + quarantine
		n.electionsDue = true
		n.stopOwner()
		for _, s := range n.shards {
			s.pool.StepDown()
		}
		n.reclaimOwn(now)
	}()
	handle()
}

// reclaimOwn marks the jobs that this entry's own pools had to be submitted again.
func (n *Node) reclaimOwn(now time.Duration) {
	for _, p := range n.pending {
		if p.sentTo == n.cfg.Self.Name {
			n.reclaim(now, p)
		}
	}
}

// quarantined reports whether this entry had a panic lately.
func (n *Node) quarantined(now time.Duration) bool { return now < n.containment.quarantinedUntil }
