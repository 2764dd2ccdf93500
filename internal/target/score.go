package target

import (
	"math"
	"time"

	"currantstall/internal/statechart"
)

// score is how one target fares with one kind of work.
type score struct {
	seen   int
	fails  float64 // smoothed share of failures, 0 to 1
	timed  int
	lnTook float64 // smoothed ln of the time in seconds
	slow   float64 // smoothed distance of ln(time) above the peers' mean
}

// peers sums the scores of the healthy targets of a group for one kind. Each
// target counts once, however much it answers: one that fails fast gets much
// work and would else pass for the rule.
type peers struct {
	seen   int // targets
	fails  float64
	timed  int // targets
	lnTook float64
}

func (p *peers) add(s *score, sign int) {
	if s.seen > 0 {
		p.seen += sign
		p.fails += float64(sign) * s.fails
	}
	if s.timed > 0 {
		p.timed += sign
		p.lnTook += float64(sign) * s.lnTook
	}
}

// without returns the peers of a target whose score is among the sums.
func (p peers) without(s *score) peers {
	p.add(s, -1)
	return p
}

// failShare returns the mean share of failures, and false without peers.
func (p *peers) failShare() (float64, bool) {
	if p.seen == 0 {
		return 0, false
	}
	return p.fails / float64(p.seen), true
}

// meanLnTook returns the mean of ln(time), and false without peers.
func (p *peers) meanLnTook() (float64, bool) {
	if p.timed == 0 {
		return 0, false
	}
	return p.lnTook / float64(p.timed), true
}

// clearScores forgets how a target fared and takes it out of its peers' sums.
func (h *health) clearScores() {
	for kind, s := range h.kinds {
		if p := h.group.kinds[kind]; p != nil {
			p.add(s, -1)
		}
	}
	clear(h.kinds)
	h.broken = 0
}

// observeHealthy scores an attempt and ejects the target if it is far worse
// than its peers, as far as the cap allows.
func (t *Tracker) observeHealthy(h *health, ev Evidence, took time.Duration, kind string, now time.Time) {
	s := h.kinds[kind]
	if s == nil {
		s = &score{}
		h.kinds[kind] = s
	}
	all := h.group.kinds[kind]
	if all == nil {
		all = &peers{}
		h.group.kinds[kind] = all
	}
	others := all.without(s)
	all.add(s, -1)
	s.observe(ev, took, others)
	all.add(s, 1)
	switch ev {
	case Broken:
		h.broken++
	case Succeeded, TaskFailed:
		h.broken = 0
	}
	if h.failing(s, others) && t.mayEject(h.group) {
		t.step(h, statechart.TargetHealthOnFailing, now)
	}
}

// observe takes in one attempt.
func (s *score) observe(ev Evidence, took time.Duration, others peers) {
	if ev != Overdue {
		s.seen++
		bad := 0.0
		if ev != Succeeded {
			bad = 1
		}
		s.fails += failSmoothing * (bad - s.fails)
	}
	if ev != Succeeded && ev != Overdue {
		return
	}
	ln := lnSeconds(took)
	mean, ok := others.meanLnTook()
	if ev == Overdue && (!ok || ln < mean+slowExcess) {
		return // a task that still runs says only that it takes longer
	}
	s.timed++
	s.lnTook += max(1/float64(s.timed), slowSmoothing) * (ln - s.lnTook)
	if ok {
		s.slow += slowSmoothing * (ln - mean - s.slow)
	}
}

// failing reports whether a target is far worse than its peers.
func (h *health) failing(s *score, others peers) bool {
	if h.broken >= brokenInRow {
		return true
	}
	share, ok := others.failShare()
	if ok && s.seen >= minSeen && s.fails >= share+failExcess {
		return true
	}
	return s.timed >= minSeen && s.slow >= slowExcess
}

// observeTrial lets a target on trial have twice as many tasks after each good
// one. A bad one ends the trial, unless the peers fail such work as well.
func (t *Tracker) observeTrial(h *health, ev Evidence, took time.Duration, kind string, now time.Time) {
	others := peers{}
	if p := h.group.kinds[kind]; p != nil {
		others = *p
	}
	share, _ := others.failShare()
	if ev == Broken || (ev == TaskFailed && share < failExcess) {
		t.step(h, statechart.TargetHealthOnFailing, now)
		return
	}
	if ev == TaskFailed {
		return
	}
	mean, ok := others.meanLnTook()
	if ok && lnSeconds(took) > mean+slowExcess {
		h.strikes++
		if h.strikes >= slowStrikes {
			t.step(h, statechart.TargetHealthOnFailing, now)
		}
		return
	}
	if ev == Overdue {
		return
	}
	h.allowed *= 2
	if h.allowed > trialFull {
		t.step(h, statechart.TargetHealthOnTrialPassed, now)
	}
}

// lnSeconds returns ln of a duration in seconds, of at least 100 µs.
func lnSeconds(d time.Duration) float64 {
	return math.Log(max(d, 100*time.Microsecond).Seconds())
}
