package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/placement"
	"currantstall/internal/verdict"
)

// unit is one task from its queue to its result.
type unit struct {
	runUnit
	group    uint64
	ctx      context.Context // ends when the task should not start or go on
	deadline time.Time
	// notAfter ends the lease of the entry that handed the task over, zero
	// for no bound.
	notAfter time.Time
	// claimed means that this entry holds the claim and checks its lease.
	claimed bool
	finish  func(result)
	from    string            // entry that handed the task over, or ""
	to      string            // entry to which it is handed over, or ""
	spread  *placement.Spread // of the job's tasks over racks, or nil
	place   place
	began   time.Time
	// stranded means that the last attempt found no second target.
	stranded bool
	requeues int
}

// remember keeps an attempt that may have run: a later end that says not_run
// is then none of the task.
func (u *unit) remember(err *verdict.Error) {
	finish := u.finish
	u.finish = func(r result) {
		if r.err != nil && r.err.Verdict == verdict.NotRun {
			r.err = err
		}
		finish(r)
	}
}

// admission returns the unit as the queue sees it.
func (u *unit) admission() admission.Unit {
	return admission.Unit{
		ID:       u.ID,
		Group:    u.group,
		Kind:     u.Kind,
		Team:     u.Team,
		Needs:    u.Needs,
		JobSize:  u.JobSize,
		Deadline: u.deadline,
		Handed:   u.from != "",
		Charged:  u.requeues > 0,
	}
}

// newUnits returns the units of a group, without identifiers.
func newUnits(g *group, claimed bool) []*unit {
	w := g.work
	units := make([]*unit, len(w.Tasks))
	var spread *placement.Spread
	if len(w.Tasks) > 1 {
		spread = &placement.Spread{}
	}
	for i, body := range w.Tasks {
		units[i] = &unit{
			runUnit: runUnit{
				Class:      w.Class,
				Key:        w.Key,
				Task:       i,
				JobSize:    len(w.Tasks),
				Kind:       w.Kind,
				Team:       w.Team,
				Body:       body,
				Needs:      w.Needs,
				Repeatable: w.Repeatable,
			},
			ctx:      g.ctx,
			deadline: w.Deadline,
			claimed:  claimed,
			spread:   spread,
			finish:   func(r result) { g.add(i, r) },
		}
	}
	return units
}

// expired is the result of a task that was still queued when its deadline
// came out of reach.
func expired() result {
	return result{err: verdict.New(verdict.NotRun, verdict.DeadlineUnmeetable, "the task was queued until its deadline came out of reach").After(retrySoon)}
}

// stopped is the result of a task that was cancelled while queued.
func stopped() result {
	return result{err: verdict.New(verdict.NotRun, verdict.Cancelled, "stopped before its start")}
}
