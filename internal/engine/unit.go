package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/placement"
	"currantstall/internal/verdict"
)

// task is one task from submission to result, submitted here or offloaded by a
// peer.
type task struct {
	taskSpec
	workID   uint64          // of the request or job that the task belongs to
	ctx      context.Context // ends when the task should not start or continue
	deadline time.Time
	// notAfter is the end of the lease of the peer that offloaded the task;
	// zero means no limit.
	notAfter time.Time
	// claimed means that this entry holds the claim and checks the lease
	// before each start.
	claimed     bool
	finish      func(result)
	from        string            // peer that offloaded the task, or ""
	to          string            // peer that the task is offloaded to, or ""
	countedIn   *peerKindLoad     // load report in which the offloaded task is counted, or nil
	spread      *placement.Spread // distribution of the job's tasks over racks, or nil
	reservation reservation
	startedAt   time.Time
	// noOtherTarget means that the last attempt found no other target to try.
	noOtherTarget bool
	requeues      int
}

// keepMayHaveRun keeps the error of an attempt that may have run: if a later
// attempt ends with not_run, the task ends with err instead.
func (t *task) keepMayHaveRun(err *verdict.Error) {
	finish := t.finish
	t.finish = func(r result) {
		if r.err != nil && r.err.Verdict == verdict.NotRun {
			r.err = err
		}
		finish(r)
	}
}

// admissionUnit returns the task in the form that the queue takes.
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

// newTasks returns the tasks of an execution, without IDs.
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

// expiredResult returns the result of a task whose deadline became infeasible
// while it was queued.
func expiredResult() result {
	return result{err: verdict.New(verdict.NotRun, verdict.DeadlineUnmeetable, "the deadline of the task became infeasible while it was queued").WithRetryAfter(retryAfterShort)}
}

// cancelledResult returns the result of a task that was cancelled while queued.
func cancelledResult() result {
	return result{err: verdict.New(verdict.NotRun, verdict.Cancelled, "the task was cancelled before it started")}
}
