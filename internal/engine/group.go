package engine

import (
	"context"
	"sync"

	"currantstall/internal/dispatch"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// result is the end of one task: its whole answer, or why there is none.
type result struct {
	answer []byte
	err    *verdict.Error
}

// execution is one piece of work at the entry that carries it.
type execution struct {
	work   *structs.Work
	job    *dispatch.Job
	ctx    context.Context // ends when no further task should start or go on
	cancel context.CancelFunc
	record func(structs.Outcome) // called once with the outcome, before done
	done   chan struct{}         // closed once outcome is set

	mu          sync.Mutex
	stopWatch   func() bool    // ends the watch of ctx
	cancelCause *verdict.Error // why the work was cancelled, or nil
	outcome     structs.Outcome
}

// newExecution returns a group whose tasks stop with ctx, or some time after the
// deadline: work that may not be repeated runs on, so that its answer is kept
// for a resubmission.
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

// onCancel has f called in its own goroutine if ctx ends before every task
// has reported.
func (ex *execution) onCancel(f func()) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	select {
	case <-ex.done:
	default:
		ex.stopWatch = context.AfterFunc(ex.ctx, f)
	}
}

// addResult takes the result of one task.
func (ex *execution) addResult(index int, r result) {
	var err error
	if r.err != nil {
		err = ex.withCancelCause(r.err)
	}
	if ex.job.Settle(index, r.answer, err) {
		ex.close()
	}
}

// withCancelCause replaces the error of a task that was stopped by the reason why the
// work was cancelled.
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

// close sets the outcome once every task has reported.
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

// cancelBecause stops the tasks that are not over. Their errors give the reason.
func (ex *execution) cancelBecause(e *verdict.Error) {
	ex.mu.Lock()
	if ex.cancelCause == nil {
		ex.cancelCause = e
	}
	ex.mu.Unlock()
	ex.cancel()
}
