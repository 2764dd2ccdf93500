// Package engine carries work from its arrival to its outcome: it claims,
// queues, places, starts and answers requests and jobs, hands tasks to peers
// with room, and forwards work to the data centre of its key.
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
	// Send queues messages for the entry of that name. An error means that
	// nothing was sent.
	Send(name string, msgs ...wire.Message) error
	// Broadcast queues messages for every linked entry.
	Broadcast(msgs ...wire.Message) int
	// Linked returns the names of the linked entries of a data centre.
	Linked(dc string) []string
	// DCOf returns the data centre of a linked entry.
	DCOf(name string) (string, bool)
	// RTT returns the round trip to a linked entry, if it is known yet.
	RTT(name string) (time.Duration, bool)
}

// ExternalClaims claims keys of this data centre for the old system.
type ExternalClaims interface {
	// ClaimExternal returns nil if the old system may run the key, else what
	// is known of the key.
	ClaimExternal(ctx context.Context, k key.Key) error
}

// Journal takes outcomes into the account.
type Journal interface {
	// Record adds an outcome. It reports false if the journal is full.
	Record(e journal.Entry) bool
	// Full reports whether outcomes could be dropped once running pieces of
	// work have ended.
	Full(running int) bool
}

// Config holds what an engine is built from.
type Config struct {
	Self   structs.Member
	DC     string
	Claims claims.Claims
	// Journal takes the outcomes of work that needed no claim.
	Journal Journal
	// ExternalClaims claims keys for the old system.
	ExternalClaims ExternalClaims
	Links          Links
	// Manifest returns the manifest in force, or nil.
	Manifest func() *manifest.Manifest
	// Member reports whether this entry may claim keys now.
	Member func() bool
	// KnownDC reports whether a data centre is or was lately listed.
	KnownDC func(dc string) bool
	// DCListWatchedFor returns for how long the list of data centres has been read
	// without a gap.
	DCListWatchedFor func() time.Duration
	Policy           admission.Policy
	Metrics          *metrics.Metrics
	Log              *slog.Logger
	// Dispatch carries out tasks at targets.
	Dispatch *dispatch.Dispatcher
	// AnswerBytes bounds the answers of all unfinished jobs, in bytes.
	AnswerBytes int64
}

// Engine carries work at one entry.
type Engine struct {
	Config
	started    time.Time
	baseCtx    context.Context // ends when the process gives up what runs
	cancelBase context.CancelFunc
	inFlight   *inFlight

	requests      *scheduler
	jobs          *scheduler
	forwarder     *forwarder
	peerTasks     *peerTasks
	outbox        *outbox
	resultBatcher *resultBatcher
	loadReceivers int // entries that the last load went to
	answerMemory  *dispatch.AnswerMemory

	mu             sync.Mutex
	executions     map[key.Key]*execution
	pendingRecords int // groups whose outcome goes into the account
}

// New returns an engine without targets.
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
	if w.Key.DC != e.DC {
		accepted()
		return e.forwarder.submit(ctx, w)
	}
	if !e.inFlight.tryAdd() {
		return e.forwardOrRefuse(ctx, w, verdict.New(verdict.NotRun, verdict.Draining, "this entry is stopping").After(retryAfterShort))
	}
	defer e.inFlight.remove()
	claimed := !w.Repeatable && !w.Fresh
	if claimed && !e.Member() {
		return e.forwardOrRefuse(ctx, w, verdict.New(verdict.NotRun, verdict.NotReady, "this entry is in no view in force").After(retryAfterShort))
	}
	if claimed {
		c, err := e.Claims.Acquire(ctx, w.Key, w.Digest())
		if err != nil {
			return structs.OutcomeOf(err)
		}
		if !c.Granted {
			return *c.Kept
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
		return structs.OutcomeOf(verdict.New(verdict.MayHaveRun, verdict.Timeout, "the deadline passed while the work ran"))
	case <-ctx.Done():
		return e.callerGone(ex)
	}
}

// forwardOrRefuse hands work that this entry can't take now to another entry of its
// data centre. Without one it refuses.
func (e *Engine) forwardOrRefuse(ctx context.Context, w *structs.Work, refusal *verdict.Error) structs.Outcome {
	if len(e.Links.Linked(e.DC)) == 0 {
		return e.refusalOutcome(ctx, w, refusal)
	}
	return e.forwarder.submit(ctx, w)
}

