package claims

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"currantstall/internal/journal"
	"currantstall/internal/key"
	"currantstall/internal/ledger"
	"currantstall/internal/membership"
	"currantstall/internal/metrics"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

const (
	tickInterval     = 10 * time.Millisecond
	maxLazyDelay     = 20 * time.Millisecond // longest wait of a lazy message
	tableTimeout     = time.Second           // of one read or put of the view's row
	lookupTimeout    = time.Second           // of one look-up in the account
	suspendThreshold = 100 * time.Millisecond
	rowPrefix        = "view/"
)

// Transport sends messages to the entries of this data centre. Messages to an
// entry without a link are dropped. Send must not block.
type Transport interface {
	Send(to structs.Member, msgs ...wire.Message)
}

// Journal keeps the account.
type Journal interface {
	// Record adds an outcome; it reports whether there was room.
	Record(e journal.Record) bool
	// Lookup finds what the account has of a key.
	Lookup(ctx context.Context, k key.Key) (e journal.Record, found bool, err error)
}

// Config provisions a Runtime. Table and Transport are required.
type Config struct {
	// Self is this run of the entry. Its incarnation must be above those of
	// all earlier runs of the name, such as the start time in ms.
	Self       structs.Member
	Membership membership.Config
	Ledger     ledger.Config
	Table      platform.Table
	Transport  Transport
	Journal    Journal          // nil records nowhere
	Metrics    *metrics.Metrics // nil counts nowhere
	Log        *slog.Logger     // nil stands for slog.Default
	// OnViewChange is called, one call at a time, with each change of Snapshot's
	// views. It must not block. Nil is allowed.
	OnViewChange func(Snapshot)
}

// Snapshot is the state of the membership at one time.
type Snapshot struct {
	// Self is this run as a member. It changes when the entry was removed
	// and enters again.
	Self structs.Member
	// InForce is the newest view in force that this member knows; version 0
	// for none. Newest may be ahead of it.
	InForce, Newest structs.View
	// Ready means that this run is in both.
	Ready bool
}

// Runtime runs the membership and the ledger of one entry. One goroutine owns
// their events and actions. It implements Claims.
type Runtime struct {
	cfg Config

	inbox inbox
	done  chan struct{}
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup

	// mu guards the cores, so that MayStart needs no turn of the loop.
	mu         sync.Mutex
	self       structs.Member
	membership *membership.State
	ledger     *ledger.Ledger
	prevLedger *ledger.Ledger // of the run before, which was removed
	lastStep   time.Time      // of the newest step

	// Owned by the loop.
	calls      map[uint64]*call
	lastCallID uint64
	links      map[string]structs.Member
	outboxes   map[string]*outbox
	leaving    bool
	left       chan struct{} // closed when this entry has left
	reported   Snapshot
}

var _ Claims = (*Runtime)(nil)

// New returns a Runtime that does nothing before Start.
func New(cfg Config) (*Runtime, error) {
	if cfg.Table == nil || cfg.Transport == nil {
		return nil, errors.New("claims: Table and Transport are required")
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewNop()
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runtime{
		cfg:      cfg,
		inbox:    newInbox(),
		done:     make(chan struct{}),
		stop:     cancel,
		ctx:      ctx,
		calls:    make(map[uint64]*call),
		links:    make(map[string]structs.Member),
		outboxes: make(map[string]*outbox),
		left:     make(chan struct{}),
	}
	r.startIncarnation(cfg.Self)
	return r, nil
}

// startIncarnation makes new cores for a run that is in no view yet.
func (r *Runtime) startIncarnation(self structs.Member) {
	r.self = self
	r.prevLedger = r.ledger
	r.lastStep = time.Now()
	r.membership = membership.New(r.cfg.Membership, self, r.lastStep)
	r.ledger = ledger.New(r.cfg.Ledger, self)
}

// stepTime returns the time of a step. The monotonic clock stands still while a VM
// is suspended; the wall clock, set on resume, tells. The caller holds mu.
func (r *Runtime) stepTime() time.Time {
	now := time.Now()
	if wallClockGain(r.lastStep, now) > suspendThreshold {
		r.membership.DropLeases(now)
	}
	r.lastStep = now
	return now
}

// wallClockGain returns how much more time passed on the wall clock.
func wallClockGain(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// Start begins to take part: the entry enters the view as soon as it can.
func (r *Runtime) Start() {
	go r.loop()
}

// Stop ends the loop and waits for it. Blocked calls return errors. It does
// not leave the view.
func (r *Runtime) Stop() {
	r.stop()
	<-r.done
	r.wg.Wait()
}

// Ready reports whether this entry is in a view in force and may claim.
func (r *Runtime) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Ready()
}

// Snapshot returns the state of the membership.
func (r *Runtime) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot()
}

func (r *Runtime) snapshot() Snapshot {
	return Snapshot{Self: r.self, InForce: r.membership.InForce(), Newest: r.membership.View(), Ready: r.membership.Ready()}
}

// KeptSize returns the number of keys and the bytes of answers in memory.
func (r *Runtime) KeptSize() (keys int, answerBytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.KeptSize()
}

// SetLimits changes the life of keys and the bytes of kept answers.
func (r *Runtime) SetLimits(keyTTL time.Duration, keptAnswerBytes int64) {
	r.post(func() {
		r.cfg.Ledger.KeyTTL = keyTTL
		r.cfg.Ledger.KeptAnswerBytes = keptAnswerBytes
		r.ledger.SetLimits(keyTTL, keptAnswerBytes)
	})
}

// Leave hands this entry's claims and kept answers to the other members and
// leaves the view. The caller has finished its own claims before. If ctx ends
// first, the entry goes without having left, and the error says so.
func (r *Runtime) Leave(ctx context.Context) error {
	r.post(func() {
		if r.leaving {
			return
		}
		r.leaving = true
		r.stepLedger(ledger.Leave{})
		if v := r.membership.View(); !v.Has(r.self) {
			r.stepMembership(membership.Quit{})
		}
	})
	select {
	case <-r.left:
		return nil
	case <-r.done:
		return errors.New("leave the view: stopped")
	case <-ctx.Done():
		r.post(func() { r.stepMembership(membership.Quit{}) })
		return errors.Join(errors.New("leave the view: the table or a member did not answer"), ctx.Err())
	}
}

// LinkUp reports a live link to an entry of this data centre.
func (r *Runtime) LinkUp(m structs.Member) {
	r.post(func() {
		r.links[m.Name] = m
		r.stepMembership(membership.PeerSeen{Member: m})
	})
}

// LinkDown reports the end of a link. Silence alone decides on a removal.
func (r *Runtime) LinkDown(m structs.Member) {
	r.post(func() {
		if r.links[m.Name].Incarnation <= m.Incarnation {
			delete(r.links, m.Name)
		}
	})
}
