package engine

import (
	"context"
	"sync"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/sleep"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

const (
	// lookupTimeout bounds the question to a key's home, without the wait
	// for work that runs, and lookupEvery is the time between two of them.
	lookupTimeout = time.Second
	lookupEvery   = 50 * time.Millisecond
	// refuseTimeout bounds the question to a key's home before a refusal.
	refuseTimeout = 300 * time.Millisecond
	// forwardRetry is the wait before another member is tried.
	forwardRetry = 50 * time.Millisecond
	// retrySoon is the advice of refusals that another entry may not give.
	retrySoon = 100 * time.Millisecond
	// retryJournal is the advice while outcomes wait for the platform.
	retryJournal = time.Second
	// maxRemaining bounds questions without a deadline.
	maxRemaining = time.Minute
	// DefaultKeyTTL is the life of a key where the manifest sets none.
	DefaultKeyTTL = 10 * time.Minute
)

// forwards hands requests for keys of another data centre to its members.
type forwards struct {
	e *Engine

	mu   sync.Mutex
	next uint64
	wait map[uint64]*forwardCall
}

// forwardCall is one question that awaits its answer.
type forwardCall struct {
	to   string
	done chan *forwardDone
	lost chan struct{} // closed when the member cannot answer any more
}

func newForwards(e *Engine) *forwards {
	return &forwards{e: e, wait: make(map[uint64]*forwardCall), next: firstID(e.Self.Incarnation, idSeries)}
}

// do hands work to a member of its key's data centre. A member that is lost
// is replaced by another: the claim of the key keeps the work from running
// twice. Repeatable work may run twice.
func (f *forwards) do(ctx context.Context, w *structs.Work) structs.Outcome {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	if err := f.checkDC(w.Key); err != nil {
		return structs.OutcomeOf(err)
	}
	o, err := f.ask(ctx, &forward{Op: opDo, Key: w.Key, Work: w, Remaining: time.Until(w.Deadline)})
	if err != nil {
		return structs.OutcomeOf(err)
	}
	if o == nil {
		return structs.OutcomeOf(unreachable(w.Key))
	}
	return *o
}

// lookup asks for the outcome of a key; nil means that it still runs.
func (f *forwards) lookup(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error) {
	if err := f.checkDC(k); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+2*lookupTimeout)
	defer cancel()
	o, err := f.ask(ctx, &forward{Op: opLookup, Key: k, Remaining: wait + lookupTimeout})
	if err != nil {
		return nil, err
	}
	if o != nil && o.Verdict != verdict.Completed {
		return nil, o.Err()
	}
	return o, nil
}

// cancel asks for the cancellation of a key.
func (f *forwards) cancel(ctx context.Context, k key.Key) (structs.Outcome, error) {
	if err := f.checkDC(k); err != nil {
		return structs.Outcome{}, err
	}
	o, err := f.ask(ctx, &forward{Op: opCancel, Key: k, Remaining: remaining(ctx)})
	if err != nil {
		return structs.Outcome{}, err
	}
	if o == nil {
		return structs.Outcome{}, unreachable(k)
	}
	return *o, nil
}

// refuse asks whether a refusal of a key may say not_run.
func (f *forwards) refuse(ctx context.Context, k key.Key) error {
	return f.yesOrNo(ctx, k, opRefuse)
}

// claimExternal asks whether the old system may run a key.
func (f *forwards) claimExternal(ctx context.Context, k key.Key) error {
	return f.yesOrNo(ctx, k, opClaimExternal)
}

// yesOrNo asks a question that is answered by an outcome without answers:
// Completed stands for yes.
func (f *forwards) yesOrNo(ctx context.Context, k key.Key, what op) error {
	if err := f.checkDC(k); err != nil {
		return err
	}
	o, err := f.ask(ctx, &forward{Op: what, Key: k, Remaining: remaining(ctx)})
	if err != nil {
		return err
	}
	if o == nil {
		return unreachable(k)
	}
	return o.Err()
}

// checkDC refuses keys of data centres that are not listed. Only members of a
// key's data centre can grant it, so once this entry has watched the list for
// a key's whole life without a gap, a key of an unlisted data centre has not run.
func (f *forwards) checkDC(k key.Key) error {
	if f.e.KnownDC(k.DC) {
		return nil
	}
	v := verdict.MayHaveRun
	if f.e.Watched() > keyTTL(f.e.Manifest()) {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.UnknownDC, "data centre %q of the key is not listed", k.DC)
}

// ask sends the question to one linked member after the other until one
// answers or ctx ends.
func (f *forwards) ask(ctx context.Context, q *forward) (*structs.Outcome, error) {
	for try := 0; ; try++ {
		names := f.e.Links.Linked(q.Key.DC)
		if len(names) > 0 {
			to := names[(int(q.Key.Hash()%uint64(len(names)))+try)%len(names)]
			o, answered := f.askOne(ctx, to, q)
			if answered {
				return o, nil
			}
		}
		if sleep.For(ctx, forwardRetry) != nil {
			return nil, unreachable(q.Key)
		}
	}
}

