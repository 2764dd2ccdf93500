package node

import (
	"time"

	"currantstall/internal/election"
)

// takeover times the parts of the wait after the loss of a pool's leader.
type takeover struct {
	leaderlessSince time.Duration // valid while the pool has no leader
	leadsSince      time.Duration
	acquiring       bool // this entry leads and has not owned all listed targets yet
}

// noteTakeover records the parts of a takeover that end with a decision of the election.
func (n *Node) noteTakeover(now time.Duration, s *shard, d election.Decision, owned int) {
	t := &s.takeover
	switch before := s.decision.Leader; {
	case d.Leader == "" && before != "":
		t.leaderlessSince = now
	case d.Leader != "" && before == "":
		n.counts.leaderless.RecordDuration(now - t.leaderlessSince)
	}
	if d.Leading != s.decision.Leading {
		t.acquiring, t.leadsSince = d.Leading, now
		return
	}
	if t.acquiring && len(s.targets) > 0 && owned >= len(s.targets) {
		t.acquiring = false
		n.counts.acquire.RecordDuration(now - t.leadsSince)
		n.log.Info("takeover", "pool", s.index, "outcome", "all targets acquired", "targets", owned, "ms", (now - t.leadsSince).Milliseconds())
	}
}
