package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

const (
	// networkMargin is kept for the ways between caller, entries and targets.
	networkMargin = 12 * time.Millisecond
	// lateFactor is how many times its aim an answer may take and still be of use.
	lateFactor = 3
	// lateShare is the part of its caller's patience for which a late job is kept: one
	// that is refused after that leaves the caller no time.
	lateShare = 0.45
	// runTimeWeight is the weight of a new run time in a queue's mean.
	runTimeWeight = 0.05
	// urgentWeight is the guaranteed share of the most urgent queue against
	// that of the others.
	urgentWeight = 2.0
)

// queueState is the state of a queue: what waits, and what room it has.
type queueState struct {
	name         string
	urgency      int
	weight       float64
	waiting      []*job  // the begun ones first, then by the latest useful start
	usedMilliCPU int64   // thousandths of a core
	logRunTime   float64 // of the run times in ns
	placements   placementRate
	exhausted    bool // found no place in this round
}

func (p *Pool) queueFor(q *fleet.Queue) *queueState {
	c := p.queues[q.Name]
	if c == nil {
		c = &queueState{name: q.Name}
		p.queues[q.Name] = c
		p.rankedQueues = append(p.rankedQueues, c)
	}
	if c.urgency != q.Urgency || c.weight == 0 {
		c.urgency = q.Urgency
		p.rankQueues()
	}
	return c
}

// rankQueues sorts the queues by urgency and sets their shares.
func (p *Pool) rankQueues() {
	slices.SortFunc(p.rankedQueues, func(a, b *queueState) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.name, b.name))
	})
	for _, c := range p.rankedQueues {
		c.weight = 1
		if c.urgency == p.rankedQueues[0].urgency {
			c.weight = urgentWeight
		}
	}
}

// expectedRunTime returns how long a task of the queue is expected to run: the geometric
// mean of what was declared and what others took, since both are off by a
// factor rather than by an amount.
func (c *queueState) expectedRunTime(declared time.Duration) time.Duration {
	if declared <= 0 {
		if c.logRunTime == 0 {
			return 0
		}
		return time.Duration(math.Exp(c.logRunTime))
	}
	if c.logRunTime == 0 {
		return declared
	}
	return time.Duration(math.Exp((math.Log(float64(declared)) + c.logRunTime) / 2))
}

// recordRunTime takes in the run time of a task.
func (c *queueState) recordRunTime(took time.Duration) {
	l := math.Log(float64(max(took, time.Millisecond)))
	if c.logRunTime == 0 {
		c.logRunTime = l
		return
	}
	c.logRunTime += runTimeWeight * (l - c.logRunTime)
}

func compareJobs(a, b *job) int {
	if a.mayHaveStarted != b.mayHaveStarted {
		if a.mayHaveStarted {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.latestStart, b.latestStart), cmp.Compare(a.ID, b.ID))
}

func (c *queueState) insert(j *job) {
	at, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, at, j)
	j.queued = true
}

func (c *queueState) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if at := slices.Index(c.waiting, j); at >= 0 {
		c.waiting = slices.Delete(c.waiting, at, at+1)
	}
}

// placementRate measures how many tasks of a queue find a place in a second, as a mean
// that forgets.
type placementRate struct {
	perSecond   float64
	windowStart time.Duration
	count       int
}

const (
	// rateWindow is the time over which placements are counted, and paceMemory
	// the weight of what was counted before.
	rateWindow = 100 * time.Millisecond
	rateDecay  = 0.6
	// shedFactor is how much longer than a job may wait its expected wait
	// has to be for it to be refused at once.
	shedFactor = 1.3
)

// add counts placed tasks.
func (c *placementRate) add(now time.Duration, n int) {
	c.count += n
	if now < c.windowStart+rateWindow {
		return
	}
	rate := float64(c.count) / (now - c.windowStart).Seconds()
	c.perSecond = rateDecay*c.perSecond + (1-rateDecay)*rate
	c.windowStart, c.count = now, 0
}

