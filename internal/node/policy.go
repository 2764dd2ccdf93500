package node

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/rendezvous"
)

// liveMember is a member that is presumed to be alive, as a leader sees it.
type liveMember struct {
	name, dc string
	inReach  bool
}

// acquirePolicies returns the rule by which a leader acquires each target. A leader that
// reaches a majority of the live members acquires targets at once, and one with a
// minority those whose home entry it reaches. The home is one of the members in the
// target's data centre. Other targets are acquired after minorityAcquireDelay, and so are
// targets of a data centre none of whose live members is in reach, which may be cut off
// with a leader of its own.
func acquirePolicies(live []liveMember, targets []fleet.Target) func(id string) pool.AcquirePolicy {
	all, byDC := &homes{}, make(map[string]*homes)
	reached := 0
	for _, m := range live {
		if byDC[m.dc] == nil {
			byDC[m.dc] = &homes{}
		}
		byDC[m.dc].add(m)
		all.add(m)
		if m.inReach {
			reached++
		}
	}
	majority := 2*reached > len(live)
	dcs := make(map[string]string, len(targets))
	for i := range targets {
		dcs[targets[i].ID] = targets[i].DC
	}
	return func(id string) pool.AcquirePolicy {
		h := byDC[dcs[id]]
		if h == nil {
			h = all
		}
		home, _ := rendezvous.TopTwoHashed(rendezvous.Hash(id), h.hashes)
		policy := pool.AcquirePolicy{Home: h.inReach[home], CutOff: !slices.Contains(h.inReach, true)}
		if !policy.Home && (!majority || policy.CutOff) {
			policy.Delay = minorityAcquireDelay
		}
		return policy
	}
}

// homes is a set of members among which the homes of targets are chosen.
type homes struct {
	hashes  []uint64
	inReach []bool
}

func (h *homes) add(m liveMember) {
	h.hashes, h.inReach = append(h.hashes, rendezvous.Hash(m.name)), append(h.inReach, m.inReach)
}

// updateAcquirePolicies tells the pools that this entry leads how soon they may acquire
// each target.
func (n *Node) updateAcquirePolicies(now time.Duration) {
	n.policiesDue = false
	for _, s := range n.shards {
		if s.pool.Leading() {
			n.updateAcquirePolicy(now, s)
		}
	}
}

// updateAcquirePolicy tells a pool how soon it may acquire each target. Whether this entry
// is in a minority is judged among the members of the pool's data centre, to all of which
// its leader links.
func (n *Node) updateAcquirePolicy(now time.Duration, s *shard) {
	var near, all []liveMember
	for name := range n.presumedLive(now) {
		self := name == n.cfg.Self.Name
		m := liveMember{name: name, dc: n.directory.members[name].DC, inReach: self || n.linked[name]}
		if self {
			m.dc = n.cfg.Self.DC
		}
		all = append(all, m)
		if m.dc == s.scope.DC {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	s.pool.SetAcquirePolicy(now, acquirePolicies(near, s.targets))
}
