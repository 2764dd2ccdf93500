package node

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/evacuation"
	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
)

// evacuationGrace is how long a new leader that does not know which data centres are evacuated waits
// for the store, or for a peer, before it starts tasks. A read of the store takes some ms, and the
// set comes with the configuration, without which an entry takes no callers.
const evacuationGrace = 500 * time.Millisecond

// evacuations is what a node knows of evacuated data centres. It belongs to the loop.
type evacuations struct {
	state evacuation.State
	// closesAt is when the next data centre takes no more tasks of begun jobs, 0 if none is about to.
	closesAt time.Duration
	// closedServices are those with targets all of which are in evacuated data centres.
	closedServices map[string]bool
	named          map[string]bool // unknown data centres that were logged
	counts         evacuationCounts
}

// evacuationCounts are the metrics of evacuations.
type evacuationCounts struct {
	dcs, withheld           tally.Gauge
	begun, ended, unknownDC tally.Counter
}

func newEvacuations(m *metrics.Metrics) evacuations {
	s := m.Scope().SubScope("node")
	return evacuations{named: make(map[string]bool), counts: evacuationCounts{
		dcs: s.Gauge("evacuated_data_centres"), withheld: s.Gauge("evacuated_targets"),
		begun: s.Counter("evacuations_begun"), ended: s.Counter("evacuations_ended"), unknownDC: s.Counter("evacuations_unknown"),
	}}
}

// SetEvacuated puts the set of evacuated data centres in force that this entry has read from the
// platform's store.
func (n *Node) SetEvacuated(s evacuation.Set) {
	n.post(func(now time.Duration) { n.readEvacuated(now, &s) })
}

// readEvacuated is SetEvacuated on the loop.
func (n *Node) readEvacuated(now time.Duration, s *evacuation.Set) {
	n.evacuationsChanged(now, n.evacuation.state.Read(now, *s), s.Version, "platform")
}

// mergeEvacuated puts a newer set of evacuated data centres that a peer tells in force, unless this
// entry reads the store.
func (n *Node) mergeEvacuated(now time.Duration, s *evacuation.Set, source string) {
	if s == nil {
		return
	}
	if err := s.Validate(); err != nil {
		n.counts.invalid.Inc(1)
		n.log.Warn("evacuated data centres of a peer ignored: they are invalid", "peer", source, "err", err)
		return
	}
	n.evacuationsChanged(now, n.evacuation.state.Merge(now, *s), s.Version, source)
}

// evacuationsChanged puts a change in force at the pools, and tells the peers at once.
func (n *Node) evacuationsChanged(now time.Duration, c evacuation.Change, version uint64, source string) {
	if c.Empty() {
		return
	}
	v := &n.evacuation
	for _, dc := range c.Begun {
		v.counts.begun.Inc(1)
		n.log.Info("evacuation begun; targets of the data centre get no new tasks", "data_centre", dc, "version", version, "source", source)
	}
	for _, dc := range c.Ended {
		v.counts.ended.Inc(1)
		delete(v.named, dc)
		n.log.Info("evacuation ended; targets of the data centre get tasks again", "data_centre", dc, "version", version, "source", source)
	}
	v.counts.dcs.Update(float64(len(v.state.DCs())))
	n.setPoolTargets(now)
	n.lastHeartbeatAt = 0
}

// closeEvacuated passes it to the pools when the time to finish begun jobs is over.
func (n *Node) closeEvacuated(now time.Duration) {
	if at := n.evacuation.closesAt; at > 0 && now >= at {
		n.setPoolTargets(now)
	}
}

// standsIn reports whether all that fits a target fits another one too.
func standsIn(other, t *fleet.Target) bool {
	return other.Service == t.Service && t.Capacity.Fits(other.Capacity) && !slices.ContainsFunc(t.Labels, func(l string) bool { return !other.HasLabel(l) })
}

// setIntakes sets which tasks the targets of each pool may get. Begun jobs may finish on a target in an
// evacuated data centre only where no target elsewhere in the pool that stays stands in for it.
func (n *Node) setIntakes(now time.Duration, lists [][]fleet.Target) {
	v := &n.evacuation
	v.closesAt, _ = v.state.NextAt(now)
	v.closedServices = make(map[string]bool)
	if len(v.state.DCs()) == 0 {
		v.counts.withheld.Update(0)
		return
	}
	withheld := 0
	for _, list := range lists {
		var open []*fleet.Target
		for i := range list {
			if t := &list[i]; !t.Leaving && v.state.Phase(now, t.DC) == evacuation.None {
				open = append(open, t)
			}
		}
		for i := range list {
			t := &list[i]
			switch v.state.Phase(now, t.DC) {
			case evacuation.None:
				continue
			case evacuation.Finishing:
				t.Intake = fleet.IntakeBegun
				if slices.ContainsFunc(open, func(o *fleet.Target) bool { return standsIn(o, t) }) {
					t.Intake = fleet.IntakeNone
				}
			case evacuation.Closed:
				t.Intake = fleet.IntakeNone
			}
			withheld++
		}
	}
	v.counts.withheld.Update(float64(withheld))
	n.findClosed(lists)
}

// findClosed notes the services without a target outside evacuated data centres, and logs evacuated
// data centres that no target or entry is known of.
func (n *Node) findClosed(lists [][]fleet.Target) {
	v, known := &n.evacuation, map[string]bool{n.cfg.Self.DC: true}
	for _, list := range lists {
		for i := range list {
			t := &list[i]
			known[t.DC] = true
			if closed, seen := v.closedServices[t.Service]; !seen || closed {
				v.closedServices[t.Service] = t.Intake != fleet.IntakeAll
			}
		}
	}
	for _, m := range n.directory.members {
		known[m.DC] = true
	}
	for _, dc := range v.state.DCs() {
		if n.directory.hasList && !known[dc] && !v.named[dc] {
			v.named[dc] = true
			v.counts.unknownDC.Inc(1)
			n.log.Error("evacuation names a data centre without targets or entries; it is in force, and withholds nothing now", "data_centre", dc)
		}
	}
}

// EvacuatedDCs returns the number of evacuated data centres that this entry knows of.
func (n *Node) EvacuatedDCs() int {
	return n.ask(func() int { return len(n.evacuation.state.DCs()) })
}
