package dispatch

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/metrics"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// hedgeRace is a first attempt at repeatable work and its possible hedge.
type hedgeRace struct {
	run       *taskRun
	stopFirst context.CancelCauseFunc // ends the first attempt
	hedgeDone chan struct{}           // closed once no hedge is running
	// Target and error of the hedge, if there was one. Read them only after
	// hedgeDone.
	hedgeAddr string
	hedgeErr  *verdict.Error

	mu         sync.Mutex
	firstEnded bool    // the first attempt has ended; no hedge may start
	winner     *result // the hedge's result, if it completed first
}

// hedged makes an attempt, and a second one at another target if the first
// takes longer than usual for the kind. The first complete answer is returned,
// and the other attempt is stopped.
func (r *taskRun) hedged(ctx context.Context, rsv Reservation) (target.Answer, *verdict.Error) {
	firstCtx, stopFirst := context.WithCancelCause(ctx)
	defer stopFirst(nil)
	hedgeCtx, stopHedge := context.WithCancelCause(ctx)
	defer stopHedge(nil)
	h := &hedgeRace{run: r, stopFirst: stopFirst, hedgeDone: make(chan struct{})}
	r.d.wg.Add(1)
	timer := time.AfterFunc(r.task.HedgeAfter, func() {
		defer r.d.wg.Done()
		defer close(h.hedgeDone)
		h.hedge(hedgeCtx)
	})
	first := r.d.newAttempt(r.task, rsv)
	res := first.send(firstCtx)
	if timer.Stop() {
		r.d.wg.Done()
		close(h.hedgeDone)
	}
	h.markFirstEnded()
	if res.err == nil {
		stopHedge(errSuperseded)
		rsv.Release()
		return res.answer, nil
	}
	<-h.hedgeDone
	if h.hedgeAddr != "" {
		r.tried = append(r.tried, h.hedgeAddr)
	}
	if h.hedgeErr != nil {
		// A NotRun of the first attempt alone does not hold for the whole task.
		r.recordError(h.hedgeErr)
	}
	if w := h.hedgeResult(); w != nil {
		first.abandon(firstCtx, res)
		return w.answer, nil
	}
	if first.needsLookup(res) {
		res = first.resolve(firstCtx, res)
	}
	rsv.Release()
	return res.answer, res.err
}

// markFirstEnded keeps a hedge from starting if it has not started yet.
func (h *hedgeRace) markFirstEnded() {
	h.mu.Lock()
	h.firstEnded = true
	h.mu.Unlock()
}

// hedgeResult returns the hedge's result if it completed first, or nil.
func (h *hedgeRace) hedgeResult() *result {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.winner
}

// hedge makes the second attempt, if the budget and the targets allow it.
func (h *hedgeRace) hedge(ctx context.Context) {
	r := h.run
	rsv, ok := h.reserve()
	if !ok {
		return
	}
	h.hedgeAddr = rsv.Addr
	r.d.cfg.Metrics.Count(metrics.Hedged, verdict.HedgeLatency)
	at := r.d.newAttempt(r.task, rsv)
	res := at.send(ctx)
	if res.err != nil {
		h.hedgeErr = res.err
		at.abandon(ctx, res)
		return
	}
	rsv.Release()
	h.mu.Lock()
	h.winner = &res
	h.mu.Unlock()
	h.stopFirst(errSuperseded)
}

// reserve takes a token of the hedge budget and reserves room at another
// target.
func (h *hedgeRace) reserve() (Reservation, bool) {
	h.mu.Lock()
	over := h.firstEnded
	h.mu.Unlock()
	if over {
		return Reservation{}, false
	}
	if !h.run.d.cfg.Hedges.Take() {
		h.run.d.cfg.Metrics.Count(metrics.Withheld, verdict.HedgeLatency)
		return Reservation{}, false
	}
	return h.run.task.Pick(h.run.tried)
}

// abandon ends an attempt whose answer is no longer needed: it stops the task
// at the target in the background and then releases the reservation.
func (a *attempt) abandon(ctx context.Context, res result) {
	if res.err == nil || res.err.Verdict != verdict.MayHaveRun || ctx.Err() == nil {
		a.reservation.Release()
		return
	}
	a.d.wg.Go(func() {
		stopped := a.resolve(ctx, res)
		if stopped.err == nil {
			a.d.cfg.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
		}
		a.reservation.Release()
	})
}
