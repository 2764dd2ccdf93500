// Package election decides which entry leads among the entries that can reach
// each other. It needs no agreement: two entries may lead at the same time,
// since targets obey the higher fencing token. A decision depends only on the
// peers' heartbeats and the time.
package election

import (
	"cmp"
	"slices"
	"time"
)

// Heartbeat is the part of an entry's heartbeat to its peers that the election
// uses.
type Heartbeat struct {
	// Joined orders the entries by age: the oldest has the lowest value.
	Joined uint64 `cbor:"1,keyasint"`
	// Leading is set while the entry leads. Term is the last term in which it
	// led, Owned the number of targets that it owns.
	Leading bool   `cbor:"2,keyasint,omitempty"`
	Term    uint64 `cbor:"3,keyasint"`
	Owned   int    `cbor:"4,keyasint,omitempty"`
	// Leader is the entry that this one follows, if it does not lead.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Stopping entries are about to exit and lead only if no other entry can.
	Stopping bool `cbor:"6,keyasint,omitempty"`
	// Degraded entries lead only if no other entry can.
	Degraded bool `cbor:"7,keyasint,omitempty"`
}

// leadPenalty orders the entries for succession: an entry with a higher value
// should lead only if none with a lower one can.
func (hb *Heartbeat) leadPenalty() int {
	switch {
	case hb.Stopping:
		return 2
	case hb.Degraded:
		return 1
	}
	return 0
}

// Settings configures an Election.
type Settings struct {
	// ListenPeriod is how long a new entry only receives heartbeats before it
	// may lead.
	ListenPeriod time.Duration
	// RankDelay is how much longer an entry waits for a leader than the entry
	// before it in the order of succession.
	RankDelay time.Duration
}

// Defaults of Settings.
const (
	DefaultListenPeriod = 300 * time.Millisecond
	DefaultRankDelay    = 200 * time.Millisecond
)

// relayGrace is how long a peer gets to notice the loss of a leader. A peer that
// still follows the leader after that counts as able to reach it.
const relayGrace = 300 * time.Millisecond

// Decision is the result of an election.
type Decision struct {
	// Leader is the entry to which jobs are submitted: this entry, a leader, or
	// a relay, which follows a leader that this entry can't reach. It is empty
	// while there is none.
	Leader string
	// Leading is set if this entry leads.
	Leading bool
	Term    uint64
}

// Election is the election state of one entry, created by New. Its owner must
// serialize the calls.
type Election struct {
	cfg             Settings
	self            string
	heartbeat       Heartbeat
	peers           map[string]Heartbeat
	leaderlessSince time.Duration // valid while leaderless
	leaderless      bool
	mayLeadAt       time.Duration // end of the listen period
}

// New returns the election state of an entry that starts now.
func New(cfg Settings, self string, joined uint64, now time.Duration) *Election {
	return &Election{cfg: cfg, self: self, heartbeat: Heartbeat{Joined: joined}, peers: make(map[string]Heartbeat), mayLeadAt: now + cfg.ListenPeriod}
}

// Observe records the latest heartbeat of a linked peer.
func (e *Election) Observe(peer string, hb Heartbeat) { e.peers[peer] = hb }

// RemovePeer drops the heartbeat of a peer whose link is down.
func (e *Election) RemovePeer(peer string) { delete(e.peers, peer) }

// Heartbeat returns the heartbeat of this entry.
func (e *Election) Heartbeat() Heartbeat { return e.heartbeat }

// SetOwned sets the number of targets that this entry owns.
func (e *Election) SetOwned(n int) { e.heartbeat.Owned = n }

// SetStopping marks this entry as about to exit.
func (e *Election) SetStopping() { e.heartbeat.Stopping = true }

// SetDegraded sets whether this entry is degraded and should not lead.
func (e *Election) SetDegraded(degraded bool) { e.heartbeat.Degraded = degraded }

// PeerCount returns the number of linked peers that have sent a heartbeat.
func (e *Election) PeerCount() int { return len(e.peers) }

