// Package election decides which entry leads among the entries that can reach
// each other. It needs no agreement: two entries may lead at the same time,
// since targets obey the higher fencing token. A decision depends only on the
// peers' heartbeats and the time.
package election

import (
	"cmp"
	"slices"
	"time"

	"currantstall/internal/fleet"
)

// Heartbeat is the part of an entry's heartbeat to its peers that the election of the
// leader of one pool uses.
type Heartbeat struct {
	Entry
	Claim
}

// Entry describes an entry, for the elections of all pools.
type Entry struct {
	// Joined orders the entries by age: the oldest has the lowest value.
	Joined uint64 `cbor:"1,keyasint"`
	// Stopping entries are about to exit and lead only if no other entry can.
	Stopping bool `cbor:"6,keyasint,omitempty"`
	// Degraded entries lead only if no other entry can.
	Degraded bool `cbor:"7,keyasint,omitempty"`
	// MilliCPU is what the entry can use for dispatch, in thousandths of a core; 0 if
	// unknown.
	MilliCPU int64 `cbor:"8,keyasint,omitempty"`
	// Leads is the number of pools that the entry leads.
	Leads int `cbor:"9,keyasint,omitempty"`
	// DC is the entry's data centre.
	DC string `cbor:"10,keyasint,omitempty"`
}

// Claim is what an entry claims about the leader of one pool.
type Claim struct {
	// Leading is set while the entry leads. Term is the last term in which it
	// led, Owned the number of targets that it owns.
	Leading bool   `cbor:"2,keyasint,omitempty"`
	Term    uint64 `cbor:"3,keyasint,omitempty"`
	Owned   int    `cbor:"4,keyasint,omitempty"`
	// Leader is the entry that this one follows, if it does not lead.
	Leader string `cbor:"5,keyasint,omitempty"`
	// Yielding leaders give way to an entry with more processor time to spare.
	Yielding bool `cbor:"11,keyasint,omitempty"`
	// Successor is the entry to which a leader that yields or stops hands the pool over. A
	// former leader still names it for a while.
	Successor string `cbor:"12,keyasint,omitempty"`
	// Relays is the number of entries between this one and the leader.
	Relays int `cbor:"13,keyasint,omitempty"`
}

// leadPenalty orders the entries for succession: an entry with a higher value
// should lead only if none with a lower one can.
func (hb *Heartbeat) leadPenalty() int {
	switch {
	case hb.Stopping:
		return 3
	case hb.Degraded:
		return 2
	case hb.Yielding:
		return 1
	}
	return 0
}

// passedOver reports whether another entry should lead instead, if one can.
func (hb *Heartbeat) passedOver() bool { return hb.leadPenalty() > 0 }

const (
	// remoteFactor is how much more the lead of a pool costs an entry in another data
	// centre than the pool's targets.
	remoteFactor = 1.5
)

// leadCost returns the load on an entry that leads the pool, as the number of pools that it
// leads by the size of its VM.
func (hb *Heartbeat) leadCost(poolDC string) float64 {
	leads := hb.Leads + 1
	if hb.Leading {
		leads = max(hb.Leads, 1)
	}
	size := hb.MilliCPU
	if size <= 0 {
		size = fleet.UsualMilliCPU
	}
	cost := float64(leads) / float64(size)
	if poolDC != "" && hb.DC != poolDC {
		cost *= remoteFactor
	}
	return cost
}

// Settings configures an Election.
type Settings struct {
	// ListenPeriod is how long a new entry only receives heartbeats before it
	// may lead.
	ListenPeriod time.Duration
	// RankDelay is how much longer an entry waits for a leader than the entry
	// before it in the order of succession.
	RankDelay time.Duration
	// Pool is the index of the pool, which spreads the leads of several pools over
	// entries that suit equally well.
	Pool int
	// DC is the data centre of the pool's targets, "" if they are in several.
	DC string
}

// Defaults of Settings.
const (
	DefaultListenPeriod = 300 * time.Millisecond
	DefaultRankDelay    = 200 * time.Millisecond
)

// outsideDelay is how much longer than the entries of the pool's data centre another
// entry waits for a leader. Entries link to few others outside their data centre, so an
// outsider may not know of a leader there; a pool without one for that long has lost all
// entries of its data centre.
const outsideDelay = 1500 * time.Millisecond

const (
	// yieldAfter is how long another entry must suit the pool better before the leader
	// yields to it.
	yieldAfter = 1500 * time.Millisecond
	// yieldRatio is the ratio of the other entry's cost to the leader's, up to which the
	// change of leaders is worth its interruption.
	yieldRatio = 0.5
)

