package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/speed"
	"currantstall/internal/structs"
)

// runState is the progress of a run as far as the owner knows.
type runState uint8

const (
	runOrdered     runState = iota // the start is in flight
	runUnconfirmed                 // the start was not answered
	runRunning
	runStopping
	runStopAccepted // the target accepted the stop; no report has confirmed it yet
)

// run is one start of a task on a target. It uses its capacity until it is proven to be
// over.
type run struct {
	taskID         fleet.TaskID
	number         int // number among the starts of the task
	target         *target
	needs          structs.Resources
	task           *task // nil if the job is unknown
	state          runState
	orderedAt      time.Duration // when the start was sent, or an unclaimed run was first reported
	startedAt      time.Duration // when the run was first known to be running
	startTimeKnown bool          // startedAt is when the target started the run, not when a report first listed it
	expected       time.Duration
	percent        int  // of the work that is done
	judged         bool // it was a sign of its target's speed
	sign           speed.Sign
	// checkpoint is the last checkpoint of the run when it was first reported.
	checkpoint string
	stopAt     time.Duration // when a stop was last sent or accepted
	// startClockMS is the target's clock in the answer that first showed the run at work,
	// 0 before.
	startClockMS int64
	incarnation  int64  // of the target that it was ordered from
	order        uint64 // number of its start, 0 if another owner has started it
	suspect      bool   // its task was a suspect at the start
	weakLoss     bool   // the loss of its target is weak evidence against its task
	open         bool   // the leases on its lost target have expired without evidence that it is over
}

const (
	// stopRetryPause is the pause before a stop is sent again for a run that is not
	// reported as over.
	stopRetryPause = 100 * time.Millisecond
	// silentStopRetryPause replaces it for a target that stands still.
	silentStopRetryPause = time.Second
	// staleRunStep is added to the task's run number after a target has rejected the
	// number as stale.
	staleRunStep = 64
)

func (r *run) key() runKey { return runKey{r.taskID, r.number} }

// begin records that the run is known to be at work from now on.
func (r *run) begin(now time.Duration) {
	r.state, r.startedAt = runRunning, now
	if r.task != nil {
		r.task.job.started = true
	}
}

// StartDone handles the answer to a start.
func (p *Pool) StartDone(now time.Duration, o fleet.Start, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading {
		return
	}
	p.releaseWithheld(now, t, o, rep)
	byOther := rep.Answer == fleet.OtherIncarnation // its clock and incarnation are not the target's
	if !byOther && p.otherIncarnation(now, t, rep.Incarnation) {
		return
	}
	if !byOther && o.Target.Incarnation == t.Incarnation {
		t.setClock(now, rep.ClockMS)
	}
	r := t.runs[runKey{o.Task, o.Run}]
	if r == nil || r.order != o.Number {
		return // each leadership, and each return of a job, numbers the runs of a task from 1
	}
	if rep.Answer != fleet.Accepted && r.startedAt > 0 {
		return // a report has shown it: the start of another leader, for the next life of the target, has the same number
	}
	if rep.Answer != fleet.Accepted {
		p.log("start", "task", o.Task.String(), "run", o.Run, "target", t.ID, "outcome", rep.Answer.String())
	}
	switch rep.Answer {
	case fleet.Accepted:
		if r.state == runOrdered || r.state == runUnconfirmed {
			r.startTimeKnown = true
			r.begin(now)
			r.noteStarted(rep.ClockMS)
		}
	case fleet.Unanswered:
		if r.state == runOrdered {
			r.state = runUnconfirmed
			t.refreshDue = true
			if t.lossRecorded {
				p.suspectTasks(now, suspectsOn(t), false) // before the run may lapse
			}
		}
	case fleet.Fenced:
		if o.Fence == t.fence {
			p.markFenced(now, t)
		}
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
	case fleet.StaleRun:
		if r.task != nil {
			r.task.lastRun += staleRunStep
		}
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
	case fleet.InvalidTicket:
		p.dropTicket(t, o.Task)
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
	case fleet.OtherIncarnation:
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
		p.answeredByOther(now, t, o.Target.Addr, rep.Incarnation)
	case fleet.NotSent:
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer)) // the target is not to blame
	case fleet.Unreachable:
		t.refreshDue, t.pauseUntil = true, now+rejectedStartPause
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
	default:
		p.startRejected(now, t, rep.Answer)
		p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
	}
}