// requestOutcome turns the outcome of this copy of the work into one of the
// request: nobody records the copies of repeatable work, so an earlier one may
// have run under a key that the caller brought.
func requestOutcome(w *structs.Work, o structs.Outcome) structs.Outcome {
	if o.Verdict == verdict.NotRun && w.Repeatable && !w.Fresh {
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// callerGone handles a caller that went away. Repeatable work stops, the rest
// goes on and its answer is kept for the resubmission.
func (e *Engine) callerGone(ex *execution) structs.Outcome {
	err := verdict.New(verdict.MayHaveRun, verdict.Cancelled, "the caller went away")
	if ex.work.Repeatable {
		ex.cancelBecause(err)
	}
	return structs.OutcomeOf(err)
}

// execute queues the tasks of work that this entry alone may start.
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

// checkJournal refuses work whose outcome the account might lose. The work is
// tracked already and counts as running. Its claim was granted, so that a key
// that ran before has its kept answer all the same.
func (e *Engine) checkJournal(w *structs.Work) *verdict.Error {
	if w.Repeatable || !e.journalFull(0) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.MemoryFull, "too many outcomes wait for the platform").After(retryAfterJournalFull)
}

// journalFull reports whether the outcomes of what runs, and of more, might
// find no room.
func (e *Engine) journalFull(more int) bool {
	e.mu.Lock()
	running := e.pendingRecords
	e.mu.Unlock()
	return e.Journal.Full(running + more)
}

// rejectAll ends a group of which nothing was queued.
func (e *Engine) rejectAll(ex *execution, err *verdict.Error) {
	for i := range ex.work.Tasks {
		ex.addResult(i, result{err: err})
	}
}

// finish records the outcome before any caller sees it, so that a resubmission
// that follows an answer finds it kept.
func (e *Engine) finish(w *structs.Work, claimed bool, o structs.Outcome) {
	defer e.inFlight.remove()
	if claimed {
		e.Claims.Finish(w.Key, o)
	} else if !w.Repeatable && o.Verdict != verdict.NotRun {
		e.recordUnclaimed(w, o)
	}
	e.untrack(w)
}

// recordUnclaimed records work under a key that no claim records.
func (e *Engine) recordUnclaimed(w *structs.Work, o structs.Outcome) {
	entry := journal.EntryOf(w.Key, o)
	entry.Digest = w.Digest()
	entry.Kind = w.Kind
	entry.Team = w.Team
	e.Journal.Record(entry)
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

// shouldForward reports whether this entry knows of no keys, being in no view, and
// can ask others of its data centre.
func (e *Engine) shouldForward() bool {
	return !e.Member() && len(e.Links.Linked(e.DC)) > 0
}

// lookupAtHome asks the key's home until the work is over or the wait is.
// The home gets the time to answer even without a wait.
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

// Cancel implements api.Engine. The answer waits until every task of the work
// is known to be over or to have never started.
func (e *Engine) Cancel(ctx context.Context, k key.Key) (structs.Outcome, error) {
	if k.DC != e.DC {
		return e.forwarder.cancel(ctx, k)
	}
	if e.tracked(k) == nil {
		return e.cancelAtPeers(ctx, k)
	}
	return e.cancelLocal(ctx, k)
}

// Refuse implements api.Engine. The verdict NotRun stands only if the home of
// the key has no record of it.
func (e *Engine) Refuse(ctx context.Context, k key.Key, err error) error {
	refusal := verdict.Of(err)
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
		return verdict.New(verdict.MayHaveRun, verdict.KeyConflict, "a request with key %s runs at this entry", k)
	}
	if e.shouldForward() {
		return e.forwarder.refuse(ctx, k)
	}
	return e.Claims.Refuse(ctx, k)
}

// refusalOutcome is the outcome of work that was refused before it was claimed.
func (e *Engine) refusalOutcome(ctx context.Context, w *structs.Work, err *verdict.Error) structs.Outcome {
	if w.Fresh {
		return structs.OutcomeOf(err)
	}
	return structs.OutcomeOf(e.Refuse(ctx, w.Key, err))
}

// Drain takes no new work and waits until what runs is over, or ctx ends. The
// next beat of Run tells the peers that there is no room here any more.
func (e *Engine) Drain(ctx context.Context) error {
	e.inFlight.close()
	return e.inFlight.wait(ctx)
}

// Close gives up what still runs.
func (e *Engine) Close() { e.cancelBase() }
