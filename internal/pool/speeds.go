package pool

import (
	"slices"
	"time"

	"currantstall/internal/speed"
	"currantstall/internal/statechart"
)

// maxSiblings is how many tasks of a step a run is compared with, and how many its kind learns from.
const maxSiblings = 8

// judgeSpeed adds what a run that has taken the given time, or takes that time at least, says of the speed of its
// target, once for each run. It ejects the target if it is slow. The run time of the queue is learnt from targets that
// are not.
func (p *Pool) judgeSpeed(now time.Duration, r *run, took time.Duration, ended bool) speed.Sign {
	t, tk := r.target, r.task
	if r.judged {
		return r.sign
	}
	if t.ramp.IsCold(r.startedAt) {
		return speed.Unknown // the target has said itself that it is slow
	}
	suspected := t.slowness != speed.AsOthers
	j := speed.Run{
		Took: took, Expected: r.expected, Ended: ended, Siblings: tk.siblingRatios(t), Suspected: suspected,
		Repeated: t.lastJudged == r.taskID.Job, Learn: tk.id.Index < maxSiblings,
	}
	q := tk.job.queueState
	v, final := q.speeds.Judge(j)
	if !final {
		return speed.Unknown
	}
	r.judged, r.sign, t.lastJudged = true, v.Sign, r.taskID.Job
	if r.expected > 0 && took > 0 {
		tk.ratio, tk.ratioOn = j.Ratio(), t
	}
	t.speed.Add(now, v)
	t.refreshSpeed(now)
	if v.Sign != speed.Slow {
		if ended && !suspected {
			q.recordRunTime(took)
		}
		return v.Sign
	}
	if t.slowness == speed.ShownSlow || t.state == statechart.TargetHealthTrial {
		t.consecutiveFailures = failuresToEject
		p.recordFailure(now, t, ejectedSlow)
	}
	return v.Sign
}

// siblingRatios returns the ratios of the runs of the same step that were judged on other targets.
func (tk *task) siblingRatios(t *target) []float64 {
	var ratios []float64
	siblings := tk.job.steps[tk.id.Step]
	for _, o := range siblings[:min(len(siblings), maxSiblings)] {
		if o != tk && o.ratioOn != nil && o.ratioOn != t {
			ratios = append(ratios, o.ratio)
		}
	}
	return ratios
}

// refreshSpeed works out what the evidence on the target's speed amounts to now.
func (h *health) refreshSpeed(now time.Duration) {
	h.slowness, h.slowFactor = h.speed.State(now), h.speed.Factor(now)
}

const (
	// moveFactor times the expected time and moveCost is what has to be left of a slow run for a whole run on another
	// target to end sooner: it has to be stopped and seen to be over before.
	moveFactor = 1.5
	moveCost   = 150 * time.Millisecond
)

// moveFromSlow stops a run of which the given time is left, so that its task is started elsewhere, if it was a slow sign,
// its target has given others before, and a whole run on another target, which has room now, ends sooner. A task is moved once: the time may be its own.
func (p *Pool) moveFromSlow(now time.Duration, r *run, left time.Duration) {
	t, tk := r.target, r.task
	if r.sign != speed.Slow || t.slowness == speed.AsOthers || tk.moved || tk.step.Gang || tk.step.LongRunning {
		return
	}
	if left < time.Duration(moveFactor*float64(r.expected))+moveCost || !slices.ContainsFunc(p.sortedTargets, func(o *target) bool { return o != t && p.isFast(o, tk) && o.hasCapacity(tk) }) {
		return
	}
	tk.moved, tk.failedOn = true, append(tk.failedOn, t)
	p.stopRun(now, r, "target is slow")
}

// isFast reports whether the task could run now or later on the target, which is as fast as most.
func (p *Pool) isFast(t *target, tk *task) bool {
	return t.slowness == speed.AsOthers && t.state == statechart.TargetHealthHealthy && t.eligible(tk) && tk.needs.Fits(t.Capacity) &&
		!slices.Contains(tk.failedOn, t) && p.hasTicket(tk, t)
}

// maySuit reports whether a target is a choice for a task: on one that is slower than others, a run must be able to end in
// time, or with an answer that is of use if it is late on any target. A target on trial, or an idle one that is only suspected, is a
// choice for any task that was not moved from a slow one before: its run shows what it is.
func (t *target) maySuit(now time.Duration, tk *task) bool {
	if tk.step.Gang {
		return true // it needs room for all members at once, which the others may never have
	}
	tried := t.state == statechart.TargetHealthTrial || t.slowness == speed.Suspected && len(t.runs) == 0
	if t.slowness == speed.AsOthers && !tried || tried && !tk.moved {
		return true
	}
	if tk.moved {
		return false
	}
	longer := time.Duration(float64(tk.expected) * (t.slowFactor - 1))
	switch j := tk.job; {
	case now <= j.latestStart:
		return now+longer <= j.latestStart
	case now <= j.latestLateStart:
		return now+longer <= j.latestLateStart
	default:
		return true
	}
}

// SpeedNotes returns the evidence on the targets that are not ordinary, the slow ones first, for the leaders that may follow.
func (p *Pool) SpeedNotes(now time.Duration) speed.Notes {
	var n speed.Notes
	for _, state := range []speed.State{speed.ShownSlow, speed.Suspected} {
		for _, t := range p.sortedTargets {
			if t.owned && t.speed.State(now) == state {
				n = n.Add(now, speed.Life(t.ID, t.Incarnation), &t.speed)
			}
		}
	}
	return n
}

// LearnSpeeds takes over what the leader has passed on.
func (p *Pool) LearnSpeeds(now time.Duration, n speed.Notes) {
	if p.leading || len(n) == 0 {
		return
	}
	known := make(map[uint64]*target, len(p.sortedTargets))
	for _, t := range p.sortedTargets {
		known[speed.Life(t.ID, t.Incarnation)] = t
	}
	n.All(now, func(life uint64, x speed.Target) {
		if t := known[life]; t != nil {
			t.speed.Learn(x)
			t.refreshSpeed(now)
		}
	})
}
