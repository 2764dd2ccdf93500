package dispatch

import (
	"context"
	"errors"
	"time"

	"currantstall/internal/metrics"
	"currantstall/internal/sleep"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

const (
	lookupBackoffBase  = 20 * time.Millisecond
	lookupBackoffLimit = time.Second
	// pollBackoffBase and pollLimit bound the time between two look-ups of a
	// running task, which doubles. A look-up does not wait at the target:
	// it would hold one of the few connections that are kept for control.
	pollBackoffBase  = 20 * time.Millisecond
	pollBackoffLimit = time.Second
	// lookupTimeout bounds one look-up.
	lookupTimeout = time.Second
	// maxFailedLookups is the number of failed look-ups in a row after which a
	// target counts as lost.
	maxFailedLookups = 4
	// fenceProofWindow is how long after a start a fence counts as a proof: a target
	// forgets an ended task after target.RecordRetention.
	fenceProofWindow = target.RecordRetention / 2
	// maxReservationHold bounds how long the place of a task that runs on past its
	// deadline is held.
	maxReservationHold = time.Minute
	// cleanupTimeout bounds the work on an attempt whose context has ended.
	cleanupTimeout = time.Second
)

// probe looks a silent attempt up until it is settled or ctx ends.
func (a *attempt) probe(ctx context.Context, cancel context.CancelCauseFunc) {
	q := lookupQuery{ask: target.AskState, reason: verdict.TargetSilent}
	if !a.task.Repeatable {
		q.ask = target.AskFence
	}
	if end, ok := a.lookUp(ctx, q); ok {
		a.settleByLookup(end, cancel)
	}
}

// resolve finds out what became of an attempt that may have run. It returns
// the end that it was given if there is no telling.
func (a *attempt) resolve(ctx context.Context, end result) result {
	q := lookupQuery{ask: target.AskFence, reason: end.err.Reason}
	if ctx.Err() != nil {
		q.once = true
		if a.mustStop(ctx) {
			q.ask = target.AskStop
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
		defer cancel()
	}
	found, ok := a.lookUp(ctx, q)
	a.leftRunning = !ok && q.once && q.ask != target.AskStop
	if !ok || (found.err != nil && found.err.Verdict == verdict.MayHaveRun) {
		return end
	}
	return found
}

// releaseWhenDone gives the place back once a look-up says that the task is over,
// the target is lost, or holdLimit has passed.
func (a *attempt) releaseWhenDone() {
	defer a.reservation.Release()
	ctx, cancel := context.WithTimeout(a.d.ctx, maxReservationHold)
	defer cancel()
	a.lookUp(ctx, lookupQuery{ask: target.AskState, reason: verdict.Timeout})
}

// mustStop reports whether a running task is to be stopped: always after a
// cancel, and at the deadline only if the work may be repeated. Other work is
// left to run, as a resubmission may still want its answer.
func (a *attempt) mustStop(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	return a.task.Repeatable || !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// lookupQuery is how a target is asked about an attempt.
type lookupQuery struct {
	ask    target.Ask
	once   bool // don't wait for the end of a running task
	reason verdict.Reason
}

// lookUp asks the target until it knows how the attempt ended. It reports false
// if there is no telling before ctx ends.
func (a *attempt) lookUp(ctx context.Context, q lookupQuery) (result, bool) {
	for failed := 0; failed < maxFailedLookups; failed++ {
		if failed > 0 && !a.d.lookupBackoff.wait(ctx, failed) {
			return result{}, false
		}
		st, ok := a.pollUntilDone(ctx, q)
		if !ok {
			continue
		}
		if st.State == target.TaskRunning {
			return result{}, false
		}
		if end, ok := a.interpret(st, q.reason); ok {
			return end, true
		}
	}
	return lostResult("%d look-ups in a row failed", maxFailedLookups), ctx.Err() == nil
}

// pollUntilDone asks as long as the task runs, or once. It reports false if the
// target can't be asked.
func (a *attempt) pollUntilDone(ctx context.Context, q lookupQuery) (target.Status, bool) {
	for next := pollBackoffBase; ; next = min(2*next, pollBackoffLimit) {
		a.d.cfg.Metrics.Count(metrics.LookedUp, q.reason)
		st, err := a.lookUpOnce(ctx, q)
		if err != nil || st.State != target.TaskRunning {
			return st, err == nil
		}
		a.d.cfg.Observe(a.reservation.Addr, target.Overdue, time.Since(a.sent), a.task.Start.Kind)
		if q.once {
			return st, true
		}
		if sleep.For(ctx, next) != nil {
			return st, false
		}
	}
}

func (a *attempt) lookUpOnce(ctx context.Context, q lookupQuery) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s := &a.task.Start
	return a.d.cfg.Targets.Lookup(ctx, a.reservation.Addr, s.Key, s.Task, q.ask, 0)
}

// interpret tells what a look-up says about the attempt. It reports false if the
// look-up itself went wrong on the way back.
func (a *attempt) interpret(st target.Status, reason verdict.Reason) (result, bool) {
	switch st.State {
	case target.TaskDone:
		return a.interpretDone(st)
	case target.TaskFenced:
		return a.interpretFenced(st, reason), true
	}
	// The task is unknown and no fence was asked for: the start was lost, or
	// is so late that repeatable work is better sent again.
	return result{err: verdict.New(verdict.MayHaveRun, reason, "the target does not know the task")}, true
}

func (a *attempt) interpretDone(st target.Status) (result, bool) {
	if st.Err == nil {
		return result{answer: st.Answer}, true
	}
	e := verdict.Of(st.Err)
	if e.Verdict == verdict.MayHaveRun {
		return result{}, false
	}
	return result{err: e}, true
}

// interpretFenced decides whether a fence proves that the start did not run: only if
// it is of the run of the target that the start was meant for, which refuses
// the start from now on, and within the time that targets remember tasks.
func (a *attempt) interpretFenced(st target.Status, reason verdict.Reason) result {
	if a.instance == "" || st.Instance != a.instance {
		return lostResult("the target was restarted")
	}
	if time.Since(a.sent) > fenceProofWindow {
		return lostResult("the target may have forgotten the task")
	}
	return result{err: verdict.New(verdict.NotRun, reason, "the start never reached the target and is refused from now on")}
}

func lostResult(format string, args ...any) result {
	return result{err: verdict.New(verdict.MayHaveRun, verdict.TargetLost, format, args...)}
}
