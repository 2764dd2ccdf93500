package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// placeWaiting starts waiting tasks on free capacity in three passes: first the tasks of
// jobs that may have started, since the work done for them would be lost otherwise, then
// jobs that can still be in time, then late jobs. In the last two passes, each next job
// comes from the queue that uses the least of its share.
func (p *Pool) placeWaiting(now time.Duration) {
	if now < max(p.noStartsBefore, p.awaitTargets) {
		return
	}
	p.openRoom.stale = true
	for _, q := range p.rankedQueues {
		p.placeStarted(now, q)
	}
	for _, q := range p.rankedQueues {
		q.exhausted = false
		q.Waiting, q.RunTime = len(q.waiting), q.expectedRunTime(0)
	}
	p.division.Round(now, roomOf{p})
	p.placeByShares(now, func(q *queueState, firstInTime int) []*job { return q.waiting[firstInTime:] })
	for _, q := range p.rankedQueues {
		q.exhausted = false
	}
	p.placeByShares(now, func(q *queueState, firstInTime int) []*job { return q.waiting[q.firstNotStarted():firstInTime] })
}

// placeByShares starts jobs until none finds a target, each time one of the queue that
// uses the least of its share. pick selects the jobs of a queue to consider, given the
// index of the first job that can still be in time.
func (p *Pool) placeByShares(now time.Duration, pick func(q *queueState, firstInTime int) []*job) {
	for {
		q := p.leastServed(now)
		if q == nil {
			return
		}
		started := p.placeNext(now, pick(q, q.firstInTime(now)))
		q.exhausted = started == 0
		p.division.Started(&q.Account, started)
	}
}

// placeStarted starts the waiting tasks of jobs that may have started.
func (p *Pool) placeStarted(now time.Duration, q *queueState) {
	least, first := structs.Resources{}, true
	if p.startsNone(now, q) {
		return
	}
	for i := 0; i < len(q.waiting) && q.waiting[i].mayHaveStarted; {
		if !p.mayFindRoomAnywhere(q.leastStarted) {
			return
		}
		j := q.waiting[i]
		p.work.jobs++
		if p.mayFindRoom(j.Queue.Service, j.leastNeeds) && p.mayStart(now, j) {
			p.placeJob(now, j)
		}
		if i == len(q.waiting) || q.waiting[i] != j {
			continue
		}
		if i++; first {
			least, first = j.leastNeeds, false
		}
		least = least.Min(j.leastNeeds)
	}
	q.leastStarted = least
}

// startsNone reports whether no job of the queue may be started, since there is none or the
// ownership of stored jobs was not renewed.
func (p *Pool) startsNone(now time.Duration, q *queueState) bool {
	return len(q.waiting) == 0 || q.callerJobs == 0 && now >= p.stored.startsUntil
}

// leastServed returns, of the queues with waiting jobs that are not exhausted, the one
// that gets the next room, or nil if there is none.
func (p *Pool) leastServed(now time.Duration) *queueState {
	var best *queueState
	for _, q := range p.rankedQueues {
		if !q.exhausted && !p.startsNone(now, q) && p.division.MayStart(&q.Account) && (best == nil || q.Before(&best.Account)) {
			best = q
		}
	}
	return best
}

// maxTried is the largest number of waiting jobs of a queue that are tried before the
// queue counts as exhausted.
const maxTried = 6

// firstInTime returns the index of the first waiting job that can still start in time.
func (q *queueState) firstInTime(now time.Duration) int {
	at, _ := slices.BinarySearchFunc(q.waiting, now, func(j *job, now time.Duration) int {
		if j.mayHaveStarted || j.latestStart < now {
			return -1
		}
		return 1
	})
	return at
}

// placeNext starts the first of the jobs that finds a target, and returns how many of its
// tasks it has started.
func (p *Pool) placeNext(now time.Duration, jobs []*job) int {
	tried := 0
	for _, j := range jobs {
		p.work.jobs++
		if !p.mayStart(now, j) {
			continue
		}
		if p.mayFindRoom(j.Queue.Service, j.leastNeeds) {
			if n := p.placeJob(now, j); n > 0 {
				return n
			}
		}
		if tried++; tried >= maxTried {
			return 0
		}
	}
	return 0
}

// placeJob starts the waiting tasks of a job for which there is capacity, and returns
// how many.
func (p *Pool) placeJob(now time.Duration, j *job) int {
	n := 0
	for i := range j.steps {
		if !p.mayFindRoom(j.Queue.Service, j.Steps[i].Needs) {
			continue
		}
		if j.Steps[i].Gang {
			n += p.placeGang(now, j, i)
			continue
		}
		for _, tk := range j.steps[i] {
			if tk.state != taskWaiting || p.awaitsJudgement(now, tk) {
				continue
			}
			t := p.chooseTarget(tk, "")
			if t == nil {
				p.requestAdvice(now, tk)
				break
			}
			p.startTask(now, t, tk)
			n++
			if !p.mayFindRoom(j.Queue.Service, tk.needs) {
				break
			}
		}
	}
	return n
}

