package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/rendezvous"
	"currantstall/internal/structs"
)

const (
	// fullMeshEntries is the largest number of entries that all link to each other. The
	// work for links grows with the square of the entries in a full mesh.
	fullMeshEntries = 16
	// dcContacts is the number of entries of each other data centre to which an entry
	// links, leaders included. They tell who leads there.
	dcContacts = 2
	// contactTimeout is how long a contact may take to link before another one is chosen,
	// twice as long as an attempt to dial.
	contactTimeout = 2 * dialTimeout
	// linkLinger is how long a link is kept after it is last needed, so that a change of
	// leaders and back costs nothing.
	linkLinger = 5 * time.Second
	// replanInterval is the time between two plans of the links.
	replanInterval = 100 * time.Millisecond
)

// linkView is what an entry knows when it plans its links.
type linkView struct {
	self    fleet.Member
	leads   bool // this entry leads a pool
	members map[string]fleet.Member
	leaders map[string]bool // entries that lead a pool, as far as this entry knows
	linked  map[string]bool
	// attempt changes whenever the contacts chosen so far have not linked in time.
	attempt uint64
}

// planLinks returns the entries that this entry links to, and whether a contact is not
// linked yet. In a small deployment these are all entries. In a large one they are those
// of its own data centre, the leaders, and a few contacts in each other data centre; a
// leader links to all.
func planLinks(v linkView) (plan map[string]bool, incomplete bool) {
	plan = make(map[string]bool)
	others := make(map[string][]string) // by data centre
	all := v.leads || len(v.members) <= fullMeshEntries
	for name, m := range v.members {
		switch {
		case name == v.self.Name:
		case all || m.DC == v.self.DC || v.leaders[name]:
			plan[name] = true
		default:
			others[m.DC] = append(others[m.DC], name)
		}
	}
	linkedIn := make(map[string]int) // number of planned and linked entries by data centre
	for name := range plan {
		if v.linked[name] {
			linkedIn[v.members[name].DC]++
		}
	}
	for dc, names := range others {
		missing := dcContacts - linkedIn[dc]
		for _, name := range v.contacts(names, missing) {
			plan[name] = true
			incomplete = incomplete || !v.linked[name]
		}
	}
	return plan, incomplete
}

// contacts chooses up to count contacts among entries of one data centre: those that are
// linked first, others by a hash that spreads the choices of all entries.
func (v *linkView) contacts(names []string, count int) []string {
	if count <= 0 {
		return nil
	}
	self := rendezvous.Hash(v.self.Name) + v.attempt
	slices.SortFunc(names, func(a, b string) int {
		if v.linked[a] != v.linked[b] {
			if v.linked[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rendezvous.Weight(self, b), rendezvous.Weight(self, a)), cmp.Compare(a, b))
	})
	return names[:min(count, len(names))]
}

// linkPlanner is the state of a node's plan of its links. It belongs to the node's loop.
type linkPlanner struct {
	nextAt          time.Duration
	wantedAt        map[string]time.Duration // when each entry was last part of the plan
	redialedAt      map[string]time.Duration // when each entry was last dialled early
	attempt         uint64
	incompleteSince time.Duration // 0 while all contacts are linked
}

// replanLinks passes the entries to link to on to the peer layer, at most once in
// replanInterval.
func (n *Node) replanLinks(now time.Duration) {
	p := &n.linkPlan
	if now < p.nextAt {
		return
	}
	p.nextAt = now + replanInterval
	leaders := make(map[string]bool)
	for _, s := range n.shards {
		s.election.Leaders(func(name string) { leaders[name] = true })
	}
	plan, incomplete := planLinks(linkView{
		self: n.cfg.Self, leads: n.leads() > 0, members: n.directory.members, leaders: leaders, linked: n.linked, attempt: p.attempt,
	})
	switch {
	case !incomplete:
		p.incompleteSince = 0
	case p.incompleteSince == 0:
		p.incompleteSince = now
	case now >= p.incompleteSince+contactTimeout:
		p.attempt, p.incompleteSince = p.attempt+1, 0
	}
	if !p.update(now, plan, n.directory.members) {
		return
	}
	ps := make([]peer.Peer, 0, len(p.wantedAt))
	for name := range p.wantedAt {
		m := n.directory.members[name]
		ps = append(ps, peer.Peer{Member: structs.Member{Name: m.Name, Addr: m.Addr}, DC: m.DC})
	}
	n.peers.SetPeers(ps)
}

// update records a plan and reports whether the set of entries to link to has changed. An
// entry stays in it for linkLinger, unless it is no longer a member.
func (p *linkPlanner) update(now time.Duration, plan map[string]bool, members map[string]fleet.Member) bool {
	before := maps.Clone(p.wantedAt)
	for name := range plan {
		p.wantedAt[name] = now
	}
	maps.DeleteFunc(p.wantedAt, func(name string, at time.Duration) bool {
		_, known := members[name]
		return !known || now > at+linkLinger
	})
	maps.DeleteFunc(p.redialedAt, func(name string, _ time.Duration) bool {
		_, wanted := p.wantedAt[name]
		return !wanted
	})
	return !maps.EqualFunc(before, p.wantedAt, func(a, b time.Duration) bool { return true })
}

// lacksLeader reports whether a heartbeat names a leader that is not a known member. Entries
// that start at the same time read the platform's list before they are both in it. In a
// large deployment, where lists are long, they wait for the next read.
func (d *directory) lacksLeader(b *heartbeatBody) bool {
	if len(d.members) > fullMeshEntries {
		return false
	}
	return slices.ContainsFunc(b.Pools, func(r poolReport) bool {
		_, known := d.members[r.Claim.Leader]
		return !known && r.Claim.Leader != "" && r.Claim.Leader != d.self
	})
}

// redialInterval is the time between two early dials of one entry.
const redialInterval = 200 * time.Millisecond

// dialNamedLeaders dials the leaders that a peer names and that this entry is not linked to,
// without waiting for the backoff to end. After a partition two leaders compete for targets
// until they are linked.
func (n *Node) dialNamedLeaders(now time.Duration, b *heartbeatBody) {
	for i := range b.Pools {
		name := b.Pools[i].Claim.Leader
		if name == "" || name == n.cfg.Self.Name || n.linked[name] || now < n.linkPlan.redialedAt[name]+redialInterval {
			continue
		}
		if _, wanted := n.linkPlan.wantedAt[name]; wanted {
			n.linkPlan.redialedAt[name] = now
			n.peers.Redial(name)
		}
	}
}
