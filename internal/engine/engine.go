// Package engine runs requests and jobs from submission to outcome: it claims
// their keys, queues their tasks, starts them on targets and returns the
// answers. It offloads tasks to peers that have room and forwards work to the
// data centre of its key.
package engine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/claims"
	"currantstall/internal/dispatch"
	"currantstall/internal/journal"
	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// Links sends messages to other entries.
type Links interface {
	// Send queues messages for the named entry. An error means that no
	// message was sent.
	Send(name string, msgs ...wire.Message) error
	// Broadcast queues messages for every linked entry and returns the number
	// of these entries.
	Broadcast(msgs ...wire.Message) int
	// Linked returns the names of the linked entries of a data centre.
	Linked(dc string) []string
	// DCOf returns the data centre of a linked entry.
	DCOf(name string) (string, bool)
	// RTT returns the round-trip time to a linked entry. It reports false
	// until one has been measured.
	RTT(name string) (time.Duration, bool)
}

// ExternalClaims claims keys of this data centre for the old system.
type ExternalClaims interface {
	// ClaimExternal returns nil if the old system may run the work of the key.
	// Otherwise the error describes the state of the key.
	ClaimExternal(ctx context.Context, k key.Key) error
}

// Journal records outcomes for the account.
type Journal interface {
	// Record adds an outcome. It reports false if the journal is full.
	Record(rec journal.Record) bool
	// Full reports whether the journal might drop outcomes once the given number
	// of running executions have ended.
	Full(running int) bool
}

// Config holds the settings and dependencies of an Engine.
type Config struct {
	Self   structs.Member
	DC     string
	Claims claims.Claims
	// Journal records the outcomes of work that needed no claim.
	Journal Journal
	// ExternalClaims claims keys for the old system.
	ExternalClaims ExternalClaims
	Links          Links
	// Manifest returns the manifest in force, or nil.
	Manifest func() *manifest.Manifest
	// Member reports whether this entry may claim keys now.
	Member func() bool
	// KnownDC reports whether a data centre is listed, or was until recently.
	KnownDC func(dc string) bool
	// DCListWatchedFor returns for how long the list of data centres has been
	// read without a gap.
	DCListWatchedFor func() time.Duration
	Policy           admission.Policy
	Metrics          *metrics.Metrics
	Log              *slog.Logger
	// Dispatch runs tasks on targets.
	Dispatch *dispatch.Dispatcher
	// AnswerBytes limits the memory for answers of all unfinished jobs, in
	// bytes.
	AnswerBytes int64
}

// Engine runs the work that callers submit to one entry, and the tasks that
// peers offload to it.
type Engine struct {
	Config
	started    time.Time
	baseCtx    context.Context // ends when the process abandons running work
	cancelBase context.CancelFunc
	inFlight   *inFlight

	requests      *scheduler
	jobs          *scheduler
	forwarder     *forwarder
	peerTasks     *peerTasks
	outbox        *outbox
	resultBatcher *resultBatcher
	loadReceivers int // number of entries that the last load report was sent to
	answerMemory  *dispatch.AnswerMemory

	mu             sync.Mutex
	executions     map[key.Key]*execution
	pendingRecords int // executions whose outcome may still be recorded in the account
}

// New returns an engine that owns no targets yet.
func New(c Config) *Engine {
	e := &Engine{
		Config:       c,
		started:      time.Now(),
		inFlight:     newInFlight(),
		peerTasks:    newPeerTasks(),
		outbox:       newOutbox(),
		answerMemory: dispatch.NewAnswerMemory(c.AnswerBytes),
		executions:   make(map[key.Key]*execution),
	}
	e.baseCtx, e.cancelBase = context.WithCancel(context.Background())
	e.requests = newScheduler(e, structs.Request)
	e.jobs = newScheduler(e, structs.Job)
	e.forwarder = newForwarder(e)
	e.resultBatcher = newResultBatcher(e.sendResults)
	return e
}

// Mint implements api.Engine.
func (e *Engine) Mint() (key.Key, error) { return key.New(e.DC) }

// Do implements api.Engine.
func (e *Engine) Do(ctx context.Context, w *structs.Work) structs.Outcome {
	return e.Submit(ctx, w, func() {})
}

// Submit implements api.Engine.
func (e *Engine) Submit(ctx context.Context, w *structs.Work, accepted func()) structs.Outcome {
	return e.submit(ctx, w, accepted, func() bool { return true })
}

