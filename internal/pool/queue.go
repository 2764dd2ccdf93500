package pool

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/overload"
	"currantstall/internal/speed"
	"currantstall/internal/structs"
)

const (
	// runTimeWeight is the weight of a new run time in the queue's mean.
	runTimeWeight = 0.05
	// maxRunTimeStep is the largest difference from the mean, as a logarithm, that counts, so that a few runs that
	// take many times as long as the others move it little.
	maxRunTimeStep = 0.5
)

// queueState is a queue's list of jobs with waiting tasks, and its use of capacity.
type queueState struct {
	name string
	overload.Account
	waiting   []*job // jobs that may have started first, then by latest start
	deadlines deadlines
	// awaiting are the jobs with waiting tasks that wait for the runs of a former owner to end.
	// They are not in waiting, so that rounds don't look at them.
	awaiting   []*job
	callerJobs int // jobs in waiting that are not stored
	// leastStarted is at most what the waiting tasks of any job that may have started need, by
	// resource. It is of no use while there is no such job.
	leastStarted structs.Resources
	logRunTime   float64 // mean logarithm of run times in ns; 0 if unknown
	runTimes     int     // number of those in that mean
	speeds       speed.Kind
	exhausted    bool          // no job found a target in this round of placing
	usedAt       time.Duration // when a job of it last arrived
}

// queueFor returns the state of a configured queue, and creates it if necessary.
func (p *Pool) queueFor(cfg *fleet.Queue) *queueState {
	q := p.queues[cfg.Name]
	if q == nil {
		q = &queueState{name: cfg.Name}
		p.queues[cfg.Name] = q
		p.rankedQueues = append(p.rankedQueues, q)
	}
	q.usedAt = p.lastTick
	if kind := (overload.Kind{Service: cfg.Service, Urgency: cfg.Urgency, Share: cfg.Share}); q.Kind != kind || q.Weight == 0 {
		q.Kind = kind
		p.rankQueues()
	}
	return q
}

// rankQueues sorts the queues by urgency and sets their weights.
func (p *Pool) rankQueues() {
	slices.SortFunc(p.rankedQueues, func(a, b *queueState) int {
		return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.name, b.name))
	})
	accounts := make([]*overload.Account, len(p.rankedQueues))
	for i, q := range p.rankedQueues {
		accounts[i] = &q.Account
	}
	if p.division.Set(accounts) && p.lastTick >= p.nextDivisionLog {
		p.nextDivisionLog = p.lastTick + divisionLogInterval
		for _, q := range p.rankedQueues {
			p.log("division", "queue", q.name, "share", q.Share, "weight", q.Weight)
		}
	}
}

// expectedRunTime returns how long a task of the queue is expected to run: the geometric
// mean of the declared time and the mean of earlier run times, since both are off by a
// factor rather than by an amount. It is 0 if neither is known.
func (q *queueState) expectedRunTime(declared time.Duration) time.Duration {
	if declared <= 0 {
		if q.logRunTime == 0 {
			return 0
		}
		return time.Duration(math.Exp(q.logRunTime))
	}
	if q.logRunTime == 0 {
		return declared
	}
	return time.Duration(math.Exp((math.Log(float64(declared)) + q.logRunTime) / 2))
}

// recordRunTime adds the run time of a task to the mean. The first ones weigh alike.
func (q *queueState) recordRunTime(took time.Duration) {
	off := math.Log(float64(max(took, time.Millisecond))) - q.logRunTime
	q.runTimes++
	if first := 1 / float64(q.runTimes); first > runTimeWeight {
		q.logRunTime += first * off
		return
	}
	q.logRunTime += runTimeWeight * min(max(off, -maxRunTimeStep), maxRunTimeStep)
}

// compareJobs orders the jobs of a queue: those that may have started first, then by
// latest start.
func compareJobs(a, b *job) int {
	if a.mayHaveStarted != b.mayHaveStarted {
		if a.mayHaveStarted {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.ID, b.ID))
}

func (q *queueState) insert(j *job) {
	if j.awaitsFormerRuns {
		q.addAwaiting(j)
		return
	}
	if j.mayHaveStarted {
		if q.firstNotStarted() == 0 {
			q.leastStarted = j.leastNeeds
		}
		q.leastStarted = q.leastStarted.Min(j.leastNeeds)
	}
	at, _ := slices.BinarySearchFunc(q.waiting, j, compareJobs)
	q.waiting = slices.Insert(q.waiting, at, j)
	j.queued = true
	q.deadlines.add(j)
	if !j.Stored {
		q.callerJobs++
	}
}

