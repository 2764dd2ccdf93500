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
	lookupTimeout  = time.Second
	lookupInterval = 50 * time.Millisecond
	// refuseTimeout bounds the question to a key's home before a refusal.
	refuseTimeout = 300 * time.Millisecond
	// forwardRetryDelay is the wait before another member is tried.
	forwardRetryDelay = 50 * time.Millisecond
	// retryAfterShort is the advice of refusals that another entry may not give.
	retryAfterShort = 100 * time.Millisecond
	// retryAfterJournalFull is the advice while outcomes wait for the platform.
	retryAfterJournalFull = time.Second
	// defaultRemaining bounds questions without a deadline.
	defaultRemaining = time.Minute
	// DefaultKeyTTL is the life of a key where the manifest sets none.
	DefaultKeyTTL = 10 * time.Minute
)

// forwarder hands requests for keys of another data centre to its members.
type forwarder struct {
	e *Engine

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*forwardCall
}

// forwardCall is one question that awaits its answer.
type forwardCall struct {
	to   string
	done chan *forwardDone
	lost chan struct{} // closed when the member cannot answer any more
}

func newForwarder(e *Engine) *forwarder {
	return &forwarder{e: e, calls: make(map[uint64]*forwardCall), lastID: firstID(e.Self.Incarnation, idSeries)}
}

// submit hands work to a member of its key's data centre. A member that is lost
// is replaced by another: the claim of the key keeps the work from running
// twice. Repeatable work may run twice.
func (f *forwarder) submit(ctx context.Context, w *structs.Work) structs.Outcome {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	if err := f.checkDC(w.Key); err != nil {
		return structs.OutcomeOf(err)
	}
	o, err := f.call(ctx, &forward{Op: opSubmit, Key: w.Key, Work: w, Remaining: time.Until(w.Deadline)})
	if err != nil {
		return structs.OutcomeOf(err)
	}
	if o == nil {
		return structs.OutcomeOf(unreachable(w.Key))
	}
	return *o
}

// lookup asks for the outcome of a key; nil means that it still runs.
func (f *forwarder) lookup(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error) {
	if err := f.checkDC(k); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+2*lookupTimeout)
	defer cancel()
	o, err := f.call(ctx, &forward{Op: opLookup, Key: k, Remaining: wait + lookupTimeout})
	if err != nil {
		return nil, err
	}
	if o != nil && o.Verdict != verdict.Completed {
		return nil, o.Err()
	}
	return o, nil
}

// cancel asks for the cancellation of a key.
func (f *forwarder) cancel(ctx context.Context, k key.Key) (structs.Outcome, error) {
	if err := f.checkDC(k); err != nil {
		return structs.Outcome{}, err
	}
	o, err := f.call(ctx, &forward{Op: opCancel, Key: k, Remaining: remaining(ctx)})
	if err != nil {
		return structs.Outcome{}, err
	}
	if o == nil {
		return structs.Outcome{}, unreachable(k)
	}
	return *o, nil
}

// refuse asks whether a refusal of a key may say not_run.
func (f *forwarder) refuse(ctx context.Context, k key.Key) error {
	return f.callCheck(ctx, k, opRefuse)
}

// claimExternal asks whether the old system may run a key.
func (f *forwarder) claimExternal(ctx context.Context, k key.Key) error {
	return f.callCheck(ctx, k, opClaimExternal)
}

