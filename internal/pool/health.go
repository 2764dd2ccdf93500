package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/speed"
	"currantstall/internal/statechart"
)

const (
	// failuresToEject is how many runs of different jobs have to fail in a row before a
	// target is ejected.
	failuresToEject = 3
	// firstEjection is the duration of a target's first ejection; it doubles with each
	// further ejection in a row, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// maxSlowEjection is the longest ejection of a target that is slow.
	maxSlowEjection = 2 * time.Second
	// maxEjectedShare is the largest share of targets that may be ejected at the same
	// time.
	maxEjectedShare = 0.4
	// stalledFactor times the expected time, at least minStalled, is how long a run may
	// take without any progress.
	stalledFactor = 2.5
	minStalled    = 150 * time.Millisecond
)

// The reasons of ejections.
const (
	ejectedFailing   = "consecutive runs failed"
	ejectedStalled   = "run made no progress"
	ejectedSlow      = "runs slower than on other targets"
	ejectedRejecting = "rejected starts"
)

// health is the health of a target as judged from the progress and ends of its runs.
type health struct {
	state               statechart.TargetHealthState
	consecutiveFailures int           // failed runs of different jobs in a row
	lastFailedJob       string        // job of the last failed run
	ejections           int           // in a row
	ejectedUntil        time.Duration // when a trial of the ejected target may start
	pauseUntil          time.Duration // after a rejected start
	paused              bool          // gets no tasks until pauseUntil
	speed               speed.Target
	slowness            speed.State   // as of the last tick or sign
	slowFactor          float64       // how many times as long as on other targets its runs take, likewise
	lastJudged          string        // job of the last run that was a sign of its speed
	stoodStillUntil     time.Duration // it has gone on after a standstill, and may stand still again
	stoodStill          bool          // stoodStillUntil has not come
}

// newHealth returns the health of a target without any runs.
func newHealth() health {
	return health{state: statechart.TargetHealth.Initial()}
}

// step applies an event of the state chart and returns the resulting action.
func (h *health) step(e statechart.TargetHealthEvent) statechart.TargetHealthAction {
	next, action, ok := statechart.TargetHealth.Step(h.state, e)
	if ok {
		h.state = next
	}
	return action
}

// acceptsTasks reports whether a target with n runs may get another task. A target on
// trial runs one at a time.
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

// penalty returns how much a target that is slow, or has stood still lately, is set back in the choice of a target, in
// thousandths of a core.
func (h *health) penalty() int64 {
	penalty := int64(h.speed.Pace() * pacePenalty)
	if h.slowness != speed.AsOthers {
		penalty += slowPenalty
	}
	if h.stoodStill {
		penalty += standstillPenalty
	}
	return penalty
}

const (
	// standstillPenalty sets a target back behind all that have not stood still lately, in thousandths of a core, and
	// slowPenalty behind all others that are not slow.
	standstillPenalty = 1 << 32
	slowPenalty       = 1 << 31
	// pacePenalty is the penalty of a target on which runs take e times as long as expected, in thousandths of a core.
	pacePenalty = 4000
	// standstillMemory is how long a target that has gone on after a standstill is set back.
	standstillMemory = 3 * time.Second
)

// recordEnd updates the target's health and the queue's run times after the end of a
// run. A run time counts only if the end was reported promptly and the start time is
// known.
func (p *Pool) recordEnd(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	t := r.target
	switch kind {
	case fleet.EndDone:
		t.ramp.Ended()
		sign := speed.Unknown
		if prompt && r.startTimeKnown {
			sign = p.judgeSpeed(now, r, now-r.startedAt, true)
		}
		if sign == speed.Slow || sign == speed.Unknown && t.state == statechart.TargetHealthTrial && t.slowness != speed.AsOthers {
			return // the trial of a slow target goes on
		}
		t.consecutiveFailures, t.ejections = 0, 0
		if t.state == statechart.TargetHealthTrial {
			t.speed = speed.Target{}
		}
		t.step(statechart.TargetHealthOnTrialPassed)
	case fleet.EndFailed:
		if t.lastFailedJob != r.taskID.Job {
			t.lastFailedJob = r.taskID.Job
			p.recordFailure(now, t, ejectedFailing)
		}
	}
}

// checkProgress checks a run that a report of the given time of the target's clock lists. A run without
// progress counts against its target, and is stopped and started elsewhere. A report may be read late,
// so that the time by the target's clock bounds that by the entry's.
func (p *Pool) checkProgress(now time.Duration, r *run, clockMS int64) {
	if r.state != runRunning || r.task == nil || r.expected <= 0 || r.task.currentRun != r {
		return
	}
	elapsed := min(now-r.startedAt, time.Duration(clockMS-r.startClockMS)*time.Millisecond)
	if r.percent > 0 {
		if elapsed < r.expected {
			return // the first part may hold what a task does once
		}
		p.judgeSpeed(now, r, elapsed*100/time.Duration(r.percent+1), false)
		p.moveFromSlow(now, r, elapsed*time.Duration(100-r.percent)/time.Duration(r.percent+1))
		return
	}
	limit := max(time.Duration(float64(r.expected)*stalledFactor), minStalled)
	if elapsed < limit {
		return
	}
	t := r.target
	t.consecutiveFailures = failuresToEject
	p.recordFailure(now, t, ejectedStalled)
	r.task.failedOn = append(r.task.failedOn, t)
	p.stopRun(now, r, "no progress")
}

// recordFailure counts a failure of a target, and ejects the target after
// failuresToEject of them or at once if it is on trial, unless too many targets are
// ejected already.
func (p *Pool) recordFailure(now time.Duration, t *target, reason string) {
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
	duration := min(firstEjection<<min(t.ejections, 4), maxEjection)
	if reason == ejectedSlow {
		duration = min(duration, maxSlowEjection) // its trial costs a task that is moved, and its room is missed once it is sound
	}
	t.ejections++
	t.ejectedUntil = now + duration
	p.ejections = append(p.ejections, reason)
	p.log("target", "target", t.ID, "outcome", "ejected", "reason", reason, "failed", t.consecutiveFailures, "slow_signs", t.speed.Signs(now), "slow_factor", t.speed.Factor(now), "for_ms", duration.Milliseconds())
}

// ejectedCount returns the number of ejected targets.
func (p *Pool) ejectedCount() int {
	n := 0
	for _, t := range p.sortedTargets {
		if t.state == statechart.TargetHealthEjected {
			n++
		}
	}
	return n
}

// endEjections starts the trial of targets whose ejection is over, and ends pauses and waits for rows.
func (p *Pool) endEjections(now time.Duration) {
	for _, t := range p.sortedTargets {
		t.refreshSpeed(now)
		t.coldRoom = t.ramp.Room(now, p.cfg.ColdStart)
		t.paused, t.rowDue, t.stoodStill = now < t.pauseUntil, now < t.rowDueUntil, now < t.stoodStillUntil
		if t.state == statechart.TargetHealthEjected && now >= t.ejectedUntil {
			t.consecutiveFailures = 0
			t.step(statechart.TargetHealthOnCooled)
		}
	}
}
