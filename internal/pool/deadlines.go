package pool

import (
	"container/heap"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// deadlines is a heap of the queued jobs of a queue that may have to be rejected, by the earliest
// time of that. Stored jobs are never rejected.
type deadlines []*job

// Len implements heap.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deadlines) Less(i, k int) bool { return d[i].rejectAt < d[k].rejectAt }

// Swap implements heap.Interface.
func (d deadlines) Swap(i, k int) {
	d[i], d[k] = d[k], d[i]
	d[i].deadlineIndex, d[k].deadlineIndex = i, k
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	j := x.(*job)
	j.deadlineIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	j.deadlineIndex = noDeadline
	return j
}

// noDeadline is the deadlineIndex of a job that is not in a heap.
const noDeadline = -1

// add adds a job that was queued.
func (d *deadlines) add(j *job) {
	j.deadlineIndex = noDeadline
	if j.rejectAt = j.earliestRejection(); !j.Stored && j.rejectAt < forever {
		heap.Push(d, j)
	}
}

// remove removes a job that is no longer queued.
func (d *deadlines) remove(j *job) {
	if j.deadlineIndex != noDeadline {
		heap.Remove(d, j.deadlineIndex)
	}
}

// timeoutAt returns when the timeout of the job's caller passes.
func (j *job) timeoutAt() time.Duration {
	if j.Timeout <= 0 {
		return forever
	}
	return j.arrived + j.Timeout
}

// earliestRejection returns the time before which the job is not rejected.
func (j *job) earliestRejection() time.Duration {
	if j.mayHaveStarted {
		return j.timeoutAt()
	}
	return min(j.timeoutAt(), j.latestStart+1)
}

// nextRejection is earliestRejection for a job that is not to be rejected now.
func (p *Pool) nextRejection(now time.Duration, j *job) time.Duration {
	at := j.earliestRejection()
	if at > now {
		return at
	}
	return min(j.timeoutAt(), p.leadingSince+lateStartPeriod, j.latestLateStart)
}

// rejectOverdue rejects jobs whose caller's timeout has passed, and jobs that were not
// started by their latest start.
func (p *Pool) rejectOverdue(now time.Duration) {
	if p.takingOver(now) {
		return
	}
	for _, q := range p.rankedQueues {
		for _, j := range p.takeOverdue(now, q) {
			if now >= j.timeoutAt() {
				p.endJob(now, j, fleet.Outcome{Verdict: notRunVerdict(j.mayHaveStarted), Reason: verdict.DeadlinePassed})
			} else {
				q.Refused(now, &j.request)
				p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlineUnmeetable, RetryAfter: p.retryAfter()})
			}
		}
	}
}

// takeOverdue returns the jobs of a queue that are to be rejected now, in the order of the queue.
// They have left its deadlines.
func (p *Pool) takeOverdue(now time.Duration, q *queueState) []*job {
	var overdue []*job
	for len(q.deadlines) > 0 && q.deadlines[0].rejectAt <= now {
		p.work.jobs++
		j := q.deadlines[0]
		if now >= j.timeoutAt() || !j.mayHaveStarted && now > j.latestStart && !p.mayStartLate(now, j) {
			heap.Pop(&q.deadlines)
			overdue = append(overdue, j)
			continue
		}
		j.rejectAt = p.nextRejection(now, j)
		heap.Fix(&q.deadlines, 0)
	}
	slices.SortFunc(overdue, compareJobs)
	return overdue
}

// mayStartLate reports whether a job that has missed its latest start is still kept
// because it waited for a takeover rather than for capacity. It then gets capacity that
// no job in time needs.
func (p *Pool) mayStartLate(now time.Duration, j *job) bool {
	return now < p.leadingSince+lateStartPeriod && j.arrived < p.leadingSince+takeoverPeriod && now < j.latestLateStart
}

// lateStartPeriod is how long after the start of a leadership jobs that were delayed by
// the takeover may start late.
const lateStartPeriod = 2 * time.Second
