package pool

import (
	"container/heap"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A caller that has stated a deadline leaves then, and may submit its job again at any entry, also at
// one that this leader can't hear of. Its coordinator, which withdraws the job, may be late to
// notice, or cut off. So the leader itself bounds the runs of the job by the caller's deadline.

// runsOutlastCaller is how long runs that can't be stopped may last after their caller's deadline
// and CoordinatorGrace. Starts need a whole lease of it.
const runsOutlastCaller = 400 * time.Millisecond

// departures is a heap of the jobs whose callers have stated a deadline, by when these have left.
type departures []*job

// Len implements heap.Interface.
func (d departures) Len() int { return len(d) }

// Less implements heap.Interface.
func (d departures) Less(i, k int) bool { return d[i].callerUntil < d[k].callerUntil }

// Swap implements heap.Interface.
func (d departures) Swap(i, k int) {
	d[i], d[k] = d[k], d[i]
	d[i].departureIndex, d[k].departureIndex = i, k
}

// Push implements heap.Interface.
func (d *departures) Push(x any) {
	j := x.(*job)
	j.departureIndex = len(*d)
	*d = append(*d, j)
}

// Pop implements heap.Interface.
func (d *departures) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	j.departureIndex = noDeparture
	return j
}

// noDeparture is the departureIndex of a job that is not in the heap.
const noDeparture = -1

// remove removes a job that has left the pool, or whose caller is another one now.
func (d *departures) remove(j *job) {
	if j.departureIndex != noDeparture {
		heap.Remove(d, j.departureIndex)
	}
}

// awaitDeparture records when the caller of a submission leaves.
func (p *Pool) awaitDeparture(now time.Duration, j *job, s *Submit) {
	p.departures.remove(j)
	j.callerCame, j.callerUntil = now-s.Waited, forever
	if s.Job.Stored || !s.Job.CallerLeaves || s.Job.Timeout <= 0 {
		return
	}
	j.callerUntil = now - s.Waited + s.Job.Timeout + CoordinatorGrace
	heap.Push(&p.departures, j)
}

// endDeparted ends the jobs whose callers have left. One with runs stays as an orphan until these are
// over, since its caller may be back before.
func (p *Pool) endDeparted(now time.Duration) {
	for len(p.departures) > 0 && p.departures[0].callerUntil <= now {
		p.work.jobs++
		j := heap.Pop(&p.departures).(*job)
		o := fleet.Outcome{Verdict: notRunVerdict(j.mayHaveStarted), Reason: verdict.DeadlinePassed}
		if len(j.currentRuns()) == 0 {
			p.endJob(now, j, o)
			continue
		}
		if !j.orphaned {
			p.emit(Ended{j.coordinator, j.ID, j.number, o})
		}
		p.orphanJob(now, j, now)
	}
}

// callerPermits returns until when the runs of a job may continue for its caller's sake. A caller that
// waits for less than a lease is served too.
func (p *Pool) callerPermits(j *job) time.Duration {
	if j.callerUntil == forever {
		return forever
	}
	return max(j.callerUntil+runsOutlastCaller, j.callerCame+CoordinatorGrace+p.cfg.Lease)
}

// attemptGap is less than the time between two attempts of one caller, and more than the arrivals of
// one attempt at the leader over different entries differ.
const attemptGap = time.Second

// rejectEarlierAttempt rejects a submission whose caller has made a later attempt at another entry, and
// reports whether it did. The coordinator of the later one has a caller that waits.
func (p *Pool) rejectEarlierAttempt(now time.Duration, j *job, s *Submit) bool {
	if s.Coordinator == j.coordinator || j.orphaned || now-s.Waited+attemptGap >= j.callerCame {
		return false
	}
	p.log("job", "job", j.ID, "outcome", "earlier attempt", "coordinator", s.Coordinator, "waited_ms", s.Waited.Milliseconds())
	p.waitForFormerOwners(now, j, s)
	p.emit(Ended{s.Coordinator, j.ID, s.Number, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Resubmitted}})
	return true
}

// extendTimeout keeps a job queued for as long as the caller of a later attempt waits.
func (p *Pool) extendTimeout(now time.Duration, j *job, s *Submit) {
	if timeout := now - s.Waited + s.Job.Timeout - j.arrived; s.Job.Timeout > 0 && timeout > j.Timeout {
		j.queueState.remove(j) // its place among the deadlines changes
		j.Timeout = timeout
	}
}
