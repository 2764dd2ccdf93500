package node

import (
	"slices"

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
