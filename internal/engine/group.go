package engine

import (
	"context"
	"sync"

	"currantstall/internal/dispatch"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// result is the result of one task: its whole answer, or the error.
type result struct {
	answer []byte
	err    *verdict.Error
}

// execution is one piece of work while this entry is its coordinator.
type execution struct {
	work   *structs.Work
	job    *dispatch.Job
	ctx    context.Context // ends when no task should start or continue
	cancel context.CancelFunc
	record func(structs.Outcome) // called once, before done is closed
	done   chan struct{}         // closed once outcome is set

	mu          sync.Mutex
	stopWatch   func() bool    // unregisters the function given to onCancel
	cancelCause *verdict.Error // why the work was cancelled, or nil
	outcome     structs.Outcome
}

// newExecution returns an execution whose tasks are stopped when ctx ends or at
// the deadline of the work. Work that is not repeatable may run for lateGrace
// longer, so that its answer is kept for a resubmission.
func newExecution(ctx context.Context, w *structs.Work, memory *dispatch.AnswerMemory, record func(structs.Outcome)) *execution {
	end := w.Deadline
	if !w.Repeatable {
		end = end.Add(lateGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	return &execution{
		work:   w,
		job:    dispatch.NewJob(len(w.Tasks), memory, cancel),
		ctx:    ctx,
		cancel: cancel,
		record: record,
		done:   make(chan struct{}),
	}
}

// onCancel arranges for f to be called in its own goroutine if the context of
// the execution ends before every task has a result.
func (ex *execution) onCancel(f func()) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	select {
	case <-ex.done:
	default:
		ex.stopWatch = context.AfterFunc(ex.ctx, f)
	}
}

// addResult records the result of one task.
func (ex *execution) addResult(index int, r result) {
	var err error
	if r.err != nil {
		err = ex.withCancelCause(r.err)
	}
	if ex.job.Settle(index, r.answer, err) {
		ex.close()
	}
}

// withCancelCause replaces the error of a cancelled task by the error that the
// work was cancelled with. The verdict stays that of the task.
func (ex *execution) withCancelCause(e *verdict.Error) *verdict.Error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.cancelCause == nil || e.Reason != verdict.Cancelled {
		return e
	}
	c := *ex.cancelCause
	c.Verdict = e.Verdict
	return &c
}

// close sets the outcome. It is called once every task has a result.
func (ex *execution) close() {
	o := ex.job.Outcome()
	ex.record(o)
	ex.mu.Lock()
	ex.outcome = o
	stopWatch := ex.stopWatch
	close(ex.done)
	ex.mu.Unlock()
	if stopWatch != nil {
		stopWatch()
	}
	ex.cancel()
	ex.job.Free()
}

// cancelBecause cancels the tasks that have not ended. The first e given
// becomes the reason in their errors.
func (ex *execution) cancelBecause(e *verdict.Error) {
	ex.mu.Lock()
	if ex.cancelCause == nil {
		ex.cancelCause = e
	}
	ex.mu.Unlock()
	ex.cancel()
}
