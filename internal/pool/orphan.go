package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// Abandon marks a job as orphaned because its caller disconnected. The job is dropped if
// it has no runs; its runs continue for Settings.OrphanGrace, in case the caller
// reconnects.
func (p *Pool) Abandon(now time.Duration, coordinator, id string) {
	j := p.jobs[id]
	if j == nil || j.Stored {
		return
	}
	if j.coordinator != coordinator {
		j.dropEarlier(coordinator)
		return
	}
	p.orphanJob(now, j, now+p.cfg.OrphanGrace)
}

// Withdraw marks a job as orphaned because its coordinator submits it to another owner.
// Its runs are stopped at once. It reports whether the pool has the job from this coordinator.
func (p *Pool) Withdraw(now time.Duration, coordinator, id string) bool {
	j := p.jobs[id]
	if j == nil || j.Stored || j.coordinator != coordinator {
		return false
	}
	j.movedAway = true
	p.orphanJob(now, j, now)
	return true
}

// Cancel ends a job at the request of its caller.
func (p *Pool) Cancel(now time.Duration, id string) {
	if rj := p.stored.recurring[id]; rj != nil {
		p.endRecurring(now, rj, fleet.JobCancelled)
	} else if j := p.jobs[id]; j != nil {
		p.endJob(now, j, fleet.Outcome{Verdict: notRunVerdict(j.mayHaveStarted), Reason: verdict.Cancelled})
	}
}

// CoordinatorLost marks all jobs of a coordinator as orphaned because the link to it is
// down. Its callers may soon be served by another entry, so their runs are stopped
// unless the coordinator is back within Settings.LinkGrace.
func (p *Pool) CoordinatorLost(now time.Duration, name string) {
	p.dropVouches(name)
	for _, j := range p.jobs {
		if j.coordinator == name && !j.orphaned && !j.Stored {
			p.orphanJob(now, j, now+p.cfg.LinkGrace)
		}
	}
}

// orphanJob marks a job as orphaned; its runs are stopped at the given time.
func (p *Pool) orphanJob(now time.Duration, j *job, until time.Duration) {
	p.limitRuns(now, j)
	j.orphaned, j.orphanUntil = true, until
	p.orphans[j.ID] = j
	j.queueState.remove(j)
	p.log("job", "job", j.ID, "outcome", "orphan", "coordinator", j.coordinator, "begun", j.mayHaveStarted)
	p.dropOrphan(now, j)
}

// dropOrphan drops an orphaned job without runs, and stops the runs of one whose grace
// period is over.
func (p *Pool) dropOrphan(now time.Duration, j *job) {
	if len(j.currentRuns()) == 0 {
		p.removeJob(j)
		p.noteLeftRuns(now, j)
	} else if now >= min(j.orphanUntil, j.withdrawnUntil-stopMargin) {
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "caller or coordinator gone")
		}
	}
}

// expireOrphans stops the runs of orphaned jobs whose grace period is over.
func (p *Pool) expireOrphans(now time.Duration) {
	for id, j := range p.orphans {
		p.work.jobs++
		if p.jobs[id] != j || !j.orphaned {
			delete(p.orphans, id)
			continue
		}
		p.dropOrphan(now, j)
	}
}

// removeJob removes a job that has ended or left the pool.
func (p *Pool) removeJob(j *job) {
	p.dropJob(j)
	p.departures.remove(j)
	if j.vouch != nil {
		delete(j.vouch.jobs, j.ID)
	}
	if !j.Stored {
		p.countCoordinator(j.coordinator, -1)
	}
}

// countCoordinator adds n to the number of jobs of a coordinator.
func (p *Pool) countCoordinator(name string, n int) {
	p.coordinators[name] += n
	if p.coordinators[name] == 0 {
		delete(p.coordinators, name)
	}
}
