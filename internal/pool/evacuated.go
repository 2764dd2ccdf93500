package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Which data centres are evacuated is decided by package evacuation, and reaches the pool as the
// Intake of each target. A job that only such targets could run is given back, so that its
// coordinator takes it to another pool. A stored job waits until they are taken back.

// evacuatedInterval is the time between two searches for such jobs among those that wait.
const evacuatedInterval = 100 * time.Millisecond

// offered reports whether the target is there for new jobs.
func (t *target) offered() bool { return t.listed && !t.Leaving && t.Intake == fleet.IntakeAll }

// takes reports whether the target's data centre takes tasks of a job.
func (t *target) takes(j *job) bool {
	return t.Intake == fleet.IntakeAll || t.Intake == fleet.IntakeBegun && j.mayHaveStarted && !j.Stored
}

// evacuatedClass is what decides, beside the needs, which targets a step may run on.
type evacuatedClass struct {
	service, label string
	begun          bool // the job may have started, and takes targets that take the rest of such jobs
}

// evacuatedRooms are the largest rooms of the listed targets of a class: the rooms of the others are no larger than one of them.
type evacuatedRooms struct{ open, closed []structs.Resources }

// evacuatedSearch decides about the jobs of one round. It looks at all targets once for each class.
type evacuatedSearch struct {
	p       *Pool
	classes map[evacuatedClass]*evacuatedRooms
	// last is the class of the last step, which most often is that of the next one too.
	last      evacuatedClass
	lastRooms *evacuatedRooms
}

func (p *Pool) searchEvacuated() *evacuatedSearch {
	return &evacuatedSearch{p: p, classes: make(map[evacuatedClass]*evacuatedRooms)}
}

// evacuated reports whether tasks of the job that are not placed fit listed targets, and all of these
// are in evacuated data centres. For a job that may have started, the tasks that wait count.
func (e *evacuatedSearch) evacuated(j *job) bool {
	for i := range j.Steps {
		waits := !j.mayHaveStarted || slices.ContainsFunc(j.steps[i], func(tk *task) bool { return tk.state == taskWaiting })
		if waits && e.stepEvacuated(j, &j.Steps[i]) {
			return true
		}
	}
	return false
}

// stepEvacuated is evacuated for one step.
func (e *evacuatedSearch) stepEvacuated(j *job, s *fleet.Step) bool {
	fits := func(room structs.Resources) bool { return s.Needs.Fits(room) }
	r := e.rooms(j, s.RequiredLabel)
	return !slices.ContainsFunc(r.open, fits) && slices.ContainsFunc(r.closed, fits)
}

// rooms returns the rooms of the targets for steps of a job with a label.
func (e *evacuatedSearch) rooms(j *job, label string) *evacuatedRooms {
	c := evacuatedClass{j.Queue.Service, label, j.mayHaveStarted && !j.Stored}
	if e.lastRooms == nil || e.last != c {
		if e.classes[c] == nil {
			e.classes[c] = e.roomsOf(c, j)
		}
		e.last, e.lastRooms = c, e.classes[c]
	}
	return e.lastRooms
}

// roomsOf looks at all targets for the rooms of a class that a job is of.
func (e *evacuatedSearch) roomsOf(c evacuatedClass, j *job) *evacuatedRooms {
	r := &evacuatedRooms{}
	e.p.work.targets += len(e.p.sortedTargets)
	for _, t := range e.p.sortedTargets {
		if t.Service != c.service || !t.listed || t.Leaving || !t.HasLabel(c.label) {
			continue
		}
		list := &r.closed
		if t.takes(j) {
			list = &r.open
		}
		*list = withRoom(withRoom(*list, t.Capacity), t.largestRoom)
	}
	return r
}

// withRoom adds a room to a list of largest rooms.
func withRoom(list []structs.Resources, room structs.Resources) []structs.Resources {
	if slices.ContainsFunc(list, room.Fits) {
		return list
	}
	return append(slices.DeleteFunc(list, func(r structs.Resources) bool { return r.Fits(room) }), room)
}

// endEvacuated ends the jobs that wait and that only targets in evacuated data centres could run. One
// that can't have started has not run. Of one that may have started nothing more can be done here,
// and its caller learns that now rather than at its deadline.
func (p *Pool) endEvacuated(now time.Duration) {
	if now < p.nextEvacuated {
		return
	}
	p.nextEvacuated = now + evacuatedInterval
	if !slices.ContainsFunc(p.sortedTargets, func(t *target) bool { return t.Intake != fleet.IntakeAll }) {
		return
	}
	var stuck []*job
	search := p.searchEvacuated()
	for _, q := range p.rankedQueues {
		for _, j := range q.waiting {
			p.work.jobs++
			if j.Stored || j.mayHaveStarted && (p.takingOver(now) || !p.mayStart(now, j)) {
				continue
			}
			if search.evacuated(j) {
				stuck = append(stuck, j)
			}
		}
	}
	for _, j := range stuck {
		p.endJob(now, j, fleet.Outcome{Verdict: notRunVerdict(j.mayHaveStarted), Reason: verdict.Evacuated, RetryAfter: p.retryAfter()})
	}
}
