package pool

import (
	"math"
	"time"

	"currantstall/internal/fleet"
)

// sendHolds renews the leases on the targets where something runs, and reads the
// lists that are wanted. An idle target is left alone.
func (p *Pool) sendHolds(now time.Duration) {
	for _, t := range p.sortedTargets {
		if !t.owned {
			continue
		}
		if t.refreshDue && !t.refreshInFlight {
			t.refreshDue, t.refreshInFlight = false, true
			p.emit(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.ackNumber(), LeaseUntilMS: t.leaseUntil(now, p.cfg.Lease)})
		}
		if !t.holdInFlight && now >= t.nextHoldAt && (len(t.runs) > 0 || t.ackDue || len(t.heldEnds) > 0) {
			t.holdInFlight, t.ackDue = true, false
			p.emit(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.ackNumber(), LeaseUntilMS: t.leaseUntil(now, p.cfg.Lease), Wait: p.holdWait(t)})
		}
	}
}

// holdWait returns how long a target may wait for an end.
func (p *Pool) holdWait(t *target) time.Duration {
	if len(t.runs) == 0 || len(t.heldEnds) > 0 {
		return 0 // ends that are held back would be answered at once
	}
	return p.cfg.HoldWait
}

// HoldDone takes in a target's lists, asked for at the time sent.
func (p *Pool) HoldDone(now, sent time.Duration, o fleet.Hold, rep fleet.HoldReply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading || o.Fence != t.fence {
		return
	}
	if o.Wait == 0 && t.refreshInFlight {
		t.refreshInFlight = false
	} else {
		t.holdInFlight = false
	}
	if p.otherIncarnation(now, t, rep.Incarnation) {
		return
	}
	switch rep.Answer {
	case fleet.Accepted:
		// After a call without an answer, or a slow one, an end may be older than
		// its report.
		prompt := t.unansweredHolds == 0 && now-sent <= o.Wait+promptSlack
		t.unansweredHolds = 0
		t.setClock(now, rep.ClockMS)
		if t.acquiring {
			p.handleAcquired(now, t, rep)
		}
		if !t.owned {
			return
		}
		p.processEnds(now, t, rep.Ended, prompt)
		if len(t.heldEnds) > 0 {
			t.nextHoldAt = now + t.heldEndPause()
		}
		p.reconcileRuns(now, sent, t, rep)
	case fleet.Fenced:
		p.markFenced(now, t)
	default:
		t.unansweredHolds++
		if t.acquiring || t.unansweredHolds > 1 {
			p.markUnreachable(now, t)
		} else {
			t.refreshDue = true
		}
	}
}

// processEnds takes in the ends that are new.
func (p *Pool) processEnds(now time.Duration, t *target, ends []fleet.End, prompt bool) {
	for _, e := range ends {
		if e.Number <= t.lastEnd {
			continue
		}
		t.lastEnd, t.ackDue = e.Number, true
		r := t.runs[runKey{e.Task, e.Run}]
		if r == nil {
			p.handleUnknownEnd(now, e)
		} else {
			if r.task != nil && e.Checkpoint != "" {
				r.task.checkpoint = e.Checkpoint
			}
			p.runEnded(now, r, e.Kind, prompt)
		}
		p.holdEnd(t, e)
	}
}

const (
	// heldEndPause is the pause between two looks at a target while ends wait for records
	// to be saved.
	heldEndPause = 15 * time.Millisecond
	// restorePause is the same while ends wait for jobs to be restored, which takes
	// longer.
	restorePause = 60 * time.Millisecond
)

func (t *target) heldEndPause() time.Duration {
	for _, h := range t.heldEnds {
		if h.recordSeq == math.MaxInt {
			return restorePause
		}
	}
	return heldEndPause
}

// promptSlack is how long after its wait a hold may be answered for its ends to
// count as fresh.
const promptSlack = 60 * time.Millisecond

// runEnded takes in the end of a run. Only a prompt report tells how long it took.
func (p *Pool) runEnded(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	p.releaseRun(r)
	tk := r.task
	if tk == nil {
		return
	}
	if !tk.step.LongRunning {
		p.recordEnd(now, r, kind, prompt)
	}
	if tk.currentRun != r {
		return
	}
	tk.currentRun = nil
	switch {
	case tk.step.LongRunning:
		p.log("run", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "outcome", "ended, starts again", "kind", kind)
		p.requeue(now, tk)
	case kind == fleet.EndDone:
		p.taskDone(now, tk)
	case kind == fleet.EndFailed:
		p.taskFailed(now, tk, r)
	default:
		p.requeue(now, tk)
	}
}

