// Package pool schedules tasks on the set of targets that one entry owns. It is a
// deterministic function of its state, the time and the event: it holds no clock, socket
// or goroutine. Methods take events and collect the resulting actions as effects.
//
// The owner of a target is the entry with the highest fencing token that the target has
// seen. Capacity is counted exactly: the capacity of a run is released only on proof
// that the run is over or can no longer start.
package pool

import (
	"time"

	"currantstall/internal/coldstart"
	"currantstall/internal/fleet"
	"currantstall/internal/overload"
)

// Settings are the durations that the pool works with.
type Settings struct {
	// Lease is how long a run continues without a renewal.
	Lease time.Duration
	// HoldWait is how long a target may wait for a run to end before it answers a hold.
	HoldWait time.Duration
	// VouchFor is how long runs may continue after the heartbeat that their coordinator
	// answered last.
	VouchFor time.Duration
	// TakeoverDelay is how long runs of a former owner may continue after the last word of
	// the job's coordinator to it: VouchFor, the drift of the target's clock and the time that
	// a target takes to end a run. A job that the former owner may have started is not started
	// again until then.
	TakeoverDelay time.Duration
	// OrphanGrace is how long runs continue after their caller disconnected, so that a
	// caller that reconnects finds them.
	OrphanGrace time.Duration
	// LinkGrace is how long runs continue after the link to their job's coordinator went
	// down.
	LinkGrace time.Duration
	// RowsRenewed is set if discovery tells of the renewals of targets' rows (ObserveRenewals). Otherwise a target that
	// can't be connected to counts as one that runs on, and ends its runs with their leases.
	RowsRenewed bool
	// ColdStart limits the load of targets that are slow after their start; the zero value limits nothing.
	ColdStart coldstart.Bounds
	// Memory bounds what jobs take; the pools of one entry share it. nil bounds nothing.
	Memory *Memory
}

// Defaults of Settings. A caller that lost its connection reconnects after 1.3 s at the
// earliest, so the takeover delay stays below that.
const (
	DefaultLease         = 700 * time.Millisecond
	DefaultHoldWait      = 250 * time.Millisecond
	DefaultTakeoverDelay = 1170 * time.Millisecond
	DefaultOrphanGrace   = 500 * time.Millisecond
	DefaultLinkGrace     = 300 * time.Millisecond
)

const (
	// adoptTimeout is how long a run of an unknown job may wait for its job to be
	// resubmitted after a takeover.
	adoptTimeout = 150 * time.Millisecond
	// restoreTimeout replaces adoptTimeout while stored jobs are yet to be restored.
	restoreTimeout = 5 * time.Second
	// reacquireBackoff is the pause before a target that did not answer is acquired
	// again.
	reacquireBackoff = 300 * time.Millisecond
	// keepOutcomeFor is how long the outcome of a job is kept for a caller that lost its
	// connection.
	keepOutcomeFor = 4 * time.Second
	// maxClockDrift is the largest relative lag of a target's clock behind the clock of
	// the entry.
	maxClockDrift = 0.02
	// fenceStep is the distance between the fencing tokens of consecutive milliseconds;
	// the bits below it distinguish owners.
	fenceStep = 1 << 12
)

// Effect is an action that the pool asks its entry to carry out: a fleet.Start,
// fleet.Stop, fleet.Hold, fleet.AdviceRequest, Ended, Suspected, VouchRequest,
// CallerReturned, StoredDropped, RecallStored, TargetsWanted or jobstore.Save.
type Effect any

// Ended reports a job's outcome to its coordinator.
type Ended struct {
	Coordinator string
	Job         string
	Number      uint64 // of the submission that this answers
	Outcome     fleet.Outcome
}

