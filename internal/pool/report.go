package pool

import (
	"math"
	"time"

	"currantstall/internal/fleet"
)

// sendHolds renews the leases on the targets with runs, and requests the reports that
// are due. A target has at most two holds in flight: one for an immediate report, and one
// that may wait for a run to end. An idle target gets no messages.
func (p *Pool) sendHolds(now time.Duration) {
	for _, t := range p.sortedTargets {
		if !t.owned {
			continue
		}
		if t.refreshDue && t.holds.report == 0 {
			t.refreshDue = false
			t.holds.report = p.sendHold(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.ackNumber(), LeaseUntilMS: p.grantLease(now, t)})
		}
		if t.holds.wait == 0 && now >= t.nextHoldAt && (len(t.runs) > 0 || t.ackDue() || len(t.heldEnds) > 0) {
			t.holds.wait = p.sendHold(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.ackNumber(), LeaseUntilMS: p.grantLease(now, t), Wait: p.holdWait(t)})
		}
	}
}

// sendHold sends a hold and returns its number.
func (p *Pool) sendHold(h fleet.Hold) uint64 {
	p.lastHold++
	h.Number = p.lastHold
	p.emit(h)
	return h.Number
}

// holdWait returns how long a target may wait for a run to end before it answers a hold.
func (p *Pool) holdWait(t *target) time.Duration {
	if len(t.runs) == 0 || len(t.heldEnds) > 0 {
		return 0 // a target with unacknowledged ends answers at once anyway
	}
	return p.cfg.HoldWait
}

// HoldDone handles the answer to a hold that was sent at the given time. It ignores the answer
// to a hold of an ownership that is over.
func (p *Pool) HoldDone(now, sent time.Duration, o fleet.Hold, rep fleet.HoldReply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading || o.Number == 0 {
		return
	}
	acquires := false
	switch o.Number {
	case t.holds.contact:
		t.holds.contact = 0
		if !t.listed && p.followedUnlisted(now, t, o.Target.Addr, &rep) {
			return
		}
		if rep.Answer != fleet.OtherIncarnation {
			t.noteContact(sent, o.Target.Addr, &rep)
		} else {
			t.signs.note(sent, t, o.Target.Addr, &rep)
		}
		t.lapse.shown = rep.Answer != fleet.Unanswered || rep.Contact != fleet.ContactUnknown
		return
	case t.holds.probe:
		t.holds.probe = 0
		if rep.Answer != fleet.OtherIncarnation {
			t.noteContact(sent, o.Target.Addr, &rep)
			p.noteProcessGone(now, t, o.Target.Addr, &rep)
		}
		p.probeDone(now, t, rep.Answer)
		return
	case t.holds.acquire:
		t.holds.acquire, acquires = 0, true
	case t.holds.wait:
		t.holds.wait = 0
	case t.holds.report:
		t.holds.report = 0
	default:
		return
	}
	if rep.Answer == fleet.OtherIncarnation {
		p.answeredByOther(now, t, o.Target.Addr, rep.Incarnation)
		return
	}
	if rep.Incarnation != 0 && rep.Incarnation < t.Incarnation {
		p.newIncarnation(now, t, rep.Incarnation) // the hold was sent when the earlier ones were over: the clock of the VM was set back
		return
	}
	if p.otherIncarnation(now, t, rep.Incarnation) {
		return
	}
	t.noteContact(sent, o.Target.Addr, &rep)
	p.noteProcessGone(now, t, o.Target.Addr, &rep)
	switch rep.Answer {
	case fleet.Accepted:
		t.ownAddr, t.answered = o.Target.Addr, true
		// After an unanswered or slow call, a run may have ended long before the report.
		prompt := t.unansweredHolds == 0 && now-sent <= o.Wait+promptSlack
		t.unansweredHolds, t.ackedEnd = 0, max(t.ackedEnd, o.AckedEnd)
		t.setClock(now, rep.ClockMS)
		if acquires {
			p.handleAcquired(now, t, rep)
		}
		if !t.owned {
			return
		}
		t.reportedAt = max(t.reportedAt, sent)
		p.falls.withdraw(t.life())
		p.processEnds(now, t, rep.Ended, prompt)
		if len(t.heldEnds) > 0 {
			t.nextHoldAt = now + t.heldEndPause()
		}
		p.reconcileRuns(now, sent, t, rep)
	case fleet.Fenced:
		p.markFenced(now, t)
	default:
		t.unansweredHolds++
		if acquires || t.unansweredHolds > 1 {
			p.markUnreachable(now, t)
		} else {
			t.refreshDue = true
		}
	}
}