// chooseTarget returns the target for a task by best fit, or nil if there is none: the
// target with capacity that would have the least CPU left, so that larger tasks find a
// target too. Targets outside the preferred rack count as if more CPU were left. A slow
// target is chosen if no other has capacity, and only if it suits the task or no other could
// run the task later. A target on which the task has failed is chosen only if there is no other.
// A rack restricts the choice if it is not empty.
func (p *Pool) chooseTarget(tk *task, rack string) *target {
	var best, slow *target
	var bestScore int64
	fast := false // a target that is not slow could run the task now or later
	p.work.targets += len(p.sortedTargets)
	for _, t := range p.sortedTargets {
		fast = fast || p.isFast(t, tk)
		left := t.Capacity.MilliCPU - t.used.MilliCPU - tk.needs.MilliCPU
		if left < 0 || rack != "" && t.Rack() != rack || !t.hasCapacity(tk) || !t.eligible(tk) || !p.apart(t, tk) || !p.hasTicket(tk, t) || slices.Contains(tk.failedOn, t) {
			continue
		}
		if !t.maySuit(p.lastTick, tk) {
			slow = t
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
	if best == nil && !fast {
		best = slow
	}
	if best == nil && len(tk.failedOn) > 0 && rack == "" {
		return p.chooseFailedTarget(tk)
	}
	return best
}

// chooseFailedTarget returns a target on which the task has failed, or nil if there is
// another that could run it now or later.
func (p *Pool) chooseFailedTarget(tk *task) *target {
	var failed *target
	p.work.targets += len(p.sortedTargets)
	for _, t := range p.sortedTargets {
		if !t.eligible(tk) {
			continue
		}
		if !slices.Contains(tk.failedOn, t) {
			return nil
		}
		if t.hasCapacity(tk) && p.apart(t, tk) && p.hasTicket(tk, t) {
			failed = t
		}
	}
	return failed
}

// hasTicket reports whether the task has a ticket for the target or needs none.
func (p *Pool) hasTicket(tk *task, t *target) bool {
	_, ok := p.ticketFor(tk, t)
	return ok
}

// available reports whether the target may get tasks, regardless of its free capacity.
func (t *target) available() bool {
	return t.owned && t.listed && !t.Leaving && !t.rowDue && t.Intake != fleet.IntakeNone
}

// answersStarts reports whether the target's health and answers permit a task now.
func (t *target) answersStarts() bool { return t.acceptsTasks(len(t.runs)) && t.unansweredHolds == 0 }

// eligible reports whether the target may run the task, regardless of its free capacity.
func (t *target) eligible(tk *task) bool {
	return t.available() && t.takes(tk.job) && t.Service == tk.job.Queue.Service && t.HasLabel(tk.step.RequiredLabel)
}

// hasCapacity reports whether the target can take the task now.
func (t *target) hasCapacity(tk *task) bool {
	if !tk.needs.Fits(t.free()) || !t.answersStarts() || t.gangPicked >= t.coldRoom {
		return false
	}
	return tk.step.MaxPerTarget == 0 || t.countStep(tk.id)+t.gangPicked < tk.step.MaxPerTarget
}

// countStep returns the number of runs of the same step on the target.
func (t *target) countStep(id fleet.TaskID) int {
	n := 0
	for _, r := range t.runs {
		if r.taskID.Job == id.Job && r.taskID.Step == id.Step {
			n++
		}
	}
	return n
}

// startTask sends the start of a task to a target.
func (p *Pool) startTask(now time.Duration, t *target, tk *task) {
	tk.lastRun++
	p.lastStart++
	r := &run{order: p.lastStart, taskID: tk.id, number: tk.lastRun, target: t, needs: tk.needs, task: tk, orderedAt: now, expected: tk.expected, incarnation: t.Incarnation, suspect: tk.suspect}
	t.runs[r.key()] = r
	t.used = t.used.Plus(r.needs)
	t.countColdStart()
	p.openRoom.stale = true
	if tk.apartSince = 0; r.suspect {
		t.suspectRuns++
	}
	q := tk.job.queueState
	q.Start(now, r.needs.MilliCPU)
	if !tk.job.mayHaveStarted {
		q.Begin(now, &tk.job.request)
	}
	p.markPlaced(tk, r)
	p.log("start", append([]any{
		"task", tk.id.String(), "run", r.number, "target", t.ID, "life", t.Incarnation, "fence", t.fence, "needs", tk.needs.MilliCPU,
		"free_after", t.free().MilliCPU, "waited_ms", (now - tk.job.arrived).Milliseconds(),
	}, p.restartFields(now, tk)...)...)
	ticket, _ := p.ticketFor(tk, t)
	p.emit(fleet.Start{
		Target: t.Target, Task: tk.id, Run: r.number, Spec: tk.job.Spec, Coordinator: tk.job.coordinator, Ticket: ticket, Checkpoint: tk.checkpoint,
		LeaseUntilMS: p.grantLease(now, t), Fence: t.fence, Number: r.order,
	})
}

// neverFits returns a reason if some step of the job does not fit any target of its
// service, even an idle one whose room has grown to its largest, or "" otherwise. It is ""
// while no target of the service is known.
func (p *Pool) neverFits(j *job) verdict.Reason {
	for i := range j.Steps {
		known, fits := false, false
		for _, t := range p.sortedTargets {
			if t.Service != j.Queue.Service || !t.listed {
				continue
			}
			known = true
			if t.mayFit(j.Steps[i].Needs) && t.HasLabel(j.Steps[i].RequiredLabel) {
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

// startRejected handles the rejection of a start by pausing the target.
func (p *Pool) startRejected(now time.Duration, t *target, a fleet.Answer) {
	switch a {
	case fleet.NoRoom:
		t.refreshDue = true
		t.pauseUntil = now + rejectedStartPause
	case fleet.Refused:
		p.recordFailure(now, t, ejectedRejecting)
		t.pauseUntil = now + rejectedStartPause
	default:
		t.refreshDue = true // the lease was too short: read the target's clock again
		t.pauseUntil = now + rejectedStartPause
	}
}

// rejectedStartPause is how long a target gets no tasks after it rejected a start.
const rejectedStartPause = 50 * time.Millisecond
