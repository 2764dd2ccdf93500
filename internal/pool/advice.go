package pool

import (
	"time"

	"currantstall/internal/fleet"
)

const (
	// minAskTargets and askAtMost bound how many targets one question names: each costs
	// the adviser time.
	minAskTargets = 4
	maxAskTargets = 30
	// adviceBackoff is the pause after a question without an answer.
	adviceBackoff = 100 * time.Millisecond
	// ticketMargin is how much earlier a ticket is given up than it lapses.
	ticketMargin = 50 * time.Millisecond
)

// stepAdvice is what the adviser has said of a step.
type stepAdvice struct {
	tickets map[incarnationKey]ticket
	denied  map[incarnationKey]bool // what is allowed does not change
}

// incarnationKey names an incarnation of a target.
type incarnationKey struct {
	id          string
	incarnation int64
}

type ticket struct {
	value string
	until time.Duration
}

func stepID(id fleet.TaskID) fleet.TaskID { return fleet.TaskID{Job: id.Job, Step: id.Step} }

func (t *target) incarnationKey() incarnationKey { return incarnationKey{t.ID, t.Incarnation} }

// ticketFor returns the ticket with which a task may run at a target.
func (p *Pool) ticketFor(tk *task, t *target) (string, bool) {
	if !tk.job.Queue.NeedsTicket {
		return "", true
	}
	a := p.advice[stepID(tk.id)]
	if a == nil {
		return "", false
	}
	got := a.tickets[t.incarnationKey()]
	return got.value, p.lastTick < got.until
}

// requestAdvice asks for advice on a task that finds no target with a ticket.
func (p *Pool) requestAdvice(now time.Duration, tk *task) {
	if !tk.job.Queue.NeedsTicket || p.adviceInFlight || now < p.nextAdviceAt {
		return
	}
	a := p.advice[stepID(tk.id)]
	want := min(max(2*tk.job.waiting, minAskTargets), maxAskTargets)
	var names []fleet.Target
	for _, t := range p.sortedTargets {
		if len(names) == want {
			break
		}
		known := a != nil && (a.denied[t.incarnationKey()] || now < a.tickets[t.incarnationKey()].until)
		if !known && t.eligible(tk) && t.hasCapacity(tk) {
			names = append(names, t.Target)
		}
	}
	if len(names) == 0 {
		return
	}
	p.adviceInFlight = true
	p.log("advice", "job", tk.id.Job, "step", tk.id.Step, "outcome", "asked", "targets", len(names))
	p.emit(fleet.AdviceRequest{Step: stepID(tk.id), Targets: names})
}

// AdviceReceived takes in the adviser's answer.
func (p *Pool) AdviceReceived(now time.Duration, got fleet.Advice) {
	p.adviceInFlight = false
	if !p.leading {
		return
	}
	p.log("advice", "job", got.Request.Step.Job, "step", got.Request.Step.Step, "outcome", "answered", "ok", got.OK, "allowed", len(got.Tickets))
	if !got.OK {
		p.nextAdviceAt = now + adviceBackoff
		return
	}
	if p.jobs[got.Request.Step.Job] == nil {
		return
	}
	a := p.advice[got.Request.Step]
	if a == nil {
		a = &stepAdvice{tickets: make(map[incarnationKey]ticket), denied: make(map[incarnationKey]bool)}
		p.advice[got.Request.Step] = a
	}
	for i := range got.Request.Targets {
		t := &got.Request.Targets[i]
		who := incarnationKey{t.ID, t.Incarnation}
		if value, allowed := got.Tickets[t.ID]; allowed {
			a.tickets[who] = ticket{value, now + got.Valid - ticketMargin}
		} else {
			a.denied[who] = true
		}
	}
}

// dropTicket forgets a ticket that a target did not take.
func (p *Pool) dropTicket(t *target, id fleet.TaskID) {
	if a := p.advice[stepID(id)]; a != nil {
		delete(a.tickets, t.incarnationKey())
	}
}

// dropAdvice drops the advice on a job that has ended.
func (p *Pool) dropAdvice(j *job) {
	for i := range j.Steps {
		delete(p.advice, fleet.TaskID{Job: j.ID, Step: i})
	}
}
