package pool

import (
	"math"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/statechart"
)

const (
	// failuresToEject is how many runs of different jobs have to fail in a row.
	failuresToEject = 3
	// firstEjection is the first pause of an ejected target; it doubles up to
	// maxEject.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// maxEjectedShare is the share of targets that may be ejected at one time.
	maxEjectedShare = 0.4
	// stalledFactor is how many times its expected time a run may take without
	// progress; minStandstill is the least time.
	stalledFactor = 2.5
	minStalled    = 150 * time.Millisecond
	// slowFactor is the factor over the expected time from which a target counts
	// as slow, and paceWeight the weight of a new sample.
	slowFactor     = 2.6
	slowdownWeight = 0.25
)

// health is what is thought of a target from the ends of its runs.
type health struct {
	state               statechart.TargetHealthState
	consecutiveFailures int    // runs of different jobs that failed in a row
	lastFailedJob       string // job of the last one
	ejections           int    // in a row
	ejectedUntil        time.Duration
	pauseUntil          time.Duration
	paused              bool
	logSlowdown         float64 // mean logarithm of the time taken over the expected one
}

func newHealth() health {
	return health{state: statechart.TargetHealth.Initial()}
}

func (h *health) step(e statechart.TargetHealthEvent) statechart.TargetHealthAction {
	next, action, ok := statechart.TargetHealth.Step(h.state, e)
	if ok {
		h.state = next
	}
	return action
}

// acceptsTasks reports whether the target may get another task, while it has n.
func (h *health) acceptsTasks(n int) bool {
	switch h.state {
	case statechart.TargetHealthHealthy:
		return !h.paused
	case statechart.TargetHealthTrial:
		return n == 0 && !h.paused
	default:
		return false
	}
}

// penalty makes slow targets less wanted, in thousandths of a core.
func (h *health) penalty() int64 {
	if h.logSlowdown == 0 {
		return 0
	}
	return int64(h.logSlowdown * slowPenalty)
}

// slowPenalty is the room that a target e times slower stands back by, in
// thousandths of a core.
const slowPenalty = 4000

// recordEnd learns from the end of a run.
func (p *Pool) recordEnd(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	t := r.target
	switch kind {
	case fleet.EndDone:
		t.consecutiveFailures, t.ejections = 0, 0
		t.step(statechart.TargetHealthOnTrialPassed)
		if !prompt || !r.startTimeKnown {
			return
		}
		took := now - r.startedAt
		r.task.job.queueState.recordRunTime(time.Duration(float64(took) / math.Exp(t.logSlowdown)))
		p.recordSlowdown(now, t, took, r.expected)
	case fleet.EndFailed:
		if t.lastFailedJob != r.taskID.Job {
			t.lastFailedJob = r.taskID.Job
			p.recordFailure(now, t, "fails what it runs")
		}
	}
}

// checkProgress looks at a run that is listed: one that stands still is stopped
// and tried elsewhere.
func (p *Pool) checkProgress(now time.Duration, r *run) {
	if r.state != runRunning || r.task == nil || r.expected <= 0 || r.task.currentRun != r {
		return
	}
	elapsed := now - r.startedAt
	limit := max(time.Duration(float64(r.expected)*stalledFactor), minStalled)
	if elapsed < limit {
		return
	}
	if r.percent == 0 {
		t := r.target
		t.consecutiveFailures = failuresToEject
		p.recordFailure(now, t, "stands still")
		r.task.failedOn = append(r.task.failedOn, t)
		p.stopRun(now, r, "it stands still")
		return
	}
	p.recordSlowdown(now, r.target, elapsed*100/time.Duration(r.percent), r.expected)
}

func (p *Pool) recordSlowdown(now time.Duration, t *target, took, expect time.Duration) {
	if expect <= 0 || took <= 0 {
		return
	}
	t.logSlowdown += slowdownWeight * (math.Log(float64(took)/float64(expect)) - t.logSlowdown)
	if t.logSlowdown > math.Log(slowFactor) {
		t.consecutiveFailures = failuresToEject
		p.recordFailure(now, t, "is slow")
		t.logSlowdown = math.Log(slowFactor) / 2
	}
}

// recordFailure counts a failure of a target and ejects it after several.
func (p *Pool) recordFailure(now time.Duration, t *target, why string) {
	t.consecutiveFailures++
	onTrial := t.state == statechart.TargetHealthTrial
	if t.consecutiveFailures < failuresToEject && !onTrial {
		return
	}
	if !onTrial && p.ejectedCount() >= int(maxEjectedShare*float64(len(p.sortedTargets))) {
		return
	}
	if t.step(statechart.TargetHealthOnFailing) != statechart.TargetHealthDoEject {
		return
	}
	pause := min(firstEjection<<min(t.ejections, 4), maxEjection)
	t.ejections++
	t.ejectedUntil = now + pause
	p.log("target", "target", t.ID, "outcome", "ejected", "reason", why, "failed", t.consecutiveFailures, "for_ms", pause.Milliseconds())
}

func (p *Pool) ejectedCount() int {
	n := 0
	for _, t := range p.sortedTargets {
		if t.state == statechart.TargetHealthEjected {
			n++
		}
	}
	return n
}

// endEjections lets ejected targets be tried again.
func (p *Pool) endEjections(now time.Duration) {
	for _, t := range p.sortedTargets {
		t.paused = now < t.pauseUntil
		if t.state == statechart.TargetHealthEjected && now >= t.ejectedUntil {
			t.consecutiveFailures = 0
			t.step(statechart.TargetHealthOnCooled)
		}
	}
}
