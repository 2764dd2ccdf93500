package pool

import (
	"iter"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
)

// queueIndex is what lets rounds pass over a job, or find it, without a look at all jobs.
type queueIndex struct {
	leastNeeds       structs.Resources // at most what any of its tasks needs, by resource
	longRunningOnly  bool              // it has no other steps
	rejectAt         time.Duration     // while it is in deadlines: it is not rejected before
	deadlineIndex    int               // in deadlines of its queue
	awaitsFormerRuns bool              // restored, and not started before the runs of its former owner are over
	awaitingIndex    int               // in awaiting of its queue, while it is queued and awaitsFormerRuns
}

// newQueueIndex returns the index of a job that is not queued.
func newQueueIndex(steps []fleet.Step) queueIndex {
	x := queueIndex{longRunningOnly: true}
	for i := range steps {
		if i == 0 {
			x.leastNeeds = steps[i].Needs
		}
		x.leastNeeds = x.leastNeeds.Min(steps[i].Needs)
		x.longRunningOnly = x.longRunningOnly && steps[i].LongRunning
	}
	return x
}

// length returns the number of jobs with waiting tasks.
func (q *queueState) length() int { return len(q.waiting) + len(q.awaiting) }

// all returns the jobs with waiting tasks.
func (q *queueState) all() iter.Seq[*job] {
	return func(yield func(*job) bool) {
		for _, list := range [...][]*job{q.waiting, q.awaiting} {
			for _, j := range list {
				if !yield(j) {
					return
				}
			}
		}
	}
}

// addAwaiting queues a job that awaits the runs of a former owner.
func (q *queueState) addAwaiting(j *job) {
	j.awaitingIndex, j.queued = len(q.awaiting), true
	q.awaiting = append(q.awaiting, j)
}

// removeAwaiting removes a job that addAwaiting has queued.
func (q *queueState) removeAwaiting(j *job) {
	last := len(q.awaiting) - 1
	q.awaiting[j.awaitingIndex] = q.awaiting[last]
	q.awaiting[j.awaitingIndex].awaitingIndex = j.awaitingIndex
	q.awaiting[last], j.queued = nil, false
	q.awaiting = q.awaiting[:last]
}

// awaitFormerOwner keeps a restored job that is not queued yet out of the rounds until it may be
// started.
func (p *Pool) awaitFormerOwner(j *job) {
	if j.restored {
		j.awaitsFormerRuns = true
		p.stored.awaiting[j.longRunningOnly] = append(p.stored.awaiting[j.longRunningOnly], j)
	}
}

// releaseAwaiting lets the restored jobs be started whose wait is over.
func (p *Pool) releaseAwaiting(now time.Duration) {
	for _, longRunningOnly := range [...]bool{false, true} {
		if p.stored.formerOver[longRunningOnly] || !p.formerRunsOver(now, longRunningOnly) {
			continue
		}
		jobs := p.stored.awaiting[longRunningOnly]
		p.stored.formerOver[longRunningOnly] = true
		delete(p.stored.awaiting, longRunningOnly)
		for _, j := range jobs {
			queued := j.queued
			j.queueState.remove(j)
			if j.awaitsFormerRuns = false; queued {
				j.queueState.insert(j)
			}
		}
	}
}
