package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
)

// runState is how far a run has come.
type runState uint8

const (
	runOrdered     runState = iota // the order is out
	runUnconfirmed                 // the order was not answered
	runRunning
	runStopping
	runStopAccepted // a stop was accepted before the run was seen
)

// run is one start of a task at a target. It holds its room until it is over.
type run struct {
	taskID         fleet.TaskID
	number         int
	target         *target
	needs          structs.Resources
	task           *task // nil if the job is not known
	state          runState
	orderedAt      time.Duration // when the order was sent or the run adopted
	startedAt      time.Duration // when it was confirmed
	startTimeKnown bool          // began is when it was started, not when it was met
	expected       time.Duration
	percent        int
	// checkpoint is what the run had saved when it was met.
	checkpoint string
	stopAt     time.Duration // when a stop was sent last
}

const (
	// stopRetryPause is the pause before an unanswered stop is repeated.
	stopRetryPause = 100 * time.Millisecond
	// staleRunStep raises the number of a run that a target has called stale.
	staleRunStep = 64
)

func (r *run) key() runKey { return runKey{r.taskID, r.number} }

// StartDone takes in the answer to a start.
func (p *Pool) StartDone(now time.Duration, o fleet.Start, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading {
		return
	}
	if p.otherIncarnation(now, t, rep.Incarnation) {
		return
	}
	if o.Target.Incarnation == t.Incarnation {
		t.setClock(now, rep.ClockMS)
	}
	r := t.runs[runKey{o.Task, o.Run}]
	if r == nil {
		return
	}
	if rep.Answer != fleet.Accepted {
		p.log("start", "task", o.Task.String(), "run", o.Run, "target", t.ID, "outcome", rep.Answer.String())
	}
	switch rep.Answer {
	case fleet.Accepted:
		if r.state == runOrdered || r.state == runUnconfirmed {
			r.state, r.startedAt, r.startTimeKnown = runRunning, now, true
		}
	case fleet.Unanswered:
		if r.state == runOrdered {
			r.state = runUnconfirmed
			t.refreshDue = true
		}
	case fleet.Fenced:
		if o.Fence == t.fence {
			p.markFenced(now, t)
		}
		p.releaseAndRequeue(now, r)
	case fleet.StaleRun:
		if r.task != nil {
			r.task.lastRun += staleRunStep
		}
		p.releaseAndRequeue(now, r)
	case fleet.InvalidTicket:
		p.dropTicket(t, o.Task)
		p.releaseAndRequeue(now, r)
	case fleet.OtherIncarnation:
		p.releaseAndRequeue(now, r)
		t.refreshDue = true
	default:
		p.startRejected(now, t, rep.Answer)
		p.releaseAndRequeue(now, r)
	}
}

// otherIncarnation reports whether an answer came from a later incarnation.
func (p *Pool) otherIncarnation(now time.Duration, t *target, born int64) bool {
	if born == 0 || born == t.Incarnation {
		return false
	}
	if t.Incarnation == 0 {
		t.Incarnation = born
		return false
	}
	if born < t.Incarnation {
		return true // an answer of an incarnation that is gone
	}
	p.newIncarnation(now, t, born)
	return true
}

// stopRun orders the end of a run.
func (p *Pool) stopRun(now time.Duration, r *run, why string) {
	stopped := r.state == runStopping || r.state == runStopAccepted
	if stopped && now < r.stopAt+stopRetryPause {
		return
	}
	if !stopped {
		p.log("stop", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "reason", why)
	}
	r.state, r.stopAt = runStopping, now
	p.emit(fleet.Stop{Target: r.target.Target, Task: r.taskID, Run: r.number, Fence: r.target.fence})
}

// StopDone takes in the answer to a stop.
func (p *Pool) StopDone(now time.Duration, o fleet.Stop, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading || p.otherIncarnation(now, t, rep.Incarnation) {
		return
	}
	r := t.runs[runKey{o.Task, o.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	t.refreshDue = true
	switch rep.Answer {
	case fleet.Accepted:
		r.state, r.stopAt = runStopAccepted, now
	case fleet.Fenced:
		if o.Fence == t.fence {
			p.markFenced(now, t)
		}
	default:
		p.log("stop", "task", o.Task.String(), "run", o.Run, "target", t.ID, "outcome", rep.Answer.String())
	}
}

// releaseAndRequeue gives the room of a run back and queues its task again, if its job
// still wants it.
func (p *Pool) releaseAndRequeue(now time.Duration, r *run) {
	p.releaseRun(r)
	tk := r.task
	if tk == nil || tk.currentRun != r {
		return
	}
	tk.currentRun = nil
	p.requeue(now, tk)
}

// releaseRun gives the room of a run back.
func (p *Pool) releaseRun(r *run) {
	t := r.target
	if t.runs[r.key()] != r {
		return
	}
	delete(t.runs, r.key())
	if r.task == nil {
		t.unclaimed--
		p.removeUnclaimed(r)
		return
	}
	t.used = t.used.Minus(r.needs)
	r.task.job.queueState.usedMilliCPU -= r.needs.MilliCPU
}
