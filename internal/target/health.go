package target

import (
	"sync"
	"time"

	"currantstall/internal/statechart"
	"currantstall/internal/verdict"
)

// State is the health state of a target. The transitions are defined in
// charts/target_health.yaml.
type State = statechart.TargetHealthState

// The states of a target.
const (
	Healthy = statechart.TargetHealthHealthy
	Ejected = statechart.TargetHealthEjected
	Trial   = statechart.TargetHealthTrial
	Leaving = statechart.TargetHealthLeaving
	Gone    = statechart.TargetHealthGone
)

// Evidence classifies the outcome of one attempt as a sign of its target's health.
type Evidence uint8

// The kinds of evidence.
const (
	// Neutral is no evidence about the target: the attempt was cancelled, or
	// refused for a reason on the sender's side.
	Neutral Evidence = iota
	// Succeeded means that a complete answer arrived, late or not.
	Succeeded
	// TaskFailed means that the task ran at the target and failed.
	TaskFailed
	// TargetFault means that the target could not be reached or gave no valid
	// answer.
	TargetFault
	// Overdue means that the task is still running.
	Overdue
)

// EvidenceOf classifies the error of TaskRunner.Run. A silent connection is
// Neutral, since the target may respond over another one.
func EvidenceOf(err error) Evidence {
	if err == nil {
		return Succeeded
	}
	switch verdict.FromError(err).Reason {
	case verdict.TaskFailed:
		return TaskFailed
	case verdict.DialFailed, verdict.TargetLost, verdict.TargetError,
		verdict.TruncatedAnswer, verdict.MismatchedAnswer:
		return TargetFault
	case verdict.Timeout:
		return Overdue
	}
	return Neutral
}

// Unlimited is the value of Health.Allowed for a healthy target.
const Unlimited = -1

// Defaults of TrackerConfig and fixed settings of a Tracker.
const (
	DefaultMaxEjected  = 0.5 // share of the targets of a group
	DefaultCooldown    = 2 * time.Second
	DefaultMaxCooldown = time.Minute

	maxConsecutiveFaults = 3 // attempts in a row with a TargetFault that eject a target
	minSamples           = 5 // attempts of a target before it is compared with its group
	// failShareExcess is the share of failures above the mean of the group's
	// other targets at which a target is ejected.
	failShareExcess = 0.4
	// lnTimeExcess is the excess of ln(time) over the mean of the group's other
	// targets at which a target is slow: 3 times as long.
	lnTimeExcess      = 1.1
	maxSlowTrialTasks = 2 // slow tasks that end a trial with an ejection
	maxTrialTasks     = 8 // concurrent tasks; a trial passes when its limit exceeds this
	// cooldownResetAfter is the time since the end of an ejection after which a
	// healthy target's next cooldown is the first value again.
	cooldownResetAfter = 5 * time.Minute
	failSmoothing      = 0.2 // weight of a new sample
	lnTimeSmoothing    = 0.1 // weight of a new sample
)

// TrackerConfig holds the settings of a Tracker. Zero values stand for
// defaults.
type TrackerConfig struct {
	// MaxEjected is the largest share of each group that may be ejected or
	// on trial, 0 to 1. At this share no healthy target is ejected.
	MaxEjected float64
	// Cooldown is the duration of the first ejection of a target. It doubles
	// with each further ejection up to MaxCooldown.
	Cooldown    time.Duration
	MaxCooldown time.Duration
	// OnChange is called for each change of a target's state, one call at a
	// time. It must neither block nor call the tracker.
	OnChange func(Change)
}

// Change describes a change of a target's state.
type Change struct {
	Addr     string
	From, To State
}

// Health is a snapshot of a Tracker's state of one target.
type Health struct {
	Addr  string
	Group string
	State State
	// Allowed is the number of tasks that the target may run concurrently:
	// Unlimited for a healthy target, a few on trial, else 0.
	Allowed int
	// EjectedUntil is the end of the last ejection.
	EjectedUntil time.Time
}

// Tracker judges the health of targets by the outcomes of their attempts. It
// ejects a target that gives no valid answer several times in a row, or that
// fails more often or takes much longer than the other targets of its group with
// the same kind of work. It reads no clock; each call passes the time. It is safe
// for concurrent use, and the cost of a call, except Snapshot, does not depend on
// the number of targets.
type Tracker struct {
	cfg TrackerConfig

	mu      sync.Mutex
	targets map[string]*trackedTarget
	groups  map[string]*group
}

// NewTracker returns a tracker without targets.
func NewTracker(cfg TrackerConfig) *Tracker {
	if cfg.MaxEjected <= 0 {
		cfg.MaxEjected = DefaultMaxEjected
	}
	if cfg.Cooldown <= 0 {
		cfg.Cooldown = DefaultCooldown
	}
	if cfg.MaxCooldown <= 0 {
		cfg.MaxCooldown = DefaultMaxCooldown
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(Change) {}
	}
	return &Tracker{cfg: cfg, targets: make(map[string]*trackedTarget), groups: make(map[string]*group)}
}

// trackedTarget is the state of one target in a Tracker.
type trackedTarget struct {
	addr  string
	group *group
	state State

	consecutiveFaults int               // attempts in a row with a TargetFault
	scores            map[string]*score // by kind
	ejections         int               // since the last reset of the cooldown
	ejectedUntil      time.Time         // end of the last ejection
	changedAt         time.Time

	trialLimit     int // concurrent tasks allowed on trial
	slowTrialTasks int // slow tasks in the present trial
}

// group is a set of targets that are compared with each other, and their totals.
type group struct {
	name           string
	size           int
	ejectedOrTrial int                     // targets that are ejected or on trial
	totals         map[string]*groupTotals // by kind
}

