package dispatch

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/metrics"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// race is a first attempt at repeatable work and the hedge that may follow.
type race struct {
	run  *run
	stop context.CancelCauseFunc // ends the first attempt
	done chan struct{}           // closed when no hedge runs any more
	// Of the hedge, if there was one; read after done.
	addr string
	err  *verdict.Error

	mu     sync.Mutex
	over   bool    // the first attempt has ended; no hedge starts any more
	winner *ending // the hedge's end, if it completed first
}

// hedged makes an attempt, and a second one elsewhere when the first takes
// longer than the kind usually does. The first whole answer counts; the other
// attempt is stopped.
func (r *run) hedged(ctx context.Context, p Place) (target.Answer, *verdict.Error) {
	firstCtx, stopFirst := context.WithCancelCause(ctx)
	defer stopFirst(nil)
	hedgeCtx, stopHedge := context.WithCancelCause(ctx)
	defer stopHedge(nil)
	c := &race{run: r, stop: stopFirst, done: make(chan struct{})}
	r.d.wg.Add(1)
	timer := time.AfterFunc(r.task.HedgeAfter, func() {
		defer r.d.wg.Done()
		defer close(c.done)
		c.hedge(hedgeCtx)
	})
	first := r.d.newAttempt(r.task, p)
	end := first.send(firstCtx)
	if timer.Stop() {
		r.d.wg.Done()
		close(c.done)
	}
	c.finish()
	if end.err == nil {
		stopHedge(errBeaten)
		p.Release()
		return end.answer, nil
	}
	<-c.done
	if c.addr != "" {
		r.tried = append(r.tried, c.addr)
	}
	if c.err != nil {
		// Of the first alone, a NotRun would not hold for the task.
		r.note(c.err)
	}
	if w := c.won(); w != nil {
		first.abandon(firstCtx, end)
		return w.answer, nil
	}
	if first.undecided(end) {
		end = first.resolve(firstCtx, end)
	}
	p.Release()
	return end.answer, end.err
}

// finish bars a hedge that has not started yet.
func (c *race) finish() {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
}

func (c *race) won() *ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winner
}

// hedge makes the second attempt, if the budget and the targets allow it.
func (c *race) hedge(ctx context.Context) {
	r := c.run
	p, ok := c.room()
	if !ok {
		return
	}
	c.addr = p.Addr
	r.d.cfg.Metrics.Count(metrics.Hedged, verdict.HedgeLatency)
	at := r.d.newAttempt(r.task, p)
	end := at.send(ctx)
	if end.err != nil {
		c.err = end.err
		at.abandon(ctx, end)
		return
	}
	p.Release()
	c.mu.Lock()
	c.winner = &end
	c.mu.Unlock()
	c.stop(errBeaten)
}

// room takes a token and picks a target for the hedge.
func (c *race) room() (Place, bool) {
	c.mu.Lock()
	over := c.over
	c.mu.Unlock()
	if over {
		return Place{}, false
	}
	if !c.run.d.cfg.Hedges.Take() {
		c.run.d.cfg.Metrics.Count(metrics.Withheld, verdict.HedgeLatency)
		return Place{}, false
	}
	return c.run.task.Pick(c.run.tried)
}

// abandon ends an attempt whose answer is of no use any more: it stops the task
// at the target in the background and then gives the place back.
func (a *attempt) abandon(ctx context.Context, end ending) {
	if end.err == nil || end.err.Verdict != verdict.MayHaveRun || ctx.Err() == nil {
		a.place.Release()
		return
	}
	a.d.wg.Go(func() {
		stopped := a.resolve(ctx, end)
		if stopped.err == nil {
			a.d.cfg.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
		}
		a.place.Release()
	})
}
