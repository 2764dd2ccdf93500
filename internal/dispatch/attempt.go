package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// Causes with which the dispatcher itself cancels the context of an attempt.
var (
	errSettledByLookup = errors.New("a status lookup has settled the task")
	errSuperseded      = errors.New("another attempt has answered")
)

// attempt is one attempt to run a task at one target.
type attempt struct {
	d           *Dispatcher
	task        *Task
	reservation Reservation

	incarnation string    // incarnation of the target that the start is meant for, if not repeatable
	began       time.Time // before anything was sent

	// leftRunning means that the attempt ended while the task still runs at its
	// target.
	leftRunning bool

	mu           sync.Mutex
	connectedAt  time.Time // when the start got a connection, zero before
	lookupResult *result   // result of a lookup that was made during the send
}

// result is the answer or the error of an attempt.
type result struct {
	answer target.Answer
	err    *verdict.Error
}

func (d *Dispatcher) newAttempt(t *Task, rsv Reservation) *attempt {
	return &attempt{d: d, task: t, reservation: rsv}
}

// execute sends the task, waits for the result and releases the reservation. If
// the task keeps running at the target after the attempt has ended, the
// reservation is held until the task ends.
func (a *attempt) execute(ctx context.Context) (target.Answer, *verdict.Error) {
	res := a.send(ctx)
	if a.needsLookup(res) {
		res = a.resolve(ctx, res)
	}
	if a.leftRunning {
		a.d.wg.Go(a.releaseWhenDone)
	} else {
		a.reservation.Release()
	}
	return res.answer, res.err
}

// needsLookup reports whether a lookup could give a more certain result than
// the attempt did.
func (a *attempt) needsLookup(res result) bool {
	if res.err == nil || res.err.Verdict != verdict.MayHaveRun {
		return false
	}
	if res.err.Reason == verdict.Cancelled || res.err.Reason == verdict.Timeout {
		return true
	}
	return !a.task.Repeatable && a.lookupResult == nil
}

// send sends the task and waits for the answer, or for the result of a lookup
// if the target stays silent.
func (a *attempt) send(ctx context.Context) result {
	start, err := a.prepare(ctx)
	a.began = time.Now()
	if err != nil {
		res := result{err: verdict.FromError(err)}
		a.observe(ctx, target.EvidenceOf(res.err))
		return res
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := &silenceWatch{after: a.task.SilentAfter, probe: func() { a.probe(runCtx, cancel) }}
	start.OnConnected = func() {
		a.noteConnected()
		silence.begin()
	}
	answer, err := a.d.cfg.Targets.Run(runCtx, a.reservation.Addr, start)
	cancel(nil)
	silence.end()
	own := result{answer: answer, err: verdict.FromError(err)}
	res := a.merge(own, context.Cause(runCtx))
	a.observe(ctx, evidenceOf(own, res))
	return res
}

// noteConnected records that the start got a connection. The wait for one is the
// entry's own: it is no silence of the target and no sign that the target is slow.
func (a *attempt) noteConnected() {
	a.mu.Lock()
	a.connectedAt = time.Now()
	a.mu.Unlock()
}

// elapsed returns the time since the start got a connection, 0 before.
func (a *attempt) elapsed() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connectedAt.IsZero() {
		return 0
	}
	return time.Since(a.connectedAt)
}

// prepare fills in the start message. Checking the lease is the last step
// before the send.
func (a *attempt) prepare(ctx context.Context) (target.Start, error) {
	start := a.task.Start
	if a.task.Repeatable {
		start.NotAfter = time.Time{}
		return start, nil
	}
	incarnation, err := a.d.cfg.Targets.Incarnation(ctx, a.reservation.Addr)
	if err != nil {
		return start, err
	}
	a.incarnation = incarnation
	if a.task.MayStart == nil {
		return start, nil
	}
	start.NotAfter, err = a.task.MayStart()
	return start, err
}

// merge combines the attempt's own result with that of a lookup and returns the
// more certain one. The two cannot contradict each other, because both report
// the state of the same start at the same target. Cause is why the attempt's own
// wait ended.
func (a *attempt) merge(own result, cause error) result {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.lookupResult == nil || own.err == nil:
		return own
	case own.err.Verdict == verdict.MayHaveRun:
		return *a.lookupResult
	case own.err.Reason == verdict.Cancelled && errors.Is(cause, errSettledByLookup):
		return unsentResult(*a.lookupResult)
	}
	return own
}

// unsentResult returns the result of an attempt that a lookup ended before
// anything was sent. The proof that nothing was sent holds whatever the lookup
// found, and nobody cancelled the task: the reason is that of the lookup.
func unsentResult(found result) result {
	if found.err == nil || found.err.Verdict != verdict.MayHaveRun {
		return found
	}
	return result{err: verdict.New(verdict.NotRun, found.err.Reason, "nothing was sent to the target: %s", found.err.Message)}
}

// settleByLookup records the result of a lookup and ends the attempt.
func (a *attempt) settleByLookup(res result, cancel context.CancelCauseFunc) {
	a.mu.Lock()
	a.lookupResult = &res
	a.mu.Unlock()
	cancel(errSettledByLookup)
	a.d.cfg.Targets.CloseIdle(a.reservation.Addr)
}

// evidenceOf returns the evidence of an attempt whose own result became res when
// merged. An answer that only a lookup brought shows no time: the connection may
// have gone silent, and a task that still ran was reported as overdue by then.
func evidenceOf(own, res result) target.Evidence {
	switch {
	case res.err != nil:
		return target.EvidenceOf(res.err)
	case own.err != nil:
		return target.Neutral
	}
	return target.Succeeded
}

// observe reports evidence of the attempt about its target's health.
func (a *attempt) observe(ctx context.Context, ev target.Evidence) {
	if errors.Is(context.Cause(ctx), errSuperseded) {
		ev = target.Overdue
	}
	a.d.cfg.Observe(a.reservation.Addr, ev, a.elapsed(), a.task.Start.Kind)
}
