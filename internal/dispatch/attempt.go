package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// Causes with which an attempt's context is cancelled from within.
var (
	errSettled = errors.New("a look-up has settled the task")
	errBeaten  = errors.New("another attempt has answered")
)

// attempt is one attempt at one target.
type attempt struct {
	d     *Dispatcher
	task  *Task
	place Place

	instance string // run of the target that the start is meant for, if leased
	sent     time.Time

	// runsOn means that the task was left to run at its target.
	runsOn bool

	mu    sync.Mutex
	found *ending // what a look-up found out while the attempt ran
}

// ending is how an attempt ended.
type ending struct {
	answer target.Answer
	err    *verdict.Error
}

func (d *Dispatcher) newAttempt(t *Task, p Place) *attempt {
	return &attempt{d: d, task: t, place: p}
}

// carryOut sends the task, waits for its end and gives the place back. Of a
// task that runs on past its end here, the place is held until it is over.
func (a *attempt) carryOut(ctx context.Context) (target.Answer, *verdict.Error) {
	end := a.send(ctx)
	if a.undecided(end) {
		end = a.resolve(ctx, end)
	}
	if a.runsOn {
		a.d.wg.Go(a.releaseLater)
	} else {
		a.place.Release()
	}
	return end.answer, end.err
}

// undecided reports whether a look-up could tell more than the attempt did.
func (a *attempt) undecided(end ending) bool {
	if end.err == nil || end.err.Verdict != verdict.MayHaveRun {
		return false
	}
	if end.err.Reason == verdict.Cancelled || end.err.Reason == verdict.Timeout {
		return true
	}
	return !a.task.Repeatable && a.found == nil
}

// send sends the task and waits for the answer, or for what a look-up finds
// when the target stays silent.
func (a *attempt) send(ctx context.Context) ending {
	start, err := a.prepare(ctx)
	a.sent = time.Now()
	if err != nil {
		end := ending{err: verdict.Of(err)}
		a.observe(ctx, end)
		return end
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var probing sync.WaitGroup
	probing.Add(1)
	silence := time.AfterFunc(a.task.SilentAfter, func() {
		defer probing.Done()
		a.probe(runCtx, cancel)
	})
	answer, err := a.d.cfg.Targets.Run(runCtx, a.place.Addr, start)
	cancel(nil)
	if silence.Stop() {
		probing.Done()
	}
	probing.Wait()
	end := a.merge(ending{answer: answer, err: verdict.Of(err)})
	a.observe(ctx, end)
	return end
}

// prepare checks the lease as the last step before the send.
func (a *attempt) prepare(ctx context.Context) (target.Start, error) {
	start := a.task.Start
	if a.task.Repeatable {
		start.NotAfter = time.Time{}
		return start, nil
	}
	instance, err := a.d.cfg.Targets.Instance(ctx, a.place.Addr)
	if err != nil {
		return start, err
	}
	a.instance = instance
	if a.task.MayStart == nil {
		return start, nil
	}
	start.NotAfter, err = a.task.MayStart()
	return start, err
}

// merge joins the attempt's own end with what a look-up found. Whatever proves
// more counts: the two can't contradict each other, since both are the same
// target's word on the same start.
func (a *attempt) merge(own ending) ending {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.found != nil && own.err != nil && own.err.Verdict == verdict.MayHaveRun {
		return *a.found
	}
	return own
}

// settled notes what a look-up found, and ends the attempt.
func (a *attempt) settled(end ending, cancel context.CancelCauseFunc) {
	a.mu.Lock()
	a.found = &end
	a.mu.Unlock()
	cancel(errSettled)
	a.d.cfg.Targets.CloseIdle(a.place.Addr)
}

// observe tells what the attempt says about its target.
func (a *attempt) observe(ctx context.Context, end ending) {
	took := time.Since(a.sent)
	ev := target.Succeeded
	if end.err != nil {
		ev = target.EvidenceOf(end.err)
	}
	if errors.Is(context.Cause(ctx), errBeaten) {
		ev = target.Overdue
	}
	a.d.cfg.Observe(a.place.Addr, ev, took, a.task.Start.Kind)
}