// Pool is the scheduling state of one entry. Create it with New. It is not safe for
// concurrent use.
type Pool struct {
	cfg          Settings
	leading      bool
	leadingSince time.Duration
	// fenceBase is the fencing token at the start of this leadership. The lower bound of
	// new tokens grows from it with time.
	fenceBase uint64
	lastFence uint64 // the last fencing token used
	probes    uint64 // the last fencing token used for a probe
	lastHold  uint64 // number of the last hold
	lastStart uint64 // number of the last start

	targets        map[string]*target
	sortedTargets  []*target // sorted by ID
	jobs           map[string]*job
	queues         map[string]*queueState
	rankedQueues   []*queueState          // sorted by urgency
	division       overload.Division      // of the room between the queues
	keptOutcomes   map[string]keptOutcome // by job ID
	leftRuns       map[string]leftRuns    // by job ID
	elsewhere      map[string][]elsewhere // by job ID
	keptElsewhere  int                    // number of these notes
	departures     departures             // of callers that have stated a deadline
	unclaimedRuns  map[string][]*run      // runs of unknown jobs, by job ID
	vouches        map[Voucher]*vouch
	coordinators   map[string]int         // number of jobs that are not stored, by coordinator
	orphans        map[string]*job        // orphaned jobs, and some that no longer are
	resubmitted    map[string]*job        // jobs with earlier coordinators, and some that no longer have any
	lostTargets    int                    // out of reach with runs of stored jobs, as of the last tick
	formerShown    time.Duration          // all targets have shown the runs of former owners until then, as of the last tick
	formerWanted   time.Duration          // the latest time for which jobs wait for that
	formerWantedAt time.Duration          // when one did last
	contactsDue    bool                   // targets are about to show whether they are silent, as of the last tick
	lapsedAt       time.Duration          // when runs were last taken for over since their leases had expired
	suspected      map[string]*suspectJob // by job ID
	nextSweepAt    time.Duration          // when the suspicions are swept next
	losses         []loss                 // of targets, by time; those of the last moments
	falls          falls                  // of all targets, whoever owned them
	stored         storedState
	openRoom       openRoom
	noStartsBefore time.Duration // no task is started before
	awaitTargets   time.Duration // nor before this time, unless a current list of targets arrives
	lastTick       time.Duration // time of the last Tick
	nextForgetAt   time.Duration // when expired state is forgotten next
	nextQueueSweep time.Duration // when queues without jobs are forgotten next
	// nextDivisionLog is when the division of the room may be logged next.
	nextDivisionLog time.Duration
	nextEvacuated   time.Duration // when jobs that only evacuated targets could run are looked for next
	rooms           *Rooms        // of all targets ever listed
	// targetsReadAt is when the list of targets was read, or a time before that. It is negative for a list
	// that is older than the entry.
	targetsReadAt    time.Duration
	targetsReadKnown bool
	advice           map[fleet.TaskID]*stepAdvice // by step
	adviceInFlight   bool                         // an advice request was not answered yet
	nextAdviceAt     time.Duration                // earliest time of the next advice request
	// zeroUnixMS is the Unix time in ms at the pool's time 0, or 0 if unknown.
	zeroUnixMS int64
	// firstListedAt is when discovery first listed any target, and lastUnlistedAt when
	// it last stopped listing one.
	firstListedAt, lastUnlistedAt time.Duration

	effects   []Effect
	ejections []string // reasons of those that TakeEjections has not told of
	log       Log
	work      roundWork
}

// roundWork counts the jobs and targets that the last Tick has looked at one by one. It grows with
// the number of targets and queues and with what has changed, not with the number of waiting jobs.
type roundWork struct{ jobs, targets int }

type keptOutcome struct {
	outcome fleet.Outcome
	until   time.Duration
}

// Log receives one line for each decision. New replaces a nil Log by one that discards
// them.
type Log func(event string, args ...any)

// New returns a Pool that is not leading and has no targets or jobs.
func New(s Settings, log Log) *Pool {
	if log == nil {
		log = func(string, ...any) {}
	}
	p := &Pool{cfg: s, log: log, targets: make(map[string]*target), rooms: NewRooms()}
	p.reset()
	return p
}

// DefaultSettings returns the default Settings.
func DefaultSettings() Settings {
	return Settings{Lease: DefaultLease, HoldWait: DefaultHoldWait, VouchFor: DefaultVouchFor, TakeoverDelay: DefaultTakeoverDelay, OrphanGrace: DefaultOrphanGrace, LinkGrace: DefaultLinkGrace}
}

