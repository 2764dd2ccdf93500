package node

import (
	"maps"
	"time"

	"currantstall/internal/election"
)

// suspectFor is how long all links are checked as closely as those that jobs depend on, after a leader was lost:
// until a link that is down as well was closed, and the elections know of that.
const suspectFor = time.Second

// linkUse is what an entry knows of the use of its links.
type linkUse struct {
	linked     map[string]bool
	few        bool            // the deployment is so small that all links matter
	followed   map[string]bool // leaders whom this entry may succeed, and ends of links that a job depends on
	suspicious bool            // a leader was lost a moment ago
}

// urgentLinks returns the peers whose loss has to be noticed quickly. After the loss of a leader these are
// all: the elections choose a relay among the linked peers, and the cause may be a cut that separates this entry from most of them. A
// relay whose loss is noticed only once it has jobs costs these silentAfter, and the next one too.
func urgentLinks(u *linkUse) map[string]bool {
	urgent := maps.Clone(u.followed)
	if u.few || u.suspicious {
		maps.Copy(urgent, u.linked)
	}
	return urgent
}

// suspectLinks notes the loss of a peer if it leads a pool.
func (n *Node) suspectLinks(now time.Duration, lost string) {
	for _, s := range n.shards {
		if s.decision.Leader == lost {
			n.suspectUntil = now + suspectFor
			return
		}
	}
}

// suspectLost notes that a peer has stopped to follow the leader that this entry follows, and follows none: the leader may be out
// of reach of both. Else other entries, whose links to it notice that at once, take this one for a relay to it.
func (n *Node) suspectLost(now time.Duration, s *shard, before, after *election.Claim) {
	if before.Leader != "" && before.Leader == s.decision.Leader && after.Leader == "" && !after.Leading {
		n.suspectUntil = now + suspectFor
	}
}

// relaxLinks tells the peer layer which links have to notice the loss of their peer
// quickly: those to the leaders of this entry's data centre, whom it may succeed, and those
// that a job depends on, at its coordinator or at the leader that has it. In a small
// deployment, and after the loss of a leader, these are all links.
func (n *Node) relaxLinks(now time.Duration) {
	followed := make(map[string]bool)
	for _, s := range n.shards {
		if s.scope.DC == "" || s.scope.DC == n.cfg.Self.DC {
			followed[s.decision.Leader] = true
		}
		s.pool.Coordinators(func(name string) { followed[name] = true })
	}
	for _, p := range n.pending {
		followed[p.sentTo] = true
		followed[p.relayFor] = true
	}
	urgent := urgentLinks(&linkUse{
		linked: n.linked, few: len(n.directory.members) <= fullMeshEntries, followed: followed, suspicious: now < n.suspectUntil,
	})
	for name := range n.linked {
		if n.relaxed[name] == urgent[name] {
			n.relaxed[name] = !urgent[name]
			n.peers.Relax(name, !urgent[name])
		}
	}
}