// askOne sends the question to one member. answered is false if the member
// declined, was lost or did not answer in time.
func (f *forwards) askOne(ctx context.Context, to string, q *forward) (o *structs.Outcome, answered bool) {
	c := f.register(to, q)
	defer f.forget(q.ID)
	m, err := wire.NewMessage(wire.Forward, q)
	if err != nil {
		f.e.Log.Error("forward not encoded", "error", err)
		return nil, false
	}
	if err := f.e.Links.Send(to, m); err != nil {
		return nil, false
	}
	select {
	case d := <-c.done:
		return d.Outcome, !d.Declined
	case <-c.lost:
		return nil, false
	case <-ctx.Done():
		return nil, false
	}
}

func (f *forwards) register(to string, q *forward) *forwardCall {
	c := &forwardCall{to: to, done: make(chan *forwardDone, 1), lost: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	q.ID = f.next
	f.wait[q.ID] = c
	return c
}

func (f *forwards) forget(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.wait, id)
}

// answered delivers an answer. A late one, or one from another member than
// was asked, is dropped.
func (f *forwards) answered(from string, d *forwardDone) {
	f.mu.Lock()
	c := f.wait[d.ID]
	if c != nil && c.to == from {
		delete(f.wait, d.ID)
	}
	f.mu.Unlock()
	if c == nil || c.to != from {
		f.e.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
		return
	}
	c.done <- d
}

// lose ends the calls to a member that is gone.
func (f *forwards) lose(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.wait {
		if c.to == name {
			close(c.lost)
			delete(f.wait, id)
		}
	}
}

// serve answers a question from another data centre.
func (f *forwards) serve(from string, q *forward) {
	ctx, cancel := context.WithTimeout(f.e.base, q.Remaining)
	defer cancel()
	d := forwardDone{ID: q.ID}
	if f.declines(q) {
		d.Declined = true
	} else {
		d.Outcome = f.answer(ctx, q)
	}
	f.e.respond(from, wire.ForwardDone, d)
}

// declines reports whether another member has to answer. An entry in no view
// knows of no key but those that it runs.
func (f *forwards) declines(q *forward) bool {
	switch q.Op {
	case opDo:
		return !f.e.takes(q.Work)
	case opLookup, opRefuse:
		return q.Key.DC == f.e.DC && !f.e.Member() && f.e.tracked(q.Key) == nil
	}
	return false
}

// takes reports whether this entry can take work that is forwarded to it.
// Forwarded work is not forwarded on.
func (e *Engine) takes(w *structs.Work) bool {
	if e.flights.draining() {
		return false
	}
	return w == nil || w.Repeatable || e.Member()
}

func (f *forwards) answer(ctx context.Context, q *forward) *structs.Outcome {
	if q.Key.DC != f.e.DC {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "forwarded to the wrong data centre"))
	}
	switch q.Op {
	case opDo:
		return f.answerDo(ctx, q)
	case opRefuse:
		return outcomePtr(f.e.refuseAtHome(ctx, q.Key))
	case opClaimExternal:
		return outcomePtr(f.e.ClaimExternal(ctx, q.Key))
	case opLookup:
		o, err := f.e.Lookup(ctx, q.Key, q.Remaining-lookupTimeout)
		if err != nil {
			return outcomePtr(err)
		}
		return o
	case opCancel:
		o, err := f.e.Cancel(ctx, q.Key)
		if err != nil {
			return outcomePtr(err)
		}
		return &o
	case opCancelHere:
		o, err := f.e.cancelHere(ctx, q.Key)
		if err != nil {
			return outcomePtr(err)
		}
		return &o
	}
	return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "unknown operation %d", q.Op))
}

// wellFormed reports whether forwarded work has what the entry that accepted it
// has checked: a class and a number of tasks that goes with it.
func wellFormed(w *structs.Work) bool {
	if w == nil {
		return false
	}
	switch w.Class {
	case structs.Request:
		return len(w.Tasks) == 1
	case structs.Job:
		return len(w.Tasks) >= 1 && len(w.Tasks) <= structs.MaxTasks
	}
	return false
}

func (f *forwards) answerDo(ctx context.Context, q *forward) *structs.Outcome {
	if !wellFormed(q.Work) {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "forwarded request holds no proper work"))
	}
	q.Work.Deadline = time.Now().Add(q.Remaining)
	q.Work.Fresh = false
	o := f.e.Do(ctx, q.Work)
	return &o
}

// outcomePtr returns the outcome of an error, or Completed without answers.
func outcomePtr(err error) *structs.Outcome {
	if err == nil {
		return &structs.Outcome{Verdict: verdict.Completed}
	}
	o := structs.OutcomeOf(err)
	return &o
}

func unreachable(k key.Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "no entry of data centre %q answers", k.DC).After(retrySoon)
}

// keyTTL returns the life of a key.
func keyTTL(m *manifest.Manifest) time.Duration {
	if m == nil || m.Limits.KeyTTLMS == 0 {
		return DefaultKeyTTL
	}
	return time.Duration(m.Limits.KeyTTLMS) * time.Millisecond
}

// remaining returns the time up to ctx's deadline, or a long one.
func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return maxRemaining
}
