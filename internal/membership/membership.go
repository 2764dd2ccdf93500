// Package membership maintains the view of a data centre: the set of entries
// that may hold claims on keys. State is a state machine without clock, socket
// or goroutine; Step takes an event and returns actions.
//
// The view is stored in one row of the platform's table and changes by
// conditional put only. It is in force once each of its members is ready for
// it: the leases of removed members have expired, and the claims that move are
// handed over. A member may start work only under a lease, which stems from a
// read of the row (table lease) or from the promises of all other members
// (promise lease).
//
// Source of the lease argument: Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency", SOSP 1989.
package membership

import (
	"time"

	"currantstall/internal/structs"
)

// Config holds the parameters of the membership. They must be equal at all
// entries of a data centre.
type Config struct {
	DC string
	// Lease is how long a member may start work after a read of the row or a
	// promise.
	Lease time.Duration
	// ClockDriftPercent extends each wait for an interval that another member
	// measures by its own clock.
	ClockDriftPercent int
	// HeartbeatInterval is the interval between two heartbeats to a peer.
	HeartbeatInterval time.Duration
	// FailureTimeout is the silence after which a member is proposed for removal.
	FailureTimeout time.Duration
	// FastPollInterval and SlowPollInterval are the intervals between two reads
	// of the row: fast without a promise lease, slow with one.
	FastPollInterval, SlowPollInterval time.Duration
	// LatePutWindow is how long the row is polled at the fast interval after a
	// put without a response, since that put may take effect late.
	LatePutWindow time.Duration
	// MaxPromiseLease bounds a promise lease, counted from the last read of the
	// row that showed the member. Only an entry that removes members with which
	// it shared no view in force has to wait this long.
	MaxPromiseLease time.Duration
	// DeadMemberWait is the wait before a removal takes effect if the removed
	// incarnation has certainly ended. It covers the time in which a copy of a
	// refused request may still be claimed.
	DeadMemberWait time.Duration
	// ChallengeInterval is the minimum time between two attempts to take over a
	// view whose members can't be reached.
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

// withClockDrift extends d by ClockDriftPercent.
func (c *Config) withClockDrift(d time.Duration) time.Duration {
	return d + d*time.Duration(c.ClockDriftPercent)/100
}

// incarnationID identifies one incarnation of an entry.
type incarnationID struct {
	name        string
	incarnation uint64
}

func incarnationOf(m structs.Member) incarnationID { return incarnationID{m.Name, m.Incarnation} }

// peer is the known state of another entry, which may or may not be a member.
type peer struct {
	member        structs.Member
	lastHeard     time.Time // time of the last heartbeat, or when the peer became known
	heartbeatSeen bool      // a heartbeat of this incarnation was received
	token         uint64    // Token of its last heartbeat, to be echoed
	promiseEnd    time.Time // end of its promise to this member
	knownVersion  uint64    // newest view that it knows
	readyVersion  uint64    // newest view that it is ready for
	left          bool      // it left with its claims handed over and knew no newer view
}

// State is the membership state of one entry. It is not safe for concurrent
// use.
type State struct {
	cfg               Config
	self              structs.Member
	startedAt         time.Time
	peers             map[string]*peer
	sortedPeers       []*peer                     // the peers by name, so that the order of sends is deterministic
	view              structs.View                // newest known view
	inForce           structs.View                // newest view known to be in force
	readyVersion      uint64                      // newest view that this member is ready for
	handedOverVersion uint64                      // newest view for which the claims are handed over
	learnedAt         time.Time                   // when view became known
	removedAt         map[incarnationID]time.Time // when this entry learned of each removal
	dead              map[incarnationID]bool      // incarnations that have certainly ended
	horizonMS         int64                       // Unix ms; later than that of view if its put took effect late
	tableLeaseEnd     time.Time
	lastRead          time.Time // start of the last read that showed this member
	proposed          *structs.View
	rowVersion        uint64    // version of the row as last read
	rowVersionSince   time.Time // when that version was first read
	lastChallenge     time.Time
	fastPollUntil     time.Time // end of the fast polls after a put without a response
	tableBusy         bool      // a table operation is in flight
	leasesNotBefore   time.Time // reads and promises requested earlier give no lease
	nextRead          time.Time
	nextHeartbeat     time.Time
	lastStep          time.Time
	ended             bool // removed or left; permanent
	leaving           bool
	yielding          bool   // leaves the view to a challenger and starts no more work
	joinUncertain     bool   // the result of a put that adds this incarnation is unknown
	leaveVersion      uint64 // while leaving: the view whose other members have this member's claims
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

// Ready reports whether this entry is a member of both the view in force and
// the newest known view.
func (s *State) Ready() bool {
	return !s.ended && !s.leaving && s.inForce.Has(s.self) && s.view.Has(s.self)
}

// LeaseEnd returns the time up to which this member may start non-repeatable
// work. The zero time means that it holds no lease.
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
// may have stopped, as during the suspension of a VM. Reads and promises
// requested before now give no lease either.
func (s *State) DropLeases(now time.Time) {
	s.leasesNotBefore = now
	s.tableLeaseEnd = time.Time{}
	s.lastRead = time.Time{}
	for _, p := range s.sortedPeers {
		p.promiseEnd = time.Time{}
	}
}

// promiseLeaseEnd returns the end of the promise lease. A member that left no
// longer acts on removals, so its promise isn't needed. One that died may have
// acted on a removal before, so its promise is needed.
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

// countReachable returns the number of other entries whose last heartbeat is at
// most FailureTimeout old.
func (s *State) countReachable(now time.Time) int {
	n := 0
	for _, p := range s.sortedPeers {
		if p.heartbeatSeen && now.Sub(p.lastHeard) <= s.cfg.FailureTimeout {
			n++
		}
	}
	return n
}

// mayPromise reports whether this member neither knows of nor proposes a
// removal of m, so that it may promise to act on none for the length of a
// lease.
func (s *State) mayPromise(m structs.Member) bool {
	if s.ended || !s.view.Has(m) {
		return false
	}
	return s.proposed == nil || s.proposed.Has(m)
}
