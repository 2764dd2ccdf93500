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
	settleBase  = 20 * time.Millisecond
	settleLimit = time.Second
	// pollFirst and pollLimit bound the time between two look-ups of a
	// running task, which doubles. A look-up does not wait at the target:
	// it would hold one of the few connections that are kept for control.
	pollFirst = 20 * time.Millisecond
	pollLimit = time.Second
	// lookupTimeout bounds one look-up.
	lookupTimeout = time.Second
	// lookupTries is the number of failed look-ups in a row after which a
	// target counts as lost.
	lookupTries = 4
	// proofFor is how long after a start a fence counts as a proof: a target
	// forgets an ended task after target.RecordRetention.
	proofFor = target.RecordRetention / 2
	// holdLimit bounds how long the place of a task that runs on past its
	// deadline is held.
	holdLimit = time.Minute
	// endGrace bounds the work on an attempt whose context has ended.
	endGrace = time.Second
)

// probe looks a silent attempt up until it is settled or ctx ends.
func (a *attempt) probe(ctx context.Context, cancel context.CancelCauseFunc) {
	q := query{ask: target.AskState, why: verdict.TargetSilent}
	if !a.task.Repeatable {
		q.ask = target.AskFence
	}
	if end, ok := a.lookUp(ctx, q); ok {
		a.settled(end, cancel)
	}
}

// resolve finds out what became of an attempt that may have run. It returns
// the end that it was given if there is no telling.
func (a *attempt) resolve(ctx context.Context, end ending) ending {
	q := query{ask: target.AskFence, why: end.err.Reason}
	if ctx.Err() != nil {
		q.once = true
		if a.mustStop(ctx) {
			q.ask = target.AskStop
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), endGrace)
		defer cancel()
	}
	found, ok := a.lookUp(ctx, q)
	a.runsOn = !ok && q.once && q.ask != target.AskStop
	if !ok || (found.err != nil && found.err.Verdict == verdict.MayHaveRun) {
		return end
	}
	return found
}

// releaseLater gives the place back once a look-up says that the task is over,
// the target is lost, or holdLimit has passed.
func (a *attempt) releaseLater() {
	defer a.place.Release()
	ctx, cancel := context.WithTimeout(a.d.ctx, holdLimit)
	defer cancel()
	a.lookUp(ctx, query{ask: target.AskState, why: verdict.Timeout})
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

// query is how a target is asked about an attempt.
type query struct {
	ask  target.Ask
	once bool // don't wait for the end of a running task
	why  verdict.Reason
}

// lookUp asks the target until it knows how the attempt ended. It reports false
// if there is no telling before ctx ends.
func (a *attempt) lookUp(ctx context.Context, q query) (ending, bool) {
	for failed := 0; failed < lookupTries; failed++ {
		if failed > 0 && !a.d.settle.wait(ctx, failed) {
			return ending{}, false
		}
		st, ok := a.untilOver(ctx, q)
		if !ok {
			continue
		}
		if st.State == target.TaskRunning {
			return ending{}, false
		}
		if end, ok := a.read(st, q.why); ok {
			return end, true
		}
	}
	return lost("%d look-ups in a row failed", lookupTries), ctx.Err() == nil
}

// untilOver asks as long as the task runs, or once. It reports false if the
// target can't be asked.
func (a *attempt) untilOver(ctx context.Context, q query) (target.Status, bool) {
	for next := pollFirst; ; next = min(2*next, pollLimit) {
		a.d.cfg.Metrics.Count(metrics.LookedUp, q.why)
		st, err := a.lookUpOnce(ctx, q)
		if err != nil || st.State != target.TaskRunning {
			return st, err == nil
		}
		a.d.cfg.Observe(a.place.Addr, target.Overdue, time.Since(a.sent), a.task.Start.Kind)
		if q.once {
			return st, true
		}
		if sleep.For(ctx, next) != nil {
			return st, false
		}
	}
}

func (a *attempt) lookUpOnce(ctx context.Context, q query) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	s := &a.task.Start
	return a.d.cfg.Targets.Lookup(ctx, a.place.Addr, s.Key, s.Task, q.ask, 0)
}

// read tells what a look-up says about the attempt. It reports false if the
// look-up itself went wrong on the way back.
func (a *attempt) read(st target.Status, why verdict.Reason) (ending, bool) {
	switch st.State {
	case target.TaskDone:
		return a.readDone(st)
	case target.TaskFenced:
		return a.readFenced(st, why), true
	}
	// The task is unknown and no fence was asked for: the start was lost, or
	// is so late that repeatable work is better sent again.
	return ending{err: verdict.New(verdict.MayHaveRun, why, "the target does not know the task")}, true
}

func (a *attempt) readDone(st target.Status) (ending, bool) {
	if st.Err == nil {
		return ending{answer: st.Answer}, true
	}
	e := verdict.Of(st.Err)
	if e.Verdict == verdict.MayHaveRun {
		return ending{}, false
	}
	return ending{err: e}, true
}

// readFenced decides whether a fence proves that the start did not run: only if
// it is of the run of the target that the start was meant for, which refuses
// the start from now on, and within the time that targets remember tasks.
func (a *attempt) readFenced(st target.Status, why verdict.Reason) ending {
	if a.instance == "" || st.Instance != a.instance {
		return lost("the target was restarted")
	}
	if time.Since(a.sent) > proofFor {
		return lost("the target may have forgotten the task")
	}
	return ending{err: verdict.New(verdict.NotRun, why, "the start never reached the target and is refused from now on")}
}

func lost(format string, args ...any) ending {
	return ending{err: verdict.New(verdict.MayHaveRun, verdict.TargetLost, format, args...)}
}
