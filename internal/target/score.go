package target

import (
	"math"
	"time"

	"currantstall/internal/statechart"
)

// score summarizes the attempts of one target with tasks of one kind.
type score struct {
	attempts   int
	failShare  float64 // smoothed share of failures, 0 to 1
	timedTasks int
	lnTime     float64 // smoothed ln of the time in seconds
	lnExcess   float64 // smoothed excess of ln(time) over the mean of the group's other targets
	// slowSince is since when lnExcess has shown the target as slow, zero while it
	// does not.
	slowSince time.Time
}

// groupTotals sums the scores of the healthy targets of a group for one kind. Each
// target has the same weight whatever its number of attempts: a target that fails
// fast gets many tasks, and would otherwise dominate the mean.
type groupTotals struct {
	targets      int // with at least one attempt
	failShareSum float64
	timedTargets int // with at least one timed task
	lnTimeSum    float64
}

func (g *groupTotals) add(s *score, sign int) {
	if s.attempts > 0 {
		g.targets += sign
		g.failShareSum += float64(sign) * s.failShare
	}
	if s.timedTasks > 0 {
		g.timedTargets += sign
		g.lnTimeSum += float64(sign) * s.lnTime
	}
}

// excluding returns the totals without the score of one target.
func (g groupTotals) excluding(s *score) groupTotals {
	g.add(s, -1)
	return g
}

// meanFailShare returns the mean share of failures, and false if no target has an
// attempt.
func (g *groupTotals) meanFailShare() (float64, bool) {
	if g.targets == 0 {
		return 0, false
	}
	return g.failShareSum / float64(g.targets), true
}

// meanLnTime returns the mean of ln(time), and false if no target has a timed task.
func (g *groupTotals) meanLnTime() (float64, bool) {
	if g.timedTargets == 0 {
		return 0, false
	}
	return g.lnTimeSum / float64(g.timedTargets), true
}

// clearScores drops the scores of a target and subtracts them from its group's
// totals.
func (tgt *trackedTarget) clearScores() {
	for kind, s := range tgt.scores {
		if g := tgt.group.totals[kind]; g != nil {
			g.add(s, -1)
		}
	}
	clear(tgt.scores)
	tgt.consecutiveFaults = 0
}

// observeHealthy scores an attempt of a healthy target, and ejects the target if
// it is failing and MaxEjected allows it.
func (t *Tracker) observeHealthy(tgt *trackedTarget, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	s := tgt.scores[kind]
	if s == nil {
		s = &score{}
		tgt.scores[kind] = s
	}
	totals := tgt.group.totals[kind]
	if totals == nil {
		totals = &groupTotals{}
		tgt.group.totals[kind] = totals
	}
	others := totals.excluding(s)
	totals.add(s, -1)
	slow := s.observe(ev, elapsed, others)
	totals.add(s, 1)
	switch ev {
	case TargetFault:
		tgt.consecutiveFaults++
	case Succeeded, TaskFailed:
		tgt.consecutiveFaults = 0
	}
	confirmed := s.slowConfirmed(slow, now.Add(-elapsed), now)
	if (confirmed || tgt.failing(s, others)) && t.mayEject(tgt.group) {
		t.applyEvent(tgt, statechart.TargetHealthOnFailing, now)
	}
}

// observe adds one attempt to the score and reports whether it was slow. Others are
// the totals of the group's other targets.
func (s *score) observe(ev Evidence, elapsed time.Duration, others groupTotals) (slow bool) {
	if ev != Overdue {
		s.attempts++
		failed := 0.0
		if ev != Succeeded {
			failed = 1
		}
		s.failShare += failSmoothing * (failed - s.failShare)
	}
	if ev != Succeeded && ev != Overdue {
		return false
	}
	ln := lnSeconds(elapsed)
	mean, ok := others.meanLnTime()
	slow = ok && ln >= mean+lnTimeExcess
	if ev == Overdue && !slow {
		return false // the run time is only known to be longer than elapsed
	}
	s.timedTasks++
	s.lnTime += max(1/float64(s.timedTasks), lnTimeSmoothing) * (ln - s.lnTime)
	if ok {
		s.lnExcess += lnTimeSmoothing * (ln - mean - s.lnExcess)
	}
	return slow
}

// slowConfirmed reports whether a slow attempt confirms that its target is slow: it
// was sent after the score had shown that. Attempts that were in flight together can
// be late for one reason that is not the target's, such as a pause of this process,
// and one task that runs for long is observed several times.
func (s *score) slowConfirmed(slow bool, sentAt, now time.Time) bool {
	if s.timedTasks < minSamples || s.lnExcess < lnTimeExcess {
		s.slowSince = time.Time{}
		return false
	}
	if s.slowSince.IsZero() {
		s.slowSince = now
		return false
	}
	return slow && !sentAt.Before(s.slowSince)
}

// failing reports whether a target has too many faults in a row, or fails far more
// often than the other targets of its group.
func (tgt *trackedTarget) failing(s *score, others groupTotals) bool {
	if tgt.consecutiveFaults >= maxConsecutiveFaults {
		return true
	}
	share, ok := others.meanFailShare()
	return ok && s.attempts >= minSamples && s.failShare >= share+failShareExcess
}

// observeTrial doubles the task limit of a target on trial after each good attempt.
// A TargetFault or failed task ends the trial with an ejection, except that a
// failed task is ignored if the healthy targets of the group fail this kind of
// work as well. maxSlowTrialTasks slow tasks end it likewise.
func (t *Tracker) observeTrial(tgt *trackedTarget, ev Evidence, elapsed time.Duration, kind string, now time.Time) {
	others := groupTotals{}
	if g := tgt.group.totals[kind]; g != nil {
		others = *g
	}
	share, _ := others.meanFailShare()
	if ev == TargetFault || (ev == TaskFailed && share < failShareExcess) {
		t.applyEvent(tgt, statechart.TargetHealthOnFailing, now)
		return
	}
	if ev == TaskFailed {
		return
	}
	mean, ok := others.meanLnTime()
	if ok && lnSeconds(elapsed) > mean+lnTimeExcess {
		tgt.slowTrialTasks++
		if tgt.slowTrialTasks >= maxSlowTrialTasks {
			t.applyEvent(tgt, statechart.TargetHealthOnFailing, now)
		}
		return
	}
	if ev == Overdue {
		return
	}
	tgt.trialLimit *= 2
	if tgt.trialLimit > maxTrialTasks {
		t.applyEvent(tgt, statechart.TargetHealthOnTrialPassed, now)
	}
}

// lnSeconds returns ln(d) with d in seconds; d counts as at least 100 µs.
func lnSeconds(d time.Duration) float64 {
	return math.Log(max(d, 100*time.Microsecond).Seconds())
}
