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
	// Renew is how long a target may wait for an end before it answers a hold.
	Renew time.Duration
	// Safe is how long after the loss of an owner its runs may go on.
	Safe time.Duration
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
	DefaultLease       = 800 * time.Millisecond
	DefaultRenew       = 250 * time.Millisecond
	DefaultSafe        = 900 * time.Millisecond
	DefaultOrphanGrace = 500 * time.Millisecond
	DefaultLinkGrace   = 300 * time.Millisecond
)

const (
	// adoptWithin is how long a run without a known job may wait for its job to
	// be handed in again after a takeover.
	adoptWithin = 150 * time.Millisecond
	// restoreWithin is the same where stored jobs are to be restored.
	restoreWithin = 5 * time.Second
	// reacquireAfter is the pause before a target that did not answer is asked
	// again.
	reacquireAfter = 300 * time.Millisecond
	// keepOutcome is how long an outcome waits for a caller that lost its
	// connection.
	keepOutcome = 4 * time.Second
	// clockRate is how far a target's clock may lag behind ours, as a share.
	clockRate = 0.02
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
	cfg     Settings
	leading bool
	ledAt   time.Duration
	base    uint64 // fence at the start of the lead; it grows with time
	fence   uint64 // last one used

	targets map[string]*target
	order   []*target // by ID
	jobs    map[string]*job
	classes map[string]*class
	ranked  []*class
	kept    map[string]keptOutcome
	foreign map[string][]*run // runs of jobs that are not known, by job
	stored  storedState
	startAt time.Duration            // nothing is started before
	clock   time.Duration            // of the event or tick that is handled
	advice  map[fleet.TaskID]*advice // by step
	asking  bool                     // a question to the adviser is out
	askAt   time.Duration            // from when the next may be sent
	// wallMS is the time of day at the pool's time 0, Unix time in ms; 0 if unknown.
	wallMS int64
	// firstListed is when targets were listed first, and lastVanished when one
	// was not listed any more.
	firstListed, lastVanished time.Duration

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
	return Settings{Lease: DefaultLease, Renew: DefaultRenew, Safe: DefaultSafe, OrphanGrace: DefaultOrphanGrace, LinkGrace: DefaultLinkGrace}
}

func (p *Pool) reset() {
	p.jobs = make(map[string]*job)
	p.classes = make(map[string]*class)
	p.ranked = nil
	p.kept = make(map[string]keptOutcome)
	p.foreign = make(map[string][]*run)
	p.stored.reset()
	p.advice = make(map[fleet.TaskID]*advice)
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
	for _, t := range p.order {
		if t.owned {
			n++
		}
	}
	return n
}

// Lead makes the pool take its targets over, with fencing tokens above base.
func (p *Pool) Lead(now time.Duration, base uint64) {
	if p.leading {
		return
	}
	p.leading, p.ledAt = true, now
	p.base, p.fence = base, max(p.fence, base)
	for _, t := range p.order {
		t.forget()
		t.askAt = now + t.claim.Pause
	}
	p.acquireDue(now)
}

// HoldStarts keeps the pool from starting anything until a time. An owner that stood
// still uses it: what it was handed before may have been handed to another one since.
func (p *Pool) HoldStarts(until time.Duration) { p.startAt = max(p.startAt, until) }

// Yield makes the pool give up its targets and jobs. What runs goes on until
// the next owner decides, or its lease lapses.
func (p *Pool) Yield() {
	if !p.leading {
		return
	}
	p.leading = false
	for _, t := range p.order {
		t.forget()
	}
	p.reset()
}

// Tick does what is due by time alone, and places what waits.
func (p *Pool) Tick(now time.Duration) {
	if !p.leading {
		return
	}
	p.clock = now
	p.expireLeases(now)
	p.acquireDue(now)
	p.holdDue(now)
	p.stopUnclaimed(now)
	p.expireOrphans(now)
	p.coolTargets(now)
	p.forgetGone(now)
	p.tickStored(now)
	p.place(now)
	p.refuseHopeless(now)
	for id, k := range p.kept {
		if now > k.until {
			delete(p.kept, id)
		}
	}
}
