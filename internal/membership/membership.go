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
	// ClockDriftPercent widens each wait for another member's clock.
	ClockDriftPercent int
	// HeartbeatInterval is the interval between two heartbeats to a peer.
	HeartbeatInterval time.Duration
	// FailureTimeout is the silence after which a member is proposed for removal.
	FailureTimeout time.Duration
	// FastPollInterval and SlowPollInterval are the intervals between two reads of the row
	// without and with a lease by promises.
	FastPollInterval, SlowPollInterval time.Duration
	// LatePutWindow is how long the row is read fast after a put without an
	// answer, which may take effect late.
	LatePutWindow time.Duration
	// MaxPromiseLease bounds a lease by promises, counted from the last read that
	// showed the member. Only an entry that shared no view in force with
	// the members it removes has to wait for it.
	MaxPromiseLease time.Duration
	// DeadMemberWait is the wait before a removal is acted on when the removed
	// run is certainly over. It covers the time in which a copy of a
	// refused request may still be claimed.
	DeadMemberWait time.Duration
	// ChallengeInterval is the least interval between two attempts to take
	// over a view whose members can't be reached.
	ChallengeInterval time.Duration
	// MaxClockSkew bounds the difference between two wall clocks.
	MaxClockSkew time.Duration
}

// DefaultConfig returns the defaults for a data centre.
func DefaultConfig(dc string) Config {
	return Config{
		DC:                dc,
		Lease:             1500 * time.Millisecond,
		ClockDriftPercent: 10,
		HeartbeatInterval: 250 * time.Millisecond,
		FailureTimeout:    time.Second,
		FastPollInterval:  400 * time.Millisecond,
		SlowPollInterval:  4 * time.Second,
		LatePutWindow:     5 * time.Second,
		MaxPromiseLease:   30 * time.Minute,
		DeadMemberWait:    700 * time.Millisecond,
		ChallengeInterval: 15 * time.Second,
		MaxClockSkew:      2 * time.Second,
	}
}

// withClockDrift adds the margin for clock rates to d.
func (c *Config) withClockDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.ClockDriftPercent)/100
}

// incarnationID identifies one incarnationID of an entry.
type incarnationID struct {
	name        string
	incarnation uint64
}

func incarnationOf(m structs.Member) incarnationID { return incarnationID{m.Name, m.Incarnation} }

// peer is what is known of another entry, member or not.
type peer struct {
	member        structs.Member
	lastHeard     time.Time // of the last heartbeat, or when it became known
	heartbeatSeen bool      // a heartbeat of this run was received
	token         uint64    // the token of its last heartbeat, to be answered
	promiseEnd    time.Time // end of its promise to this member
	knownVersion  uint64    // newest view that it knows
	readyVersion  uint64    // newest view that it is ready for
	left          bool      // it left by itself and knew no newer view
}

// State is the state of one member. It is not safe for concurrent use.
type State struct {
	cfg               Config
	self              structs.Member
	startedAt         time.Time
	peers             map[string]*peer
	sortedPeers       []*peer      // the peers by name, so that each run sends alike
	view              structs.View // newest known view
	inForce           structs.View // newest view known to be in force
	readyVersion      uint64       // newest view that this member is ready for
	handedOverVersion uint64       // newest view for which the claims are handed over
	learnedAt         time.Time    // when view was learned
	removedAt         map[incarnationID]time.Time
	dead              map[incarnationID]bool
	horizonMS         int64 // Unix ms; covers what the row's horizon can't
	tableLeaseEnd     time.Time
	lastRead          time.Time // start of the last read that showed this member
	proposed          *structs.View
	rowVersion        uint64    // version of the row as last read
	rowVersionSince   time.Time // when it was first read
	lastChallenge     time.Time
	fastPollUntil     time.Time // end of the fast reads after a put without an answer
	tableBusy         bool      // a table operation is in flight
	leasesNotBefore   time.Time // what was asked before gives no lease
	nextRead          time.Time
	nextHeartbeat     time.Time
	lastStep          time.Time
	ended             bool // removed or left; for good
	leaving           bool
	yielding          bool   // gives its view up to a challenger; starts nothing any more
	joinUncertain     bool   // a put that adds this run has no clear answer
	leaveVersion      uint64 // the view whose others have the claims of a leaving member
	actions           []Action
}

// New returns the state of an entry that is in no view yet.
func New(cfg Config, self structs.Member, now time.Time) *State {
	return &State{
		cfg:       cfg,
		self:      self,
		startedAt: now,
		peers:     make(map[string]*peer),
		removedAt: make(map[incarnationID]time.Time),
		dead:      make(map[incarnationID]bool),
	}
}

// View returns the newest known view.
func (s *State) View() structs.View { return s.view }

// InForce returns the newest view known to be in force; version 0 for none.
func (s *State) InForce() structs.View { return s.inForce }

// Ready reports whether this member is in a view in force and in the newest.
func (s *State) Ready() bool {
	return !s.ended && !s.leaving && s.inForce.Has(s.self) && s.view.Has(s.self)
}

// LeaseEnd returns the time up to which this member may start work that must
// not be repeated. The zero time stands for no lease.
func (s *State) LeaseEnd() time.Time {
	if s.ended || s.yielding || !s.view.Has(s.self) {
		return time.Time{}
	}
	if p := s.promiseLeaseEnd(); p.After(s.tableLeaseEnd) {
		return p
	}
	return s.tableLeaseEnd
}

// DropLeases ends all leases of this member. The caller uses it when the clock
// may have stood still. What was asked before now gives none either.
func (s *State) DropLeases(now time.Time) {
	s.leasesNotBefore = now
	s.tableLeaseEnd = time.Time{}
	s.lastRead = time.Time{}
	for _, p := range s.sortedPeers {
		p.promiseEnd = time.Time{}
	}
}

// promiseLeaseEnd returns the end of the lease by promises. A member that left by
// itself acts on no removal any more, so its promise isn't needed. One that
// died may have acted on one before, so its promise is.
func (s *State) promiseLeaseEnd() time.Time {
	if s.lastRead.IsZero() {
		return time.Time{}
	}
	end := s.lastRead.Add(s.cfg.MaxPromiseLease)
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
		if p.promiseEnd.Before(end) {
			end = p.promiseEnd
		}
	}
	if needed == 0 {
		return time.Time{}
	}
	return end
}

// countReachable returns the number of other entries that are heard.
func (s *State) countReachable(now time.Time) int {
	n := 0
	for _, p := range s.sortedPeers {
		if p.heartbeatSeen && now.Sub(p.lastHeard) <= s.cfg.FailureTimeout {
			n++
		}
	}
	return n
}

// mayPromise reports whether this member, as of now, doesn't act on a removal
// of m and so may promise not to for the length of a lease.
func (s *State) mayPromise(m structs.Member) bool {
	if s.ended || !s.view.Has(m) {
		return false
	}
	return s.proposed == nil || s.proposed.Has(m)
}
