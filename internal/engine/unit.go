package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/placement"
	"currantstall/internal/verdict"
)

// task is one task from its queue to its result.
type task struct {
	taskSpec
	workID   uint64
	ctx      context.Context // ends when the task should not start or go on
	deadline time.Time
	// notAfter ends the lease of the entry that handed the task over, zero
	// for no bound.
	notAfter time.Time
	// claimed means that this entry holds the claim and checks its lease.
	claimed     bool
	finish      func(result)
	from        string            // entry that handed the task over, or ""
	to          string            // entry to which it is handed over, or ""
	spread      *placement.Spread // of the job's tasks over racks, or nil
	reservation reservation
	startedAt   time.Time
	// noOtherTarget means that the last attempt found no second target.
	noOtherTarget bool
	requeues      int
}

// keepMayHaveRun keeps an attempt that may have run: a later end that says not_run
// is then none of the task.
func (t *task) keepMayHaveRun(err *verdict.Error) {
	finish := t.finish
	t.finish = func(r result) {
		if r.err != nil && r.err.Verdict == verdict.NotRun {
			r.err = err
		}
		finish(r)
	}
}

// admissionUnit returns the unit as the queue sees it.
func (t *task) admissionUnit() admission.Unit {
	return admission.Unit{
		ID:           t.ID,
		Group:        t.workID,
		Kind:         t.Kind,
		Team:         t.Team,
		Needs:        t.Needs,
		JobSize:      t.JobSize,
		Deadline:     t.deadline,
		Offloaded:    t.from != "",
		QuotaCharged: t.requeues > 0,
	}
}

// newTasks returns the units of a group, without identifiers.
func newTasks(ex *execution, claimed bool) []*task {
	w := ex.work
	tasks := make([]*task, len(w.Tasks))
	var spread *placement.Spread
	if len(w.Tasks) > 1 {
		spread = &placement.Spread{}
	}
	for i, body := range w.Tasks {
		tasks[i] = &task{
			taskSpec: taskSpec{
				Class:      w.Class,
				Key:        w.Key,
				Index:      i,
				JobSize:    len(w.Tasks),
				Kind:       w.Kind,
				Team:       w.Team,
				Body:       body,
				Needs:      w.Needs,
				Repeatable: w.Repeatable,
			},
			ctx:      ex.ctx,
			deadline: w.Deadline,
			claimed:  claimed,
			spread:   spread,
			finish:   func(r result) { ex.addResult(i, r) },
		}
	}
	return tasks
}

// expiredResult is the result of a task that was still queued when its deadline
// came out of reach.
func expiredResult() result {
	return result{err: verdict.New(verdict.NotRun, verdict.DeadlineUnmeetable, "the task was queued until its deadline came out of reach").After(retryAfterShort)}
}

// cancelledResult is the result of a task that was cancelled while queued.
func cancelledResult() result {
	return result{err: verdict.New(verdict.NotRun, verdict.Cancelled, "stopped before its start")}
}