// expectedWait returns how long a job that joins the queue now is likely to
// wait, by the work ahead of it and how fast the queue finds places: as fast as
// lately, and at least by its share of the room.
func (p *Pool) expectedWait(now time.Duration, c *queueState, j *job) time.Duration {
	tasks, work := 0, 0.0 // work in thousandths of a core times s
	ahead := func(o *job) {
		for i := range o.Steps {
			n := min(o.remaining[i], o.waiting)
			tasks += n
			work += float64(n) * float64(o.Steps[i].Needs.MilliCPU) * o.steps[i][0].expected.Seconds()
		}
	}
	for _, o := range c.waiting {
		if o == j || !o.mayHaveStarted && o.latestStart > j.latestStart {
			break
		}
		if !p.mayStart(now, o) || !o.mayHaveStarted && o.latestStart < now {
			continue // it leaves the room to others
		}
		ahead(o)
	}
	if tasks == 0 {
		return 0
	}
	ahead(j)
	wait := time.Hour
	if room := p.guaranteedMilliCPU(c); room > 0 {
		wait = time.Duration(work / room * float64(time.Second))
	}
	if c.placements.perSecond > 1 {
		wait = min(wait, time.Duration(float64(tasks)/c.placements.perSecond*float64(time.Second)))
	}
	return wait
}

// guaranteedMilliCPU returns the room that is guaranteed to a queue among those that have
// work, in thousandths of a core.
func (p *Pool) guaranteedMilliCPU(c *queueState) float64 {
	var room, weights float64
	for _, t := range p.sortedTargets {
		if t.owned && t.listed && !t.Leaving {
			room += float64(t.Capacity.MilliCPU)
		}
	}
	for _, o := range p.rankedQueues {
		if o == c || o.usedMilliCPU > 0 || len(o.waiting) > 0 {
			weights += o.weight
		}
	}
	return room * packingEfficiency * c.weight / weights
}

// packingEfficiency is the share of the targets' room that tasks of mixed sizes fill.
const packingEfficiency = 0.8

// shouldShed reports whether a job that has just come can't be begun in time.
func (p *Pool) shouldShed(now time.Duration, j *job) bool {
	if j.mayHaveStarted || len(j.queueState.waiting) < minQueueToShed || now < p.leadingSince+takeoverPeriod {
		return false
	}
	return float64(p.expectedWait(now, j.queueState, j)) > shedFactor*float64(j.latestStart-now)
}

// takeoverPeriod is how long after the start of a lead the room may not be known yet.
const takeoverPeriod = 500 * time.Millisecond

// takingOver reports whether the room is still being found out. Nothing is
// refused for want of room until then.
func (p *Pool) takingOver(now time.Duration) bool {
	if now >= p.leadingSince+takeoverPeriod {
		return false
	}
	return slices.ContainsFunc(p.sortedTargets, func(t *target) bool { return t.listed && !t.owned })
}

// minQueueToShed is the length below which a queue is too short to predict from.
const minQueueToShed = 4

// rejectOverdue refuses the jobs that were not begun in time.
func (p *Pool) rejectOverdue(now time.Duration) {
	if p.takingOver(now) {
		return
	}
	for _, c := range p.rankedQueues {
		for _, j := range slices.Clone(c.waiting) {
			switch {
			case j.Stored:
			case now >= j.arrived+j.Timeout && j.Timeout > 0:
				p.endJob(now, j, fleet.Outcome{Verdict: notRun(j.mayHaveStarted), Reason: verdict.DeadlinePassed})
			case !j.mayHaveStarted && now > j.latestStart && !p.mayStartLate(now, j):
				p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlineUnmeetable, RetryAfter: p.retryAfter()})
			}
		}
	}
}

// mayStartLate reports whether a job that was not begun in time is served late, if there
// is room that nobody needs who can still be in time: where it waited for a takeover,
// not for room.
func (p *Pool) mayStartLate(now time.Duration, j *job) bool {
	return now < p.leadingSince+lateStartPeriod && j.arrived < p.leadingSince+takeoverPeriod && now < j.latestLateStart
}

// lateStartPeriod is how long after the start of a lead what had waited for it is served late.
const lateStartPeriod = 2 * time.Second

// retryAfter advises a caller when room is likely: the time that the waiting
// work takes on all targets, a second at the least.
func (p *Pool) retryAfter() time.Duration {
	var room, work float64
	for _, t := range p.sortedTargets {
		if t.owned {
			room += float64(t.Capacity.MilliCPU)
		}
	}
	for _, c := range p.rankedQueues {
		for _, j := range c.waiting {
			for i := range j.Steps {
				work += float64(j.remaining[i]) * float64(j.Steps[i].Needs.MilliCPU) * c.expectedRunTime(j.Steps[i].Estimate).Seconds()
			}
		}
	}
	if room == 0 {
		return time.Second
	}
	return time.Second + time.Duration(work/room*float64(time.Second)).Truncate(time.Second)
}
