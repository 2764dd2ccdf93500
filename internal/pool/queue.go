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
	// tripMargin is kept for the ways between caller, entries and targets.
	tripMargin = 12 * time.Millisecond
	// lateFactor is how many times its aim an answer may take and still be of use.
	lateFactor = 3
	// lateShare is the part of its caller's patience for which a late job is kept: one
	// that is refused after that leaves the caller no time.
	lateShare = 0.45
	// meanWeight is the weight of a new run time in a queue's mean.
	meanWeight = 0.05
	// urgentWeight is the guaranteed share of the most urgent queue against
	// that of the others.
	urgentWeight = 2.0
)

// class is the state of a queue: what waits, and what room it has.
type class struct {
	name    string
	urgency int
	weight  float64
	waiting []*job  // the begun ones first, then by the latest useful start
	inUse   int64   // thousandths of a core
	logMean float64 // of the run times in ns
	pace    pace
	full    bool // found no place in this round
}

func (p *Pool) class(q *fleet.Queue) *class {
	c := p.classes[q.Name]
	if c == nil {
		c = &class{name: q.Name}
		p.classes[q.Name] = c
		p.ranked = append(p.ranked, c)
	}
	if c.urgency != q.Urgency || c.weight == 0 {
		c.urgency = q.Urgency
		p.rank()
	}
	return c
}

// rank sorts the queues by urgency and sets their shares.
func (p *Pool) rank() {
	slices.SortFunc(p.ranked, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.name, b.name))
	})
	for _, c := range p.ranked {
		c.weight = 1
		if c.urgency == p.ranked[0].urgency {
			c.weight = urgentWeight
		}
	}
}

// expect returns how long a task of the queue is expected to run: the geometric
// mean of what was declared and what others took, since both are off by a
// factor rather than by an amount.
func (c *class) expect(declared time.Duration) time.Duration {
	if declared <= 0 {
		if c.logMean == 0 {
			return 0
		}
		return time.Duration(math.Exp(c.logMean))
	}
	if c.logMean == 0 {
		return declared
	}
	return time.Duration(math.Exp((math.Log(float64(declared)) + c.logMean) / 2))
}

// learn takes in the run time of a task.
func (c *class) learn(took time.Duration) {
	l := math.Log(float64(max(took, time.Millisecond)))
	if c.logMean == 0 {
		c.logMean = l
		return
	}
	c.logMean += meanWeight * (l - c.logMean)
}

func compareJobs(a, b *job) int {
	if a.begun != b.begun {
		if a.begun {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.latest, b.latest), cmp.Compare(a.ID, b.ID))
}

func (c *class) insert(j *job) {
	at, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, at, j)
	j.queued = true
}

func (c *class) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	if at := slices.Index(c.waiting, j); at >= 0 {
		c.waiting = slices.Delete(c.waiting, at, at+1)
	}
}

// pace measures how many tasks of a queue find a place in a second, as a mean
// that forgets.
type pace struct {
	perSecond float64
	at        time.Duration
	count     int
}

const (
	// paceWindow is the time over which placements are counted, and paceMemory
	// the weight of what was counted before.
	paceWindow = 100 * time.Millisecond
	paceMemory = 0.6
	// hopelessFactor is how much longer than a job may wait its expected wait
	// has to be for it to be refused at once.
	hopelessFactor = 1.3
)

// note counts placed tasks.
func (c *pace) note(now time.Duration, n int) {
	c.count += n
	if now < c.at+paceWindow {
		return
	}
	rate := float64(c.count) / (now - c.at).Seconds()
	c.perSecond = paceMemory*c.perSecond + (1-paceMemory)*rate
	c.at, c.count = now, 0
}

