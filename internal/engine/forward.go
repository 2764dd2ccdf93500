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
	// lookupTimeout limits a lookup at a key's home, in addition to the time
	// that the caller waits for running work. lookupInterval is the time
	// between two lookups.
	lookupTimeout  = time.Second
	lookupInterval = 50 * time.Millisecond
	// refuseTimeout limits the check at a key's home before a refusal.
	refuseTimeout = 300 * time.Millisecond
	// forwardRetryDelay is the delay before the next entry is tried.
	forwardRetryDelay = 50 * time.Millisecond
	// retryAfterShort is the retry delay in refusals for reasons that may not
	// hold at another entry.
	retryAfterShort = 100 * time.Millisecond
	// retryAfterJournalFull is the retry delay in refusals while the journal
	// is full.
	retryAfterJournalFull = time.Second
	// defaultRemaining limits forwarded requests whose context has no deadline.
	defaultRemaining = time.Minute
	// DefaultKeyTTL is the lifetime of a key if the manifest sets none.
	DefaultKeyTTL = 10 * time.Minute
)

// forwarder sends work and calls that concern a key to other entries: to those of
// the key's data centre, or within this data centre if this entry can't answer.
type forwarder struct {
	e *Engine

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*forwardCall
}

// forwardCall is a forwarded request that waits for its response.
type forwardCall struct {
	to   string
	done chan *forwardDone
	lost chan struct{} // closed when the peer can no longer respond
	// outlastsLink means that the call waits for the response, which the peer keeps,
	// while the link is down.
	outlastsLink bool
}

func newForwarder(e *Engine) *forwarder {
	return &forwarder{e: e, calls: make(map[uint64]*forwardCall), lastID: firstID(e.Self.Incarnation, forwardSeries)}
}

// submit forwards work to an entry of its key's data centre. If that entry is
// lost, it forwards the work to another one: the claim of the key prevents a
// second run. Repeatable work may run twice.
func (f *forwarder) submit(ctx context.Context, w *structs.Work) structs.Outcome {
	ctx, cancel := context.WithDeadline(ctx, w.Deadline)
	defer cancel()
	if err := f.checkDC(w.Key); err != nil {
		return structs.OutcomeFromError(err)
	}
	o, err := f.call(ctx, &forward{Op: opSubmit, Key: w.Key, Work: w, Remaining: time.Until(w.Deadline)})
	if err != nil {
		return structs.OutcomeFromError(err)
	}
	if o == nil {
		return structs.OutcomeFromError(unreachable(w.Key))
	}
	return *o
}

// lookup asks for the outcome of a key. It returns nil if the work is still
// running.
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

// cancel asks the key's data centre to cancel the work of the key.
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

// refuse asks whether a refusal may report not_run for the key.
func (f *forwarder) refuse(ctx context.Context, k key.Key) error {
	return f.callCheck(ctx, k, opRefuse)
}

// claimExternal asks whether the old system may run a key.
func (f *forwarder) claimExternal(ctx context.Context, k key.Key) error {
	return f.callCheck(ctx, k, opClaimExternal)
}

// callCheck sends a request whose response is an outcome without answers. It
// returns nil if the verdict is Completed.
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

// checkDC refuses keys of data centres that are not listed. Only members of the
// key's data centre can grant a claim. So once this entry has watched the list
// without a gap for longer than the lifetime of a key, a key of an unlisted
// data centre has not run.
func (f *forwarder) checkDC(k key.Key) error {
	if f.e.KnownDC(k.DC) {
		return nil
	}
	v := verdict.MayHaveRun
	if f.e.DCListWatchedFor() > keyTTL(f.e.Manifest()) {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.UnknownDC, "the key names data centre %q, which is not in the list of data centres", k.DC)
}

// call sends the request to one linked entry of the key's data centre after the
// other until one responds or ctx ends.
func (f *forwarder) call(ctx context.Context, req *forward) (*structs.Outcome, error) {
	lost := false // an entry got the request and did not respond
	for try := 0; ; try++ {
		names := f.e.Links.Linked(req.Key.DC)
		if len(names) > 0 {
			to := names[(int(req.Key.Hash()%uint64(len(names)))+try)%len(names)]
			d, sent := f.callPeer(ctx, to, req)
			switch {
			case d != nil && !d.Declined && lost && req.Op == opSubmit:
				return weakenAfterLoss(d.Outcome), nil
			case d != nil && !d.Declined:
				return d.Outcome, nil
			}
			lost = lost || sent && d == nil
		}
		if sleep.For(ctx, forwardRetryDelay) != nil {
			return nil, unreachable(req.Key)
		}
	}
}

// weakenAfterLoss turns NotRun into MayHaveRun. An entry that was paused or cut off
// may read the work that it was sent after another entry has refused the key.
func weakenAfterLoss(o *structs.Outcome) *structs.Outcome {
	if o == nil || o.Verdict != verdict.NotRun {
		return o
	}
	weak := *o
	weak.Verdict = verdict.MayHaveRun
	return &weak
}

