// Package election decides which entry leads those that it can talk to. It
// needs no agreement: two entries may lead at one time, since the targets obey
// the higher fencing token. It is a function of what the peers have said and
// the time.
package election

import (
	"cmp"
	"slices"
	"time"
)

// Heartbeat is what an entry says of itself.
type Heartbeat struct {
	// Joined orders the entries, the oldest first.
	Joined uint64 `cbor:"1,keyasint"`
	// Leading says that the entry leads, in Term, and owns that many targets.
	Leading bool   `cbor:"2,keyasint,omitempty"`
	Term    uint64 `cbor:"3,keyasint"`
	Owned   int    `cbor:"4,keyasint,omitempty"`
	// Leader is whom the entry follows, if it does not lead.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Stopping entries lead only if no other can.
	Stopping bool `cbor:"6,keyasint,omitempty"`
	// Degraded entries lead only if no other can.
	Degraded bool `cbor:"7,keyasint,omitempty"`
}

// leadPenalty orders the entries by how little they should lead.
func (b *Heartbeat) leadPenalty() int {
	switch {
	case b.Stopping:
		return 2
	case b.Degraded:
		return 1
	}
	return 0
}

// Settings of an Election.
type Settings struct {
	// ListenPeriod is how long a new entry listens before it may lead.
	ListenPeriod time.Duration
	// RankDelay is how much longer than the one before it each entry waits for a
	// leader, in the order of succession.
	RankDelay time.Duration
}

// Defaults of Settings.
const (
	DefaultListenPeriod = 300 * time.Millisecond
	DefaultRankDelay    = 200 * time.Millisecond
)

// relayGrace is how long a peer may take to notice that a leader is lost before
// it counts as one that still reaches it.
const relayGrace = 300 * time.Millisecond

// Decision is whom to follow.
type Decision struct {
	// Leader is the entry to hand jobs to: this one, a leader, or one that
	// follows a leader out of reach. It is empty while there is none.
	Leader string
	// Leading says that this entry leads.
	Leading bool
	Term    uint64
}

// Election is the state of one entry. Use New.
type Election struct {
	cfg             Settings
	self            string
	heartbeat       Heartbeat
	peers           map[string]Heartbeat
	leaderlessSince time.Duration // since when there is no leader
	leaderless      bool
	mayLeadAt       time.Duration // from when this entry may lead
}

// New returns the state of an entry that starts now.
func New(cfg Settings, self string, joined uint64, now time.Duration) *Election {
	return &Election{cfg: cfg, self: self, heartbeat: Heartbeat{Joined: joined}, peers: make(map[string]Heartbeat), mayLeadAt: now + cfg.ListenPeriod}
}

// Observe takes in what a linked peer says.
func (e *Election) Observe(peer string, b Heartbeat) { e.peers[peer] = b }

// RemovePeer forgets a peer whose link is down.
func (e *Election) RemovePeer(peer string) { delete(e.peers, peer) }

// Heartbeat returns what this entry says of itself.
func (e *Election) Heartbeat() Heartbeat { return e.heartbeat }

// SetOwned says how many targets this entry owns.
func (e *Election) SetOwned(n int) { e.heartbeat.Owned = n }

// SetStopping marks this entry as one that is about to end.
func (e *Election) SetStopping() { e.heartbeat.Stopping = true }

// SetDegraded marks this entry as one that should not lead.
func (e *Election) SetDegraded(s bool) { e.heartbeat.Degraded = s }

// PeerCount returns the number of peers that have spoken.
func (e *Election) PeerCount() int { return len(e.peers) }

// Decide returns whom to follow now.
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
			return e.follow("") // the peer may not have noticed the loss yet
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

func (e *Election) lead() Decision {
	e.heartbeat.Term = e.highestTerm() + 1
	e.heartbeat.Leading, e.heartbeat.Leader = true, ""
	e.leaderless = false
	return Decision{Leader: e.self, Leading: true, Term: e.heartbeat.Term}
}

func (e *Election) highestTerm() uint64 {
	term := e.heartbeat.Term
	for _, b := range e.peers {
		term = max(term, b.Term)
	}
	return term
}

// strongestLeader returns the leader with the most targets among those in reach; of
// equals the one with the latest term. A leader that stops or is strained gives
// way if another entry could lead.
func (e *Election) strongestLeader() (string, bool) {
	var best string
	var bestBeat Heartbeat
	consider := func(name string, b Heartbeat) {
		if !b.Leading || (b.Stopping || b.Degraded) && e.otherCanLead(name) {
			return
		}
		if best == "" || stronger(b, name, bestBeat, best) {
			best, bestBeat = name, b
		}
	}
	consider(e.self, e.heartbeat)
	for name, b := range e.peers {
		consider(name, b)
	}
	return best, best != ""
}

func stronger(a Heartbeat, an string, b Heartbeat, bn string) bool {
	return cmp.Or(cmp.Compare(a.Owned, b.Owned), cmp.Compare(a.Term, b.Term), cmp.Compare(an, bn)) > 0
}

func (e *Election) otherCanLead(name string) bool {
	ok := func(n string, b Heartbeat) bool { return n != name && !b.Stopping && !b.Degraded }
	if ok(e.self, e.heartbeat) {
		return true
	}
	for n, b := range e.peers {
		if ok(n, b) {
			return true
		}
	}
	return false
}

// relay returns a peer that follows a leader which this entry can't reach.
func (e *Election) relay() (string, bool) {
	best := ""
	for name, b := range e.peers {
		_, linked := e.peers[b.Leader]
		if b.Leader == "" || b.Leader == e.self || linked || b.Stopping {
			continue
		}
		if best == "" || name < best {
			best = name
		}
	}
	return best, best != ""
}

// rank returns this entry's place in the order of succession: strained entries
// come late, and those that stop last, so that even they serve what is left.
func (e *Election) rank() int {
	type candidate struct {
		name string
		b    Heartbeat
	}
	all := []candidate{{e.self, e.heartbeat}}
	for name, b := range e.peers {
		all = append(all, candidate{name, b})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.b.leadPenalty(), b.b.leadPenalty()), cmp.Compare(a.b.Joined, b.b.Joined), cmp.Compare(a.name, b.name))
	})
	return slices.IndexFunc(all, func(c candidate) bool { return c.name == e.self })
}
