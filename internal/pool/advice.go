package pool

import (
	"time"

	"currantstall/internal/fleet"
)

const (
	// minAdviceTargets and maxAskTargets bound the number of targets in an advice request:
	// each costs the adviser time.
	minAdviceTargets = 4
	maxAdviceTargets = 30
	// adviceBackoff is the pause after an advice request that failed.
	adviceBackoff = 100 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 50 * time.Millisecond
)

// stepAdvice is the adviser's answers for one step of a job.
type stepAdvice struct {
	tickets map[incarnationKey]ticket
	denied  map[incarnationKey]bool // never asked for again, since permissions do not change
}

// incarnationKey identifies an incarnation of a target.
type incarnationKey struct {
	id          string
	incarnation int64
}

// ticket permits a step to run on a target until a time.
type ticket struct {
	value string
	until time.Duration
}

// stepID returns the ID of a task's step, which has index 0.
func stepID(id fleet.TaskID) fleet.TaskID { return fleet.TaskID{Job: id.Job, Step: id.Step} }

func (t *target) incarnationKey() incarnationKey { return incarnationKey{t.ID, t.Incarnation} }

// ticketFor returns the ticket for a task on a target, "" if its queue needs none. It
// returns false if there is no valid ticket.
func (p *Pool) ticketFor(tk *task, t *target) (string, bool) {
	if !tk.job.Queue.NeedsTicket {
		return "", true
	}
	a := p.advice[stepID(tk.id)]
	if a == nil {
		return "", false
	}
	found := a.tickets[t.incarnationKey()]
	return found.value, p.lastTick < found.until
}

// requestAdvice requests tickets for a task that found no target, from targets that
// could run it. Only one request is in flight at a time.
func (p *Pool) requestAdvice(now time.Duration, tk *task) {
	if !tk.job.Queue.NeedsTicket || p.adviceInFlight || now < p.nextAdviceAt {
		return
	}
	a := p.advice[stepID(tk.id)]
	limit := min(max(2*tk.job.waiting, minAdviceTargets), maxAdviceTargets)
	var candidates []fleet.Target
	for _, t := range p.sortedTargets {
		if len(candidates) == limit {
			break
		}
		known := a != nil && (a.denied[t.incarnationKey()] || now < a.tickets[t.incarnationKey()].until)
		if !known && t.eligible(tk) && t.hasCapacity(tk) {
			candidates = append(candidates, t.Target)
		}
	}
	if len(candidates) == 0 {
		return
	}
	p.adviceInFlight = true
	p.log("advice", "job", tk.id.Job, "step", tk.id.Step, "outcome", "asked", "targets", len(candidates))
	p.emit(fleet.AdviceRequest{Step: stepID(tk.id), Targets: candidates})
}

// AdviceReceived handles the adviser's answer. Requested targets without a ticket are
// denied.
func (p *Pool) AdviceReceived(now time.Duration, answer fleet.Advice) {
	p.adviceInFlight = false
	if !p.leading {
		return
	}
	p.log("advice", "job", answer.Request.Step.Job, "step", answer.Request.Step.Step, "outcome", "answered", "ok", answer.OK, "allowed", len(answer.Tickets))
	if !answer.OK {
		p.nextAdviceAt = now + adviceBackoff
		return
	}
	if p.jobs[answer.Request.Step.Job] == nil {
		return
	}
	a := p.advice[answer.Request.Step]
	if a == nil {
		a = &stepAdvice{tickets: make(map[incarnationKey]ticket), denied: make(map[incarnationKey]bool)}
		p.advice[answer.Request.Step] = a
	}
	for i := range answer.Request.Targets {
		t := &answer.Request.Targets[i]
		key := incarnationKey{t.ID, t.Incarnation}
		if value, allowed := answer.Tickets[t.ID]; allowed {
			a.tickets[key] = ticket{value, now + answer.Valid - ticketMargin}
		} else {
			a.denied[key] = true
		}
	}
}

// dropTicket removes a ticket that a target rejected.
func (p *Pool) dropTicket(t *target, id fleet.TaskID) {
	if a := p.advice[stepID(id)]; a != nil {
		delete(a.tickets, t.incarnationKey())
	}
}

// dropAdvice removes the advice for a job that has ended.
func (p *Pool) dropAdvice(j *job) {
	for i := range j.Steps {
		delete(p.advice, fleet.TaskID{Job: j.ID, Step: i})
	}
}
