package target

import (
	"sync"
	"time"

	"currantstall/internal/statechart"
	"currantstall/internal/verdict"
)

// State is what is thought of a target; see charts/target_health.yaml.
type State = statechart.TargetHealthState

// The states of a target.
const (
	Healthy = statechart.TargetHealthHealthy
	Ejected = statechart.TargetHealthEjected
	Trial   = statechart.TargetHealthTrial
	Leaving = statechart.TargetHealthLeaving
	Gone    = statechart.TargetHealthGone
)

// Evidence is what one attempt says about its target.
type Evidence uint8

// The kinds of evidence.
const (
	// Neutral says nothing: cancelled, refused for a reason of the sender.
	Neutral Evidence = iota
	// Succeeded is a whole answer, late or not.
	Succeeded
	// TaskFailed means that the task ran there and failed.
	TaskFailed
	// TargetFault means that the target gave no proper answer.
	TargetFault
	// Overdue means that the task is still running.
	Overdue
)

// EvidenceOf tells what the error of Runner.Run says about the target. A silent
// connection says nothing about it, if it answers over another one.
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

// Unlimited is the Allowed of a healthy target.
const Unlimited = -1

// Settings of a Tracker.
const (
	DefaultMaxEjected  = 0.5 // share of a group
	DefaultCooldown    = 2 * time.Second
	DefaultMaxCooldown = time.Minute

	maxConsecutiveFaults = 3               // Broken in a row eject
	minSamples           = 5               // attempts before a target is compared
	failShareExcess      = 0.4             // share of failures above that of the peers
	lnTimeExcess         = 1.1             // of ln(time), above the peers: 3 times as long
	maxSlowTrialTasks    = 2               // slow tasks that end a trial
	maxTrialTasks        = 8               // tasks at one time that end a trial well
	cooldownResetAfter   = 5 * time.Minute // in good health, after which the cooldown starts anew
	failSmoothing        = 0.2
	lnTimeSmoothing      = 0.1
)

// TrackerConfig holds the settings of a Tracker. Zero values stand for
// defaults.
type TrackerConfig struct {
	// MaxEjected bounds the share of each group that is ejected or on
	// trial, 0 to 1. Beyond it no healthy target is ejected.
	MaxEjected float64
	// Cooldown is how long a target is ejected for the first time; it
	// doubles with each time up to MaxCooldown.
	Cooldown    time.Duration
	MaxCooldown time.Duration
	// OnChange is called at each change of a state, one call at a time. It
	// must not block nor call the tracker.
	OnChange func(Change)
}

// Change is a change of a target's state.
type Change struct {
	Addr     string
	From, To State
}

// Health is what a Tracker knows of one target.
type Health struct {
	Addr  string
	Group string
	State State
	// Allowed is the number of tasks that the target may run at one time:
	// Unlimited for a healthy one, a few on trial, else 0.
	Allowed int
	// EjectedUntil is the end of an ejection.
	EjectedUntil time.Time
}

// Tracker judges targets by the outcomes of their attempts, each against its
// peers: a target is ejected if it breaks several attempts in a row, fails
// more than its peers do with the same kind of work, or takes much longer. It
// holds no clock; each call brings the time. It is safe for concurrent use,
// and a call costs the same however many targets there are.
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

// trackedTarget is one target.
type trackedTarget struct {
	addr  string
	group *group
	state State

	consecutiveFaults int // in a row
	scores            map[string]*score
	ejections         int
	ejectedUntil      time.Time // end of the ejection
	changedAt         time.Time

	trialLimit     int // on trial
	slowTrialTasks int // slow tasks on trial
}

// group is a set of targets that are compared with each other.
type group struct {
	name           string
	size           int
	ejectedOrTrial int // ejected or on trial
	totals         map[string]*groupTotals
}

// Add makes a target known, as healthy. A known one stays as it is.
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

// Leave marks a target as leaving: it is allowed nothing new.
func (t *Tracker) Leave(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.targets[addr]; h != nil {
		t.applyEvent(h, statechart.TargetHealthOnLeave, now)
	}
}

