// Package pool decides what runs where for a set of targets that one entry
// owns. It is a deterministic function of its state, the time and the event:
// it holds no clock, socket or goroutine. Methods take events; what is to be
// done about them is collected as effects.
//
// A target is owned by the highest fencing token that it has seen. Its room is
// counted exactly: the place of a run is given back only on proof that the run
// is over or can't begin any more.
package pool

import (
	"time"

	"currantstall/internal/fleet"
)

// Settings are the durations that the pool works with.
type Settings struct {
	// Lease is how long a run goes on without renewal.
	Lease time.Duration
	// HoldWait is how long a target may wait for an end before it answers a hold.
	HoldWait time.Duration
	// TakeoverDelay is how long after the loss of an owner its runs may go on.
	TakeoverDelay time.Duration
	// OrphanGrace is how long a run goes on for a caller that is gone, so
	// that a caller that comes back finds it.
	OrphanGrace time.Duration
	// LinkGrace is the same for a coordinator whose link is down.
	LinkGrace time.Duration
}

// Defaults of Settings. A caller that lost its connection comes back after
// 1.3 s at the soonest, so a lease with the detection of a lost link and the
// grace of an orphan stay below that.
const (
	DefaultLease         = 800 * time.Millisecond
	DefaultHoldWait      = 250 * time.Millisecond
	DefaultTakeoverDelay = 900 * time.Millisecond
	DefaultOrphanGrace   = 500 * time.Millisecond
	DefaultLinkGrace     = 300 * time.Millisecond
)

const (
	// adoptTimeout is how long a run without a known job may wait for its job to
	// be handed in again after a takeover.
	adoptTimeout = 150 * time.Millisecond
	// restoreTimeout is the same where stored jobs are to be restored.
	restoreTimeout = 5 * time.Second
	// reacquireBackoff is the pause before a target that did not answer is asked
	// again.
	reacquireBackoff = 300 * time.Millisecond
	// keepOutcomeFor is how long an outcome waits for a caller that lost its
	// connection.
	keepOutcomeFor = 4 * time.Second
	// maxClockDrift is how far a target's clock may lag behind ours, as a share.
	maxClockDrift = 0.02
	// fenceStep separates fencing tokens, one for each ms; the bits below tell
	// owners apart.
	fenceStep = 1 << 12
)

// Effect is something that the pool wants done: a fleet.Start, fleet.Stop,
// fleet.Hold, fleet.Ask, an Ended, or a jobstore.Save.
type Effect any

// Ended tells the entry that keeps a job's connection how the job ended.
type Ended struct {
	Coordinator string
	Job         string
	Outcome     fleet.Outcome
}

// Pool is the state. Use New.
type Pool struct {
	cfg          Settings
	leading      bool
	leadingSince time.Duration
	fenceBase    uint64 // fence at the start of the lead; it grows with time
	lastFence    uint64 // last one used

	targets        map[string]*target
	sortedTargets  []*target // by ID
	jobs           map[string]*job
	queues         map[string]*queueState
	rankedQueues   []*queueState
	keptOutcomes   map[string]keptOutcome
	unclaimedRuns  map[string][]*run // runs of jobs that are not known, by job
	stored         storedState
	noStartsBefore time.Duration                // nothing is started before
	lastTick       time.Duration                // of the event or tick that is handled
	advice         map[fleet.TaskID]*stepAdvice // by step
	adviceInFlight bool                         // a question to the adviser is out
	nextAdviceAt   time.Duration                // from when the next may be sent
	// zeroUnixMS is the time of day at the pool's time 0, Unix time in ms; 0 if unknown.
	zeroUnixMS int64
	// firstListedAt is when targets were listed first, and lastUnlistedAt when one
	// was not listed any more.
	firstListedAt, lastUnlistedAt time.Duration

	effects []Effect
	log     Log
}

type keptOutcome struct {
	outcome fleet.Outcome
	until   time.Duration
}

// Log takes one line for each decision. A nil Log drops them.
type Log func(event string, args ...any)

// New returns an empty Pool that owns nothing.
func New(s Settings, log Log) *Pool {
	if log == nil {
		log = func(string, ...any) {}
	}
	p := &Pool{cfg: s, log: log, targets: make(map[string]*target)}
	p.reset()
	return p
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{Lease: DefaultLease, HoldWait: DefaultHoldWait, TakeoverDelay: DefaultTakeoverDelay, OrphanGrace: DefaultOrphanGrace, LinkGrace: DefaultLinkGrace}
}

func (p *Pool) reset() {
	p.jobs = make(map[string]*job)
	p.queues = make(map[string]*queueState)
	p.rankedQueues = nil
	p.keptOutcomes = make(map[string]keptOutcome)
	p.unclaimedRuns = make(map[string][]*run)
	p.stored.reset()
	p.advice = make(map[fleet.TaskID]*stepAdvice)
}

// Effects returns what is to be done, and forgets it.
func (p *Pool) Effects() []Effect {
	e := p.effects
	p.effects = nil
	return e
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

// Leading reports whether the pool may own targets.
func (p *Pool) Leading() bool { return p.leading }

// Owned returns how many targets the pool owns.
func (p *Pool) Owned() int {
	n := 0
	for _, t := range p.sortedTargets {
		if t.owned {
			n++
		}
	}
	return n
}

// BecomeLeader makes the pool take its targets over, with fencing tokens above base.
func (p *Pool) BecomeLeader(now time.Duration, base uint64) {
	if p.leading {
		return
	}
	p.leading, p.leadingSince = true, now
	p.fenceBase, p.lastFence = base, max(p.lastFence, base)
	for _, t := range p.sortedTargets {
		t.reset()
		t.nextAcquireAt = now + t.acquirePolicy.Delay
	}
	p.acquireTargets(now)
}

// DelayStarts keeps the pool from starting anything until a time. An owner that stood
// still uses it: what it was handed before may have been handed to another one since.
func (p *Pool) DelayStarts(until time.Duration) { p.noStartsBefore = max(p.noStartsBefore, until) }

// StepDown makes the pool give up its targets and jobs. What runs goes on until
// the next owner decides, or its lease lapses.
func (p *Pool) StepDown() {
	if !p.leading {
		return
	}
	p.leading = false
	for _, t := range p.sortedTargets {
		t.reset()
	}
	p.reset()
}

// Tick does what is due by time alone, and places what waits.
func (p *Pool) Tick(now time.Duration) {
	if !p.leading {
		return
	}
	p.lastTick = now
	p.releaseExpired(now)
	p.acquireTargets(now)
	p.sendHolds(now)
	p.stopUnclaimed(now)
	p.expireOrphans(now)
	p.endEjections(now)
	p.removeUnlisted(now)
	p.tickStored(now)
	p.placeWaiting(now)
	p.rejectOverdue(now)
	for id, k := range p.keptOutcomes {
		if now > k.until {
			delete(p.keptOutcomes, id)
		}
	}
}