// processEnds handles the ends that were not reported before.
func (p *Pool) processEnds(now time.Duration, t *target, ends []fleet.End, prompt bool) {
	for _, e := range ends {
		if e.Number <= t.lastEnd {
			continue
		}
		t.lastEnd = e.Number
		r := t.runs[runKey{e.Task, e.Run}]
		if r == nil {
			p.handleUnknownEnd(now, t, e)
		} else {
			p.noteLife(now, r)
			if r.task != nil && e.Checkpoint != "" {
				r.task.checkpoint = e.Checkpoint
			}
			p.runEnded(now, r, e.Kind, prompt)
		}
		p.holdEnd(t, e)
	}
}

const (
	// heldEndPause is the pause between two holds while ends wait for records to be
	// saved.
	heldEndPause = 15 * time.Millisecond
	// restorePause is the pause between two holds while ends wait for jobs to be
	// restored, which takes longer.
	restorePause = 60 * time.Millisecond
)

// heldEndPause returns the pause before the next hold of a target with held ends.
func (t *target) heldEndPause() time.Duration {
	for _, h := range t.heldEnds {
		if h.recordSeq == math.MaxInt {
			return restorePause
		}
	}
	return heldEndPause
}

// promptSlack is how long after its wait a hold may be answered for its ends to count as
// just reported.
const promptSlack = 60 * time.Millisecond

// runEnded handles the end of a run. The run time is known only if the report was
// prompt.
func (p *Pool) runEnded(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	p.releaseRun(r)
	tk := r.task
	if tk == nil {
		return
	}
	tk.job.started = true
	if !tk.step.LongRunning {
		p.recordEnd(now, r, kind, prompt)
	}
	if tk.currentRun != r {
		return
	}
	tk.currentRun = nil
	switch {
	case tk.step.LongRunning:
		p.log("run", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "outcome", "long-running task ended, restarting", "kind", kind)
		tk.noteRelease(now, r, groundEnded)
		p.requeue(now, tk)
	case kind == fleet.EndDone:
		p.taskDone(now, tk)
	case kind == fleet.EndFailed:
		tk.noteRelease(now, r, groundFailed)
		p.taskFailed(now, tk, r)
	default:
		tk.noteRelease(now, r, groundInterrupted)
		p.requeue(now, tk)
	}
}

// handleUnknownEnd handles the end of a run that the pool does not know because a former
// owner started it. A completed run completes the task. A failed one counts for a stored job, the
// runs of which all owners number in one sequence.
func (p *Pool) handleUnknownEnd(now time.Duration, t *target, e fleet.End) {
	tk := p.task(e.Task)
	if tk != nil {
		p.supersedeOpenRuns(now, tk, e.Run)
		if r := tk.currentRun; r != nil && r.open && r.target == t && r.number == e.Run {
			p.releaseAndRequeue(now, r, groundInterrupted) // the end was held until the job was restored
		}
	}
	if tk == nil || tk.state == taskDone || tk.step.LongRunning {
		return // a long-running task is started again, however a run of it ended
	}
	tk.job.started = true
	if e.Kind == fleet.EndFailed && tk.job.Stored {
		p.countFailure(now, tk, e.Run, t)
	}
	if e.Kind != fleet.EndDone {
		return
	}
	if tk.currentRun != nil {
		p.stopRun(now, tk.currentRun, "another run completed the task")
		tk.job.passedOver = append(tk.job.passedOver, tk.currentRun)
		tk.currentRun = nil
	}
	p.taskDone(now, tk)
}