// Return puts a target that was leaving back on trial.
func (t *Tracker) Return(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.targets[addr]; h != nil {
		t.applyEvent(h, statechart.TargetHealthOnReturn, now)
	}
}

// Remove forgets a target that is gone.
func (t *Tracker) Remove(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.targets[addr]; h != nil {
		t.applyEvent(h, statechart.TargetHealthOnRemove, now)
	}
}

// Observe takes in what an attempt with a task of the kind says about its
// target. Took is the time from the send to the answer, or so far.
func (t *Tracker) Observe(addr string, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[addr]
	if h == nil || ev == Neutral {
		return
	}
	t.endCooldown(h, now)
	switch h.state {
	case Healthy:
		t.observeHealthy(h, ev, elapsed, kind, now)
	case Trial:
		t.observeTrial(h, ev, elapsed, kind, now)
	}
}

// State returns a target's state; Gone if it is not known.
func (t *Tracker) State(addr string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[addr]
	if h == nil {
		return Gone
	}
	t.endCooldown(h, now)
	return h.state
}

// Allowed returns how many tasks a target may run at one time; see Health.
func (t *Tracker) Allowed(addr string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.targets[addr]
	if h == nil {
		return 0
	}
	t.endCooldown(h, now)
	return h.allowedTasks()
}

// Snapshot returns all targets, in no order.
func (t *Tracker) Snapshot(now time.Time) []Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Health, 0, len(t.targets))
	for _, h := range t.targets {
		t.endCooldown(h, now)
		out = append(out, Health{
			Addr:         h.addr,
			Group:        h.group.name,
			State:        h.state,
			Allowed:      h.allowedTasks(),
			EjectedUntil: h.ejectedUntil,
		})
	}
	return out
}

func (h *trackedTarget) allowedTasks() int {
	switch h.state {
	case Healthy:
		return Unlimited
	case Trial:
		return h.trialLimit
	}
	return 0
}

// endCooldown puts a target whose ejection is over on trial.
func (t *Tracker) endCooldown(h *trackedTarget, now time.Time) {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		t.applyEvent(h, statechart.TargetHealthOnCooled, now)
	}
}

// applyEvent feeds an event to a target's chart and carries out the action.
func (t *Tracker) applyEvent(h *trackedTarget, event statechart.TargetHealthEvent, now time.Time) {
	from := h.state
	to, action, ok := statechart.TargetHealth.Step(from, event)
	if !ok || to == from {
		return
	}
	h.state, h.changedAt = to, now
	h.group.ejectedOrTrial += ejectedOrTrialCount(to) - ejectedOrTrialCount(from)
	switch action {
	case statechart.TargetHealthDoEject:
		t.eject(h, from, now)
	case statechart.TargetHealthDoStartTrial:
		h.clearScores()
		h.trialLimit, h.slowTrialTasks = 1, 0
	case statechart.TargetHealthDoStopNew:
		h.clearScores()
	case statechart.TargetHealthDoForget:
		t.forget(h)
	}
	t.cfg.OnChange(Change{Addr: h.addr, From: from, To: to})
}

func (t *Tracker) eject(h *trackedTarget, from State, now time.Time) {
	if from == Healthy && h.ejections > 0 && now.Sub(h.ejectedUntil) > cooldownResetAfter {
		h.ejections = 0
	}
	cooldown := t.cfg.Cooldown << min(h.ejections, 16)
	h.ejectedUntil = now.Add(min(cooldown, t.cfg.MaxCooldown))
	h.ejections++
	h.clearScores()
}

func (t *Tracker) forget(h *trackedTarget) {
	h.clearScores()
	h.group.size--
	delete(t.targets, h.addr)
	if h.group.size == 0 {
		delete(t.groups, h.group.name)
	}
}

// mayEject reports whether one more healthy target of the group may be
// ejected. Those on trial count as well: they may be ejected again at once.
func (t *Tracker) mayEject(g *group) bool {
	return float64(g.ejectedOrTrial+1) <= t.cfg.MaxEjected*float64(g.size)
}

// ejectedOrTrialCount returns 1 for a state that counts towards the cap, else 0.
func ejectedOrTrialCount(s State) int {
	if s == Ejected || s == Trial {
		return 1
	}
	return 0
}
