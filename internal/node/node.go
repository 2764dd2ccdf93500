// Package node runs an entry of a pooled deployment. It coordinates its callers'
// jobs, follows the leaders of the pools or leads some of them, and sends the orders of
// its pools to the targets. All state belongs to one goroutine, the loop, which
// handles events one at a time. Blocking calls run in goroutines of their own and
// post their results as events.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"currantstall/internal/coldstart"
	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/metrics"
	"currantstall/internal/peer"
	"currantstall/internal/pool"
	"currantstall/internal/structs"
)

// Config configures a Node.
type Config struct {
	Self    fleet.Member
	Secret  []byte // shared by all entries
	Targets fleet.Targets
	// Adviser issues the tickets for queues that need them; nil if there is none.
	Adviser fleet.Adviser
	// Jobs gives access to the tables of stored jobs; nil disables stored jobs.
	Jobs jobstore.Tables
	// Layouts keeps the layout of the pools; nil means one pool for all targets.
	Layouts Layouts
	// MilliCPU is the size of the VM in thousandths of a core, 0 if unknown. Larger
	// entries lead before smaller ones.
	MilliCPU int64
	// LinkBytesPerSecond is the capacity of the VM's network link, 0 if unknown.
	LinkBytesPerSecond float64
	// RowsRenewed is set if ObserveRenewals is called after each read of the targets.
	RowsRenewed bool
	// ReadsEvacuated is set if SetEvacuated is called after each read of the operators' rows.
	ReadsEvacuated bool
	// ColdStart limits the load of targets that are slow after their start; the zero value limits nothing.
	ColdStart coldstart.Bounds
	// JobBytes bounds the memory for the jobs of the pools that this entry leads, in bytes; 0 means no bound.
	JobBytes int64
	// Seeds are addresses of entries that may know the others.
	Seeds   []string
	Metrics *metrics.Metrics
	Log     *slog.Logger
}

const (
	// silentAfter is the time without any message after which a link is closed. It
	// is short compared with the pool's lease, so that the next leader takes over
	// runs before their leases expire, and long compared with the 60 ms for which a CPU quota
	// pauses the processes of a VM.
	silentAfter = 350 * time.Millisecond
	// relaxedSilentAfter replaces silentAfter for a peer that no job waits for. Heartbeats
	// of followers arrive within each third of it, so that such a link carries no others.
	relaxedSilentAfter = 1800 * time.Millisecond
	// dialTimeout limits an attempt to dial a peer.
	dialTimeout = 500 * time.Millisecond
	// retain is how long a link keeps undelivered messages for a new connection:
	// the shortest time that the peer package accepts. A message that a lost link did
	// not deliver is sent again by the code that still needs it.
	retain = time.Nanosecond
	// queueBytes limits the messages that wait to be sent to one peer.
	queueBytes = 8 << 20
	// heartbeatInterval is the time between two heartbeats to the peers of an entry that
	// leads a pool, whose load they report. It grows by heartbeatIntervalPerLink for each
	// link, up to maxLeaderHeartbeatInterval: an answer to the last heartbeat has to permit
	// whole leases, so the interval stays below the difference of pool.DefaultVouchFor and
	// pool.DefaultLease. Links notice the loss of a peer by themselves.
	heartbeatInterval          = 200 * time.Millisecond
	heartbeatIntervalPerLink   = 2 * time.Millisecond
	maxLeaderHeartbeatInterval = 300 * time.Millisecond
	// followerHeartbeatInterval is the interval of entries that lead nothing.
	followerHeartbeatInterval = 500 * time.Millisecond
	// tickInterval is the interval at which the loop checks timeouts and due work.
	tickInterval = 20 * time.Millisecond
	// eventQueueLength is the number of events that may wait for the loop.
	eventQueueLength = 8192
)

// event is a change of the node's state. It runs on the loop's goroutine and must
// not block.
type event func(now time.Duration)

// Node is a running entry, created by Start. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	log     *slog.Logger
	counts  *counts
	clock   *clock
	events  chan event
	stopped chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	peers   *peer.Node

	config         atomic.Pointer[fleet.Config]
	targetInterval atomic.Int64 // see TargetInterval
	targetsDue     chan struct{}
	ready          atomic.Bool
	stopping       atomic.Bool

	// Owned by the loop.
	joined          uint64 // when this entry started, Unix time in ms
	layout          fleet.Layout
	layoutKnown     bool // the layout of the store was read, or a peer has sent it
	keeper          layoutKeeper
	lane            startLane
	delegated       delegations
	vouching        vouching
	containment     containment
	shards          []*shard        // one for each pool of the layout
	memory          *pool.Memory    // for the jobs of all shards
	rooms           *pool.Rooms     // of all targets that this entry or a linked peer has ever had listed
	electionsDue    bool            // something that the elections depend on has changed
	policiesDue     bool            // a link has come up or gone down
	relaxed         map[string]bool // peers whose loss need not be noticed quickly
	suspectUntil    time.Duration   // until when none is
	takesSuspicions map[string]bool // linked peers that read wire.PoolSuspects
	takesHomeNotes  map[string]bool // linked peers that read wire.PoolHome
	takesLeftJobs   map[string]bool // linked peers that answer questions about jobs that have left their pools
	questions       questions
	linked          map[string]bool
	roster          roster
	linkPlan        linkPlanner
	pending         map[string]*pendingJob
	nextDeparture   time.Duration // when the next caller leaves by its deadline, never if none does
	lastSubmission  uint64        // number of the last submission to a leader
	directory       directory
	evacuation      evacuations
	lastHeartbeatAt time.Duration
	nextSpeedsAt    time.Duration // when the next heartbeat has the speeds of targets
	lastState       leadState     // as of the heartbeat sent last
	lag             lagMeter
	waits           queueWaits
	load            loadMeter
	stored          storedJobs
	owners          sync.WaitGroup // running owners of stored jobs
}