// submit runs work unless awaited reports, once the claim is granted, that nobody waits for
// the outcome any longer.
func (e *Engine) submit(ctx context.Context, w *structs.Work, accepted func(), awaited func() bool) structs.Outcome {
	if w.Key.DC != e.DC {
		accepted()
		return e.forwarder.submit(ctx, w)
	}
	if !e.inFlight.tryAdd() {
		return e.forwardOrRefuse(ctx, w, verdict.New(verdict.NotRun, verdict.Draining, "this entry is stopping").WithRetryAfter(retryAfterShort))
	}
	defer e.inFlight.remove()
	claimed := !w.Repeatable && !w.FreshKey
	if claimed && !e.Member() {
		return e.forwardOrRefuse(ctx, w, verdict.New(verdict.NotRun, verdict.NotReady, "this entry is not a member of the view in force").WithRetryAfter(retryAfterShort))
	}
	if claimed {
		c, err := e.acquire(ctx, w)
		if err != nil {
			return structs.OutcomeFromError(err)
		}
		if !c.Granted {
			return *c.Outcome
		}
		if !awaited() {
			o := notAwaited()
			e.Claims.Finish(w.Key, o)
			return o
		}
	}
	ex := e.execute(w, claimed)
	select {
	case <-ex.done:
	default:
		accepted()
	}
	deadlineTimer := time.NewTimer(time.Until(w.Deadline))
	defer deadlineTimer.Stop()
	select {
	case <-ex.done:
		return requestOutcome(w, ex.outcome)
	case <-deadlineTimer.C:
		return structs.OutcomeFromError(verdict.New(verdict.MayHaveRun, verdict.Timeout, "the deadline passed while the work was running"))
	case <-ctx.Done():
		return e.callerGone(ex)
	}
}

// forwardOrRefuse forwards work that this entry can't accept now to another
// entry of its data centre. If none is linked, it refuses the work.
func (e *Engine) forwardOrRefuse(ctx context.Context, w *structs.Work, refusal *verdict.Error) structs.Outcome {
	if len(e.Links.Linked(e.DC)) == 0 {
		return e.refusalOutcome(ctx, w, refusal)
	}
	return e.forwarder.submit(ctx, w)
}

// requestOutcome converts the outcome of this copy of the work to the outcome
// of the request. Copies of repeatable work are not recorded, so under a key
// that the caller supplied an earlier copy may have run.
func requestOutcome(w *structs.Work, o structs.Outcome) structs.Outcome {
	if o.Verdict == verdict.NotRun && w.Repeatable && !w.FreshKey {
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// callerGone handles a caller that disconnected. It cancels repeatable work.
// Other work continues, and its answer is kept for a resubmission.
func (e *Engine) callerGone(ex *execution) structs.Outcome {
	err := verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller disconnected")
	if ex.work.Repeatable {
		ex.cancelBecause(err)
	}
	return structs.OutcomeFromError(err)
}

// execute queues the tasks of work that no other entry may start.
func (e *Engine) execute(w *structs.Work, claimed bool) *execution {
	ex := newExecution(e.baseCtx, w, e.answerMemory, func(o structs.Outcome) { e.finish(w, claimed, o) })
	e.inFlight.add()
	e.track(ex)
	err := e.checkJournal(w)
	if err == nil {
		err = e.scheduler(w.Class).submit(ex, claimed)
	}
	if err != nil {
		e.rejectAll(ex, err)
	}
	return ex
}

// checkJournal rejects work if the journal might have no room for its outcome.
// The work is already tracked and counts as running. The check comes after the
// claim, so that a key that ran before still gets its kept answer.
func (e *Engine) checkJournal(w *structs.Work) *verdict.Error {
	if w.Repeatable || !e.journalFull(0) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.MemoryFull, "the journal is full: too many outcomes are waiting to be written to the platform").WithRetryAfter(retryAfterJournalFull)
}

// journalFull reports whether the journal might lack room for the outcomes of
// the running work and of more pieces of work.
func (e *Engine) journalFull(more int) bool {
	e.mu.Lock()
	running := e.pendingRecords
	e.mu.Unlock()
	return e.Journal.Full(running + more)
}

// rejectAll ends an execution without queued tasks by failing each task with err.
func (e *Engine) rejectAll(ex *execution, err *verdict.Error) {
	for i := range ex.work.Tasks {
		ex.addResult(i, result{err: err})
	}
}

// finish records the outcome. It is called before any caller sees the outcome,
// so that a resubmission after the answer finds the kept one.
func (e *Engine) finish(w *structs.Work, claimed bool, o structs.Outcome) {
	defer e.inFlight.remove()
	if claimed {
		e.Claims.Finish(w.Key, o)
	} else if !w.Repeatable && o.Verdict != verdict.NotRun {
		e.recordUnclaimed(w, o)
	}
	e.untrack(w)
}

// recordUnclaimed records the outcome of work that ran without a claim.
func (e *Engine) recordUnclaimed(w *structs.Work, o structs.Outcome) {
	rec := journal.RecordOf(w.Key, o)
	rec.Digest = w.Digest()
	rec.Kind = w.Kind
	rec.Team = w.Team
	e.Journal.Record(rec)
}

func (e *Engine) track(ex *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions[ex.work.Key] = ex
	if !ex.work.Repeatable {
		e.pendingRecords++
	}
}

func (e *Engine) untrack(w *structs.Work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.executions, w.Key)
	if !w.Repeatable {
		e.pendingRecords--
	}
}

