// Package dispatch carries out one task: the attempt at a target, the look-up
// of a silent one, and, as far as the work allows it, retries and hedges.
//
// A task that may not be repeated is sent again only after a proof that the
// attempt before it did not start it; it is never hedged. Whoever reads the
// code can check that in one place: Do sends again only for an event that leads
// back to "queued" in charts/task.yaml, and eventOf makes such an event only of
// a NotRun error or for repeatable work.
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

// Defaults of Config.
const (
	DefaultRetryPercent = 10
	DefaultHedgePercent = 5
	DefaultMaxAttempts  = 4
	DefaultSilentAfter  = time.Second
)

const (
	retryBackoffBase  = 2 * time.Millisecond
	retryBackoffLimit = 500 * time.Millisecond
	// maxBudgetTries is how often a task that provably did not run waits for
	// the retry budget before it is given up.
	maxBudgetTries = 8
)

// Targets is what a dispatcher asks of the connections to targets. *target.Pool
// implements it.
type Targets interface {
	target.Runner
	// Instance returns the run of the target that leased starts are meant
	// for from now on. The error is NotRun.
	Instance(ctx context.Context, addr string) (string, error)
	// Lookup asks what the target knows of a task.
	Lookup(ctx context.Context, addr string, k key.Key, task int, ask target.Ask, wait time.Duration) (target.Status, error)
	// CloseIdle closes connections that may have gone silent.
	CloseIdle(addr string)
}

// Reservation is room for one task at a target.
type Reservation struct {
	Addr string
	// Release gives the room back. It is called once, when the task is over
	// at the target or was given up; that may be after Do has returned.
	Release func()
}

// Task is one task to carry out.
type Task struct {
	Start      target.Start
	Repeatable bool
	// First is where the task is tried first.
	First Reservation
	// Pick returns room at a target that is not among exclude, and false if
	// there is none now. Nil allows no second attempt.
	Pick func(exclude []string) (Reservation, bool)
	// MayStart is called right before each send of work that may not be
	// repeated: it returns the end of the lease, or a NotRun error. Nil
	// leaves Start.NotAfter as it is.
	MayStart func() (notAfter time.Time, err error)
	// SilentAfter is how long the kind usually takes; an attempt without an
	// answer by then is looked up. 0 stands for DefaultSilentAfter.
	SilentAfter time.Duration
	// HedgeAfter is the time after which a second attempt at repeatable work
	// pays; 0 for never.
	HedgeAfter time.Duration
}

// Config holds the settings of a Dispatcher. Zero values stand for defaults.
type Config struct {
	Targets Targets
	Retries *Budget
	Hedges  *Budget
	// MaxAttempts bounds the sends of one task, hedges not counted.
	MaxAttempts int
	Metrics     *metrics.Metrics
	// Observe takes what each attempt says about its target.
	Observe func(addr string, ev target.Evidence, took time.Duration, kind string)
	// Seed is of the jitter.
	Seed uint64
}

// Dispatcher carries out tasks. It is safe for concurrent use.
type Dispatcher struct {
	cfg           Config
	retryBackoff  *backoff
	lookupBackoff *backoff
	wg            sync.WaitGroup  // stops and look-ups that outlive their task
	ctx           context.Context // ends with Close
	stop          context.CancelFunc
}

// New returns a dispatcher.
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

// Close waits for what still runs on behalf of ended tasks, which is bounded in
// time. Places that are still held are given back.
func (d *Dispatcher) Close() {
	d.stop()
	d.wg.Wait()
}

// Do carries a task out and returns its whole answer. The error is a
// *verdict.Error about the task as a whole, all attempts counted. When ctx ends
// by its deadline, work that may not be repeated is left to run; when it is
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

// taskRun is the progress of one task.
type taskRun struct {
	d            *Dispatcher
	task         *Task
	state        statechart.TaskState
	tried        []string
	attempts     int
	leastCertain *verdict.Error // the error with the least certain verdict so far
}

func (r *taskRun) do(ctx context.Context) (target.Answer, error) {
	place := r.task.First
	for {
		r.step(statechart.TaskOnPlaced)
		r.tried = append(r.tried, place.Addr)
		r.attempts++
		a, err := r.attempt(ctx, place)
		if r.step(r.eventOf(ctx, err)) != statechart.TaskDoRequeue {
			return a, r.finalError(err)
		}
		var ok bool
		if place, ok = r.nextAttempt(ctx, err); !ok {
			return target.Answer{}, r.finalError(err)
		}
	}
}

// attempt makes one attempt, hedged if the work allows it.
func (r *taskRun) attempt(ctx context.Context, p Reservation) (target.Answer, *verdict.Error) {
	if r.task.Repeatable && r.task.HedgeAfter > 0 && r.task.Pick != nil {
		return r.hedged(ctx, p)
	}
	at := r.d.newAttempt(r.task, p)
	return at.execute(ctx)
}

// step feeds an event to the task's chart.
func (r *taskRun) step(e statechart.TaskEvent) statechart.TaskAction {
	next, action, _ := statechart.Task.Step(r.state, e)
	r.state = next
	return action
}

// eventOf tells what an attempt's end means for the task. Only a NotRun error
// or repeatable work leads back to the queue.
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

// nextAttempt waits for the retry budget and picks another target.
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
	p, ok := r.task.Pick(r.tried)
	if ok {
		r.d.cfg.Metrics.Count(metrics.Retried, err.Reason)
	}
	return p, ok
}

// takeRetryToken takes a token for a retry. A task that provably did not run may wait
// for one; repeatable work that did run somewhere may not, as its repetition
// adds load.
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

// retryable reports whether another target could do better.
func retryable(err *verdict.Error) bool {
	switch err.Reason {
	case verdict.LeaseLapsed, verdict.Cancelled, verdict.Timeout, verdict.Draining, verdict.BadRequest:
		return false
	}
	return true
}

// recordError keeps the error that says most about the whole task: after an attempt
// that may have run, a later NotRun is no proof for the task.
func (r *taskRun) recordError(err *verdict.Error) {
	if r.leastCertain == nil || certainty(err.Verdict) <= certainty(r.leastCertain.Verdict) {
		r.leastCertain = err
	}
}

// certainty orders verdicts: a task is NotRun only if all attempts were.
func certainty(v verdict.Verdict) int {
	switch v {
	case verdict.MayHaveRun:
		return 0
	case verdict.Failed:
		return 1
	}
	return 2
}

// finalError returns the error of the whole task, nil for a nil err.
func (r *taskRun) finalError(err *verdict.Error) error {
	if err == nil {
		return nil
	}
	r.recordError(err)
	return r.leastCertain
}