// firstNotStarted returns the index of the first waiting job that can't have started.
func (q *queueState) firstNotStarted() int {
	return sort.Search(len(q.waiting), func(i int) bool { return !q.waiting[i].mayHaveStarted })
}

func (q *queueState) remove(j *job) {
	if !j.queued {
		return
	}
	if j.awaitsFormerRuns {
		q.removeAwaiting(j)
		return
	}
	j.queued = false
	q.deadlines.remove(j)
	if !j.Stored {
		q.callerJobs--
	}
	if at, found := slices.BinarySearchFunc(q.waiting, j, compareJobs); found {
		q.waiting = slices.Delete(q.waiting, at, at+1)
	}
}

// expectedWait returns how long a job that joins the queue now is likely to wait, from
// the work ahead of it and the rate at which the queue's tasks are placed: the recent
// rate, but at least the rate that its guaranteed capacity permits.
func (p *Pool) expectedWait(now time.Duration, q *queueState, j *job) time.Duration {
	var ahead overload.Ahead
	add := func(o *job) {
		for i := range o.Steps {
			ahead.Add(min(o.remaining[i], o.waiting), o.Steps[i].Needs.MilliCPU, o.steps[i][0].expected)
		}
	}
	for _, o := range q.waiting {
		if o == j || !o.mayHaveStarted && o.latestStart > j.latestStart {
			break
		}
		if !p.mayStart(now, o) || !o.mayHaveStarted && o.latestStart < now {
			continue // the job can't be placed now, so it takes no capacity from others
		}
		add(o)
	}
	if ahead.Tasks == 0 {
		return 0
	}
	add(j)
	needs := j.largestNeeds()
	return p.division.Wait(&q.Account, ahead, needs.MilliCPU, p.placesFor(j, needs), roomOf{p})
}

// shouldShed reports whether a new job is to be rejected because it is unlikely to start
// in time. Nothing is shed early in a takeover.
func (p *Pool) shouldShed(now time.Duration, j *job) bool {
	q := j.queueState
	j.request.CoreSeconds = j.coreSeconds()
	q.Arrive(now, &j.request)
	if j.mayHaveStarted || now < p.leadingSince+takeoverPeriod || !overload.Predictable(q.length()) {
		return false
	}
	return q.Refuse(now, &j.request, p.expectedWait(now, q, j), j.latestStart-now)
}

// largestNeeds returns the most that a task of the job needs, by resource.
func (j *job) largestNeeds() structs.Resources {
	var most structs.Resources
	for i := range j.Steps {
		most = most.Max(j.Steps[i].Needs)
	}
	return most
}

// coreSeconds returns what the job is declared to need, with what is expected where nothing is declared. Jobs that
// declare the same have the same size, whatever was learned between them.
func (j *job) coreSeconds() float64 {
	var all overload.Ahead
	for i := range j.Steps {
		all.Add(j.remaining[i], j.Steps[i].Needs.MilliCPU, cmp.Or(j.Steps[i].Estimate, j.steps[i][0].expected))
	}
	return all.Work / 1000
}

// takeoverPeriod is how long after the start of a leadership the capacity may still be
// unknown.
const takeoverPeriod = 500 * time.Millisecond

// takingOver reports whether targets are still being acquired after the start of a
// leadership. No job is rejected for lack of capacity until they are.
func (p *Pool) takingOver(now time.Duration) bool {
	if now >= p.leadingSince+takeoverPeriod {
		return false
	}
	return slices.ContainsFunc(p.sortedTargets, func(t *target) bool { return t.listed && !t.owned })
}

// retryAfter returns the advised wait before a rejected job is submitted again: the time
// that the waiting work takes on all targets, at least one second.
func (p *Pool) retryAfter() time.Duration {
	var capacity, work float64
	for _, t := range p.sortedTargets {
		if t.owned {
			capacity += float64(t.Capacity.MilliCPU)
		}
	}
	for _, q := range p.rankedQueues {
		for j := range q.all() {
			for i := range j.Steps {
				work += float64(j.remaining[i]) * float64(j.Steps[i].Needs.MilliCPU) * q.expectedRunTime(j.Steps[i].Estimate).Seconds()
			}
		}
	}
	return overload.RetryAfter(work, capacity)
}
