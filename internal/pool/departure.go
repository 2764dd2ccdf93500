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
// and coordinatorGrace. Starts need a whole lease of it.
const runsOutlastCaller = 400 * time.Millisecond

// departure is when the caller of a job's last submission has left.
type departure struct {
	at  time.Duration
	job *job
}

// departures is a heap of departures, by time.
type departures []departure

// Len implements heap.Interface.
func (d departures) Len() int { return len(d) }

// Less implements heap.Interface.
func (d departures) Less(i, k int) bool { return d[i].at < d[k].at }

// Swap implements heap.Interface.
func (d departures) Swap(i, k int) { d[i], d[k] = d[k], d[i] }

// Push implements heap.Interface.
func (d *departures) Push(x any) { *d = append(*d, x.(departure)) }

// Pop implements heap.Interface.
func (d *departures) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = departure{}
	*d = (*d)[:last]
	return x
}

// awaitDeparture records when the caller of a submission leaves.
func (p *Pool) awaitDeparture(now time.Duration, j *job, s *Submit) {
	j.callerCame, j.callerUntil = now-s.Waited, forever
	if s.Job.Stored || !s.Job.CallerLeaves || s.Job.Timeout <= 0 {
		return
	}
	j.callerUntil = now - s.Waited + s.Job.Timeout + coordinatorGrace
	heap.Push(&p.departures, departure{j.callerUntil, j})
}

// endDeparted ends the jobs whose callers have left.
func (p *Pool) endDeparted(now time.Duration) {
	for len(p.departures) > 0 && p.departures[0].at <= now {
		p.work.jobs++
		d := heap.Pop(&p.departures).(departure)
		if j := d.job; p.jobs[j.ID] == j && j.callerUntil == d.at { // it was not submitted again
			p.endJob(now, j, fleet.Outcome{Verdict: notRunVerdict(j.mayHaveStarted), Reason: verdict.DeadlinePassed})
		}
	}
}

// callerPermits returns until when the runs of a job may continue for its caller's sake.
func (j *job) callerPermits() time.Duration {
	if j.callerUntil == forever {
		return forever
	}
	return j.callerUntil + runsOutlastCaller
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
