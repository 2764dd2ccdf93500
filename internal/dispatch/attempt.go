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
	errSettledByLookup = errors.New("a look-up has settled the task")
	errSuperseded      = errors.New("another attempt has answered")
)

// attempt is one attempt at one target.
type attempt struct {
	d           *Dispatcher
	task        *Task
	reservation Reservation

	instance string // run of the target that the start is meant for, if leased
	sent     time.Time

	// leftRunning means that the task was left to run at its target.
	leftRunning bool

	mu           sync.Mutex
	lookupResult *result // what a look-up found out while the attempt ran
}

// result is how an attempt ended.
type result struct {
	answer target.Answer
	err    *verdict.Error
}

func (d *Dispatcher) newAttempt(t *Task, p Reservation) *attempt {
	return &attempt{d: d, task: t, reservation: p}
}

// execute sends the task, waits for its end and gives the place back. Of a
// task that runs on past its end here, the place is held until it is over.
func (a *attempt) execute(ctx context.Context) (target.Answer, *verdict.Error) {
	end := a.send(ctx)
	if a.needsLookup(end) {
		end = a.resolve(ctx, end)
	}
	if a.leftRunning {
		a.d.wg.Go(a.releaseWhenDone)
	} else {
		a.reservation.Release()
	}
	return end.answer, end.err
}

// needsLookup reports whether a look-up could tell more than the attempt did.
func (a *attempt) needsLookup(end result) bool {
	if end.err == nil || end.err.Verdict != verdict.MayHaveRun {
		return false
	}
	if end.err.Reason == verdict.Cancelled || end.err.Reason == verdict.Timeout {
		return true
	}
	return !a.task.Repeatable && a.lookupResult == nil
}

// send sends the task and waits for the answer, or for what a look-up finds
// when the target stays silent.
func (a *attempt) send(ctx context.Context) result {
	start, err := a.prepare(ctx)
	a.sent = time.Now()
	if err != nil {
		end := result{err: verdict.Of(err)}
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
	answer, err := a.d.cfg.Targets.Run(runCtx, a.reservation.Addr, start)
	cancel(nil)
	if silence.Stop() {
		probing.Done()
	}
	probing.Wait()
	end := a.merge(result{answer: answer, err: verdict.Of(err)})
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
	instance, err := a.d.cfg.Targets.Instance(ctx, a.reservation.Addr)
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
func (a *attempt) merge(own result) result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lookupResult != nil && own.err != nil && own.err.Verdict == verdict.MayHaveRun {
		return *a.lookupResult
	}
	return own
}

// settleByLookup notes what a look-up found, and ends the attempt.
func (a *attempt) settleByLookup(end result, cancel context.CancelCauseFunc) {
	a.mu.Lock()
	a.lookupResult = &end
	a.mu.Unlock()
	cancel(errSettledByLookup)
	a.d.cfg.Targets.CloseIdle(a.reservation.Addr)
}

// observe tells what the attempt says about its target.
func (a *attempt) observe(ctx context.Context, end result) {
	took := time.Since(a.sent)
	ev := target.Succeeded
	if end.err != nil {
		ev = target.EvidenceOf(end.err)
	}
	if errors.Is(context.Cause(ctx), errSuperseded) {
		ev = target.Overdue
	}
	a.d.cfg.Observe(a.reservation.Addr, ev, took, a.task.Start.Kind)
}
