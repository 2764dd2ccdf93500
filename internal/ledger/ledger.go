// Package ledger keeps, for one member of a data centre's view, who holds the
// claim on a key and how its work ended. It is a pure step function without
// clock, socket or goroutine.
//
// A claim stands at two members: at its holder, which may start the work, and
// at the key's home, the first choice by rendezvous hashing over the view. If
// the holder is the home, the second choice keeps the other record. Only the
// home grants claims on a key, so a view never grants in two places.
package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// ID is the part of a key that differs within a data centre.
type ID = uuid.UUID

// Config holds the parameters, which must be equal at all entries of a data
// centre.
type Config struct {
	DC string
	// ClaimTimeout bounds the time from the arrival of a copy of a request
	// to the grant of its claim. A later grant is given back.
	ClaimTimeout time.Duration
	// ProbeTimeout bounds the time in which the home must answer before a
	// refusal may rely on its word.
	ProbeTimeout time.Duration
	// ClockDriftPercent widens each wait for another member's clock.
	ClockDriftPercent int
	// RetryInterval is the interval after which an unanswered message is repeated,
	// and AttachRetryInterval the one for a copy that waits for another's outcome.
	RetryInterval, AttachRetryInterval time.Duration
	// KeyTTL is the life of a key, counted from its minting.
	KeyTTL time.Duration
	// MaxClockSkew bounds the difference between two wall clocks.
	MaxClockSkew time.Duration
	// KeptAnswerBytes bounds the answers kept, in bytes.
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

// RefusalMarkTTL returns how long a home keeps a refusal true: no claim that a
// copy received before the refusal asked for is granted in time after it.
func (c *Config) RefusalMarkTTL() time.Duration {
	d := c.ClaimTimeout + c.ProbeTimeout
	return d + d*time.Duration(c.ClockDriftPercent)/100
}

// maxConsecutiveMarks bounds how long refusals in a row may put off the next grant, in
// lengths of a refusal mark.
const maxConsecutiveMarks = 4

// Phase says how far a claim is.
type Phase uint8

// The phases of a claim.
const (
	Open     Phase = iota + 1 // granted, no outcome yet
	Done                      // ended, with an outcome
	Released                  // given back, nothing was started
)

// Rank says who vouches for a record, the weakest first.
type Rank uint8

// The ranks of a record.
const (
	ByBackup Rank = iota + 1
	ByHome
	ByHolder
)

// claimState is what this member knows of one claim.
type claimState struct {
	holder  *structs.Member
	attempt uint64
	digest  uint64
	outcome *structs.Outcome // nil while open
	waiters []waiter         // at the home: other copies, to be told the outcome
	rank    Rank
	acked   bool // at the holder: the other record has the outcome
	// handoverVersion is the view in which a leaving member brought the record, which
	// belongs here as soon as that one is gone.
	handoverVersion uint32
}

func (e *claimState) open() bool { return e.outcome == nil }

// waiter is a copy of a request that waits at another member.
type waiter struct {
	member  *structs.Member
	attempt uint64
}

// refusalMark keeps a refusal true until a time: no claim on the key is granted.
type refusalMark struct {
	holder  *structs.Member
	attempt uint64 // 0 for a refusal without a claim
	until   time.Time
	since   time.Time // of the first refusal in a row
	outcome structs.Outcome
	acked   bool
}

// Ledger is the state of one member. It is not safe for concurrent use.
type Ledger struct {
	cfg             Config
	self            *structs.Member
	views           []*hashedView // the view in force, if known, and all newer ones
	inForce         uint64        // version of the view in force, 0 for none
	horizonMS       int64         // Unix ms
	membershipEnded bool
	leaving         bool
	claims          map[uuid.UUID]*claimState
	marks           map[uuid.UUID]*refusalMark
	pending         map[uuid.UUID]*pendingAcquire
	followers       map[uuid.UUID][]uint64    // tickets that wait for an own claim
	orphans         map[uuid.UUID]*claimState // own claims of a run that is out
	probes          map[uint64]*pendingProbe
	lastSerial      uint64 // numbers attempts and probes
	timers          timers
	expiry          expiryBuckets
	answers         keptAnswers
	transfers       []*transfer
	actions         []Action
	leaseEnd        time.Time
	disabled        disabledSafeguards
}

// disabledSafeguards switches off single safeguards. Tests set it to show that they
// notice.
type disabledSafeguards struct {
	leaseCheck   bool // starts need no lease
	refusalProof bool // neither does a refusal that says not_run
	backupRecord bool // a home starts its own claims with one record
	handover     bool // a new view moves no claims
	refusalMark  bool // a claim is granted right after a refusal
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

// SetLimits changes the life of keys and the bytes of kept answers.
func (l *Ledger) SetLimits(keyTTL time.Duration, keptAnswerBytes int64) {
	l.cfg.KeyTTL = keyTTL
	l.cfg.KeptAnswerBytes = keptAnswerBytes
}

// Holds reports whether this member holds the open claim on a key.
func (l *Ledger) Holds(k key.Key) bool {
	e := l.claims[k.ID]
	return e != nil && e.open() && l.heldHere(e)
}

// KeptSize returns the number of keys and the bytes of answers kept.
func (l *Ledger) KeptSize() (keys int, answerBytes int64) { return len(l.claims), l.answers.bytes }

// intern returns a lasting pointer to a member.
func (l *Ledger) intern(m structs.Member) *structs.Member {
	if m.Same(*l.self) {
		return l.self
	}
	for _, p := range l.views {
		for i := range p.view.Members {
			if p.view.Members[i].Same(m) {
				return &p.view.Members[i]
			}
		}
	}
	return &m
}

func (l *Ledger) heldHere(e *claimState) bool { return e.holder.Same(*l.self) }

func (l *Ledger) keyOf(id uuid.UUID) key.Key { return key.Key{DC: l.cfg.DC, ID: id} }

func (l *Ledger) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Ledger) send(to *structs.Member, m Message) { l.emit(Send{To: *to, Message: m}) }

// sendLazily sends a message that may wait a little for company.
func (l *Ledger) sendLazily(to *structs.Member, m Message) {
	l.emit(Send{To: *to, Message: m, Lazy: true})
}