// reconcileRuns compares the runs that a target reports with those that it should have.
// A missing run is over only if the report was requested after the run was known.
func (p *Pool) reconcileRuns(now, sent time.Duration, t *target, rep fleet.HoldReply) {
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		k := runKey{row.Task, row.Run}
		listed[k] = true
		r := t.runs[k]
		if r == nil {
			p.addUnclaimed(now, t, row)
			continue
		}
		if r.state == runOrdered || r.state == runUnconfirmed {
			r.begin(now)
		}
		p.noteLife(now, r)
		r.noteStarted(rep.ClockMS)
		p.acquit(now, r)
		if r.state == runStopping {
			p.stopRun(now, r, "not stopped yet")
		}
		r.percent = row.PercentDone
		if r.task != nil && row.Checkpoint != "" {
			r.task.checkpoint = row.Checkpoint
		}
		p.checkProgress(now, r, rep.ClockMS)
	}
	for _, r := range sortedRuns(t.runs) {
		if listed[r.key()] {
			if r.state == runStopAccepted {
				t.refreshDue = true
			}
			continue
		}
		switch {
		case r.state == runUnconfirmed && r.orderedAt < sent:
			p.stopRun(now, r, "start unanswered and run not reported")
		case r.state == runStopAccepted && r.stopAt < sent, r.state == runRunning && r.startedAt < sent:
			p.log("run", "task", r.taskID.String(), "run", r.number, "target", t.ID, "outcome", "missing from the target's report")
			p.releaseAndRequeue(now, r, groundMissing)
		case r.state == runStopping:
			p.stopRun(now, r, "not stopped yet")
		}
	}
}

// addUnclaimed adds a run that a former owner started. Its job is known, or may be
// resubmitted or restored soon.
func (p *Pool) addUnclaimed(now time.Duration, t *target, row fleet.Running) {
	r := &run{taskID: row.Task, number: row.Run, target: t, state: runRunning, orderedAt: now, startedAt: now, checkpoint: row.Checkpoint, incarnation: t.Incarnation}
	t.runs[r.key()] = r
	t.unclaimed++
	p.unclaimedRuns[row.Task.Job] = append(p.unclaimedRuns[row.Task.Job], r)
	if j := p.jobs[row.Task.Job]; j != nil {
		p.adopt(now, j)
	}
}

// adopt assigns the unclaimed runs of a job to its tasks. Runs that no task needs are
// stopped.
func (p *Pool) adopt(now time.Duration, j *job) {
	unclaimed := p.unclaimedRuns[j.ID]
	delete(p.unclaimedRuns, j.ID)
	for _, r := range unclaimed {
		tk := p.task(r.taskID)
		r.target.unclaimed--
		if tk == nil {
			// The job has no such task: the size of the run stays unknown until it is
			// over.
			r.target.unclaimed++
			p.stopRun(now, r, "job has no such task")
			continue
		}
		r.task, r.needs, r.expected = tk, tk.needs, tk.expected
		r.target.used = r.target.used.Plus(r.needs)
		j.queueState.Used += r.needs.MilliCPU
		tk.lastRun = max(tk.lastRun, r.number)
		if r.checkpoint != "" {
			tk.checkpoint = r.checkpoint
		}
		p.supersedeOpenRuns(now, tk, r.number)
		if tk.state != taskWaiting {
			p.stopRun(now, r, "task is running elsewhere or done")
			continue
		}
		p.log("run", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "outcome", "adopted",
			"fence", r.target.fence, "coordinator", j.coordinator)
		j.started = true
		p.markPlaced(tk, r)
		r.target.lapse.saved = false
	}
}

// removeUnclaimed removes a run from the unclaimed runs.
func (p *Pool) removeUnclaimed(r *run) {
	rs := p.unclaimedRuns[r.taskID.Job]
	for i, o := range rs {
		if o == r {
			p.unclaimedRuns[r.taskID.Job] = append(rs[:i:i], rs[i+1:]...)
		}
	}
	if len(p.unclaimedRuns[r.taskID.Job]) == 0 {
		delete(p.unclaimedRuns, r.taskID.Job)
	}
}

// unclaimedTimeout returns how long a run of an unknown job may wait for the job to be
// resubmitted or restored.
func (p *Pool) unclaimedTimeout() time.Duration {
	if p.stored.expected && !p.stored.owned {
		return restoreTimeout
	}
	return adoptTimeout
}

// stopUnclaimed stops the runs whose job was not resubmitted or restored in time.
func (p *Pool) stopUnclaimed(now time.Duration) {
	if len(p.unclaimedRuns) == 0 {
		return
	}
	for _, t := range p.sortedTargets {
		if !t.owned || t.unclaimed == 0 {
			continue
		}
		for _, r := range sortedRuns(t.runs) {
			switch {
			case r.task != nil || r.state == runStopAccepted:
			case now >= r.orderedAt+p.unclaimedTimeout():
				p.stopRun(now, r, "job unknown")
			case p.mayNotKeep(now, r):
				p.stopRun(now, r, "owner recalls the run or its row is not read")
			}
		}
	}
}