// successorMemory is how long a former leader names its successor. By then all entries
// have heard from the successor.
const successorMemory = time.Second

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
	betterSince     time.Duration // since when another entry suits better
	better          bool
	leadsSince      time.Duration // start of the last term of this entry
	// successorNamedAt is when this entry last had to be passed over while it led.
	successorNamedAt time.Duration
}

// New returns the election state of an entry that starts now.
func New(cfg Settings, self string, joined uint64, now time.Duration) *Election {
	return &Election{
		cfg: cfg, self: self, heartbeat: Heartbeat{Entry: Entry{Joined: joined}},
		peers: make(map[string]Heartbeat), mayLeadAt: now + cfg.ListenPeriod,
	}
}

// Observe records the latest heartbeat of a linked peer, and reports whether it differs
// from the one before.
func (e *Election) Observe(peer string, hb Heartbeat) bool {
	before, known := e.peers[peer]
	e.peers[peer] = hb
	return !known || before != hb
}

// RemovePeer drops the heartbeat of a peer whose link is down.
func (e *Election) RemovePeer(peer string) { delete(e.peers, peer) }

// Heartbeat returns the heartbeat of this entry.
func (e *Election) Heartbeat() Heartbeat { return e.heartbeat }

// SetOwned sets the number of targets that this entry owns.
func (e *Election) SetOwned(n int) { e.heartbeat.Owned = n }

// SetEntry sets the description of this entry.
func (e *Election) SetEntry(entry Entry) { e.heartbeat.Entry = entry }

// DelayLead keeps this entry from starting a term before the given time.
func (e *Election) DelayLead(until time.Duration) { e.mayLeadAt = max(e.mayLeadAt, until) }

// Leaders calls add for each entry that leads the pool by the last heartbeat of a peer.
func (e *Election) Leaders(add func(name string)) {
	for name, hb := range e.peers {
		if hb.Leading {
			add(name)
		} else if hb.Leader != "" {
			add(hb.Leader)
		}
	}
}

// Peers calls add for each linked peer that has sent a heartbeat.
func (e *Election) Peers(add func(Entry)) {
	for _, hb := range e.peers {
		add(hb.Entry)
	}
}

// PeerCount returns the number of linked peers that have sent a heartbeat.
func (e *Election) PeerCount() int { return len(e.peers) }

// Decide returns which entry to follow now. It starts a new term if this entry
// has to become the leader.
func (e *Election) Decide(now time.Duration) Decision {
	e.considerYielding(now)
	e.chooseSuccessor(now)
	if relay, ok := e.relay(); ok && e.leadsNothing(now) {
		return e.followRelay(relay)
	}
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
		return e.followRelay(relay)
	}
	if now >= max(e.mayLeadAt, e.leaderlessSince)+e.leadDelay() {
		return e.lead(now)
	}
	return e.follow("")
}

// leadDelay returns how long this entry waits for a leader before it leads: no time if a
// leader has named it as its successor, else by its place in the order of succession.
func (e *Election) leadDelay() time.Duration {
	rank := e.rank()
	switch named := e.namedSuccessor(); {
	case named == e.self:
		return 0
	case named != "" || e.awaitsSuccessor() || e.peerKnowsLeader():
		rank = max(rank, 1)
	}
	delay := time.Duration(rank) * e.cfg.RankDelay
	if e.outside(&e.heartbeat) {
		delay += outsideDelay
	}
	return delay
}

// outside reports whether an entry is in another data centre than the pool's targets.
func (e *Election) outside(hb *Heartbeat) bool { return e.cfg.DC != "" && hb.DC != e.cfg.DC }

// namedSuccessor returns the successor that a former leader names, "" if none does.
func (e *Election) namedSuccessor() string {
	named := e.heartbeat.Successor
	for _, hb := range e.peers {
		named = max(named, hb.Successor)
	}
	return named
}

// peerKnowsLeader reports whether a peer follows a linked entry that may lead, so that its
// claim is on its way.
func (e *Election) peerKnowsLeader() bool {
	for _, hb := range e.peers {
		if followed, linked := e.peers[hb.Leader]; linked && !followed.passedOver() {
			return true
		}
	}
	return false
}

// awaitsSuccessor reports whether a leader has to be passed over and has not named its
// successor yet.
func (e *Election) awaitsSuccessor() bool {
	for _, hb := range e.peers {
		if hb.Leading && hb.passedOver() && hb.Successor == "" {
			return true
		}
	}
	return false
}

