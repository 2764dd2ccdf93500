// Package node runs an entry of a pooled deployment: it keeps the callers'
// jobs, follows or is the leader that owns the targets, and carries the pool's
// orders to the targets. All state belongs to one goroutine, which takes events
// one at a time; what blocks runs beside it and posts its result as an event.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"currantstall/internal/election"
	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/metrics"
	"currantstall/internal/peer"
	"currantstall/internal/pool"
	"currantstall/internal/structs"
)

// Config sets up a Node.
type Config struct {
	Self    fleet.Member
	Secret  []byte // shared by all entries
	Targets fleet.Targets
	// Adviser says where tasks of advised queues may run; nil if there is none.
	Adviser fleet.Adviser
	// Jobs are the tables of stored jobs; nil if there are none.
	Jobs jobstore.Tables
	// Seeds are addresses of entries that may know the others.
	Seeds   []string
	Metrics *metrics.Metrics
	Log     *slog.Logger
}

const (
	// silentAfter closes a link on which nothing arrives. It is short against the
	// pool's lease, so that the next leader finds what runs still running, and
	// long against the 60 ms for which a VM on a quota stands still.
	silentAfter = 350 * time.Millisecond
	// dialTimeout bounds a dial of a peer.
	dialTimeout = 500 * time.Millisecond
	// retain is the least that a link takes: a message that a lost link did not
	// deliver is sent anew by whoever still wants it.
	retain = time.Nanosecond
	// queueBytes bounds what waits for one peer.
	queueBytes = 8 << 20
	// heartbeatInterval is the pause between two beats to the peers.
	heartbeatInterval = 200 * time.Millisecond
	// tickInterval is the pause between two looks at what is due by time.
	tickInterval = 20 * time.Millisecond
	// eventQueueLength is how many events may wait.
	eventQueueLength = 8192
)

// event changes the node's state. It runs on the node's goroutine.
type event func(now time.Duration)

// Node is a running entry. Use Start.
type Node struct {
	cfg       Config
	log       *slog.Logger
	counts    *counts
	startedAt time.Time
	events    chan event
	stopped   chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	peers     *peer.Node

	config   atomic.Pointer[fleet.Config]
	ready    atomic.Bool
	stopping atomic.Bool

	// Owned by the loop.
	pool            *pool.Pool
	election        *election.Election
	decision        election.Decision
	linked          map[string]bool
	pending         map[string]*pendingJob
	directory       directory
	lastHeartbeatAt time.Duration
	lastHeartbeat   election.Heartbeat
	lag             lagMeter
	lastTurn        time.Duration // of the boot clock, at the last turn of the loop
	stored          storedJobs
	owners          sync.WaitGroup // owners of stored jobs that run
}

// Start runs a node until Close.
func Start(cfg Config) (*Node, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg: cfg, log: cfg.Log, counts: newCounts(cfg.Metrics), startedAt: time.Now(),
		events: make(chan event, eventQueueLength), stopped: make(chan struct{}),
		ctx: ctx, cancel: cancel,
		linked: make(map[string]bool), pending: make(map[string]*pendingJob),
		directory: newDirectory(), stored: newStoredJobs(&cfg),
	}
	n.pool = pool.New(pool.DefaultSettings(), n.logDecision)
	n.election = election.New(election.Settings{ListenPeriod: election.DefaultListenPeriod, RankDelay: election.DefaultRankDelay},
		cfg.Self.Name, uint64(time.Now().UnixMilli()), n.now())
	links, err := peer.New(peer.Config{
		Self:        structs.Member{Name: cfg.Self.Name, Incarnation: uint64(time.Now().UnixNano()), Addr: cfg.Self.Addr},
		DC:          cfg.Self.DC,
		Secret:      cfg.Secret,
		SilentAfter: silentAfter,
		DialTimeout: dialTimeout,
		Retain:      retain,
		QueueBytes:  queueBytes,
		Metrics:     cfg.Metrics,
		Log:         cfg.Log,
	}, (*peerHandler)(n))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("links between entries: %w", err)
	}
	n.peers = links
	go n.loop()
	go n.askSeeds()
	return n, nil
}

// Handler serves the other entries: links and the directory.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.peers)
	mux.HandleFunc(directoryPath, n.serveDirectory)
	return mux
}

// Config returns the configuration in force, nil before the first.
func (n *Node) Config() *fleet.Config { return n.config.Load() }

// Ready reports whether the node takes jobs: it knows a configuration and a
// leader, and is not stopping.
func (n *Node) Ready() bool { return n.ready.Load() }

// Stopping reports whether Stop was called.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Stop makes the node unready and lets another lead. It goes on serving what
// arrives.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.post(func(time.Duration) {
		n.election.SetStopping()
		n.log.Info("stopping")
	})
}

// Close ends the node.
func (n *Node) Close() {
	n.cancel()
	<-n.stopped
	n.owners.Wait()
	if err := n.peers.Close(); err != nil {
		n.log.Warn("close links", "err", err)
	}
}

func (n *Node) now() time.Duration { return time.Since(n.startedAt) }

// post hands an event to the loop.
func (n *Node) post(e event) {
	select {
	case n.events <- e:
	case <-n.ctx.Done():
	}
}

func (n *Node) loop() {
	defer close(n.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case e := <-n.events:
			n.checkProcessPause()
			e(n.now())
			n.handleQueued()
		case <-tick.C:
			n.checkProcessPause()
			n.lag.tick(n.now())
		}
		n.step(n.now())
	}
}

