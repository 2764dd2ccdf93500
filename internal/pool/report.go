package pool

import (
	"math"
	"time"

	"currantstall/internal/fleet"
)

// holdDue renews the leases on the targets where something runs, and reads the
// lists that are wanted. An idle target is left alone.
func (p *Pool) holdDue(now time.Duration) {
	for _, t := range p.order {
		if !t.owned {
			continue
		}
		if t.lookDue && !t.looking {
			t.lookDue, t.looking = false, true
			p.emit(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.acknowledged(), LeaseUntilMS: t.lease(now, p.cfg.Lease)})
		}
		if !t.holding && now >= t.holdAt && (len(t.runs) > 0 || t.unacked || len(t.held) > 0) {
			t.holding, t.unacked = true, false
			p.emit(fleet.Hold{Target: t.Target, Fence: t.fence, AckedEnd: t.acknowledged(), LeaseUntilMS: t.lease(now, p.cfg.Lease), Wait: p.holdWait(t)})
		}
	}
}

// holdWait returns how long a target may wait for an end.
func (p *Pool) holdWait(t *target) time.Duration {
	if len(t.runs) == 0 || len(t.held) > 0 {
		return 0 // ends that are held back would be answered at once
	}
	return p.cfg.Renew
}

// HoldDone takes in a target's lists, asked for at the time sent.
func (p *Pool) HoldDone(now, sent time.Duration, o fleet.Hold, rep fleet.HoldReply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading || o.Fence != t.fence {
		return
	}
	if o.Wait == 0 && t.looking {
		t.looking = false
	} else {
		t.holding = false
	}
	if p.noteBirth(now, t, rep.Incarnation) {
		return
	}
	switch rep.Answer {
	case fleet.Accepted:
		// After a call without an answer, or a slow one, an end may be older than
		// its report.
		prompt := t.misses == 0 && now-sent <= o.Wait+promptSlack
		t.misses = 0
		t.readClock(now, rep.ClockMS)
		if t.asking {
			p.acquired(now, t, rep)
		}
		if !t.owned {
			return
		}
		p.takeEnds(now, t, rep.Ended, prompt)
		if len(t.held) > 0 {
			t.holdAt = now + t.heldPause()
		}
		p.takeRunning(now, sent, t, rep)
	case fleet.Fenced:
		p.lose(now, t)
	default:
		t.misses++
		if t.asking || t.misses > 1 {
			p.unreachable(now, t)
		} else {
			t.lookDue = true
		}
	}
}

// takeEnds takes in the ends that are new.
func (p *Pool) takeEnds(now time.Duration, t *target, ends []fleet.End, prompt bool) {
	for _, e := range ends {
		if e.Number <= t.seen {
			continue
		}
		t.seen, t.unacked = e.Number, true
		r := t.runs[runKey{e.Task, e.Run}]
		if r == nil {
			p.foreignEnd(now, e)
		} else {
			if r.owner != nil && e.Checkpoint != "" {
				r.owner.checkpoint = e.Checkpoint
			}
			p.runEnded(now, r, e.Kind, prompt)
		}
		p.holdBack(t, e)
	}
}

const (
	// heldPause is the pause between two looks at a target while ends wait for records
	// to be saved.
	heldPause = 15 * time.Millisecond
	// unknownPause is the same while ends wait for jobs to be restored, which takes
	// longer.
	unknownPause = 60 * time.Millisecond
)

func (t *target) heldPause() time.Duration {
	for _, h := range t.held {
		if h.seq == math.MaxInt {
			return unknownPause
		}
	}
	return heldPause
}

// promptSlack is how long after its wait a hold may be answered for its ends to
// count as fresh.
const promptSlack = 60 * time.Millisecond

// runEnded takes in the end of a run. Only a prompt report tells how long it took.
func (p *Pool) runEnded(now time.Duration, r *run, kind fleet.EndKind, prompt bool) {
	p.release(r)
	tk := r.owner
	if tk == nil {
		return
	}
	if !tk.step.LongRunning {
		p.judgeEnd(now, r, kind, prompt)
	}
	if tk.current != r {
		return
	}
	tk.current = nil
	switch {
	case tk.step.LongRunning:
		p.log("run", "task", r.task.String(), "run", r.n, "target", r.target.ID, "outcome", "ended, starts again", "kind", kind)
		p.requeue(now, tk)
	case kind == fleet.EndDone:
		p.taskDone(now, tk)
	case kind == fleet.EndFailed:
		p.taskFailed(now, tk, r)
	default:
		p.requeue(now, tk)
	}
}