// callPeer sends the request to one entry and returns its response, nil if the entry
// was lost or did not respond in time. sent is false if the entry can't have got the
// request.
func (f *forwarder) callPeer(ctx context.Context, to string, req *forward) (d *forwardDone, sent bool) {
	c := f.register(to, req)
	defer f.unregister(req.ID)
	m, err := wire.NewMessage(wire.Forward, req)
	if err != nil {
		f.e.Log.Error("forwarded request not sent: encoding failed", "err", err)
		return nil, false
	}
	if err := f.e.Links.Send(to, m); err != nil {
		return nil, false
	}
	select {
	case d := <-c.done:
		return d, true
	case <-c.lost:
		return nil, true
	case <-ctx.Done():
		return nil, true
	}
}

func (f *forwarder) register(to string, req *forward) *forwardCall {
	c := &forwardCall{to: to, done: make(chan *forwardDone, 1), lost: make(chan struct{}), outlastsLink: req.Op == opCancelLocal}
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

// receiveResponse delivers a response to its call. It drops a response that is
// late or comes from another entry than the one called.
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

// linkDown ends the calls to an entry that can't be reached, but for those that outlast
// a link.
func (f *forwarder) linkDown(name string) {
	f.failCalls(func(c *forwardCall) bool { return c.to == name && !c.outlastsLink })
}

// peerLost ends the calls to an entry that will not respond to them.
func (f *forwarder) peerLost(name string) {
	f.failCalls(func(c *forwardCall) bool { return c.to == name })
}

func (f *forwarder) failCalls(match func(*forwardCall) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, c := range f.calls {
		if match(c) {
			close(c.lost)
			delete(f.calls, id)
		}
	}
}

// serve responds to a request that another entry forwarded.
func (f *forwarder) serve(from string, req *forward) {
	ctx, cancel := context.WithTimeout(f.e.baseCtx, req.Remaining)
	defer cancel()
	d := forwardDone{ID: req.ID}
	if f.declines(from, req) {
		d.Declined = true
	} else {
		d.Outcome = f.handle(ctx, from, req)
	}
	f.e.respond(from, wire.ForwardDone, d)
}

// declines reports whether the sender has to ask another entry. An entry that
// is not in the view knows only the keys of work that it coordinates.
func (f *forwarder) declines(from string, req *forward) bool {
	switch req.Op {
	case opAwaited:
		return !f.waitsFor(from, req.Call)
	case opSubmit:
		return !f.e.acceptsForwarded(req.Work)
	case opLookup, opRefuse:
		return req.Key.DC == f.e.DC && !f.e.Member() && f.e.tracked(req.Key) == nil
	}
	return false
}

// acceptsForwarded reports whether this entry can accept work that is forwarded
// to it. Forwarded work is not forwarded again.
func (e *Engine) acceptsForwarded(w *structs.Work) bool {
	if e.inFlight.isDraining() {
		return false
	}
	return w == nil || w.Repeatable || e.Member()
}

// handle carries out a forwarded request. It returns nil for a lookup of work
// that is still running.
func (f *forwarder) handle(ctx context.Context, from string, req *forward) *structs.Outcome {
	if req.Op == opAwaited {
		return nil
	}
	if req.Key.DC != f.e.DC {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.UnknownDC, "the request was forwarded to an entry outside the key's data centre"))
	}
	switch req.Op {
	case opSubmit:
		return f.handleSubmit(ctx, from, req)
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
	return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "the forwarded request has the unknown operation %d", req.Op))
}

// validForwardedWork repeats checks that the accepting entry has made: the
// class is known and the number of tasks is allowed for it.
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

func (f *forwarder) handleSubmit(ctx context.Context, from string, req *forward) *structs.Outcome {
	if !validForwardedWork(req.Work) {
		return outcomePtr(verdict.New(verdict.MayHaveRun, verdict.BadRequest, "the forwarded request holds no valid work: expected a known class and an allowed number of tasks"))
	}
	req.Work.Deadline = time.Now().Add(req.Remaining)
	req.Work.FreshKey = false
	o := f.e.submit(ctx, req.Work, func() {}, func() bool { return f.awaited(ctx, from, req) })
	return &o
}

// outcomePtr returns the outcome for an error; for nil it is Completed without
// answers.
func outcomePtr(err error) *structs.Outcome {
	if err == nil {
		return &structs.Outcome{Verdict: verdict.Completed}
	}
	o := structs.OutcomeFromError(err)
	return &o
}

// unreachable returns the error for a key whose home did not respond.
func unreachable(k key.Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.HomeUnreachable, "no entry of data centre %q responded", k.DC).WithRetryAfter(retryAfterShort)
}

// keyTTL returns the lifetime of a key.
func keyTTL(m *manifest.Manifest) time.Duration {
	if m == nil || m.Limits.KeyTTLMS == 0 {
		return DefaultKeyTTL
	}
	return time.Duration(m.Limits.KeyTTLMS) * time.Millisecond
}

// remaining returns the time until the deadline of ctx, or defaultRemaining if
// it has none.
func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return defaultRemaining
}
