package node

import (
	"time"

	"currantstall/internal/fleet"
)

// oddLogInterval is the minimum time between two log lines on odd items in directories.
const oddLogInterval = time.Minute

// withoutOdd returns the body of a peer's directory without the targets that can't be used
// or are listed twice, and without the entries that can't be linked: the peer may be of
// another release. It counts them.
func (n *Node) withoutOdd(now time.Duration, b directoryBody) directoryBody {
	odd := 0
	targets := make([]fleet.Target, 0, len(b.Targets))
	seen := make(map[string]bool, len(b.Targets))
	for _, t := range b.Targets {
		if seen[t.ID] || !t.Usable() {
			odd++
			continue
		}
		seen[t.ID] = true
		targets = append(targets, t)
	}
	members := make([]fleet.Member, 0, len(b.Members))
	for _, m := range b.Members {
		if m.Validate() != nil {
			odd++
			continue
		}
		members = append(members, m)
	}
	b.Targets, b.Members = targets, members
	b.TargetsAge = max(b.TargetsAge, 0) // a list from the future would never be replaced
	if odd == 0 {
		return b
	}
	n.counts.invalid.Inc(int64(odd))
	if d := &n.directory; d.oddLoggedAt == 0 || now >= d.oddLoggedAt+oddLogInterval {
		d.oddLoggedAt = now
		n.log.Warn("targets or entries in a peer's directory ignored: they are invalid", "peer", b.Self.Name, "count", odd)
	}
	return b
}