// Start starts a node, which runs until Close.
func Start(cfg Config) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: cfg.Log, counts: newCounts(cfg.Metrics), clock: newClock(), nextDeparture: never,
		events: make(chan event, eventQueueLength), targetsDue: make(chan struct{}, 1), stopped: make(chan struct{}),
		ctx: ctx, cancel: cancel,
		linked: make(map[string]bool), roster: newRoster(), linkPlan: linkPlanner{wantedAt: make(map[string]time.Duration), redialedAt: make(map[string]time.Duration)}, relaxed: make(map[string]bool), takesSuspicions: make(map[string]bool), takesHomeNotes: make(map[string]bool), takesLeftJobs: make(map[string]bool), questions: newQuestions(), pending: make(map[string]*pendingJob),
		directory: newDirectory(), evacuation: newEvacuations(cfg.Metrics), stored: newStoredJobs(&cfg),
		lane: startLane{bytesPerSecond: cfg.LinkBytesPerSecond, delegatedBytes: make(map[string]int)}, delegated: delegations{open: make(map[uint64]delegatedStart)}, vouching: newVouching(),
	}
	n.directory.self, n.rooms, n.memory = cfg.Self.Name, pool.NewRooms(), pool.NewMemory(cfg.JobBytes)
	n.stored.room = newStoreRoom(n.memory.Room())
	n.joined = uint64(time.Now().UnixMilli())
	n.targetInterval.Store(int64(minTargetInterval))
	n.layout, n.layoutKnown = fleet.DefaultLayout(), cfg.Layouts == nil
	n.shards = n.newShards(n.layout, n.now())
	links, err := peer.New(peer.Config{
		Self:        structs.Member{Name: cfg.Self.Name, Incarnation: uint64(time.Now().UnixNano()), Addr: cfg.Self.Addr},
		DC:          cfg.Self.DC,
		Secret:      cfg.Secret,
		SilentAfter: silentAfter, RelaxedSilentAfter: relaxedSilentAfter,
		DialTimeout: dialTimeout,
		Retain:      retain,
		QueueBytes:  queueBytes,
		Metrics:     cfg.Metrics,
		Log:         cfg.Log,
	}, (*peerHandler)(n))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("set up the links to peers: %w", err)
	}
	n.peers = links
	go n.loop()
	go n.askSeeds()
	return n, nil
}

// Handler returns the HTTP handler for the other entries: peer links and the
// directory.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.peers)
	mux.HandleFunc(directoryPath, n.serveDirectory)
	return mux
}

// Config returns the configuration in force, nil before the first one.
func (n *Node) Config() *fleet.Config { return n.config.Load() }

// Ready reports whether the node accepts jobs: it has a configuration, follows a
// leader or leads, and is not stopping.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stopping reports whether Stop was called.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Stop makes the node unready and lets another entry lead. The node still handles
// jobs and messages until Close.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.post(func(time.Duration) {
		n.electionsDue = true
		n.log.Info("stopping")
	})
}

// Close ends the node and waits until it has released the stored jobs.
func (n *Node) Close() {
	n.cancel()
	<-n.stopped
	n.owners.Wait()
	if err := n.peers.Close(); err != nil {
		n.log.Warn("closing the links to peers failed", "err", err)
	}
}

func (n *Node) now() time.Duration { return n.clock.now() }

// post queues an event for the loop. It drops the event after Close.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.ctx.Done():
	}
}

// loop handles events and ticks until Close.
func (n *Node) loop() {
	defer close(n.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var handled int
		queued, began := len(n.events), time.Duration(0)
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.events:
			n.checkProcessPause()
			began = n.now()
			n.contain(func() {
				n.dropOverdue(began)
				e(began)
			})
			handled = 1 + n.handleQueued()
		case <-tick.C:
			n.checkProcessPause()
			began = n.now()
			n.electionsDue = true
			n.load.maxLag = max(n.load.maxLag, n.lag.tick(began))
		}
		n.checkProcessPause()
		n.contain(func() { n.step(n.now()) })
		end := n.now()
		n.load.recordRound(handled, queued, end-began)
		n.logLoad(end)
	}
}

