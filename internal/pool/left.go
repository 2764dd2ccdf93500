package pool

import "time"

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
	until       time.Duration // they are over then
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
	if until = min(until, now+maxLeftRunsWait); until > now {
		p.leftRuns[j.ID] = leftRuns{j.coordinator, max(p.leftRuns[j.ID].until, until)}
	}
}

// runsOver returns until when the present runs of a job that has ended or is an orphan may be at work.
func (p *Pool) runsOver(j *job) (until time.Duration) {
	for _, r := range j.currentRuns() {
		until = max(until, j.withdrawnUntil+p.cfg.TakeoverDelay-p.cfg.VouchFor)
		if r.target.silent {
			until = max(until, j.withdrawnUntil+silentWait)
		}
	}
	return until
}

// waitForLeftRuns delays the start of a submitted job until the runs are over that it may have from
// before it left the pool. A coordinator that submits its job again knows of them.
func (p *Pool) waitForLeftRuns(now time.Duration, j *job, s *Submit) {
	left := p.leftRuns[j.ID]
	delete(p.leftRuns, j.ID)
	if left.until <= now || j.Stored || s.MayHaveRun && s.Coordinator == left.coordinator {
		return
	}
	j.mayHaveRunElsewhere, j.mayHaveStarted = true, true
	j.waitForRunsUntil(now, left.until)
	p.log("job", "job", j.ID, "outcome", "waits for its earlier runs", "coordinator", j.coordinator, "safe_in_ms", (left.until - now).Milliseconds())
}

// forgetLeftRuns forgets the runs that are over.
func (p *Pool) forgetLeftRuns(now time.Duration) {
	for id, left := range p.leftRuns {
		if left.until <= now {
			delete(p.leftRuns, id)
		}
	}
}