func (e *Engine) tracked(k key.Key) *execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[k]
}

func (e *Engine) scheduler(c structs.Class) *scheduler {
	if c == structs.Job {
		return e.jobs
	}
	return e.requests
}

// Lookup implements api.Engine.
func (e *Engine) Lookup(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error) {
	if k.DC != e.DC {
		return e.forwarder.lookup(ctx, k, wait)
	}
	ex := e.tracked(k)
	if ex == nil && e.shouldForward() {
		return e.forwarder.lookup(ctx, k, wait)
	}
	if ex == nil {
		return e.lookupAtHome(ctx, k, wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-ex.done:
		return &ex.outcome, nil
	case <-ctx.Done():
		return nil, nil
	}
}

// shouldForward reports whether calls that concern a key have to go to another
// entry of this data centre: this entry is not in the view, so it holds no
// records of keys, and another entry is linked.
func (e *Engine) shouldForward() bool {
	return !e.Member() && len(e.Links.Linked(e.DC)) > 0
}

// lookupAtHome polls the key's home until the work has ended or wait is over.
// The home gets lookupTimeout to answer even if wait is 0.
func (e *Engine) lookupAtHome(ctx context.Context, k key.Key, wait time.Duration) (*structs.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+lookupTimeout)
	defer cancel()
	waitEnd := time.Now().Add(wait)
	for {
		o, err := e.Claims.Outcome(ctx, k)
		if o != nil || err != nil {
			return o, err
		}
		waitLeft := time.Until(waitEnd)
		if waitLeft <= 0 {
			return nil, nil
		}
		select {
		case <-time.After(min(waitLeft, lookupInterval)):
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// Cancel implements api.Engine. It returns once every task of the work is known
// to have ended or to have never started.
func (e *Engine) Cancel(ctx context.Context, k key.Key) (structs.Outcome, error) {
	if k.DC != e.DC {
		return e.forwarder.cancel(ctx, k)
	}
	if e.tracked(k) == nil {
		return e.cancelAtPeers(ctx, k)
	}
	return e.cancelLocal(ctx, k)
}

// Refuse implements api.Engine. It keeps the verdict NotRun only if the home of
// the key has no record of the key.
func (e *Engine) Refuse(ctx context.Context, k key.Key, err error) error {
	refusal := verdict.FromError(err)
	if refusal.Verdict != verdict.NotRun {
		return refusal
	}
	homeErr := e.refuseAtHome(ctx, k)
	if homeErr == nil {
		return refusal
	}
	return homeErr
}

func (e *Engine) refuseAtHome(ctx context.Context, k key.Key) error {
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	if k.DC != e.DC {
		return e.forwarder.refuse(ctx, k)
	}
	if e.tracked(k) != nil {
		return verdict.New(verdict.MayHaveRun, verdict.KeyConflict, "a request with key %s is running at this entry", k)
	}
	if e.shouldForward() {
		return e.forwarder.refuse(ctx, k)
	}
	return e.Claims.Refuse(ctx, k)
}

// refusalOutcome returns the outcome of work that was refused before its key
// was claimed.
func (e *Engine) refusalOutcome(ctx context.Context, w *structs.Work, err *verdict.Error) structs.Outcome {
	if w.FreshKey {
		return structs.OutcomeFromError(err)
	}
	return structs.OutcomeFromError(e.Refuse(ctx, w.Key, err))
}

// Drain stops accepting work and waits until all work in flight has ended, or
// ctx ends. At its next tick, Run reports to the peers that this entry has no
// room.
func (e *Engine) Drain(ctx context.Context) error {
	e.inFlight.close()
	return e.inFlight.wait(ctx)
}

// Close abandons the work that is still running.
func (e *Engine) Close() { e.cancelBase() }
