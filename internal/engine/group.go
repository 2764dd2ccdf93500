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
func (g *execution) onCancel(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
	default:
		g.stopWatch = context.AfterFunc(g.ctx, f)
	}
}

// addResult takes the result of one task.
func (g *execution) addResult(index int, r result) {
	var err error
	if r.err != nil {
		err = g.withCancelCause(r.err)
	}
	if g.job.Settle(index, r.answer, err) {
		g.close()
	}
}

// withCancelCause replaces the error of a task that was stopped by the reason why the
// work was cancelled.
func (g *execution) withCancelCause(e *verdict.Error) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelCause == nil || e.Reason != verdict.Cancelled {
		return e
	}
	c := *g.cancelCause
	c.Verdict = e.Verdict
	return &c
}

// close sets the outcome once every task has reported.
func (g *execution) close() {
	o := g.job.Outcome()
	g.record(o)
	g.mu.Lock()
	g.outcome = o
	unwatch := g.stopWatch
	close(g.done)
	g.mu.Unlock()
	if unwatch != nil {
		unwatch()
	}
	g.cancel()
	g.job.Free()
}

// cancelBecause stops the tasks that are not over. Their errors give the reason.
func (g *execution) cancelBecause(e *verdict.Error) {
	g.mu.Lock()
	if g.cancelCause == nil {
		g.cancelCause = e
	}
	g.mu.Unlock()
	g.cancel()
}
