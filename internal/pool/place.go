package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// placeWaiting gives room to what waits: first to the jobs that have begun, whose work
// so far is lost otherwise, then by turns to the queue that has the least of its
// share.
func (p *Pool) placeWaiting(now time.Duration) {
	if now < p.noStartsBefore {
		return
	}
	for _, c := range p.rankedQueues {
		p.placeStarted(now, c)
	}
	for _, c := range p.rankedQueues {
		c.exhausted = false
		c.placements.add(now, 0)
	}
	p.placeByShares(now, func(c *queueState, late int) []*job { return c.waiting[late:] })
	for _, c := range p.rankedQueues {
		c.exhausted = false
	}
	p.placeByShares(now, func(c *queueState, late int) []*job { return c.waiting[:late] })
}

// placeByShares begins jobs until none finds a place: each time one of the queue that
// has the least of its share. Of a queue it takes the part that pick returns, given the
// place from which jobs can still be in time.
func (p *Pool) placeByShares(now time.Duration, pick func(c *queueState, late int) []*job) {
	for {
		c := p.leastServed()
		if c == nil {
			return
		}
		if !p.placeNext(now, pick(c, c.firstInTime(now))) {
			c.exhausted = true
		}
	}
}

func (p *Pool) placeStarted(now time.Duration, c *queueState) {
	for i := 0; i < len(c.waiting); {
		j := c.waiting[i]
		if !j.mayHaveStarted {
			return
		}
		if p.mayStart(now, j) {
			p.placeJob(now, j)
		}
		if i < len(c.waiting) && c.waiting[i] == j {
			i++
		}
	}
}

// leastServed returns the queue with waiting jobs that uses the least of its share.
func (p *Pool) leastServed() *queueState {
	var best *queueState
	var least float64
	for _, c := range p.rankedQueues {
		if c.exhausted || len(c.waiting) == 0 {
			continue
		}
		if use := float64(c.usedMilliCPU) / c.weight; best == nil || use < least {
			best, least = c, use
		}
	}
	return best
}

// maxTried bounds how many waiting jobs of a queue are tried for one place.
const maxTried = 6

// firstInTime returns the place in the queue from which jobs can still be in time.
func (c *queueState) firstInTime(now time.Duration) int {
	at, _ := slices.BinarySearchFunc(c.waiting, now, func(j *job, now time.Duration) int {
		if j.mayHaveStarted || j.latestStart < now {
			return -1
		}
		return 1
	})
	return at
}

// placeNext begins the first job that finds a place.
func (p *Pool) placeNext(now time.Duration, jobs []*job) bool {
	tried := 0
	for _, j := range jobs {
		if j.mayHaveStarted || !p.mayStart(now, j) {
			continue
		}
		if p.placeJob(now, j) > 0 {
			return true
		}
		if tried++; tried >= maxTried {
			return false
		}
	}
	return false
}

// placeJob orders the tasks of a job for which there is room, and returns how
// many.
func (p *Pool) placeJob(now time.Duration, j *job) int {
	n := 0
	for i := range j.steps {
		if j.Steps[i].Gang {
			n += p.placeGang(now, j, i)
			continue
		}
		for _, tk := range j.steps[i] {
			if tk.state != taskWaiting {
				continue
			}
			t := p.chooseTarget(tk, "")
			if t == nil {
				p.requestAdvice(now, tk)
				break
			}
			p.startTask(now, t, tk)
			n++
		}
	}
	return n
}

