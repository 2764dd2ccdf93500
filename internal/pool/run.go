package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
)

// runState is how far a run has come.
type runState uint8

const (
	runOrdered  runState = iota // the order is out
	runDoubtful                 // the order was not answered
	runRunning
	runStopping
	runTombstone // a stop was accepted before the run was seen
)

// run is one start of a task at a target. It holds its room until it is over.
type run struct {
	task    fleet.TaskID
	n       int
	target  *target
	needs   structs.Resources
	owner   *task // nil if the job is not known
	state   runState
	at      time.Duration // when the order was sent or the run adopted
	began   time.Duration // when it was confirmed
	timed   bool          // began is when it was started, not when it was met
	expect  time.Duration
	percent int
	// checkpoint is what the run had saved when it was met.
	checkpoint string
	stopAt     time.Duration // when a stop was sent last
}

const (
	// stopAgain is the pause before an unanswered stop is repeated.
	stopAgain = 100 * time.Millisecond
	// staleRunStep raises the number of a run that a target has called stale.
	staleRunStep = 64
)

func (r *run) key() runKey { return runKey{r.task, r.n} }

// StartDone takes in the answer to a start.
func (p *Pool) StartDone(now time.Duration, o fleet.Start, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading {
		return
	}
	if p.noteBirth(now, t, rep.Incarnation) {
		return
	}
	if o.Target.Incarnation == t.Incarnation {
		t.readClock(now, rep.ClockMS)
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
		if r.state == runOrdered || r.state == runDoubtful {
			r.state, r.began, r.timed = runRunning, now, true
		}
	case fleet.Unanswered:
		if r.state == runOrdered {
			r.state = runDoubtful
			t.lookDue = true
		}
	case fleet.Fenced:
		if o.Fence == t.fence {
			p.lose(now, t)
		}
		p.runGone(now, r)
	case fleet.StaleRun:
		if r.owner != nil {
			r.owner.run += staleRunStep
		}
		p.runGone(now, r)
	case fleet.InvalidTicket:
		p.dropTicket(t, o.Task)
		p.runGone(now, r)
	case fleet.OtherIncarnation:
		p.runGone(now, r)
		t.lookDue = true
	default:
		p.refusedStart(now, t, rep.Answer)
		p.runGone(now, r)
	}
}

// noteBirth reports whether an answer came from a later incarnation.
func (p *Pool) noteBirth(now time.Duration, t *target, born int64) bool {
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
	p.reborn(now, t, born)
	return true
}

// stop orders the end of a run.
func (p *Pool) stop(now time.Duration, r *run, why string) {
	stopped := r.state == runStopping || r.state == runTombstone
	if stopped && now < r.stopAt+stopAgain {
		return
	}
	if !stopped {
		p.log("stop", "task", r.task.String(), "run", r.n, "target", r.target.ID, "reason", why)
	}
	r.state, r.stopAt = runStopping, now
	p.emit(fleet.Stop{Target: r.target.Target, Task: r.task, Run: r.n, Fence: r.target.fence})
}

// StopDone takes in the answer to a stop.
func (p *Pool) StopDone(now time.Duration, o fleet.Stop, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading || p.noteBirth(now, t, rep.Incarnation) {
		return
	}
	r := t.runs[runKey{o.Task, o.Run}]
	if r == nil || r.state != runStopping {
		return
	}
	t.lookDue = true
	switch rep.Answer {
	case fleet.Accepted:
		r.state, r.stopAt = runTombstone, now
	case fleet.Fenced:
		if o.Fence == t.fence {
			p.lose(now, t)
		}
	default:
		p.log("stop", "task", o.Task.String(), "run", o.Run, "target", t.ID, "outcome", rep.Answer.String())
	}
}

// runGone gives the room of a run back and queues its task again, if its job
// still wants it.
func (p *Pool) runGone(now time.Duration, r *run) {
	p.release(r)
	tk := r.owner
	if tk == nil || tk.current != r {
		return
	}
	tk.current = nil
	p.requeue(now, tk)
}

// release gives the room of a run back.
func (p *Pool) release(r *run) {
	t := r.target
	if t.runs[r.key()] != r {
		return
	}
	delete(t.runs, r.key())
	if r.owner == nil {
		t.unknown--
		p.unlistForeign(r)
		return
	}
	t.used = t.used.Minus(r.needs)
	r.owner.job.class.inUse -= r.needs.MilliCPU
}
