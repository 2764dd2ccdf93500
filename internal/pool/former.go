package pool

import (
	"time"

	"currantstall/internal/jobstore"
)

// A new owner of the stored jobs waits until the runs of the former one are over, or have shown
// themselves in the reports of their targets, before it starts restored tasks.

const (
	// formerRunsTimeout is the time after which all runs of a former owner are over,
	// including the leases of its last orders and clock drift.
	formerRunsTimeout = jobstore.RunLease + 1100*time.Millisecond
	// unreachableWait is how long tasks of a former owner are not started again while a
	// target on which they may have ended is unreachable, unless it has left. It is
	// longer than the usual network cut, during which the rows of targets that are cut
	// off from the store are removed as well.
	unreachableWait = 12 * time.Second
	// formerStartsMargin is the drift of clocks over the start lease of a former owner, and the
	// time of its last order.
	formerStartsMargin = 100 * time.Millisecond
	// stableListFor is how long no target must have been unlisted, so that owning all
	// listed targets proves that no runs are left elsewhere.
	stableListFor = 4 * time.Second
)

// awaitFormerRuns ends the wait for the runs of a former owner once every target has reported
// since that one could start its last run. A target that has another owner by now may have runs,
// or ends, that no report has shown.
func (p *Pool) awaitFormerRuns(now time.Duration) {
	if now >= p.stored.formerRunsEnd {
		return
	}
	if now >= p.stored.formerStartsEnd && !p.stored.reportsAsked {
		p.stored.reportsAsked = true
		for _, t := range p.sortedTargets {
			t.refreshDue = t.refreshDue || t.owned // an idle target gets no messages
		}
		if !p.listShowsFormerTargets() {
			p.emit(TargetsWanted{p.stored.formerStartsEnd})
		}
	}
	switch {
	case p.noRunsElsewhere(now):
		p.stored.formerRunsEnd = now
	case !p.ownsListedTargets(now):
		p.stored.formerRunsEnd = p.stored.lastSeen + unreachableWait
	}
}

// TargetsWanted asks for a list of targets that was read at the given time or later.
type TargetsWanted struct{ ReadAt time.Duration }

// listShowsFormerTargets reports whether the list of targets shows all on which a former owner could start
// runs: an older list may lack a target that was added before its last start.
func (p *Pool) listShowsFormerTargets() bool {
	return !p.targetsReadKnown || p.targetsReadAt >= p.stored.formerStartsEnd
}

// noRunsElsewhere reports whether all targets on which a former owner could have runs
// have reported since it could start the last one.
func (p *Pool) noRunsElsewhere(now time.Duration) bool {
	if !p.listShowsFormerTargets() || now < max(p.firstListedAt, p.lastUnlistedAt)+stableListFor {
		return false
	}
	for _, t := range p.sortedTargets {
		if !t.replaced && !t.neverListed && t.reportedAt < p.stored.formerStartsEnd {
			return false
		}
	}
	return p.lastUnlistedAt == 0 || now >= p.lastUnlistedAt+unreachableWait
}

// ownsListedTargets reports whether all targets are owned, except those that are known to
// be over, and none was unlisted recently.
func (p *Pool) ownsListedTargets(now time.Duration) bool {
	if p.lastUnlistedAt > 0 && now < p.lastUnlistedAt+unreachableWait {
		return false
	}
	for _, t := range p.sortedTargets {
		if !t.owned && !t.replaced && !t.neverListed && t.reportedAt < p.stored.formerStartsEnd {
			return false
		}
	}
	return true
}

// ownRunsEnd returns when the last lease of this owner's runs has to end if it does not renew its ownership. The
// next owner counts on that: it is well before formerRunsTimeout.
func (s *storedState) ownRunsEnd(lease time.Duration) time.Duration {
	return s.renewedAt + jobstore.RunLease + lease
}

// formerRunsOver reports whether the runs of former owners are over, for restored jobs that have long-running steps only, or for
// others. Other leaders may keep runs on targets that this owner has not seen until these are recalled.
func (p *Pool) formerRunsOver(now time.Duration, longRunningOnly bool) bool {
	if now < p.stored.runsOver(longRunningOnly) {
		return false
	}
	over := p.stored.lastSeen + formerRunsTimeout
	switch {
	case p.seesFormerTargets(now):
	case !p.recalledEverywhere(now):
		return false
	default:
		over = max(over, p.stored.recall.since+recallWait(nil))
	}
	return p.formerRunsShown(now, over) || p.formerRunsShownByListed(now) >= over
}

// seesFormerTargets reports whether all targets on which former owners could start runs are listed, and owned or known to be over.
func (p *Pool) seesFormerTargets(now time.Duration) bool {
	return p.listShowsFormerTargets() && p.ownsListedTargets(now)
}

// runsOver returns when the leases of former owners have ended, for restored jobs that have long-running steps only, or for
// others. Tasks that may have completed on a target out of reach wait for it, which is in vain for long-running ones.
func (s *storedState) runsOver(longRunningOnly bool) time.Duration {
	if !longRunningOnly {
		return s.formerRunsEnd
	}
	return min(s.formerRunsEnd, s.lastSeen+formerRunsTimeout)
}
