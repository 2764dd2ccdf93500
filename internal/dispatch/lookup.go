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
	// pollBackoffBase and pollBackoffLimit bound the time between two lookups
	// of a running task, which doubles each time. A lookup does not wait at the
	// target, because it would occupy one of the few connections reserved for
	// control messages.
	pollBackoffBase  = 20 * time.Millisecond
	pollBackoffLimit = time.Second
	// lookupTimeout bounds a single lookup.
	lookupTimeout = time.Second
	// maxFailedLookups is the number of consecutive failed lookups after which
	// a target counts as lost.
	maxFailedLookups = 4
	// fenceProofWindow is the time after a start during which a fenced status
	// proves that the task did not run. A target forgets an ended task after
	// target.RecordRetention.
	fenceProofWindow = target.RecordRetention / 2
	// maxReservationHold bounds how long a reservation is held for a task that
	// keeps running after its deadline.
	maxReservationHold = time.Minute
	// cleanupTimeout bounds the lookup for an attempt whose context has ended.
	cleanupTimeout = time.Second
	// StopTimeout bounds the stop of a cancelled task. A stop may wait for others to
	// the same target, and the task runs on if it is given up.
	StopTimeout = (maxFailedLookups + 1) * lookupTimeout
)

// probe looks up a silent attempt until the result is known or ctx ends.
func (a *attempt) probe(ctx context.Context, cancel context.CancelCauseFunc) {
	q := lookupQuery{mode: target.LookupState, reason: verdict.TargetSilent}
	if !a.task.Repeatable {
		q.mode = target.LookupFence
	}
	if res, ok := a.lookUp(ctx, q); ok {
		a.settleByLookup(res, cancel)
	}
}

// resolve determines the result of an attempt that may have run. It returns the
// given result if a lookup cannot tell.
func (a *attempt) resolve(ctx context.Context, res result) result {
	q := lookupQuery{mode: target.LookupFence, reason: res.err.Reason}
	if ctx.Err() != nil {
		q.once = true
		timeout := cleanupTimeout
		if a.mustStop(ctx) {
			q.mode = target.LookupStop
			timeout = StopTimeout
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
	}
	found, ok := a.lookUp(ctx, q)
	a.leftRunning = !ok && q.once && q.mode != target.LookupStop
	if !ok || (found.err != nil && found.err.Verdict == verdict.MayHaveRun) {
		return res
	}
	return found
}

// releaseWhenDone releases the reservation once a lookup shows that the task
// has ended, the target is lost, or maxReservationHold has passed.
func (a *attempt) releaseWhenDone() {
	defer a.reservation.Release()
	ctx, cancel := context.WithTimeout(a.d.ctx, maxReservationHold)
	defer cancel()
	a.lookUp(ctx, lookupQuery{mode: target.LookupState, reason: verdict.Timeout})
}

// mustStop reports whether a running task must be stopped: always after a
// cancel, and at the deadline only if the work is repeatable. Non-repeatable
// work keeps running, because a resubmission may still want its answer.
func (a *attempt) mustStop(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	return a.task.Repeatable || !errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// lookupQuery holds the options of a status lookup for an attempt.
type lookupQuery struct {
	mode   target.LookupMode
	once   bool // do not wait until a running task ends
	reason verdict.Reason
}

// lookUp asks the target until it knows the result of the attempt. It returns
// false if the result is still unknown when ctx ends, or for a query with once
// set while the task is running.
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
		if res, ok := a.interpret(st, q.reason); ok {
			return res, true
		}
	}
	return lostResult("%d consecutive status lookups of the task failed", maxFailedLookups), ctx.Err() == nil
}

// pollUntilDone polls the target while the task is running, or asks only once
// if the query says so. It returns false if the target cannot be asked.
func (a *attempt) pollUntilDone(ctx context.Context, q lookupQuery) (target.Status, bool) {
	for next := pollBackoffBase; ; next = min(2*next, pollBackoffLimit) {
		a.d.cfg.Metrics.Count(metrics.LookedUp, q.reason)
		st, err := a.lookUpOnce(ctx, q)
		if err != nil || st.State != target.TaskRunning {
			return st, err == nil
		}
		a.d.cfg.Observe(a.reservation.Addr, target.Overdue, a.elapsed(), a.task.Start.Kind)
		if q.once {
			return st, true
		}
		if sleep.For(ctx, next) != nil {
			return st, false
		}
	}
}

// lookUpOnce makes one lookup.
func (a *attempt) lookUpOnce(ctx context.Context, q lookupQuery) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s := &a.task.Start
	return a.d.cfg.Targets.Lookup(ctx, a.reservation.Addr, s.Key, s.Task, q.mode, 0)
}

// interpret returns the result of the attempt according to a status. It returns
// false if the status itself is inconclusive.
func (a *attempt) interpret(st target.Status, reason verdict.Reason) (result, bool) {
	switch st.State {
	case target.TaskDone:
		return a.interpretDone(st)
	case target.TaskFenced:
		return a.interpretFenced(st, reason), true
	}
	// The target has no record of the task and no fence was requested: the
	// start was lost, or is so late that repeatable work is better sent again.
	return result{err: verdict.New(verdict.MayHaveRun, reason, "the target has no record of the task")}, true
}

// interpretDone returns the result of an ended task. It returns false if the
// answer was lost or damaged on its way.
func (a *attempt) interpretDone(st target.Status) (result, bool) {
	if st.Err == nil {
		return result{answer: st.Answer}, true
	}
	e := verdict.FromError(st.Err)
	if e.Verdict == verdict.MayHaveRun {
		return result{}, false
	}
	return result{err: e}, true
}

// interpretFenced decides whether a fence proves that the task did not run. It
// does only if the fence is from the incarnation of the target that the start
// was meant for, which rejects the start from now on, and is made within
// fenceProofWindow, while targets still remember their tasks.
func (a *attempt) interpretFenced(st target.Status, reason verdict.Reason) result {
	if a.incarnation == "" || st.Incarnation != a.incarnation {
		return lostResult("the target was restarted, so it cannot tell whether the task ran")
	}
	if time.Since(a.began) > fenceProofWindow {
		return lostResult("the target may have dropped its record of the task, so it cannot tell whether the task ran")
	}
	return result{err: verdict.New(verdict.NotRun, reason, "the start did not reach the target, which rejects it from now on")}
}

func lostResult(format string, args ...any) result {
	return result{err: verdict.New(verdict.MayHaveRun, verdict.TargetLost, format, args...)}
}
