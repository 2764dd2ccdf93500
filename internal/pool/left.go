package pool

import (
	"slices"
	"time"
)

// A job may leave a pool while runs of it may be at work: it has ended and its runs are being
// stopped, or its coordinator was lost together with the target of a run. Its caller may submit it
// again at another entry, which knows nothing of the earlier one.

const (
	// CoordinatorGrace is how long a coordinator keeps a job after the deadline that the caller
	// has stated: the leader goes by the same deadline, and its answer is on its way.
	CoordinatorGrace = 100 * time.Millisecond
	// maxLeftRunsWait bounds the wait for runs of a job that has left, for callers that state no
	// deadline.
	maxLeftRunsWait = 5 * time.Second
)

// leftRuns are the runs of a job that has left the pool.
type leftRuns struct {
	coordinator string        // that the job had
	until       time.Duration // those that no target shows are over then
	runs        []*run        // those that this owner knows
	// formerRunsEnd is that of the job if it waited for targets to show the runs of former owners, otherwise 0.
	formerRunsEnd time.Duration
}

// noteLeftRuns records until when runs of a job that leaves the pool may be at work.
func (p *Pool) noteLeftRuns(now time.Duration, j *job) {
	if j.Stored {
		return
	}
	until := p.runsOver(j)
	if j.lostRun && j.vouch != nil {
		// The coordinator may have handed the job to a leader that renews the lost run.
		until = max(until, j.arrived+j.Timeout+CoordinatorGrace+p.cfg.TakeoverDelay)
	}
	left := leftRuns{coordinator: j.coordinator, until: max(p.leftRuns[j.ID].until, min(until, now+maxLeftRunsWait)), runs: j.openRuns()}
	if j.mayHaveRunElsewhere && p.formerShown < j.formerRunsEnd {
		left.formerRunsEnd = j.formerRunsEnd
	}
	if left.until > now || p.isOpen(&left) {
		p.leftRuns[j.ID] = left
	}
}

// isOpen reports whether there is no evidence yet that the runs of a job that has left are over.
func (p *Pool) isOpen(left *leftRuns) bool {
	return slices.ContainsFunc(left.runs, (*run).isOpen) || p.formerShown < left.formerRunsEnd
}

// runsOver returns until when the present runs of a job that has ended or is an orphan may be at work.
func (p *Pool) runsOver(j *job) (until time.Duration) {
	for range j.currentRuns() {
		until = max(until, j.withdrawnUntil+p.cfg.TakeoverDelay-p.cfg.VouchFor)
	}
	return until
}

// waitForLeftRuns delays the start of a submitted job until the runs are over that it may have from
// before it left the pool. A coordinator that submits its job again knows of them.
func (p *Pool) waitForLeftRuns(now time.Duration, j *job, s *Submit) {
	left := p.leftRuns[j.ID]
	delete(p.leftRuns, j.ID)
	if j.Stored {
		return
	}
	known := left.until <= now || s.MayHaveRun && s.Coordinator == left.coordinator
	open := p.isOpen(&left)
	if known && !open {
		return
	}
	j.mayHaveRunElsewhere, j.mayHaveStarted, j.leftRuns = true, true, left.runs
	j.formerRunsEnd = max(j.formerRunsEnd, left.formerRunsEnd)
	if !known {
		j.waitForRunsUntil(now, left.until)
	}
	p.log("job", "job", j.ID, "outcome", "waits for its earlier runs", "coordinator", j.coordinator, "safe_in_ms", (left.until - now).Milliseconds(), "open", open)
}

// forgetLeftRuns forgets the runs that are over.
func (p *Pool) forgetLeftRuns(now time.Duration) {
	for id, left := range p.leftRuns {
		if left.until <= now && !p.isOpen(&left) {
			delete(p.leftRuns, id)
		}
	}
}

// openRuns returns the runs of earlier attempts at a job, or of the job itself, that are not over.
func (j *job) openRuns() []*run {
	open := j.currentRuns()
	for _, runs := range [...][]*run{j.leftRuns, j.passedOver} {
		for _, r := range runs {
			if r.isOpen() {
				open = append(open, r)
			}
		}
	}
	return open
}

// isOpen reports whether there is no evidence yet that the run is over.
func (r *run) isOpen() bool { return r.target.runs[r.key()] == r }

// hasLeftRuns reports whether runs of earlier attempts at a job are not over.
func (j *job) hasLeftRuns() bool {
	for len(j.leftRuns) > 0 && !j.leftRuns[0].isOpen() {
		j.leftRuns = j.leftRuns[1:]
	}
	return len(j.leftRuns) > 0
}

// onLostTarget reports whether a run is on a target that is not owned.
func onLostTarget(r *run) bool { return !r.target.owned }
