package node

import (
	"context"
	"slices"
	"time"

	"currantstall/internal/election"
	"currantstall/internal/fleet"
)

// Layouts keeps the layout of the pools in the platform's store.
type Layouts interface {
	// Save writes the layout if the row still has the version that l names, and returns
	// the new version.
	Save(ctx context.Context, l fleet.Layout) (uint64, error)
}

const (
	// layoutInterval is the time between two checks whether the layout is outgrown.
	layoutInterval = 500 * time.Millisecond
	// layoutSettle is how long the number of targets must be steady before a first layout
	// is planned for it.
	layoutSettle = time.Second
	// layoutTimeout limits an attempt to save a layout.
	layoutTimeout = 2 * time.Second
)

// layoutKeeper is the state of an entry that plans layouts, which is the leader of the
// first pool.
type layoutKeeper struct {
	nextCheckAt time.Duration
	targets     int           // counted at the last check
	steadySince time.Duration // since when that number is steady
	saving      bool
	// invalidVersion is the version of the layout's row in the store when it was last found
	// to be invalid.
	invalidVersion uint64
}

// SetLayout puts the layout of the platform's store in force, unless the one in force has
// the same or a higher version.
func (n *Node) SetLayout(l fleet.Layout) {
	n.post(func(now time.Duration) { n.setLayout(now, l) })
}

// SetInvalidLayout tells that the layout in the platform's store is invalid as of a version
// of its row. The layout in force stays, or the default one, so that all entries that know
// of no other use the same; the entry that plans layouts replaces the row.
func (n *Node) SetInvalidLayout(version uint64) {
	n.post(func(now time.Duration) {
		n.keeper.invalidVersion = version
		if !n.layoutKnown {
			n.setLayout(now, fleet.DefaultLayout())
		}
	})
}

// setLayout puts a newer layout in force. The jobs that leaders under the former one have
// are submitted again, as after the loss of a leader.
func (n *Node) setLayout(now time.Duration, l fleet.Layout) {
	if err := l.Validate(); err != nil {
		n.counts.invalid.Inc(1)
		n.log.Warn("layout ignored: it is invalid", "version", l.Version, "err", err)
		return
	}
	known := n.layoutKnown
	n.layoutKnown = true
	if known && l.Version <= n.layout.Version {
		return
	}
	before := n.layout
	n.layout = l
	if slices.Equal(before.Pools, l.Pools) {
		return
	}
	n.log.Info("layout", "version", l.Version, "pools", len(l.Pools), "planned_for", l.Targets, "before", before.Version)
	n.stopOwner()
	former := n.shards
	for _, s := range former {
		s.pool.StepDown()
	}
	for id, p := range n.pending {
		if p.relayFor != "" {
			n.returnRelayed(now, id, p)
			continue
		}
		if p.sentTo != "" {
			n.reclaim(now, p)
		}
		p.pool, p.moveTo = -1, 0
		p.home = atHome{until: p.home.until}
	}
	n.shards = n.newShards(l, now)
	n.setPoolTargets(now)
}

// checkLayout saves a new layout if this entry leads the first pool and the present one
// is outgrown. Stored jobs may need any target, so they are run by a single pool.
func (n *Node) checkLayout(now time.Duration) {
	k := &n.keeper
	if n.cfg.Layouts == nil || k.saving || now < k.nextCheckAt || !n.shards[0].decision.Leading {
		return
	}
	k.nextCheckAt = now + layoutInterval
	count := len(n.directory.targets)
	if count != k.targets {
		k.targets, k.steadySince = count, now
	}
	if count == 0 || n.directory.targetsAge(now) > maxTargetListAge {
		return
	}
	want := fleet.PlanLayout(n.directory.targets, n.entrySizes())
	replace := k.invalidVersion > n.layout.Version
	switch {
	case n.stored.expected:
		want.Pools = []fleet.Scope{{}}
	case now < k.steadySince+layoutSettle:
		return
	case n.layout.Version != 0 && !n.layout.Outgrown(count):
		want = n.layout
	}
	if slices.Equal(want.Pools, n.layout.Pools) && !replace {
		return
	}
	want.Version = max(n.layout.Version, k.invalidVersion)
	k.saving = true
	go n.saveLayout(want)
}

// entrySizes returns the sizes of this entry and of those that are linked, which are all
// for a leader.
func (n *Node) entrySizes() []int64 {
	sizes := []int64{n.cfg.MilliCPU}
	n.shards[0].election.Peers(func(e election.Entry) { sizes = append(sizes, e.MilliCPU) })
	return sizes
}

// saveLayout saves a layout and puts it in force. If that fails, the next check tries
// again with what the store has by then.
func (n *Node) saveLayout(l fleet.Layout) {
	ctx, cancel := context.WithTimeout(n.ctx, layoutTimeout)
	defer cancel()
	version, err := n.cfg.Layouts.Save(ctx, l)
	n.post(func(now time.Duration) {
		n.keeper.saving = false
		if err != nil {
			n.log.Warn("layout not saved; trying again", "version", l.Version, "pools", len(l.Pools), "err", err)
			return
		}
		l.Version = version
		n.setLayout(now, l)
	})
}