func (p *Pool) reset() {
	p.dropAllJobs()
	p.queues = make(map[string]*queueState)
	p.rankedQueues, p.division = nil, overload.Division{}
	p.keptOutcomes = make(map[string]keptOutcome)
	p.leftRuns, p.departures = make(map[string]leftRuns), nil
	p.elsewhere, p.keptElsewhere = make(map[string][]elsewhere), 0
	p.unclaimedRuns = make(map[string][]*run)
	p.vouches = make(map[Voucher]*vouch)
	p.coordinators = make(map[string]int)
	p.orphans, p.resubmitted = make(map[string]*job), make(map[string]*job)
	p.suspected = make(map[string]*suspectJob)
	p.losses, p.formerShown, p.formerWanted = nil, 0, 0
	p.falls.stale = true
	p.stored.reset()
	p.advice = make(map[fleet.TaskID]*stepAdvice)
}

// Effects returns the effects that were collected since the last call and clears them.
func (p *Pool) Effects() []Effect {
	e := p.effects
	p.effects = nil
	return e
}

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

// Leading reports whether this entry is leader, and so may own targets.
func (p *Pool) Leading() bool { return p.leading }

// Owned returns the number of targets that the pool owns.
func (p *Pool) Owned() int {
	n := 0
	for _, t := range p.sortedTargets {
		if t.owned {
			n++
		}
	}
	return n
}

// BecomeLeader starts to acquire the targets, with fencing tokens above base. It does
// nothing if the pool is leading already.
func (p *Pool) BecomeLeader(now time.Duration, base uint64) {
	if p.leading {
		return
	}
	p.leading, p.leadingSince, p.awaitTargets = true, now, 0
	p.fenceBase, p.lastFence = base, max(p.lastFence, base)
	for _, t := range p.sortedTargets {
		t.reset()
		t.nextAcquireAt = now + t.acquirePolicy.Delay
	}
	p.acquireTargets(now)
}

// DelayStarts keeps the pool from starting tasks until the given time. It is called
// after a process pause of the owner, since jobs submitted to it before may have been
// resubmitted to another owner meanwhile.
func (p *Pool) DelayStarts(until time.Duration) { p.noStartsBefore = max(p.noStartsBefore, until) }

// AwaitTargets keeps the pool from starting tasks until TargetsCurrent is called, or until
// the given time. It is called for a list of targets that may not show which of them are
// leaving.
func (p *Pool) AwaitTargets(until time.Duration) { p.awaitTargets = until }

// TargetsCurrent tells that the list of targets is current.
func (p *Pool) TargetsCurrent() { p.awaitTargets = 0 }

// StepDown drops all targets and jobs. Runs continue until the next owner adopts or
// stops them, or until their lease expires.
func (p *Pool) StepDown() {
	if !p.leading {
		return
	}
	p.leading = false
	runs := 0
	for _, t := range p.sortedTargets {
		runs += len(t.runs)
		t.reset()
	}
	p.log("ownership", "outcome", "stepped down", "jobs", len(p.jobs), "runs", runs)
	p.reset()
}

// Tick does all work that is due by time, places waiting tasks and rejects overdue jobs.
func (p *Pool) Tick(now time.Duration) {
	if !p.leading {
		return
	}
	p.lastTick, p.work = now, roundWork{}
	p.tickRecall(now)
	p.releaseExpired(now)
	p.acquireTargets(now)
	p.sendHolds(now)
	p.stopUnclaimed(now)
	p.expireOrphans(now)
	p.stopUnpermitted(now)
	p.endDeparted(now)
	p.endEjections(now)
	p.removeUnlisted(now)
	p.tickStored(now)
	p.tickLosses(now)
	p.tickSuspicions(now)
	p.requestVouches(now)
	p.placeWaiting(now)
	p.endEvacuated(now)
	p.rejectOverdue(now)
	p.forgetExpired(now)
}

// forgetInterval is the time between two rounds of forgetting what is kept for some seconds.
const forgetInterval = 250 * time.Millisecond

// forgetExpired forgets jobs that ended some time ago.
func (p *Pool) forgetExpired(now time.Duration) {
	if now < p.nextForgetAt {
		return
	}
	p.nextForgetAt = now + forgetInterval
	p.forgetLeftRuns(now)
	p.sweepElsewhere(now)
	p.forgetQueues(now)
	for id, kept := range p.keptOutcomes {
		if now > kept.until {
			delete(p.keptOutcomes, id)
		}
	}
	for id, e := range p.stored.ended {
		if e.saved && now > e.endedAt+keepEndedFor {
			delete(p.stored.ended, id)
		}
	}
}