// releaseWithheld releases the run of a start that was not sent since another life of its target was there. That
// comes before the loss of the former life, under which the run never was.
func (p *Pool) releaseWithheld(now time.Duration, t *target, o fleet.Start, rep fleet.Reply) {
	r := t.runs[runKey{o.Task, o.Run}]
	if rep.Answer != fleet.Unreachable || rep.Incarnation == 0 || rep.Incarnation == t.Incarnation || r == nil || r.order != o.Number || r.startedAt > 0 {
		return
	}
	p.log("start", "task", o.Task.String(), "run", o.Run, "target", t.ID, "outcome", "withheld from another life", "life", o.Target.Incarnation, "found", rep.Incarnation)
	t.pauseUntil = now + rejectedStartPause // until it shows which life is there
	p.releaseAndRequeue(now, r, groundOfAnswer(rep.Answer))
}

// otherIncarnation reports whether an answer came from another incarnation than the one
// known, which makes the answer useless. A later incarnation replaces the known one.
func (p *Pool) otherIncarnation(now time.Duration, t *target, incarnation int64) bool {
	if incarnation == 0 || incarnation == t.Incarnation {
		return false
	}
	if t.Incarnation == 0 {
		t.Incarnation = incarnation
		return false
	}
	if incarnation < t.Incarnation {
		t.refreshDue = t.refreshDue || t.owned // the answer to a hold shows whether it is from an earlier one
		return true
	}
	p.newIncarnation(now, t, incarnation)
	return true
}

// stopRun sends a stop for a run, but not again within stopRetryPause.
func (p *Pool) stopRun(now time.Duration, r *run, reason string) {
	stopped, pause := r.state == runStopping || r.state == runStopAccepted, stopRetryPause
	if r.target.silent {
		pause = silentStopRetryPause
	}
	if stopped && now < r.stopAt+pause {
		return
	}
	if !stopped {
		p.log("stop", "task", r.taskID.String(), "run", r.number, "target", r.target.ID, "reason", reason)
	}
	r.state, r.stopAt = runStopping, now
	p.emit(fleet.Stop{Target: r.target.Target, Task: r.taskID, Run: r.number, Fence: r.target.fence})
}

// StopDone handles the answer to a stop.
func (p *Pool) StopDone(now time.Duration, o fleet.Stop, rep fleet.Reply) {
	t := p.targets[o.Target.ID]
	if t == nil || !p.leading {
		return
	}
	if rep.Answer == fleet.OtherIncarnation {
		p.answeredByOther(now, t, o.Target.Addr, rep.Incarnation)
		return
	}
	if p.otherIncarnation(now, t, rep.Incarnation) {
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

// releaseAndRequeue releases the capacity of a run that is over or can't start, and
// requeues its task if this is the task's current run.
func (p *Pool) releaseAndRequeue(now time.Duration, r *run, why ground) {
	p.releaseRun(r)
	tk := r.task
	if tk == nil || tk.currentRun != r {
		return
	}
	tk.currentRun = nil
	tk.noteRelease(now, r, why)
	p.requeue(now, tk)
}

// releaseRun removes a run from its target and releases its capacity.
func (p *Pool) releaseRun(r *run) {
	t := r.target
	if t.runs[r.key()] != r {
		return
	}
	delete(t.runs, r.key())
	if r.suspect {
		t.suspectRuns--
	}
	if r.task == nil {
		t.unclaimed--
		p.removeUnclaimed(r)
		return
	}
	t.used = t.used.Minus(r.needs)
	r.task.job.queueState.Used -= r.needs.MilliCPU
}