// chooseSuccessor names the peer that suits best if this entry leads and has to be passed
// over. All entries are linked to a leader, but not to each other, so that they might
// disagree on which of them is next. The name stands for successorMemory.
func (e *Election) chooseSuccessor(now time.Duration) {
	if !e.heartbeat.Leading || !e.heartbeat.passedOver() {
		if now >= e.successorNamedAt+successorMemory {
			e.heartbeat.Successor = ""
		}
		return
	}
	e.successorNamedAt = now
	var best candidate
	for name, hb := range e.peers {
		c := e.candidate(name, hb)
		if hb.passedOver() || hb.Leading {
			continue
		}
		if best.name == "" || cmp.Or(compareSuitability(c, best), cmp.Compare(c.joined, best.joined), cmp.Compare(c.name, best.name)) < 0 {
			best = c
		}
	}
	e.heartbeat.Successor = best.name
}

func (e *Election) follow(leader string) Decision {
	if leader == e.self {
		return Decision{Leader: e.self, Leading: true, Term: e.heartbeat.Term}
	}
	e.heartbeat.Leading, e.heartbeat.Leader, e.heartbeat.Relays = false, leader, 0
	if leader != "" {
		e.heartbeat.Yielding = false
	}
	return Decision{Leader: leader}
}

// considerYielding makes this entry yield its lead once another entry has suited the pool
// much better for yieldAfter.
func (e *Election) considerYielding(now time.Duration) {
	if !e.heartbeat.Leading || e.heartbeat.Yielding {
		e.better = false
		return
	}
	limit := e.heartbeat.leadCost(e.cfg.DC) * yieldRatio
	better := false
	for _, hb := range e.peers {
		better = better || !hb.passedOver() && !hb.Leading && hb.leadCost(e.cfg.DC) <= limit
	}
	if better && !e.better {
		e.betterSince = now
	}
	e.better = better
	e.heartbeat.Yielding = better && now >= e.betterSince+yieldAfter
}

// lead makes this entry the leader in a new term, above all terms it knows of.
func (e *Election) lead(now time.Duration) Decision {
	e.heartbeat.Term = e.highestTerm() + 1
	e.heartbeat.Leading, e.heartbeat.Leader, e.heartbeat.Yielding, e.heartbeat.Successor = true, "", false, ""
	e.heartbeat.Relays = 0
	e.leaderless, e.leadsSince = false, now
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
// equal numbers the one with the latest term. A stopping, degraded or yielding leader
// is passed over if another entry could lead.
func (e *Election) strongestLeader() (string, bool) {
	var best string
	var bestHeartbeat Heartbeat
	consider := func(name string, hb Heartbeat) {
		if !hb.Leading || hb.passedOver() && e.otherCanLead(name) {
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
// stopping, degraded nor yielding.
func (e *Election) otherCanLead(name string) bool {
	ok := func(n string, hb Heartbeat) bool { return n != name && !hb.passedOver() }
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

// candidate is an entry that may succeed a leader.
type candidate struct {
	name    string
	penalty int
	outside bool // in another data centre than the pool's targets
	cost    float64
	joined  uint64
}

// rank returns this entry's place in the order of succession. Entries that should not
// lead come last; they are not left out, so that one of them leads if no other entry is
// left. Among the others, those with the most processor time to spare come first, and the
// oldest of these; the pools start at different places among equals.
func (e *Election) rank() int {
	all := []candidate{e.candidate(e.self, e.heartbeat)}
	for name, hb := range e.peers {
		all = append(all, e.candidate(name, hb))
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(compareSuccession(a, b), cmp.Compare(a.joined, b.joined), cmp.Compare(a.name, b.name))
	})
	at := slices.IndexFunc(all, func(c candidate) bool { return c.name == e.self })
	first, last := at, at
	for first > 0 && compareSuccession(all[first-1], all[at]) == 0 {
		first--
	}
	for last+1 < len(all) && compareSuccession(all[last+1], all[at]) == 0 {
		last++
	}
	equals := last - first + 1
	return first + ((at-first-e.cfg.Pool)%equals+equals)%equals
}

func (e *Election) candidate(name string, hb Heartbeat) candidate {
	return candidate{name: name, penalty: hb.leadPenalty(), outside: e.outside(&hb), cost: hb.leadCost(e.cfg.DC), joined: hb.Joined}
}

// compareSuccession orders candidates for the succession of a lost leader. The entries of
// the pool's data centre come first: they are all linked to each other.
func compareSuccession(a, b candidate) int {
	if a.penalty == b.penalty && a.outside != b.outside {
		if b.outside {
			return -1
		}
		return 1
	}
	return compareSuitability(a, b)
}

// compareSuitability orders candidates by how well they suit the pool, the best first.
func compareSuitability(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.penalty, b.penalty), cmp.Compare(a.cost, b.cost))
}
