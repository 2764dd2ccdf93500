package pool

import (
	"time"

	"currantstall/internal/fleet"
)

const (
	// askAtLeast and askAtMost bound how many targets one question names: each costs
	// the adviser time.
	askAtLeast = 4
	askAtMost  = 30
	// askAgain is the pause after a question without an answer.
	askAgain = 100 * time.Millisecond
	// ticketMargin is how much earlier a ticket is given up than it lapses.
	ticketMargin = 50 * time.Millisecond
)

// advice is what the adviser has said of a step.
type advice struct {
	tickets map[birth]ticket
	denied  map[birth]bool // what is allowed does not change
}

// birth names an incarnation of a target.
type birth struct {
	id   string
	born int64
}

type ticket struct {
	value string
	until time.Duration
}

func stepOf(id fleet.TaskID) fleet.TaskID { return fleet.TaskID{Job: id.Job, Step: id.Step} }

func (t *target) birth() birth { return birth{t.ID, t.Incarnation} }

// ticketFor returns the ticket with which a task may run at a target.
func (p *Pool) ticketFor(tk *task, t *target) (string, bool) {
	if !tk.job.Queue.NeedsTicket {
		return "", true
	}
	a := p.advice[stepOf(tk.id)]
	if a == nil {
		return "", false
	}
	got := a.tickets[t.birth()]
	return got.value, p.clock < got.until
}

// askFor asks for advice on a task that finds no target with a ticket.
func (p *Pool) askFor(now time.Duration, tk *task) {
	if !tk.job.Queue.NeedsTicket || p.asking || now < p.askAt {
		return
	}
	a := p.advice[stepOf(tk.id)]
	want := min(max(2*tk.job.waiting, askAtLeast), askAtMost)
	var names []fleet.Target
	for _, t := range p.order {
		if len(names) == want {
			break
		}
		known := a != nil && (a.denied[t.birth()] || now < a.tickets[t.birth()].until)
		if !known && t.eligible(tk) && t.hasRoom(tk) {
			names = append(names, t.Target)
		}
	}
	if len(names) == 0 {
		return
	}
	p.asking = true
	p.log("advice", "job", tk.id.Job, "step", tk.id.Step, "outcome", "asked", "targets", len(names))
	p.emit(fleet.AdviceRequest{Step: stepOf(tk.id), Targets: names})
}

// Advised takes in the adviser's answer.
func (p *Pool) Advised(now time.Duration, got fleet.Advice) {
	p.asking = false
	if !p.leading {
		return
	}
	p.log("advice", "job", got.Request.Step.Job, "step", got.Request.Step.Step, "outcome", "answered", "ok", got.OK, "allowed", len(got.Tickets))
	if !got.OK {
		p.askAt = now + askAgain
		return
	}
	if p.jobs[got.Request.Step.Job] == nil {
		return
	}
	a := p.advice[got.Request.Step]
	if a == nil {
		a = &advice{tickets: make(map[birth]ticket), denied: make(map[birth]bool)}
		p.advice[got.Request.Step] = a
	}
	for i := range got.Request.Targets {
		t := &got.Request.Targets[i]
		who := birth{t.ID, t.Incarnation}
		if value, allowed := got.Tickets[t.ID]; allowed {
			a.tickets[who] = ticket{value, now + got.Valid - ticketMargin}
		} else {
			a.denied[who] = true
		}
	}
}

// dropTicket forgets a ticket that a target did not take.
func (p *Pool) dropTicket(t *target, id fleet.TaskID) {
	if a := p.advice[stepOf(id)]; a != nil {
		delete(a.tickets, t.birth())
	}
}

// forgetAdvice drops the advice on a job that has ended.
func (p *Pool) forgetAdvice(j *job) {
	for i := range j.Steps {
		delete(p.advice, fleet.TaskID{Job: j.ID, Step: i})
	}
}