// callCheck asks a question that is answered by an outcome without answers:
// Completed stands for yes.
func (f *forwarder) callCheck(ctx context.Context, k key.Key, operation op) error {
	if err := f.checkDC(k); err != nil {
		return err
	}
	o, err := f.call(ctx, &forward{Op: operation, Key: k, Remaining: remaining(ctx)})
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
func (f *forwarder) checkDC(k key.Key) error {
	if f.e.KnownDC(k.DC) {
		return nil
	}
	v := verdict.MayHaveRun
	if f.e.DCListWatchedFor() > keyTTL(f.e.Manifest()) {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.UnknownDC, "data centre %q of the key is not listed", k.DC)
}

// call sends the question to one linked member after the other until one
// answers or ctx ends.
func (f *forwarder) call(ctx context.Context, req *forward) (*structs.Outcome, error) {
	for try := 0; ; try++ {
		names := f.e.Links.Linked(req.Key.DC)
		if len(names) > 0 {
			to := names[(int(req.Key.Hash()%uint64(len(names)))+try)%len(names)]
			o, answered := f.callPeer(ctx, to, req)
			if answered {
				return o, nil
			}
		}
		if sleep.For(ctx, forwardRetryDelay) != nil {
			return nil, unreachable(req.Key)
		}
	}
}

// callPeer sends the question to one member. answered is false if the member
// declined, was lost or did not answer in time.
func (f *forwarder) callPeer(ctx context.Context, to string, req *forward) (o *structs.Outcome, answered bool) {
	c := f.register(to, req)
	defer f.unregister(req.ID)
	m, err := wire.NewMessage(wire.Forward, req)
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

func (f *forwarder) register(to string, req *forward) *forwardCall {
	c := &forwardCall{to: to, done: make(chan *forwardDone, 1), lost: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	req.ID = f.lastID
	f.calls[req.ID] = c
	return c
}

func (f *forwarder) unregister(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, id)
}

// receiveResponse delivers an answer. A late one, or one from another member than
// was asked, is dropped.
func (f *forwarder) receiveResponse(from string, d *forwardDone) {
	f.mu.Lock()
	c := f.calls[d.ID]
	if c != nil && c.to == from {
		delete(f.calls, d.ID)
	}
	f.mu.Unlock()
	if c == nil || c.to != from {
		f.e.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
		return
	}
	c.done <- d
}

// failCalls ends the calls to a member that is gone.
func (f *forwarder) failCalls(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.calls {
		if c.to == name {
			close(c.lost)
			delete(f.calls, id)
		}
	}
}

// serve answers a question from another data centre.
func (f *forwarder) serve(from string, req *forward) {
	ctx, cancel := context.WithTimeout(f.e.baseCtx, req.Remaining)
	defer cancel()
	d := forwardDone{ID: req.ID}
	if f.declines(req) {
		d.Declined = true
	} else {
		d.Outcome = f.handle(ctx, req)
	}
	f.e.respond(from, wire.ForwardDone, d)
}

// declines reports whether another member has to answer. An entry in no view
// knows of no key but those that it runs.
func (f *forwarder) declines(req *forward) bool {
	switch req.Op {
	case opSubmit:
		return !f.e.acceptsForwarded(req.Work)
	case opLookup, opRefuse:
		return req.Key.DC == f.e.DC && !f.e.Member() && f.e.tracked(req.Key) == nil
	}
	return false
}

// acceptsForwarded reports whether this entry can take work that is forwarded to it.
// Forwarded work is not forwarded on.
func (e *Engine) acceptsForwarded(w *structs.Work) bool {
	if e.inFlight.isDraining() {
		return false
	}
	return w == nil || w.Repeatable || e.Member()
}

func (f *forwarder) handle(ctx context.Context, req *forward) *structs.Outcome {
	if req.Key.DC != f.e.DC {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "forwarded to the wrong data centre"))
	}
	switch req.Op {
	case opSubmit:
		return f.handleSubmit(ctx, req)
	case opRefuse:
		return outcomePtr(f.e.refuseAtHome(ctx, req.Key))
	case opClaimExternal:
		return outcomePtr(f.e.ClaimExternal(ctx, req.Key))
	case opLookup:
		o, err := f.e.Lookup(ctx, req.Key, req.Remaining-lookupTimeout)
		if err != nil {
			return outcomePtr(err)
		}
		return o
	case opCancel:
		o, err := f.e.Cancel(ctx, req.Key)
		if err != nil {
			return outcomePtr(err)
		}
		return &o
	case opCancelLocal:
		o, err := f.e.cancelLocal(ctx, req.Key)
		if err != nil {
			return outcomePtr(err)
		}
		return &o
	}
	return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "unknown operation %d", req.Op))
}

// validForwardedWork reports whether forwarded work has what the entry that accepted it
// has checked: a class and a number of tasks that goes with it.
func validForwardedWork(w *structs.Work) bool {
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

func (f *forwarder) handleSubmit(ctx context.Context, req *forward) *structs.Outcome {
	if !validForwardedWork(req.Work) {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "forwarded request holds no proper work"))
	}
	req.Work.Deadline = time.Now().Add(req.Remaining)
	req.Work.Fresh = false
	o := f.e.Do(ctx, req.Work)
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
	return verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "no entry of data centre %q answers", k.DC).After(retryAfterShort)
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
	return defaultRemaining
}
