// Package ledger records, at each member of a data centre's view, who holds the
// claim on a key and the outcome of its work. Ledger is a state machine without
// clock, socket or goroutine; Step takes an event and returns actions.
//
// A claim has two records at two members: one at its holder, which may start
// the work, and one at the key's home, the first choice by rendezvous hashing
// over the view. If the holder is the home, the backup, which is the second
// choice, keeps the other record. Only the home grants claims on a key, so
// within a view no two members grant the same key.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// ID is the part of a key that is unique within its data centre.
type ID = uuid.UUID

// Config holds the parameters of the ledger. They must be equal at all entries
// of a data centre.
type Config struct {
	DC string
	// ClaimTimeout bounds the time from the arrival of a copy of a request to
	// the grant of its claim. A claim granted later is released.
	ClaimTimeout time.Duration
	// ProbeTimeout bounds the time within which the home must reply for a
	// refusal to rely on the reply.
	ProbeTimeout time.Duration
	// ClockDriftPercent extends each wait for an interval that another member
	// measures by its own clock.
	ClockDriftPercent int
	// RetryInterval is the time after which an unanswered message is sent
	// again, and AttachRetryInterval the time for a copy that waits for the
	// outcome of another.
	RetryInterval, AttachRetryInterval time.Duration
	// KeyTTL is the lifetime of a key, counted from its minting.
	KeyTTL time.Duration
	// MaxClockSkew bounds the difference between two wall clocks.
	MaxClockSkew time.Duration
	// KeptAnswerBytes bounds the total size of the kept answers.
	KeptAnswerBytes int64
}

// DefaultConfig returns the defaults for a data centre.
func DefaultConfig(dc string) Config {
	return Config{
		DC:                  dc,
		ClaimTimeout:        500 * time.Millisecond,
		ProbeTimeout:        100 * time.Millisecond,
		ClockDriftPercent:   10,
		RetryInterval:       40 * time.Millisecond,
		AttachRetryInterval: 500 * time.Millisecond,
		KeyTTL:              10 * time.Minute,
		MaxClockSkew:        2 * time.Second,
		KeptAnswerBytes:     256 << 20,
	}
}

// RefusalMarkTTL returns the lifetime of a refusal mark. After it, no claim of
// a copy received before the refusal can still be granted in time.
func (c *Config) RefusalMarkTTL() time.Duration {
	d := c.ClaimTimeout + c.ProbeTimeout
	return d + d*time.Duration(c.ClockDriftPercent)/100
}

// maxConsecutiveMarks bounds how long consecutive refusals may delay the next
// grant, in multiples of RefusalMarkTTL.
const maxConsecutiveMarks = 4

// Phase is the progress of a claim.
type Phase uint8

// The phases of a claim.
const (
	Open     Phase = iota + 1 // granted, no outcome yet
	Done                      // ended, with an outcome
	Released                  // given back without a start
)

// Rank is the authority of a record: which member vouches for it.
type Rank uint8

// The ranks of a record, the weakest first.
const (
	ByBackup Rank = iota + 1
	ByHome
	ByHolder
)

// claimState is this member's record of one claim.
type claimState struct {
	holder  *structs.Member
	attempt uint64
	digest  uint64
	outcome *structs.Outcome // nil while open
	waiters []waiter         // at the home: copies that wait for the outcome
	rank    Rank
	acked   bool // at the holder: the other member has stored the outcome
	// handoverVersion is the view in which a leaving member handed over the
	// record, which belongs here once that member has left.
	handoverVersion uint32
}

func (c *claimState) open() bool { return c.outcome == nil }

// waiter is a copy of a request that waits at a member for the outcome of
// another copy.
type waiter struct {
	member  *structs.Member
	attempt uint64
}

// refusalMark keeps a refusal true: until it expires, no claim on the key is
// granted.
type refusalMark struct {
	holder  *structs.Member
	attempt uint64 // 0 for a refusal without a claim
	until   time.Time
	since   time.Time // time of the first of consecutive refusals
	outcome structs.Outcome
	acked   bool
}

// Ledger is the ledger of one member. It is not safe for concurrent use.
type Ledger struct {
	cfg             Config
	self            *structs.Member
	views           []*hashedView // the view in force, if known, and all newer ones
	inForce         uint64        // version of the view in force, 0 for none
	horizonMS       int64         // Unix ms; both records of a claim on a key minted up to then may be lost
	membershipEnded bool
	leaving         bool
	claims          map[uuid.UUID]*claimState
	marks           map[uuid.UUID]*refusalMark
	pending         map[uuid.UUID]*pendingAcquire
	followers       map[uuid.UUID][]uint64    // calls that wait for the outcome of a claim held here
	orphans         map[uuid.UUID]*claimState // open claims of this incarnation after its membership ended
	probes          map[uint64]*pendingProbe
	lastSerial      uint64 // last number of an attempt, probe or handover message
	timers          timers
	expiry          expiryBuckets
	answers         keptAnswers
	transfers       []*transfer
	actions         []Action
	leaseEnd        time.Time
	disabled        disabledSafeguards
}

// disabledSafeguards switches off single safeguards. Tests use it to show that
// their properties fail without each of them.
type disabledSafeguards struct {
	leaseCheck   bool // work starts without a lease
	refusalProof bool // a refusal with not_run needs no lease
	backupRecord bool // a home starts its own claims without the backup's record
	handover     bool // a new view moves no claims
	refusalMark  bool // a claim may be granted right after a refusal
}

// New returns the ledger of an entry that knows no view yet.
func New(cfg Config, self structs.Member) *Ledger {
	return &Ledger{
		cfg:       cfg,
		self:      &self,
		claims:    make(map[uuid.UUID]*claimState),
		marks:     make(map[uuid.UUID]*refusalMark),
		pending:   make(map[uuid.UUID]*pendingAcquire),
		followers: make(map[uuid.UUID][]uint64),
		orphans:   make(map[uuid.UUID]*claimState),
		probes:    make(map[uint64]*pendingProbe),
	}
}

// SetLimits changes KeyTTL and KeptAnswerBytes.
func (l *Ledger) SetLimits(keyTTL time.Duration, keptAnswerBytes int64) {
	l.cfg.KeyTTL = keyTTL
	l.cfg.KeptAnswerBytes = keptAnswerBytes
}

// Holds reports whether this member holds the open claim on a key.
func (l *Ledger) Holds(k key.Key) bool {
	claim := l.claims[k.ID]
	return claim != nil && claim.open() && l.heldHere(claim)
}

// KeptSize returns the number of claims and the bytes of answers in memory.
func (l *Ledger) KeptSize() (keys int, answerBytes int64) { return len(l.claims), l.answers.bytes }

// intern returns a shared pointer to a member, or a new one if no known view
// contains it.
func (l *Ledger) intern(m structs.Member) *structs.Member {
	if m.Same(*l.self) {
		return l.self
	}
	for _, v := range l.views {
		for i := range v.view.Members {
			if v.view.Members[i].Same(m) {
				return &v.view.Members[i]
			}
		}
	}
	return &m
}

func (l *Ledger) heldHere(claim *claimState) bool { return claim.holder.Same(*l.self) }

func (l *Ledger) keyOf(id uuid.UUID) key.Key { return key.Key{DC: l.cfg.DC, ID: id} }

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Ledger) send(to *structs.Member, m Message) { l.emit(Send{To: *to, Message: m}) }

// sendLazily sends a message that may be delayed to share a frame with others.
func (l *Ledger) sendLazily(to *structs.Member, m Message) {
	l.emit(Send{To: *to, Message: m, Lazy: true})
}
