// Package journal keeps the account: which key ran, with what outcome. Each
// data centre has one log of batches in the platform's table; the entries of
// the data centre append to it by group commit, in the background and within
// the write budget. The log's order never changes.
package journal

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// System names who ran a key.
type System string

// The two systems that share the account.
const (
	SystemNew System = "currantstall"
	SystemOld System = "old"
)

// Record is what the account holds of one key. Answers are not kept.
type Record struct {
	Key     key.Key
	Verdict verdict.Verdict
	Reason  verdict.Reason
	System  System // who ran the key
	Digest  uint64 // of the work, 0 if not known
	Kind    string
	Team    string
	// FromPeer means that the process that held the claim may have recorded the
	// outcome too: this one knows it as a peer. It must be set then, since
	// Read takes two outcomes without it for those of two keys.
	FromPeer bool
	// AtMS is the time of the outcome, Unix time in ms; 0 stands for the
	// time of Record.
	AtMS int64
}

// RecordOf returns the entry of a key's outcome.
func RecordOf(k key.Key, o structs.Outcome) Record {
	e := Record{Key: k, Verdict: o.Verdict, Reason: o.Reason, System: SystemNew}
	if o.Reason == verdict.RanElsewhere {
		e.System = SystemOld
	}
	return e
}

// At returns the time of the outcome.
func (e Record) At() time.Time { return time.UnixMilli(e.AtMS) }

// precedence orders the entries of one key: the highest counts, of equals the first.
func (e Record) precedence() int {
	switch {
	case !e.final():
		return 0
	case e.FromPeer:
		return 1
	}
	return 2
}

// replaces reports whether an entry counts in place of an earlier one.
func (e Record) replaces(earlier Record) bool { return e.precedence() > earlier.precedence() }

// replaceable reports whether another entry of the key may count instead.
func (e Record) replaceable() bool { return e.precedence() < 2 }

// final reports whether the entry is the last word on its key. An outcome
// may_have_run may still be replaced by a final one; a key that the old
// system claimed stays its own.
func (e Record) final() bool {
	return e.Verdict != verdict.MayHaveRun || e.System == SystemOld
}

// Defaults of Config.
const (
	DefaultInterval           = 500 * time.Millisecond
	DefaultWritesPerSecond    = 100
	DefaultMaxPending         = 100_000
	DefaultInlineBytes        = 48 << 10
	DefaultFinalOutcomeWindow = time.Hour
)

// reserveDivisor is the part, one in so many, of MaxPending that Full leaves.
const reserveDivisor = 10

// Config sets up a Journal. Zero values stand for the defaults.
type Config struct {
	Platform platform.Platform
	DC       string
	Writer   string // name of this VM
	// Interval is the shortest time between two batches of this entry.
	Interval time.Duration
	// Entries returns the number of entries that write to the platform; nil
	// stands for a few. The interval grows with it, so that all of them stay
	// within WritesPerSecond.
	Entries         func() int
	WritesPerSecond float64
	// MaxPending bounds the entries that wait for the platform. When it is
	// reached, those that wait stay and new ones are dropped: they are counted
	// and the next batch says how many are missing.
	MaxPending int
	// InlineBytes is the largest batch that is kept in its row. A larger one
	// is an object that the row names.
	InlineBytes int
	// FinalOutcomeWindow is the time after an outcome may_have_run within which a
	// settled one is looked for.
	FinalOutcomeWindow time.Duration
	// Now returns the time; nil stands for time.Now.
	Now     func() time.Time
	Metrics *metrics.Metrics // nil counts nowhere
}

func (cfg Config) withDefaults() Config {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Entries == nil {
		cfg.Entries = func() int { return 1 }
	}
	if cfg.WritesPerSecond <= 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.MaxPending <= 0 {
		cfg.MaxPending = DefaultMaxPending
	}
	if cfg.InlineBytes <= 0 {
		cfg.InlineBytes = DefaultInlineBytes
	}
	if cfg.FinalOutcomeWindow <= 0 {
		cfg.FinalOutcomeWindow = DefaultFinalOutcomeWindow
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	return cfg
}

// Journal appends entries for one process and reads the account. It is safe
// for concurrent use.
type Journal struct {
	cfg   Config
	scope tally.Scope

	mu           sync.Mutex
	pending      []Record // oldest first; the batch in flight is its front
	pendingCount map[key.Key]int
	recent       recentKeys
	dropped      int // since the last batch was cut

	commitMu sync.Mutex // held by the one commit in flight
	inFlight *inFlightBatch
	lastRow  uint64 // number of a row that exists, the last one known; 0 for none

	lookups lookupQueue
}

// New returns a Journal. Run starts the group commit.
func New(cfg Config) *Journal {
	cfg = cfg.withDefaults()
	return &Journal{cfg: cfg, scope: cfg.Metrics.Scope().SubScope("journal"), pendingCount: map[key.Key]int{}}
}

// Record puts an entry into the account, in the background. It reports false
// if the entry was dropped because too many wait for the platform. Of several
// entries of a key the settled one counts; a repetition is ignored.
func (j *Journal) Record(e Record) bool {
	if e.AtMS == 0 {
		e.AtMS = j.cfg.Now().UnixMilli()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.recent.add(e) {
		return true
	}
	if len(j.pending) >= j.cfg.MaxPending {
		j.recent.forget(e)
		j.dropped++
		j.scope.Counter("dropped").Inc(1)
		return false
	}
	j.pending = append(j.pending, e)
	j.pendingCount[e.Key]++
	j.scope.Counter("recorded").Inc(1)
	return true
}

// Full reports whether entries could be dropped once running pieces of work
// have ended. Work that must stand in the account should then not be started.
// A reserve is left for what peers and the old system add.
func (j *Journal) Full(running int) bool {
	j.mu.Lock()
	n := len(j.pending)
	j.mu.Unlock()
	full := n+running+j.cfg.MaxPending/reserveDivisor >= j.cfg.MaxPending
	if full {
		j.scope.Counter("full").Inc(1)
	}
	return full
}

// Lag returns the number of entries that wait for the platform and the age of
// the oldest.
func (j *Journal) Lag() (entries int, age time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.pending) == 0 {
		return 0, 0
	}
	return len(j.pending), j.cfg.Now().Sub(j.pending[0].At())
}

func (j *Journal) reportLag() {
	n, age := j.Lag()
	j.scope.Gauge("pending").Update(float64(n))
	j.scope.Gauge("lag_seconds").Update(age.Seconds())
}