// handleUnknownEnd takes in the end of a run that an earlier owner had ordered.
func (p *Pool) handleUnknownEnd(now time.Duration, e fleet.End) {
	tk := p.task(e.Task)
	if tk == nil || tk.state == taskDone || e.Kind != fleet.EndDone {
		return
	}
	if tk.currentRun != nil {
		p.stopRun(now, tk.currentRun, "another run is done")
		tk.currentRun = nil
	}
	p.taskDone(now, tk)
}

// reconcileRuns compares a list of what runs with what should run. A run that is
// missing is over only if the list was asked for after the run was known.
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
			r.state, r.startedAt = runRunning, now
		}
		if r.state == runStopping {
			p.stopRun(now, r, "not stopped yet")
		}
		r.percent = row.PercentDone
		if r.task != nil && row.Checkpoint != "" {
			r.task.checkpoint = row.Checkpoint
		}
		p.checkProgress(now, r)
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
			p.stopRun(now, r, "its start was not answered")
		case r.state == runStopAccepted && r.stopAt < sent, r.state == runRunning && r.startedAt < sent:
			p.log("run", "task", r.taskID.String(), "run", r.number, "target", t.ID, "outcome", "gone from the list")
			p.releaseAndRequeue(now, r)
		case r.state == runStopping:
			p.stopRun(now, r, "not stopped yet")
		}
	}
}

// addUnclaimed takes in a run that an earlier owner has ordered: its job is
// known, or may be handed in again in a moment.
func (p *Pool) addUnclaimed(now time.Duration, t *target, row fleet.Running) {
	r := &run{taskID: row.Task, number: row.Run, target: t, state: runRunning, orderedAt: now, startedAt: now, checkpoint: row.Checkpoint}
	t.runs[r.key()] = r
	t.unclaimed++
	p.unclaimedRuns[row.Task.Job] = append(p.unclaimedRuns[row.Task.Job], r)
	if j := p.jobs[row.Task.Job]; j != nil {
		p.adopt(now, j)
	}
}

// adopt gives the runs that were met to their job.
func (p *Pool) adopt(now time.Duration, j *job) {
	met := p.unclaimedRuns[j.ID]
	delete(p.unclaimedRuns, j.ID)
	for _, r := range met {
		tk := p.task(r.taskID)
		r.target.unclaimed--
		if tk == nil {
			// Not a task of this job: its size stays unknown until it is over.
			r.target.unclaimed++
			p.stopRun(now, r, "no such task")
			continue
		}
		r.task, r.needs, r.expected = tk, tk.needs, tk.expected
		r.target.used = r.target.used.Plus(r.needs)
		j.queueState.usedMilliCPU += r.needs.MilliCPU
		tk.lastRun = max(tk.lastRun, r.number)
		if r.checkpoint != "" {
			tk.checkpoint = r.checkpoint
		}
		if tk.state != taskWaiting {
			p.stopRun(now, r, "its task runs elsewhere or is done")
			continue
		}
		p.log("run", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "outcome", "adopted")
		p.markPlaced(tk, r)
	}
}

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

// unclaimedTimeout is how long a run without a known job may wait for its job: to be
// handed in again, or to be restored.
func (p *Pool) unclaimedTimeout() time.Duration {
	if p.stored.expected && !p.stored.owned {
		return restoreTimeout
	}
	return adoptTimeout
}

// stopUnclaimed stops the runs whose job nobody handed in again.
func (p *Pool) stopUnclaimed(now time.Duration) {
	if len(p.unclaimedRuns) == 0 {
		return
	}
	for _, t := range p.sortedTargets {
		if !t.owned || t.unclaimed == 0 {
			continue
		}
		for _, r := range sortedRuns(t.runs) {
			if r.task == nil && now >= r.orderedAt+p.unclaimedTimeout() && r.state != runStopAccepted {
				p.stopRun(now, r, "its job is not known")
			}
		}
	}
}