const (
	// processPauseLimit is the pause of the loop from which this entry may have missed that
	// its peers gave it up, which they do after silentAfter.
	processPauseLimit = 250 * time.Millisecond
	// processPauseSettle is how long nothing is started after such a pause: the ends of links
	// that were closed meanwhile are read first.
	processPauseSettle = 120 * time.Millisecond
)

// checkProcessPause holds starts back after the process stood still.
func (n *Node) checkProcessPause() {
	boot := bootClock()
	if gap := boot - n.lastTurn; n.lastTurn > 0 && gap > processPauseLimit {
		n.log.Info("stood still", "ms", gap.Milliseconds(), "lead", n.decision.Leading)
		n.pool.DelayStarts(n.now() + processPauseSettle)
	}
	n.lastTurn = boot
}

// handleQueued takes the events that are waiting, so that one round of placement
// serves them all.
func (n *Node) handleQueued() {
	for range 64 {
		select {
		case e := <-n.events:
			e(n.now())
		default:
			return
		}
	}
}

// step decides what follows from the events taken.
func (n *Node) step(now time.Duration) {
	n.applyElection(now)
	n.submitPending(now)
	n.pool.Tick(now)
	n.carryOut(now)
	n.sendHeartbeat(now)
	n.rejectLeaderless(now)
	n.ready.Store(n.config.Load() != nil && n.decision.Leader != "" && !n.stopping.Load())
}

// applyElection follows the election's decision.
func (n *Node) applyElection(now time.Duration) {
	n.election.SetOwned(n.pool.Owned())
	n.election.SetDegraded(n.lag.degraded() || n.peersReadStore(now))
	d := n.election.Decide(now)
	if d.Leading != n.pool.Leading() {
		if d.Leading {
			n.updateClaims(now)
			n.pool.BecomeLeader(now, fenceBase())
			n.startOwner()
		} else {
			n.stopOwner()
			n.pool.StepDown()
		}
	}
	if d != n.decision {
		n.log.Info("leader", "leader", d.Leader, "lead", d.Leading, "term", d.Term, "before", n.decision.Leader, "peers", n.election.PeerCount())
		if d.Leader != n.decision.Leader {
			n.reclaimFromLeader(now, n.decision.Leader)
		}
		n.decision = d
	}
}

// fenceBase returns a fencing token above those of the owners before, by the
// time of day, with bits that tell this owner apart. Where the time of day has
// jumped back, the pool probes upwards.
func fenceBase() uint64 {
	const ownerBits = 12
	return uint64(time.Now().UnixMilli())<<ownerBits | rand.Uint64N(1<<ownerBits)
}

// carryOut carries out what the pool wants done.
func (n *Node) carryOut(now time.Duration) {
	for _, e := range n.pool.Effects() {
		switch e := e.(type) {
		case fleet.Start:
			n.counts.starts.Inc(1)
			go n.start(e)
		case fleet.Stop:
			go n.stop(e)
		case fleet.Hold:
			go n.hold(now, e)
		case fleet.AdviceRequest:
			go n.advise(e)
		case pool.Ended:
			n.deliverOutcome(now, e)
		case jobstore.Save:
			if n.stored.owner != nil {
				n.stored.owner.Save(e)
			}
		}
	}
}

const (
	// orderTimeout bounds a start or stop.
	orderTimeout = 300 * time.Millisecond
	// holdTimeoutMargin is how much longer than its wait a hold may take.
	holdTimeoutMargin = 200 * time.Millisecond
)

// order carries out a start or stop, and posts the target's reply.
func (n *Node) order(name string, send func(context.Context) fleet.Reply, done func(now time.Duration, rep fleet.Reply)) {
	ctx, cancel := context.WithTimeout(n.ctx, orderTimeout)
	defer cancel()
	rep := send(ctx)
	n.counts.answer(name, rep.Answer)
	n.post(func(now time.Duration) { done(now, rep) })
}

func (n *Node) start(o fleet.Start) {
	n.order("start", func(ctx context.Context) fleet.Reply { return n.cfg.Targets.Start(ctx, o) },
		func(now time.Duration, rep fleet.Reply) { n.pool.StartDone(now, o, rep) })
}

func (n *Node) stop(o fleet.Stop) {
	n.order("stop", func(ctx context.Context) fleet.Reply { return n.cfg.Targets.Stop(ctx, o) },
		func(now time.Duration, rep fleet.Reply) { n.pool.StopDone(now, o, rep) })
}

// adviceTimeout bounds a question to the adviser, which takes calls in turn.
const adviceTimeout = 3 * time.Second

func (n *Node) advise(a fleet.AdviceRequest) {
	got := fleet.Advice{Request: a}
	if n.cfg.Adviser != nil {
		ctx, cancel := context.WithTimeout(n.ctx, adviceTimeout)
		defer cancel()
		got = n.cfg.Adviser.Advise(ctx, a)
	}
	n.post(func(now time.Duration) { n.pool.AdviceReceived(now, got) })
}

func (n *Node) hold(sent time.Duration, o fleet.Hold) {
	ctx, cancel := context.WithTimeout(n.ctx, o.Wait+holdTimeoutMargin)
	defer cancel()
	rep := n.cfg.Targets.Hold(ctx, o)
	n.counts.answer("hold", rep.Answer)
	n.post(func(now time.Duration) { n.pool.HoldDone(now, sent, o, rep) })
}

// logDecision writes one line of the pool.
func (n *Node) logDecision(event string, args ...any) { n.log.Info(event, args...) }

// Owned returns how many targets this entry owns.
func (n *Node) Owned() int {
	got := make(chan int, 1)
	n.post(func(time.Duration) { got <- n.pool.Owned() })
	select {
	case v := <-got:
		return v
	case <-n.ctx.Done():
		return 0
	}
}