// checkProcessPause detects a process pause by the boot clock, and holds back starts
// after one.
func (n *Node) checkProcessPause() {
	gap := n.clock.iterate()
	if gap == 0 {
		return
	}
	n.log.Info("process pause detected; holding back starts", "ms", gap.Milliseconds(), "leads", n.leads())
	for _, s := range n.shards {
		s.pool.DelayStarts(n.now() + processPauseSettle)
	}
	n.dropLane(n.now())
	n.holdVouches(n.now())
	n.dropDisconnected(n.now(), n.cfg.Self.Name)
}

// handleQueued handles up to 64 events that are already queued, so that one round of
// placement serves them all, and returns how many.
func (n *Node) handleQueued() int {
	for i := range 64 {
		select {
		case e := <-n.events:
			n.checkProcessPause()
			n.contain(func() {
				now := n.now()
				n.dropOverdue(now)
				e(now)
			})
		default:
			return i
		}
	}
	return 64
}

// step updates the elections, the pools and the pending jobs after events or a tick, and
// carries out the resulting effects.
func (n *Node) step(now time.Duration) {
	n.dropOverdue(now)
	if n.electionsDue {
		n.electionsDue = false
		n.replanLinks(now)
		n.applyElections(now)
		if n.policiesDue {
			n.updateAcquirePolicies(now)
		}
		n.checkLayout(now)
		n.relaxLinks(now)
		n.expireDelegated(now)
	}
	n.closeEvacuated(now)
	n.releaseVouches(now)
	n.askQuestions(now)
	n.submitPending(now)
	ready := false
	for _, s := range n.shards {
		s.pool.Tick(now)
		n.carryOut(now, s)
		ready = ready || s.decision.Leader != ""
	}
	n.sendHeartbeat(now)
	n.rejectLeaderless(now)
	n.ready.Store(n.config.Load() != nil && ready && !n.stopping.Load())
}

const (
	// orderTimeout limits a start or stop order.
	orderTimeout = 300 * time.Millisecond
	// holdTimeoutMargin is how much longer than its Wait a hold may take, and
	// minHoldTimeout the least that any hold may take. Two holds in a row have to fail
	// before a target counts as out of reach, and the second one still renews the leases, so
	// that a target that is slow to report keeps its runs. Meanwhile it gets no tasks.
	holdTimeoutMargin = 200 * time.Millisecond
	minHoldTimeout    = 450 * time.Millisecond
)

// order sends an order and posts the target's reply to the loop.
func (n *Node) order(name string, send func(context.Context) fleet.Reply, done func(now time.Duration, rep fleet.Reply)) {
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	rep := send(ctx)
	n.counts.answer(name, rep.Answer)
	n.postTimed(func(now time.Duration) { done(now, rep) })
}

func (n *Node) stop(s *shard, o fleet.Stop) {
	n.order("stop", func(ctx context.Context) fleet.Reply { return n.cfg.Targets.Stop(ctx, o) },
		func(now time.Duration, rep fleet.Reply) { s.pool.StopDone(now, o, rep) })
}

// adviceTimeout limits a call of the adviser, which handles calls one at a time.
const adviceTimeout = 3 * time.Second

func (n *Node) advise(s *shard, a fleet.AdviceRequest) {
	got := fleet.Advice{Request: a}
	if n.cfg.Adviser != nil {
		ctx, cancel := context.WithTimeout(n.ctx, adviceTimeout)
		defer cancel()
		got = n.cfg.Adviser.Advise(ctx, a)
	}
	n.post(func(now time.Duration) { s.pool.AdviceReceived(now, got) })
}

// hold sends a hold and posts the target's reply to the loop.
func (n *Node) hold(sent time.Duration, s *shard, o fleet.Hold) {
	ctx, cancel := context.WithTimeout(n.ctx, max(o.Wait+holdTimeoutMargin, minHoldTimeout))
	defer cancel()
	rep := n.cfg.Targets.Hold(ctx, o)
	n.counts.answer("hold", rep.Answer)
	n.postTimed(func(now time.Duration) { s.pool.HoldDone(now, sent, o, rep) })
}

// logDecision writes a log line for the pool.
func (n *Node) logDecision(event string, args ...any) { n.log.Info(event, args...) }

// Owned returns the number of targets that this entry owns.
func (n *Node) Owned() int {
	return n.ask(func() int {
		owned := 0
		for _, s := range n.shards {
			owned += s.pool.Owned()
		}
		return owned
	})
}

// Linked returns the number of entries that this one is linked to.
func (n *Node) Linked() int { return n.ask(func() int { return len(n.linked) }) }

// ask returns the result of a function of the loop's state, 0 after Close.
func (n *Node) ask(count func() int) int {
	got := make(chan int, 1)
	n.post(func(time.Duration) { got <- count() })
	select {
	case v := <-got:
		return v
	case <-n.ctx.Done():
		return 0
	}
}
