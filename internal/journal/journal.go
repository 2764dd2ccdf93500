// Package journal keeps the account, the durable record of which key ran and
// with which outcome. Each data centre has one append-only log of batches in the
// platform's table. The entries of the data centre append to it by group
// commit, in the background and within the write budget. The order of a log
// never changes.
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

// System names the system that ran a key.
type System string

// The two systems that share the account.
const (
	SystemNew System = "currantstall"
	SystemOld System = "old"
)

// Record is the account's record of one key's outcome. Answers are not kept.
type Record struct {
	Key     key.Key
	Verdict verdict.Verdict
	Reason  verdict.Reason
	System  System // the system that ran the key
	Digest  uint64 // of the work, 0 if unknown
	Kind    string
	Team    string
	// FromPeer means that a peer of the claim's holder records the outcome, and
	// that the holder may have recorded it too. It must be set on such a
	// record: Read lists every final record without it, so the key would be
	// listed twice.
	FromPeer bool
	// AtMS is the time of the outcome, Unix time in ms; 0 means the
	// time of the call of Journal.Record.
	AtMS int64
}

// RecordOf returns the record of a key's outcome.
func RecordOf(k key.Key, o structs.Outcome) Record {
	rec := Record{Key: k, Verdict: o.Verdict, Reason: o.Reason, System: SystemNew}
	if o.Reason == verdict.RanElsewhere {
		rec.System = SystemOld
	}
	return rec
}

// At returns the time of the outcome.
func (rec Record) At() time.Time { return time.UnixMilli(rec.AtMS) }

// precedence orders the records of one key. The effective record is the one with
// the highest precedence, and of equal ones the first in the log.
func (rec Record) precedence() int {
	switch {
	case !rec.final():
		return 0
	case rec.FromPeer:
		return 1
	}
	return 2
}

// replaces reports whether rec is effective in place of an earlier record.
func (rec Record) replaces(earlier Record) bool { return rec.precedence() > earlier.precedence() }

// replaceable reports whether a later record of the key may replace rec.
func (rec Record) replaceable() bool { return rec.precedence() < 2 }

// final reports whether the outcome is final. The outcome may_have_run is not
// final and may be replaced by a final one, unless the old system claimed the
// key, which then stays with the old system.
func (rec Record) final() bool {
	return rec.Verdict != verdict.MayHaveRun || rec.System == SystemOld
}

// Defaults of Config.
const (
	DefaultInterval           = 500 * time.Millisecond
	DefaultWritesPerSecond    = 100
	DefaultMaxPending         = 100_000
	DefaultInlineBytes        = 48 << 10
	DefaultFinalOutcomeWindow = time.Hour
)

// reserveDivisor sets the reserve that Full leaves free: one part in
// reserveDivisor of MaxPending.
const reserveDivisor = 10

// Config configures a Journal. Zero values stand for the defaults.
type Config struct {
	Platform platform.Platform
	DC       string
	Writer   string // name of this VM
	// Interval is the shortest time between two batches of this process.
	Interval time.Duration
	// Entries returns the number of entries that write to the platform; nil
	// means one. The interval between batches grows with it, so that all
	// entries together stay within WritesPerSecond.
	Entries         func() int
	WritesPerSecond float64
	// MaxPending bounds the pending records, which are not yet written to the
	// platform. At the bound, new records are dropped and the pending ones
	// stay. The next batch carries the number of dropped records.
	MaxPending int
	// InlineBytes is the largest batch that is stored in its row. A larger
	// batch is stored as an object that the row names.
	InlineBytes int
	// FinalOutcomeWindow is how long after a record with the outcome
	// may_have_run Read looks for a final record of the key.
	FinalOutcomeWindow time.Duration
	// Now returns the time; nil means time.Now.
	Now     func() time.Time
	Metrics *metrics.Metrics // nil disables metrics
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

// Journal appends the records of one process to the log of its data centre, and
// reads the account of all data centres. It is safe for concurrent use.
type Journal struct {
	cfg   Config
	scope tally.Scope

	mu           sync.Mutex
	pending      []Record        // oldest first; the batch in flight is at its front
	pendingCount map[key.Key]int // records of a key in pending
	recent       recentKeys
	dropped      int // records since the last batch was cut

	commitMu sync.Mutex // serializes commits; guards inFlight and lastRow
	inFlight *inFlightBatch
	lastRow  uint64 // number of the last row known to exist in the log, 0 for none

	lookups lookupQueue
}

// New returns a Journal that records in memory. Run starts the group commit.
func New(cfg Config) *Journal {
	cfg = cfg.withDefaults()
	return &Journal{cfg: cfg, scope: cfg.Metrics.Scope().SubScope("journal"), pendingCount: map[key.Key]int{}}
}

// Record adds a record to the account, in the background. It returns false if
// the record was dropped because MaxPending records are pending. Of several
// records of a key a final one is effective; a repetition is ignored.
func (j *Journal) Record(rec Record) bool {
	if rec.AtMS == 0 {
		rec.AtMS = j.cfg.Now().UnixMilli()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.recent.add(rec) {
		return true
	}
	if len(j.pending) >= j.cfg.MaxPending {
		j.recent.forget(rec)
		j.dropped++
		j.scope.Counter("dropped").Inc(1)
		return false
	}
	j.pending = append(j.pending, rec)
	j.pendingCount[rec.Key]++
	j.scope.Counter("recorded").Inc(1)
	return true
}

// Full reports whether records could be dropped once the given number of running
// requests and jobs have ended. Work that must be recorded should then not be
// started. A reserve is left for records of outcomes from peers and from the old
// system.
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

// Lag returns the number of pending records and the age of the oldest.
func (j *Journal) Lag() (records int, age time.Duration) {
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