// Add adds a target as healthy. A target that was added before stays as it is.
func (t *Tracker) Add(addr, groupName string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets[addr] != nil {
		return
	}
	g := t.groups[groupName]
	if g == nil {
		g = &group{name: groupName, totals: make(map[string]*groupTotals)}
		t.groups[groupName] = g
	}
	g.size++
	t.targets[addr] = &trackedTarget{
		addr:      addr,
		group:     g,
		state:     statechart.TargetHealth.Initial(),
		scores:    make(map[string]*score),
		changedAt: now,
	}
}

// Leave marks a target as leaving: it may get no new tasks.
func (t *Tracker) Leave(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt := t.targets[addr]; tgt != nil {
		t.applyEvent(tgt, statechart.TargetHealthOnLeave, now)
	}
}

// Return puts a target that was leaving on trial.
func (t *Tracker) Return(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt := t.targets[addr]; tgt != nil {
		t.applyEvent(tgt, statechart.TargetHealthOnReturn, now)
	}
}

// Remove drops a target that is gone.
func (t *Tracker) Remove(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt := t.targets[addr]; tgt != nil {
		t.applyEvent(tgt, statechart.TargetHealthOnRemove, now)
	}
}

// Observe updates the health of a target with the evidence of one attempt with a
// task of the kind. Elapsed is the time from the send to the answer or, without an
// answer, to now.
func (t *Tracker) Observe(addr string, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tgt := t.targets[addr]
	if tgt == nil || ev == Neutral {
		return
	}
	t.endCooldown(tgt, now)
	switch tgt.state {
	case Healthy:
		t.observeHealthy(tgt, ev, elapsed, kind, now)
	case Trial:
		t.observeTrial(tgt, ev, elapsed, kind, now)
	}
}

// State returns a target's state, or Gone for an unknown target.
func (t *Tracker) State(addr string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	tgt := t.targets[addr]
	if tgt == nil {
		return Gone
	}
	t.endCooldown(tgt, now)
	return tgt.state
}

// Allowed returns how many tasks a target may run concurrently, as in Health.
func (t *Tracker) Allowed(addr string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	tgt := t.targets[addr]
	if tgt == nil {
		return 0
	}
	t.endCooldown(tgt, now)
	return tgt.allowedTasks()
}

// Snapshot returns the health of all targets, in no particular order.
func (t *Tracker) Snapshot(now time.Time) []Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Health, 0, len(t.targets))
	for _, tgt := range t.targets {
		t.endCooldown(tgt, now)
		out = append(out, Health{
			Addr:         tgt.addr,
			Group:        tgt.group.name,
			State:        tgt.state,
			Allowed:      tgt.allowedTasks(),
			EjectedUntil: tgt.ejectedUntil,
		})
	}
	return out
}

func (tgt *trackedTarget) allowedTasks() int {
	switch tgt.state {
	case Healthy:
		return Unlimited
	case Trial:
		return tgt.trialLimit
	}
	return 0
}

// endCooldown puts an ejected target on trial once its ejection has ended.
func (t *Tracker) endCooldown(tgt *trackedTarget, now time.Time) {
	if tgt.state == Ejected && !now.Before(tgt.ejectedUntil) {
		t.applyEvent(tgt, statechart.TargetHealthOnCooled, now)
	}
}

// applyEvent applies an event to a target's state chart and performs the action
// of the transition.
func (t *Tracker) applyEvent(tgt *trackedTarget, event statechart.TargetHealthEvent, now time.Time) {
	from := tgt.state
	to, action, ok := statechart.TargetHealth.Step(from, event)
	if !ok || to == from {
		return
	}
	tgt.state, tgt.changedAt = to, now
	tgt.group.ejectedOrTrial += ejectedOrTrialCount(to) - ejectedOrTrialCount(from)
	switch action {
	case statechart.TargetHealthDoEject:
		t.eject(tgt, from, now)
	case statechart.TargetHealthDoStartTrial:
		tgt.clearScores()
		tgt.trialLimit, tgt.slowTrialTasks = 1, 0
	case statechart.TargetHealthDoStopNew:
		tgt.clearScores()
	case statechart.TargetHealthDoForget:
		t.forget(tgt)
	}
	t.cfg.OnChange(Change{Addr: tgt.addr, From: from, To: to})
}

func (t *Tracker) eject(tgt *trackedTarget, from State, now time.Time) {
	if from == Healthy && tgt.ejections > 0 && now.Sub(tgt.ejectedUntil) > cooldownResetAfter {
		tgt.ejections = 0
	}
	cooldown := t.cfg.Cooldown << min(tgt.ejections, 16)
	tgt.ejectedUntil = now.Add(min(cooldown, t.cfg.MaxCooldown))
	tgt.ejections++
	tgt.clearScores()
}

func (t *Tracker) forget(tgt *trackedTarget) {
	tgt.clearScores()
	tgt.group.size--
	delete(t.targets, tgt.addr)
	if tgt.group.size == 0 {
		delete(t.groups, tgt.group.name)
	}
}

// mayEject reports whether one more healthy target of the group may be
// ejected. Targets on trial count as well, since they may be ejected again at any
// time.
func (t *Tracker) mayEject(g *group) bool {
	return float64(g.ejectedOrTrial+1) <= t.cfg.MaxEjected*float64(g.size)
}

// ejectedOrTrialCount returns 1 for a state that counts towards MaxEjected, else 0.
func ejectedOrTrialCount(s State) int {
	if s == Ejected || s == Trial {
		return 1
	}
	return 0
}
