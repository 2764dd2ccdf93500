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
	// ejectFor is the first pause of an ejected target; it doubles up to
	// maxEject.
	ejectFor = time.Second
	maxEject = 8 * time.Second
	// maxEjected is the share of targets that may be ejected at one time.
	maxEjected = 0.4
	// standstill is how many times its expected time a run may take without
	// progress; minStandstill is the least time.
	standstill    = 2.5
	minStandstill = 150 * time.Millisecond
	// slowPace is the factor over the expected time from which a target counts
	// as slow, and paceWeight the weight of a new sample.
	slowPace   = 2.6
	paceWeight = 0.25
)

// health is what is thought of a target from the ends of its runs.
type health struct {
	state      statechart.TargetHealthState
	failed     int    // runs of different jobs that failed in a row
	lastFailed string // job of the last one
	ejections  int    // in a row
	coolAt     time.Duration
	pauseUntil time.Duration
	paused     bool
	logPace    float64 // mean logarithm of the time taken over the expected one
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

// takesNew reports whether the target may get another task, while it has n.
func (h *health) takesNew(n int) bool {
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
	if h.logPace == 0 {
		return 0
	}
	return int64(h.logPace * slowPenalty)
}

// slowPenalty is the room that a target e times slower stands back by, in
// thousandths of a core.
const slowPenalty = 4000

// judgeEnd learns from the end of a run.
func (p *Pool) judgeEnd(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	t := r.target
	switch kind {
	case fleet.EndDone:
		t.failed, t.ejections = 0, 0
		t.step(statechart.TargetHealthOnTrialPassed)
		if !prompt || !r.timed {
			return
		}
		took := now - r.began
		r.owner.job.class.learn(time.Duration(float64(took) / math.Exp(t.logPace)))
		p.judgePace(now, t, took, r.expect)
	case fleet.EndFailed:
		if t.lastFailed != r.task.Job {
			t.lastFailed = r.task.Job
			p.judgeFailure(now, t, "fails what it runs")
		}
	}
}

// judgeProgress looks at a run that is listed: one that stands still is stopped
// and tried elsewhere.
func (p *Pool) judgeProgress(now time.Duration, r *run) {
	if r.state != runRunning || r.owner == nil || r.expect <= 0 || r.owner.current != r {
		return
	}
	elapsed := now - r.began
	limit := max(time.Duration(float64(r.expect)*standstill), minStandstill)
	if elapsed < limit {
		return
	}
	if r.percent == 0 {
		t := r.target
		t.failed = failuresToEject
		p.judgeFailure(now, t, "stands still")
		r.owner.failedOn = append(r.owner.failedOn, t)
		p.stop(now, r, "it stands still")
		return
	}
	p.judgePace(now, r.target, elapsed*100/time.Duration(r.percent), r.expect)
}

func (p *Pool) judgePace(now time.Duration, t *target, took, expect time.Duration) {
	if expect <= 0 || took <= 0 {
		return
	}
	t.logPace += paceWeight * (math.Log(float64(took)/float64(expect)) - t.logPace)
	if t.logPace > math.Log(slowPace) {
		t.failed = failuresToEject
		p.judgeFailure(now, t, "is slow")
		t.logPace = math.Log(slowPace) / 2
	}
}

// judgeFailure counts a failure of a target and ejects it after several.
func (p *Pool) judgeFailure(now time.Duration, t *target, why string) {
	t.failed++
	onTrial := t.state == statechart.TargetHealthTrial
	if t.failed < failuresToEject && !onTrial {
		return
	}
	if !onTrial && p.ejected() >= int(maxEjected*float64(len(p.order))) {
		return
	}
	if t.step(statechart.TargetHealthOnFailing) != statechart.TargetHealthDoEject {
		return
	}
	pause := min(ejectFor<<min(t.ejections, 4), maxEject)
	t.ejections++
	t.coolAt = now + pause
	p.log("target", "target", t.ID, "outcome", "ejected", "reason", why, "failed", t.failed, "for_ms", pause.Milliseconds())
}

func (p *Pool) ejected() int {
	n := 0
	for _, t := range p.order {
		if t.state == statechart.TargetHealthEjected {
			n++
		}
	}
	return n
}

// coolTargets lets ejected targets be tried again.
func (p *Pool) coolTargets(now time.Duration) {
	for _, t := range p.order {
		t.paused = now < t.pauseUntil
		if t.state == statechart.TargetHealthEjected && now >= t.coolAt {
			t.failed = 0
			t.step(statechart.TargetHealthOnCooled)
		}
	}
}