// foreignEnd takes in the end of a run that an earlier owner had ordered.
func (p *Pool) foreignEnd(now time.Duration, e fleet.End) {
	tk := p.task(e.Task)
	if tk == nil || tk.state == taskDone || e.Kind != fleet.EndDone {
		return
	}
	if tk.current != nil {
		p.stop(now, tk.current, "another run is done")
		tk.current = nil
	}
	p.taskDone(now, tk)
}

// takeRunning compares a list of what runs with what should run. A run that is
// missing is over only if the list was asked for after the run was known.
func (p *Pool) takeRunning(now, sent time.Duration, t *target, rep fleet.HoldReply) {
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		k := runKey{row.Task, row.Run}
		listed[k] = true
		r := t.runs[k]
		if r == nil {
			p.meetForeign(now, t, row)
			continue
		}
		if r.state == runOrdered || r.state == runDoubtful {
			r.state, r.began = runRunning, now
		}
		if r.state == runStopping {
			p.stop(now, r, "not stopped yet")
		}
		r.percent = row.PercentDone
		if r.owner != nil && row.Checkpoint != "" {
			r.owner.checkpoint = row.Checkpoint
		}
		p.judgeProgress(now, r)
	}
	for _, r := range sortedRuns(t.runs) {
		if listed[r.key()] {
			if r.state == runTombstone {
				t.lookDue = true
			}
			continue
		}
		switch {
		case r.state == runDoubtful && r.at < sent:
			p.stop(now, r, "its start was not answered")
		case r.state == runTombstone && r.stopAt < sent, r.state == runRunning && r.began < sent:
			p.log("run", "task", r.task.String(), "run", r.n, "target", t.ID, "outcome", "gone from the list")
			p.runGone(now, r)
		case r.state == runStopping:
			p.stop(now, r, "not stopped yet")
		}
	}
}

// meetForeign takes in a run that an earlier owner has ordered: its job is
// known, or may be handed in again in a moment.
func (p *Pool) meetForeign(now time.Duration, t *target, row fleet.Running) {
	r := &run{task: row.Task, n: row.Run, target: t, state: runRunning, at: now, began: now, checkpoint: row.Checkpoint}
	t.runs[r.key()] = r
	t.unknown++
	p.foreign[row.Task.Job] = append(p.foreign[row.Task.Job], r)
	if j := p.jobs[row.Task.Job]; j != nil {
		p.adopt(now, j)
	}
}

// adopt gives the runs that were met to their job.
func (p *Pool) adopt(now time.Duration, j *job) {
	met := p.foreign[j.ID]
	delete(p.foreign, j.ID)
	for _, r := range met {
		tk := p.task(r.task)
		r.target.unknown--
		if tk == nil {
			// Not a task of this job: its size stays unknown until it is over.
			r.target.unknown++
			p.stop(now, r, "no such task")
			continue
		}
		r.owner, r.needs, r.expect = tk, tk.needs, tk.expect
		r.target.used = r.target.used.Plus(r.needs)
		j.class.inUse += r.needs.MilliCPU
		tk.run = max(tk.run, r.n)
		if r.checkpoint != "" {
			tk.checkpoint = r.checkpoint
		}
		if tk.state != taskWaiting {
			p.stop(now, r, "its task runs elsewhere or is done")
			continue
		}
		p.log("run", "task", r.task.String(), "run", r.n, "target", r.target.ID, "outcome", "adopted")
		p.placed(tk, r)
	}
}

func (p *Pool) unlistForeign(r *run) {
	rs := p.foreign[r.task.Job]
	for i, o := range rs {
		if o == r {
			p.foreign[r.task.Job] = append(rs[:i:i], rs[i+1:]...)
		}
	}
	if len(p.foreign[r.task.Job]) == 0 {
		delete(p.foreign, r.task.Job)
	}
}

// adoptWithin is how long a run without a known job may wait for its job: to be
// handed in again, or to be restored.
func (p *Pool) adoptWithin() time.Duration {
	if p.stored.expected && !p.stored.owned {
		return restoreWithin
	}
	return adoptWithin
}

// stopUnclaimed stops the runs whose job nobody handed in again.
func (p *Pool) stopUnclaimed(now time.Duration) {
	if len(p.foreign) == 0 {
		return
	}
	for _, t := range p.order {
		if !t.owned || t.unknown == 0 {
			continue
		}
		for _, r := range sortedRuns(t.runs) {
			if r.owner == nil && now >= r.at+p.adoptWithin() && r.state != runTombstone {
				p.stop(now, r, "its job is not known")
			}
		}
	}
}