// Decide returns which entry to follow now. It starts a new term if this entry
// has to become the leader.
func (e *Election) Decide(now time.Duration) Decision {
	if leader, ok := e.strongestLeader(); ok {
		e.leaderless = false
		return e.follow(leader)
	}
	if !e.leaderless {
		e.leaderless, e.leaderlessSince = true, now
	}
	if relay, ok := e.relay(); ok {
		if now < e.leaderlessSince+relayGrace {
			return e.follow("") // the relay may not have noticed the loss yet
		}
		return e.follow(relay)
	}
	rank := e.rank()
	if now >= max(e.mayLeadAt, e.leaderlessSince)+time.Duration(rank)*e.cfg.RankDelay {
		return e.lead()
	}
	return e.follow("")
}

func (e *Election) follow(leader string) Decision {
	if leader == e.self {
		return Decision{Leader: e.self, Leading: true, Term: e.heartbeat.Term}
	}
	e.heartbeat.Leading, e.heartbeat.Leader = false, leader
	return Decision{Leader: leader}
}

// lead makes this entry the leader in a new term, above all terms it knows of.
func (e *Election) lead() Decision {
	e.heartbeat.Term = e.highestTerm() + 1
	e.heartbeat.Leading, e.heartbeat.Leader = true, ""
	e.leaderless = false
	return Decision{Leader: e.self, Leading: true, Term: e.heartbeat.Term}
}

func (e *Election) highestTerm() uint64 {
	term := e.heartbeat.Term
	for _, hb := range e.peers {
		term = max(term, hb.Term)
	}
	return term
}

// strongestLeader returns the reachable leader that owns the most targets; with
// equal numbers the one with the latest term. A stopping or degraded leader is
// passed over if another entry could lead.
func (e *Election) strongestLeader() (string, bool) {
	var best string
	var bestHeartbeat Heartbeat
	consider := func(name string, hb Heartbeat) {
		if !hb.Leading || (hb.Stopping || hb.Degraded) && e.otherCanLead(name) {
			return
		}
		if best == "" || stronger(hb, name, bestHeartbeat, best) {
			best, bestHeartbeat = name, hb
		}
	}
	consider(e.self, e.heartbeat)
	for name, hb := range e.peers {
		consider(name, hb)
	}
	return best, best != ""
}

// stronger reports whether leader a is preferred to leader b.
func stronger(a Heartbeat, aName string, b Heartbeat, bName string) bool {
	return cmp.Or(cmp.Compare(a.Owned, b.Owned), cmp.Compare(a.Term, b.Term), cmp.Compare(aName, bName)) > 0
}

// otherCanLead reports whether an entry other than the named one is neither
// stopping nor degraded.
func (e *Election) otherCanLead(name string) bool {
	ok := func(n string, hb Heartbeat) bool { return n != name && !hb.Stopping && !hb.Degraded }
	if ok(e.self, e.heartbeat) {
		return true
	}
	for n, hb := range e.peers {
		if ok(n, hb) {
			return true
		}
	}
	return false
}

// relay returns a peer that follows a leader out of this entry's reach.
func (e *Election) relay() (string, bool) {
	best := ""
	for name, hb := range e.peers {
		_, linked := e.peers[hb.Leader]
		if hb.Leader == "" || hb.Leader == e.self || linked || hb.Stopping {
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	return best, best != ""
}

// rank returns this entry's place in the order of succession. Degraded entries
// come after healthy ones and stopping entries last; they are not left out, so
// that one of them leads if no other entry is left.
func (e *Election) rank() int {
	type candidate struct {
		name string
		hb   Heartbeat
	}
	all := []candidate{{e.self, e.heartbeat}}
	for name, hb := range e.peers {
		all = append(all, candidate{name, hb})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hb.leadPenalty(), b.hb.leadPenalty()), cmp.Compare(a.hb.Joined, b.hb.Joined), cmp.Compare(a.name, b.name))
	})
	return slices.IndexFunc(all, func(c candidate) bool { return c.name == e.self })
}
