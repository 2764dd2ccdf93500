// Package dispatch executes single tasks: the attempt at a target, the status
// lookup when a target is silent and, if the work allows it, retries and
// hedges.
//
// A non-repeatable task is sent again only after proof that the previous
// attempt did not start it, and it is never hedged. Two functions establish
// this: Do sends a task again only for an event that leads back to "queued" in
// charts/task.yaml, and eventOf returns such an event only for a NotRun error
// or for repeatable work.
package dispatch

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/statechart"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// Defaults of Config and Task.
const (
	DefaultRetryPercent = 10
	DefaultHedgePercent = 5
	DefaultMaxAttempts  = 4
	DefaultSilentAfter  = time.Second
)

const (
	retryBackoffBase  = 2 * time.Millisecond
	retryBackoffLimit = 500 * time.Millisecond
	// maxBudgetTries is how often a task that provably did not run tries to get
	// a token of the retry budget before it fails.
	maxBudgetTries = 8
)

// Targets is the access to targets that a Dispatcher needs. *target.Pool
// implements it.
type Targets interface {
	target.TaskRunner
	// Incarnation returns the incarnation of the target that non-repeatable starts
	// are meant for from now on. The error is NotRun.
	Incarnation(ctx context.Context, addr string) (string, error)
	// Lookup asks a target for the status of a task.
	Lookup(ctx context.Context, addr string, k key.Key, task int, mode target.LookupMode, wait time.Duration) (target.Status, error)
	// CloseIdle closes idle connections, which may have gone silent.
	CloseIdle(addr string)
}

// Reservation is room for one task at a target.
type Reservation struct {
	Addr string
	// Release frees the room. It is called exactly once, when the task has
	// ended at the target or the dispatcher has stopped tracking it. That may
	// be after Do has returned.
	Release func()
}

// Task is one task to execute.
type Task struct {
	Start      target.Start
	Repeatable bool
	// First is the reservation for the first attempt.
	First Reservation
	// Pick reserves room at a target that is not in exclude. It returns false
	// if there is none now. If Pick is nil, there is no second attempt.
	Pick func(exclude []string) (Reservation, bool)
	// MayStart is called immediately before each send of non-repeatable work.
	// It returns the end of the lease, or a NotRun error. If MayStart is nil,
	// Start.NotAfter is sent unchanged.
	MayStart func() (notAfter time.Time, err error)
	// SilentAfter is the time from the connection to the target after which an
	// attempt without an answer is looked up, normally the usual run time of the
	// kind. 0 selects
	// DefaultSilentAfter.
	SilentAfter time.Duration
	// HedgeAfter is the time after which repeatable work is hedged with a
	// second attempt. 0 disables hedging.
	HedgeAfter time.Duration
}

// Config holds the settings of a Dispatcher. Zero values select the defaults.
type Config struct {
	Targets Targets
	Retries *Budget
	Hedges  *Budget
	// MaxAttempts bounds the number of sends of one task, not counting hedges.
	MaxAttempts int
	Metrics     *metrics.Metrics
	// Observe receives the evidence of each attempt about the health of its
	// target.
	Observe func(addr string, ev target.Evidence, took time.Duration, kind string)
	// Seed seeds the random backoff.
	Seed uint64
}