// expectedWait returns how long a job that joins the queue now is likely to
// wait, by the work ahead of it and how fast the queue finds places: as fast as
// lately, and at least by its share of the room.
func (p *Pool) expectedWait(now time.Duration, c *class, j *job) time.Duration {
	tasks, work := 0, 0.0 // work in thousandths of a core times s
	ahead := func(o *job) {
		for i := range o.Steps {
			n := min(o.left[i], o.waiting)
			tasks += n
			work += float64(n) * float64(o.Steps[i].Needs.MilliCPU) * o.steps[i][0].expect.Seconds()
		}
	}
	for _, o := range c.waiting {
		if o == j || !o.begun && o.latest > j.latest {
			break
		}
		if !p.mayStart(now, o) || !o.begun && o.latest < now {
			continue // it leaves the room to others
		}
		ahead(o)
	}
	if tasks == 0 {
		return 0
	}
	ahead(j)
	wait := time.Hour
	if room := p.shareOf(c); room > 0 {
		wait = time.Duration(work / room * float64(time.Second))
	}
	if c.pace.perSecond > 1 {
		wait = min(wait, time.Duration(float64(tasks)/c.pace.perSecond*float64(time.Second)))
	}
	return wait
}

// shareOf returns the room that is guaranteed to a queue among those that have
// work, in thousandths of a core.
func (p *Pool) shareOf(c *class) float64 {
	var room, weights float64
	for _, t := range p.order {
		if t.owned && t.listed && !t.Leaving {
			room += float64(t.Capacity.MilliCPU)
		}
	}
	for _, o := range p.ranked {
		if o == c || o.inUse > 0 || len(o.waiting) > 0 {
			weights += o.weight
		}
	}
	return room * packing * c.weight / weights
}

// packing is the share of the targets' room that tasks of mixed sizes fill.
const packing = 0.8

// hopeless reports whether a job that has just come can't be begun in time.
func (p *Pool) hopeless(now time.Duration, j *job) bool {
	if j.begun || len(j.class.waiting) < minQueue || now < p.ledAt+takeover {
		return false
	}
	return float64(p.expectedWait(now, j.class, j)) > hopelessFactor*float64(j.latest-now)
}

// takeover is how long after the start of a lead the room may not be known yet.
const takeover = 500 * time.Millisecond

// takingOver reports whether the room is still being found out. Nothing is
// refused for want of room until then.
func (p *Pool) takingOver(now time.Duration) bool {
	if now >= p.ledAt+takeover {
		return false
	}
	return slices.ContainsFunc(p.order, func(t *target) bool { return t.listed && !t.owned })
}

// minQueue is the length below which a queue is too short to predict from.
const minQueue = 4

// refuseHopeless refuses the jobs that were not begun in time.
func (p *Pool) refuseHopeless(now time.Duration) {
	if p.takingOver(now) {
		return
	}
	for _, c := range p.ranked {
		for _, j := range slices.Clone(c.waiting) {
			switch {
			case j.Stored:
			case now >= j.arrived+j.Timeout && j.Timeout > 0:
				p.end(now, j, fleet.Outcome{Verdict: notRun(j.begun), Reason: verdict.DeadlinePassed})
			case !j.begun && now > j.latest && !p.keepsLate(now, j):
				p.end(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlineUnmeetable, RetryAfter: p.retryAfter()})
			}
		}
	}
}

// keepsLate reports whether a job that was not begun in time is served late, if there
// is room that nobody needs who can still be in time: where it waited for a takeover,
// not for room.
func (p *Pool) keepsLate(now time.Duration, j *job) bool {
	return now < p.ledAt+catchUp && j.arrived < p.ledAt+takeover && now < j.latestLate
}

// catchUp is how long after the start of a lead what had waited for it is served late.
const catchUp = 2 * time.Second

// retryAfter advises a caller when room is likely: the time that the waiting
// work takes on all targets, a second at the least.
func (p *Pool) retryAfter() time.Duration {
	var room, work float64
	for _, t := range p.order {
		if t.owned {
			room += float64(t.Capacity.MilliCPU)
		}
	}
	for _, c := range p.ranked {
		for _, j := range c.waiting {
			for i := range j.Steps {
				work += float64(j.left[i]) * float64(j.Steps[i].Needs.MilliCPU) * c.expect(j.Steps[i].Estimate).Seconds()
			}
		}
	}
	if room == 0 {
		return time.Second
	}
	return time.Second + time.Duration(work/room*float64(time.Second)).Truncate(time.Second)
}
