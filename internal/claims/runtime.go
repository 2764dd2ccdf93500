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
	maxLazyDelay     = 20 * time.Millisecond  // longest delay of a lazy message
	tableTimeout     = time.Second            // of one read or write of the view's row
	lookupTimeout    = time.Second            // of one lookup in the account
	suspendThreshold = 100 * time.Millisecond // lead of the wall clock that counts as a suspension of the VM
	rowPrefix        = "view/"
)

// Transport sends messages to the entries of this data centre. Messages to an
// entry without a link are dropped. Send must not block.
type Transport interface {
	Send(to structs.Member, msgs ...wire.Message)
}

// Journal records outcomes in the account.
type Journal interface {
	// Record adds an outcome. It reports whether there was room for it.
	Record(e journal.Record) bool
	// Lookup returns the account's record of a key.
	Lookup(ctx context.Context, k key.Key) (e journal.Record, found bool, err error)
}

// Config configures a Runtime. Table and Transport are required.
type Config struct {
	// Self is this incarnation of the entry. Its number must be higher than
	// those of all earlier incarnations of the name, such as the start time in
	// ms.
	Self       structs.Member
	Membership membership.Config
	Ledger     ledger.Config
	Table      platform.Table
	Transport  Transport
	Journal    Journal          // nil for no records
	Metrics    *metrics.Metrics // nil for no metrics
	Log        *slog.Logger     // nil for slog.Default
	// OnViewChange is called after each change of the Snapshot, one call at a
	// time. It must not block. It may be nil.
	OnViewChange func(Snapshot)
}

// Snapshot is the state of the membership at one time.
type Snapshot struct {
	// Self is this incarnation of the entry. It changes when the entry was
	// removed from the view and joins again.
	Self structs.Member
	// InForce is the newest view that this entry knows to be in force; version
	// 0 for none. Newest is the newest known view, which may be ahead of it.
	InForce, Newest structs.View
	// Ready means that this incarnation is a member of both views.
	Ready bool
}

// Runtime runs the membership and the ledger of one entry. A single goroutine,
// the loop, handles their events and actions. It implements Claims.
type Runtime struct {
	cfg Config

	inbox inbox
	done  chan struct{}
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup

	// mu guards the state machines, so that MayStart can use them without
	// waiting for the loop.
	mu         sync.Mutex
	self       structs.Member
	membership *membership.State
	ledger     *ledger.Ledger
	prevLedger *ledger.Ledger // of the previous incarnation, which was removed from the view
	lastStep   time.Time      // time of the last step

	// Owned by the loop.
	calls      map[uint64]*call
	lastCallID uint64
	links      map[string]structs.Member
	outboxes   map[string]*outbox
	leaving    bool
	left       chan struct{} // closed when the membership has ended after Leave
	reported   Snapshot
}

var _ Claims = (*Runtime)(nil)

// New returns a Runtime. It does nothing before Start.
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

// startIncarnation creates the state machines of an incarnation that is in no
// view yet.
func (r *Runtime) startIncarnation(self structs.Member) {
	r.self = self
	r.prevLedger = r.ledger
	r.lastStep = time.Now()
	r.membership = membership.New(r.cfg.Membership, self, r.lastStep)
	r.ledger = ledger.New(r.cfg.Ledger, self)
}

// stepTime returns the time of a step. The monotonic clock stops while a VM is
// suspended, but the wall clock is set on resume: if it has gained on the
// monotonic clock, the leases are dropped. The caller holds mu.
func (r *Runtime) stepTime() time.Time {
	now := time.Now()
	if wallClockGain(r.lastStep, now) > suspendThreshold {
		r.membership.DropLeases(now)
	}
	r.lastStep = now
	return now
}

// wallClockGain returns how much more time passed on the wall clock than on the
// monotonic clock.
func wallClockGain(from, to time.Time) time.Duration {
	return to.Round(0).Sub(from.Round(0)) - to.Sub(from)
}

// Start starts the loop. The entry joins the view as soon as it can.
func (r *Runtime) Start() {
	go r.loop()
}

// Stop ends the loop and waits for it. Blocked calls return errors. The entry
// does not leave the view.
func (r *Runtime) Stop() {
	r.stop()
	<-r.done
	r.wg.Wait()
}

// Ready reports whether this entry is a member of the view in force and may
// claim keys.
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

// KeptSize returns the number of claims and the bytes of answers in memory.
func (r *Runtime) KeptSize() (keys int, answerBytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.KeptSize()
}

// SetLimits changes the lifetime of keys and the limit on the bytes of kept
// answers.
func (r *Runtime) SetLimits(keyTTL time.Duration, keptAnswerBytes int64) {
	r.post(func() {
		r.cfg.Ledger.KeyTTL = keyTTL
		r.cfg.Ledger.KeptAnswerBytes = keptAnswerBytes
		r.ledger.SetLimits(keyTTL, keptAnswerBytes)
	})
}

// Leave hands over this entry's claims and kept answers to the other members
// and leaves the view. The caller must have finished its own claims. If ctx
// ends first, the entry ends its membership without having left, and returns an
// error.
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
		return errors.New("leave the view: the entry has stopped")
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

// LinkDown reports the end of a link. It does not cause a removal: only missing
// heartbeats do.
func (r *Runtime) LinkDown(m structs.Member) {
	r.post(func() {
		if r.links[m.Name].Incarnation <= m.Incarnation {
			delete(r.links, m.Name)
		}
	})
}
