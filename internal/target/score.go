package target

import (
	"math"
	"time"

	"currantstall/internal/statechart"
)

// score is how one target fares with one kind of work.
type score struct {
	attempts   int
	failShare  float64 // smoothed share of failures, 0 to 1
	timedTasks int
	lnTime     float64 // smoothed ln of the time in seconds
	lnExcess   float64 // smoothed distance of ln(time) above the peers' mean
}

// groupTotals sums the scores of the healthy targets of a group for one kind. Each
// target counts once, however much it answers: one that fails fast gets much
// work and would else pass for the rule.
type groupTotals struct {
	targets      int // targets
	failShareSum float64
	timedTargets int // targets
	lnTimeSum    float64
}

func (p *groupTotals) add(s *score, sign int) {
	if s.attempts > 0 {
		p.targets += sign
		p.failShareSum += float64(sign) * s.failShare
	}
	if s.timedTasks > 0 {
		p.timedTargets += sign
		p.lnTimeSum += float64(sign) * s.lnTime
	}
}

// excluding returns the peers of a target whose score is among the sums.
func (p groupTotals) excluding(s *score) groupTotals {
	p.add(s, -1)
	return p
}

// meanFailShare returns the mean share of failures, and false without peers.
func (p *groupTotals) meanFailShare() (float64, bool) {
	if p.targets == 0 {
		return 0, false
	}
	return p.failShareSum / float64(p.targets), true
}

// meanLnTime returns the mean of ln(time), and false without peers.
func (p *groupTotals) meanLnTime() (float64, bool) {
	if p.timedTargets == 0 {
		return 0, false
	}
	return p.lnTimeSum / float64(p.timedTargets), true
}

// clearScores forgets how a target fared and takes it out of its peers' sums.
func (h *trackedTarget) clearScores() {
	for kind, s := range h.scores {
		if p := h.group.totals[kind]; p != nil {
			p.add(s, -1)
		}
	}
	clear(h.scores)
	h.consecutiveFaults = 0
}

// observeHealthy scores an attempt and ejects the target if it is far worse
// than its peers, as far as the cap allows.
func (t *Tracker) observeHealthy(h *trackedTarget, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	s := h.scores[kind]
	if s == nil {
		s = &score{}
		h.scores[kind] = s
	}
	totals := h.group.totals[kind]
	if totals == nil {
		totals = &groupTotals{}
		h.group.totals[kind] = totals
	}
	others := totals.excluding(s)
	totals.add(s, -1)
	s.observe(ev, elapsed, others)
	totals.add(s, 1)
	switch ev {
	case TargetFault:
		h.consecutiveFaults++
	case Succeeded, TaskFailed:
		h.consecutiveFaults = 0
	}
	if h.failing(s, others) && t.mayEject(h.group) {
		t.applyEvent(h, statechart.TargetHealthOnFailing, now)
	}
}

// observe takes in one attempt.
func (s *score) observe(ev Evidence, elapsed time.Duration, others groupTotals) {
	if ev != Overdue {
		s.attempts++
		failed := 0.0
		if ev != Succeeded {
			failed = 1
		}
		s.failShare += failSmoothing * (failed - s.failShare)
	}
	if ev != Succeeded && ev != Overdue {
		return
	}
	ln := lnSeconds(elapsed)
	mean, ok := others.meanLnTime()
	if ev == Overdue && (!ok || ln < mean+lnTimeExcess) {
		return // a task that still runs says only that it takes longer
	}
	s.timedTasks++
	s.lnTime += max(1/float64(s.timedTasks), lnTimeSmoothing) * (ln - s.lnTime)
	if ok {
		s.lnExcess += lnTimeSmoothing * (ln - mean - s.lnExcess)
	}
}

// failing reports whether a target is far worse than its peers.
func (h *trackedTarget) failing(s *score, others groupTotals) bool {
	if h.consecutiveFaults >= maxConsecutiveFaults {
		return true
	}
	share, ok := others.meanFailShare()
	if ok && s.attempts >= minSamples && s.failShare >= share+failShareExcess {
		return true
	}
	return s.timedTasks >= minSamples && s.lnExcess >= lnTimeExcess
}

// observeTrial lets a target on trial have twice as many tasks after each good
// one. A bad one ends the trial, unless the peers fail such work as well.
func (t *Tracker) observeTrial(h *trackedTarget, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	others := groupTotals{}
	if p := h.group.totals[kind]; p != nil {
		others = *p
	}
	share, _ := others.meanFailShare()
	if ev == TargetFault || (ev == TaskFailed && share < failShareExcess) {
		t.applyEvent(h, statechart.TargetHealthOnFailing, now)
		return
	}
	if ev == TaskFailed {
		return
	}
	mean, ok := others.meanLnTime()
	if ok && lnSeconds(elapsed) > mean+lnTimeExcess {
		h.slowTrialTasks++
		if h.slowTrialTasks >= maxSlowTrialTasks {
			t.applyEvent(h, statechart.TargetHealthOnFailing, now)
		}
		return
	}
	if ev == Overdue {
		return
	}
	h.trialLimit *= 2
	if h.trialLimit > maxTrialTasks {
		t.applyEvent(h, statechart.TargetHealthOnTrialPassed, now)
	}
}

// lnSeconds returns ln of a duration in seconds, of at least 100 µs.
func lnSeconds(d time.Duration) float64 {
	return math.Log(max(d, 100*time.Microsecond).Seconds())
}
