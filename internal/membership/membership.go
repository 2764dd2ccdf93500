// Package membership keeps one data centre's view: which entries may hold
// claims on keys. It is a pure step function without clock, socket or
// goroutine. The view is one row of the platform's table, changed by
// conditional put only; who may start work is decided by leases, which stem
// from reads of the row or from the promises of all other members.
//
// Source of the lease argument: Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.
package membership

import (
	"time"

	"currantstall/internal/structs"
)

// Config holds the parameters, which must be equal at all entries of a data
// centre.
type Config struct {
	DC string
	// Lease is how long a read or a promise lets a member start work.
	Lease time.Duration
	// MarginPercent widens each wait for another member's clock.
	MarginPercent int
	// Beat is the interval between two heartbeats to a peer.
	Beat time.Duration
	// FailAfter is the silence after which a member is proposed for removal.
	FailAfter time.Duration
	// FastPoll and SlowPoll are the intervals between two reads of the row
	// without and with a lease by promises.
	FastPoll, SlowPoll time.Duration
	// LatePut is how long the row is read fast after a put without an
	// answer, which may take effect late.
	LatePut time.Duration
	// Term bounds a lease by promises, counted from the last read that
	// showed the member. Only an entry that shared no view in force with
	// the members it removes has to wait for it.
	Term time.Duration
	// DeadWait is the wait before a removal is acted on when the removed
	// run is certainly over. It covers the time in which a copy of a
	// refused request may still be claimed.
	DeadWait time.Duration
	// ChallengeEvery is the least interval between two attempts to take
	// over a view whose members can't be reached.
	ChallengeEvery time.Duration
	// Skew bounds the difference between two wall clocks.
	Skew time.Duration
}

// DefaultConfig returns the defaults for a data centre.
func DefaultConfig(dc string) Config {
	return Config{
		DC:             dc,
		Lease:          1500 * time.Millisecond,
		MarginPercent:  10,
		Beat:           250 * time.Millisecond,
		FailAfter:      time.Second,
		FastPoll:       400 * time.Millisecond,
		SlowPoll:       4 * time.Second,
		LatePut:        5 * time.Second,
		Term:           30 * time.Minute,
		DeadWait:       700 * time.Millisecond,
		ChallengeEvery: 15 * time.Second,
		Skew:           2 * time.Second,
	}
}

// widen adds the margin for clock rates to d.
func (c *Config) widen(d time.Duration) time.Duration {
	return d + d*time.Duration(c.MarginPercent)/100
}

// run identifies one run of an entry.
type run struct {
	name        string
	incarnation uint64
}

func runOf(m structs.Member) run { return run{m.Name, m.Incarnation} }

// peer is what is known of another entry, member or not.
type peer struct {
	member   structs.Member
	heard    time.Time // of the last heartbeat, or when it became known
	beaten   bool      // a heartbeat of this run was received
	ask      uint64    // the token of its last heartbeat, to be answered
	promised time.Time // end of its promise to this member
	known    uint64    // newest view that it knows
	ready    uint64    // newest view that it is ready for
	left     bool      // it left by itself and knew no newer view
}

// State is the state of one member. It is not safe for concurrent use.
type State struct {
	cfg        Config
	self       structs.Member
	start      time.Time
	peers      map[string]*peer
	order      []*peer      // the peers by name, so that each run sends alike
	view       structs.View // newest known view
	inForce    structs.View // newest view known to be in force
	ready      uint64       // newest view that this member is ready for
	handed     uint64       // newest view for which the claims are handed over
	learned    time.Time    // when view was learned
	removed    map[run]time.Time
	dead       map[run]bool
	horizon    int64 // Unix ms; covers what the row's horizon can't
	tableEnd   time.Time
	lastRead   time.Time // start of the last read that showed this member
	proposed   *structs.View
	row        uint64    // version of the row as last read
	rowSince   time.Time // when it was first read
	challenged time.Time
	unclear    time.Time // end of the fast reads after a put without an answer
	busy       bool      // a table operation is in flight
	leasesFrom time.Time // what was asked before gives no lease
	nextRead   time.Time
	nextBeat   time.Time
	lastStep   time.Time
	out        bool // removed or left; for good
	leaving    bool
	yielding   bool   // gives its view up to a challenger; starts nothing any more
	entering   bool   // a put that adds this run has no clear answer
	vacated    uint64 // the view whose others have the claims of a leaving member
	actions    []Action
}

// New returns the state of an entry that is in no view yet.
func New(cfg Config, self structs.Member, now time.Time) *State {
	return &State{
		cfg:     cfg,
		self:    self,
		start:   now,
		peers:   make(map[string]*peer),
		removed: make(map[run]time.Time),
		dead:    make(map[run]bool),
	}
}

// View returns the newest known view.
func (s *State) View() structs.View { return s.view }

// InForce returns the newest view known to be in force; version 0 for none.
func (s *State) InForce() structs.View { return s.inForce }

// Ready reports whether this member is in a view in force and in the newest.
func (s *State) Ready() bool {
	return !s.out && !s.leaving && s.inForce.Has(s.self) && s.view.Has(s.self)
}

// LeaseEnd returns the time up to which this member may start work that must
// not be repeated. The zero time stands for no lease.
func (s *State) LeaseEnd() time.Time {
	if s.out || s.yielding || !s.view.Has(s.self) {
		return time.Time{}
	}
	if p := s.promiseEnd(); p.After(s.tableEnd) {
		return p
	}
	return s.tableEnd
}

// DropLeases ends all leases of this member. The caller uses it when the clock
// may have stood still. What was asked before now gives none either.
func (s *State) DropLeases(now time.Time) {
	s.leasesFrom = now
	s.tableEnd = time.Time{}
	s.lastRead = time.Time{}
	for _, p := range s.order {
		p.promised = time.Time{}
	}
}

// promiseEnd returns the end of the lease by promises. A member that left by
// itself acts on no removal any more, so its promise isn't needed. One that
// died may have acted on one before, so its promise is.
func (s *State) promiseEnd() time.Time {
	if s.lastRead.IsZero() {
		return time.Time{}
	}
	end := s.lastRead.Add(s.cfg.Term)
	needed := 0
	for _, m := range s.view.Members {
		if m.Same(s.self) {
			continue
		}
		p := s.peers[m.Name]
		if p == nil || !p.member.Same(m) {
			return time.Time{}
		}
		if p.left {
			continue
		}
		needed++
		if p.promised.Before(end) {
			end = p.promised
		}
	}
	if needed == 0 {
		return time.Time{}
	}
	return end
}

// reach returns the number of other entries that are heard.
func (s *State) reach(now time.Time) int {
	n := 0
	for _, p := range s.order {
		if p.beaten && now.Sub(p.heard) <= s.cfg.FailAfter {
			n++
		}
	}
	return n
}

// promises reports whether this member, as of now, doesn't act on a removal
// of m and so may promise not to for the length of a lease.
func (s *State) promises(m structs.Member) bool {
	if s.out || !s.view.Has(m) {
		return false
	}
	return s.proposed == nil || s.proposed.Has(m)
}