// chooseTarget returns the target for a task: of those with room the one that is left
// with the least, so that larger tasks find theirs. A target on which the task
// has failed is taken only where there is no other.
// A rack confines the choice, if not empty.
func (p *Pool) chooseTarget(tk *task, rack string) *target {
	var best *target
	var bestScore int64
	for _, t := range p.sortedTargets {
		left := t.Capacity.MilliCPU - t.used.MilliCPU - tk.needs.MilliCPU
		if left < 0 || rack != "" && t.Rack() != rack || !t.hasCapacity(tk) || !t.eligible(tk) || !p.hasTicket(tk, t) || slices.Contains(tk.failedOn, t) {
			continue
		}
		score := left + t.penalty()
		if tk.step.PreferredRack != "" && !t.HasLabel(tk.step.PreferredRack) {
			score += t.Capacity.MilliCPU
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if best == nil && len(tk.failedOn) > 0 && rack == "" {
		return p.chooseFailedTarget(tk)
	}
	return best
}

// chooseFailedTarget returns a target on which the task has failed, if there is none on
// which it could be tried else, now or later.
func (p *Pool) chooseFailedTarget(tk *task) *target {
	var again *target
	for _, t := range p.sortedTargets {
		if !t.eligible(tk) {
			continue
		}
		if !slices.Contains(tk.failedOn, t) {
			return nil
		}
		if t.hasCapacity(tk) && p.hasTicket(tk, t) {
			again = t
		}
	}
	return again
}

func (p *Pool) hasTicket(tk *task, t *target) bool {
	_, ok := p.ticketFor(tk, t)
	return ok
}

// eligible reports whether the target may run the task, leaving its room aside.
func (t *target) eligible(tk *task) bool {
	return t.owned && t.listed && !t.Leaving && t.Service == tk.job.Queue.Service && t.HasLabel(tk.step.RequiredLabel)
}

// hasCapacity reports whether the target has room for the task now.
func (t *target) hasCapacity(tk *task) bool {
	if !tk.needs.Fits(t.free()) || !t.acceptsTasks(len(t.runs)) {
		return false
	}
	return tk.step.MaxPerTarget == 0 || t.countStep(tk.id)+t.gangPicked < tk.step.MaxPerTarget
}

func (t *target) countStep(id fleet.TaskID) int {
	n := 0
	for _, r := range t.runs {
		if r.taskID.Job == id.Job && r.taskID.Step == id.Step {
			n++
		}
	}
	return n
}

// startTask orders a task at a target.
func (p *Pool) startTask(now time.Duration, t *target, tk *task) {
	tk.lastRun++
	r := &run{taskID: tk.id, number: tk.lastRun, target: t, needs: tk.needs, task: tk, orderedAt: now, expected: tk.expected}
	t.runs[r.key()] = r
	t.used = t.used.Plus(r.needs)
	tk.job.queueState.usedMilliCPU += r.needs.MilliCPU
	tk.job.queueState.placements.add(now, 1)
	p.markPlaced(tk, r)
	p.log("start", "task", tk.id.String(), "run", r.number, "target", t.ID, "fence", t.fence, "needs", tk.needs.MilliCPU,
		"free_after", t.free().MilliCPU, "waited_ms", (now - tk.job.arrived).Milliseconds())
	pass, _ := p.ticketFor(tk, t)
	p.emit(fleet.Start{
		Target: t.Target, Task: tk.id, Run: r.number, Spec: tk.job.Spec, Ticket: pass, Checkpoint: tk.checkpoint,
		LeaseUntilMS: t.leaseUntil(now, p.cfg.Lease), Fence: t.fence,
	})
}

// neverFits returns why no target can ever run the job, or "".
func (p *Pool) neverFits(j *job) verdict.Reason {
	for i := range j.Steps {
		known, fits := false, false
		for _, t := range p.sortedTargets {
			if t.Service != j.Queue.Service || !t.listed {
				continue
			}
			known = true
			if j.Steps[i].Needs.Fits(t.Capacity) && t.HasLabel(j.Steps[i].RequiredLabel) {
				fits = true
				break
			}
		}
		if known && !fits {
			return verdict.NeverFits
		}
	}
	return ""
}

// startRejected notes a target that did not take a start.
func (p *Pool) startRejected(now time.Duration, t *target, a fleet.Answer) {
	switch a {
	case fleet.NoRoom:
		t.refreshDue = true
		t.pauseUntil = now + rejectedStartPause
	case fleet.Refused:
		p.recordFailure(now, t, "refuses starts")
		t.pauseUntil = now + rejectedStartPause
	default:
		t.refreshDue = true // a lease that was too short: read the clock again
		t.pauseUntil = now + rejectedStartPause
	}
}

// rejectedStartPause is how long a target gets nothing after it refused a start.
const rejectedStartPause = 50 * time.Millisecond
