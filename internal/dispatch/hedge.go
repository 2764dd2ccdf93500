package dispatch

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/metrics"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// hedgeRace is a first attempt at repeatable work and the hedge that may follow.
type hedgeRace struct {
	run       *taskRun
	stopFirst context.CancelCauseFunc // ends the first attempt
	hedgeDone chan struct{}           // closed when no hedge runs any more
	// Of the hedge, if there was one; read after done.
	hedgeAddr string
	hedgeErr  *verdict.Error

	mu         sync.Mutex
	firstEnded bool    // the first attempt has ended; no hedge starts any more
	winner     *result // the hedge's end, if it completed first
}

// hedged makes an attempt, and a second one elsewhere when the first takes
// longer than the kind usually does. The first whole answer counts; the other
// attempt is stopped.
func (r *taskRun) hedged(ctx context.Context, p Reservation) (target.Answer, *verdict.Error) {
	firstCtx, stopFirst := context.WithCancelCause(ctx)
	defer stopFirst(nil)
	hedgeCtx, stopHedge := context.WithCancelCause(ctx)
	defer stopHedge(nil)
	c := &hedgeRace{run: r, stopFirst: stopFirst, hedgeDone: make(chan struct{})}
	r.d.wg.Add(1)
	timer := time.AfterFunc(r.task.HedgeAfter, func() {
		defer r.d.wg.Done()
		defer close(c.hedgeDone)
		c.hedge(hedgeCtx)
	})
	first := r.d.newAttempt(r.task, p)
	end := first.send(firstCtx)
	if timer.Stop() {
		r.d.wg.Done()
		close(c.hedgeDone)
	}
	c.markFirstEnded()
	if end.err == nil {
		stopHedge(errSuperseded)
		p.Release()
		return end.answer, nil
	}
	<-c.hedgeDone
	if c.hedgeAddr != "" {
		r.tried = append(r.tried, c.hedgeAddr)
	}
	if c.hedgeErr != nil {
		// Of the first alone, a NotRun would not hold for the task.
		r.recordError(c.hedgeErr)
	}
	if w := c.hedgeResult(); w != nil {
		first.abandon(firstCtx, end)
		return w.answer, nil
	}
	if first.needsLookup(end) {
		end = first.resolve(firstCtx, end)
	}
	p.Release()
	return end.answer, end.err
}

// markFirstEnded bars a hedge that has not started yet.
func (c *hedgeRace) markFirstEnded() {
	c.mu.Lock()
	c.firstEnded = true
	c.mu.Unlock()
}

func (c *hedgeRace) hedgeResult() *result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winner
}

// hedge makes the second attempt, if the budget and the targets allow it.
func (c *hedgeRace) hedge(ctx context.Context) {
	r := c.run
	p, ok := c.reserve()
	if !ok {
		return
	}
	c.hedgeAddr = p.Addr
	r.d.cfg.Metrics.Count(metrics.Hedged, verdict.HedgeLatency)
	at := r.d.newAttempt(r.task, p)
	end := at.send(ctx)
	if end.err != nil {
		c.hedgeErr = end.err
		at.abandon(ctx, end)
		return
	}
	p.Release()
	c.mu.Lock()
	c.winner = &end
	c.mu.Unlock()
	c.stopFirst(errSuperseded)
}

// reserve takes a token and picks a target for the hedge.
func (c *hedgeRace) reserve() (Reservation, bool) {
	c.mu.Lock()
	over := c.firstEnded
	c.mu.Unlock()
	if over {
		return Reservation{}, false
	}
	if !c.run.d.cfg.Hedges.Take() {
		c.run.d.cfg.Metrics.Count(metrics.Withheld, verdict.HedgeLatency)
		return Reservation{}, false
	}
	return c.run.task.Pick(c.run.tried)
}

// abandon ends an attempt whose answer is of no use any more: it stops the task
// at the target in the background and then gives the place back.
func (a *attempt) abandon(ctx context.Context, end result) {
	if end.err == nil || end.err.Verdict != verdict.MayHaveRun || ctx.Err() == nil {
		a.reservation.Release()
		return
	}
	a.d.wg.Go(func() {
		stopped := a.resolve(ctx, end)
		if stopped.err == nil {
			a.d.cfg.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
		}
		a.reservation.Release()
	})
}