// Dispatcher executes tasks. It is safe for concurrent use.
type Dispatcher struct {
	cfg           Config
	retryBackoff  *backoff
	lookupBackoff *backoff
	wg            sync.WaitGroup  // stop requests, lookups and hedges that outlive Do
	ctx           context.Context // cancelled by Close
	stop          context.CancelFunc
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Retries == nil {
		cfg.Retries = NewBudget(DefaultRetryPercent)
	}
	if cfg.Hedges == nil {
		cfg.Hedges = NewBudget(DefaultHedgePercent)
	}
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, target.Evidence, time.Duration, string) {}
	}
	d := &Dispatcher{
		cfg:           cfg,
		retryBackoff:  newBackoff(retryBackoffBase, retryBackoffLimit, cfg.Seed),
		lookupBackoff: newBackoff(lookupBackoffBase, lookupBackoffLimit, cfg.Seed+1),
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// Close waits for the background work of ended tasks, which is bounded in time,
// and releases the reservations that are still held.
func (d *Dispatcher) Close() {
	d.stop()
	d.wg.Wait()
}

// Do executes a task and returns its complete answer. The error is a
// *verdict.Error about the task as a whole, across all attempts. If ctx reaches
// its deadline, non-repeatable work keeps running at its target; if ctx is
// cancelled, the task is stopped at its target.
func (d *Dispatcher) Do(ctx context.Context, t Task) (target.Answer, error) {
	if t.SilentAfter <= 0 {
		t.SilentAfter = DefaultSilentAfter
	}
	d.cfg.Retries.Earn()
	d.cfg.Hedges.Earn()
	r := taskRun{d: d, task: &t, state: statechart.Task.Initial()}
	return r.do(ctx)
}

// taskRun is the state of one task during Do.
type taskRun struct {
	d            *Dispatcher
	task         *Task
	state        statechart.TaskState
	tried        []string
	attempts     int
	leastCertain *verdict.Error // error with the least certain verdict so far
}

func (r *taskRun) do(ctx context.Context) (target.Answer, error) {
	rsv := r.task.First
	for {
		r.step(statechart.TaskOnPlaced)
		r.tried = append(r.tried, rsv.Addr)
		r.attempts++
		a, err := r.attempt(ctx, rsv)
		if r.step(r.eventOf(ctx, err)) != statechart.TaskDoRequeue {
			return a, r.finalError(err)
		}
		var ok bool
		if rsv, ok = r.nextAttempt(ctx, err); !ok {
			return target.Answer{}, r.finalError(err)
		}
	}
}

// attempt makes one attempt, with a hedge if the work allows it.
func (r *taskRun) attempt(ctx context.Context, rsv Reservation) (target.Answer, *verdict.Error) {
	if r.task.Repeatable && r.task.HedgeAfter > 0 && r.task.Pick != nil {
		return r.hedged(ctx, rsv)
	}
	a := r.d.newAttempt(r.task, rsv)
	return a.execute(ctx)
}

// step applies an event to the state chart of the task.
func (r *taskRun) step(e statechart.TaskEvent) statechart.TaskAction {
	next, action, _ := statechart.Task.Step(r.state, e)
	r.state = next
	return action
}

// eventOf returns the state chart event for the error of an attempt. Only a
// NotRun error or repeatable work leads back to the queue.
func (r *taskRun) eventOf(ctx context.Context, err *verdict.Error) statechart.TaskEvent {
	switch {
	case err == nil:
		return statechart.TaskOnAnswered
	case err.Verdict == verdict.NotRun:
		return statechart.TaskOnProvedNotRun
	case r.task.Repeatable && ctx.Err() == nil:
		return statechart.TaskOnRepeated
	case err.Verdict == verdict.Failed:
		return statechart.TaskOnFailed
	}
	return statechart.TaskOnLost
}

// nextAttempt waits for the retry budget and the backoff, and reserves room at
// another target. It returns false if the task is not to be retried.
func (r *taskRun) nextAttempt(ctx context.Context, err *verdict.Error) (Reservation, bool) {
	r.recordError(err)
	if r.attempts >= r.d.cfg.MaxAttempts || r.task.Pick == nil || !retryable(err) {
		return Reservation{}, false
	}
	if !r.takeRetryToken(ctx, err) {
		return Reservation{}, false
	}
	if !r.d.retryBackoff.wait(ctx, r.attempts-1) {
		return Reservation{}, false
	}
	rsv, ok := r.task.Pick(r.tried)
	if ok {
		r.d.cfg.Metrics.Count(metrics.Retried, err.Reason)
	}
	return rsv, ok
}

// takeRetryToken takes a token of the retry budget. A task that provably did
// not run may wait for one. Repeatable work that ran somewhere may not, because
// its repetition adds load.
func (r *taskRun) takeRetryToken(ctx context.Context, err *verdict.Error) bool {
	for n := range maxBudgetTries {
		if r.d.cfg.Retries.Take() {
			return true
		}
		if n == 0 {
			r.d.cfg.Metrics.Count(metrics.Withheld, verdict.RetryBudget)
		}
		if err.Verdict != verdict.NotRun || !r.d.retryBackoff.wait(ctx, n) {
			return false
		}
	}
	return false
}

// retryable reports whether an attempt at another target could succeed.
func retryable(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.LeaseLapsed, verdict.Cancelled, verdict.Timeout, verdict.Draining, verdict.BadRequest:
		return false
	}
	return true
}

// recordError keeps the error with the least certain verdict: after an attempt
// that may have run, a later NotRun proves nothing about the whole task.
func (r *taskRun) recordError(err *verdict.Error) {
	if r.leastCertain == nil || certainty(err.Verdict) <= certainty(r.leastCertain.Verdict) {
		r.leastCertain = err
	}
}

// certainty orders verdicts from the least certain: a task is NotRun only if
// all attempts were.
func certainty(v verdict.Verdict) int {
	switch v {
	case verdict.MayHaveRun:
		return 0
	case verdict.Failed:
		return 1
	}
	return 2
}

// finalError returns the error of the whole task, or nil if err is nil.
func (r *taskRun) finalError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	r.recordError(err)
	return r.leastCertain
}
