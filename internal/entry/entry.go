// Package entry assembles one entry process: it builds the components, connects
// them, and stops them in order.
package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/api"
	"currantstall/internal/claims"
	"currantstall/internal/dispatch"
	"currantstall/internal/engine"
	"currantstall/internal/intake"
	"currantstall/internal/journal"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/peer"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/target"
)

// Config holds the settings of an entry.
type Config struct {
	// Name is the name of the VM, unique among all entries.
	Name string
	// DC is the data centre of the VM.
	DC string
	// Listen and PeerListen are the addresses for callers and for other
	// entries, host:port; port 0 selects a free port.
	Listen     string
	PeerListen string
	// PeerAdvertise is the address that other entries dial. If it is empty,
	// they dial the address of the listener.
	PeerAdvertise string
	// PlatformURL is the base URL of the platform's service.
	PlatformURL string
	// Seeds are the entries to link until the platform's VM list is read for
	// the first time.
	Seeds []peer.Peer
	// Secret authenticates the entries to each other; all entries share it.
	Secret []byte
	// WritesPerSecond limits this entry's writes to the platform.
	WritesPerSecond float64
	// Lease is how long a member may start work without renewing its lease.
	Lease time.Duration
	// BodyBytes limits the memory for the heads and bodies of requests in flight.
	BodyBytes int64
	// Machine is what the process may use.
	Machine intake.Machine
	// AnswerBytes limits the memory for the answers of one job.
	AnswerBytes int64
	// KeptAnswerBytes limits the memory for answers kept for resubmissions.
	KeptAnswerBytes int64
	// PeerQueueBytes limits the memory for messages queued for one peer.
	PeerQueueBytes int
	// Policy is the order of the queue.
	Policy admission.Policy
	Log    *slog.Logger
}

// Intervals, timeouts and limits of the process.
const (
	vmListInterval          = time.Second
	announceInterval        = 2 * time.Second
	usageInterval           = time.Second
	usageReportsPerInterval = 16                     // usage reports requested in each usageInterval
	linkLossDelay           = 500 * time.Millisecond // a member whose link is down for this long loses its targets
	headerTimeout           = 10 * time.Second
	idleTimeout             = 2 * time.Minute
	platformTimeout         = 2 * time.Second
	shutdownTimeout         = 5 * time.Second
	balancerDelay           = 300 * time.Millisecond // time for the load balancer to see that /readyz fails
)

// Process is one running entry. It owns all components of the entry.
type Process struct {
	cfg         Config
	self        structs.Member
	metrics     *metrics.Metrics
	platform    *platform.Client
	node        *peer.Node
	rollout     *manifest.Rollout
	journal     *journal.Journal
	claims      *claims.Runtime
	retries     *dispatch.Budget
	hedges      *dispatch.Budget
	dispatch    *dispatch.Dispatcher
	engine      *engine.Engine
	tracker     *target.Tracker
	pool        *target.Pool
	targets     *target.Set
	directory   *directory
	ownership   *ownership
	lifecycle   *lifecycle
	forwardOnly forwardOnly

	gate         *intake.Gate
	callerServer *http.Server
	peerServer   *http.Server
	callerAddr   net.Addr
	peerAddr     net.Addr
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	viewInForce  structs.View // the latest one passed to viewChanged
}

// Start builds and starts an entry. It returns when the listeners are open. The
// entry becomes ready later, when it has joined the view of its data centre and
// holds a manifest.
func Start(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg, metrics: metrics.New()}
	p.gate = intake.NewGate(intake.NewLimits(cfg.Machine, cfg.BodyBytes), p.metrics)
	intake.LimitRuntime(cfg.Machine)
	if err := p.start(); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

func (p *Process) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.lifecycle = newLifecycle(p.cfg.Log)
	callers, err := net.Listen("tcp", p.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.callerAddr = callers.Addr()
	peers, err := net.Listen("tcp", p.cfg.PeerListen)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.peerAddr = peers.Addr()
	p.self = p.newMember(peers.Addr().String())
	if err := p.provision(); err != nil {
		_ = callers.Close()
		_ = peers.Close()
		return err
	}
	p.serve(callers, peers)
	p.run(ctx)
	return nil
}

// newMember returns this incarnation of the entry as its peers know it. A
// restarted process has a higher incarnation number, since VM clocks do not go
// back across a restart.
func (p *Process) newMember(listenAddr string) structs.Member {
	addr := p.cfg.PeerAdvertise
	if addr == "" {
		addr = listenAddr
	}
	return structs.Member{Name: p.cfg.Name, Incarnation: uint64(time.Now().UnixNano()), Addr: addr}
}

// serve starts the HTTP servers for callers and for peers.
func (p *Process) serve(callers, peers net.Listener) {
	p.callerServer = &http.Server{Handler: p.apiHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.node)
	p.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	callers, peers = p.gate.Serve(p.callerServer, callers, true), p.gate.Serve(p.peerServer, peers, false)
	p.spawn(func() { p.serveListener(p.callerServer, unusedListener{callers, headerTimeout, idleTimeout}) })
	p.spawn(func() { p.serveListener(p.peerServer, peers) })
}

func (p *Process) serveListener(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		p.cfg.Log.Error("HTTP server stopped because its listener failed", "addr", ln.Addr().String(), "err", err)
	}
}

// spawn runs f in a goroutine that Kill waits for.
func (p *Process) spawn(f func()) {
	p.wg.Go(f)
}

// run starts the background loops, which end with ctx.
func (p *Process) run(ctx context.Context) {
	usage := &target.UsagePoller{
		Pool:     p.pool,
		Interval: usageInterval,
		Owned:    p.ownership.nextUsageTargets,
		OnUsage:  p.ownership.onUsage,
	}
	for _, f := range []func(context.Context){
		p.directory.run,
		p.ownership.run,
		p.rollout.Run,
		p.journal.Run,
		p.engine.Run,
		p.announce,
		usage.Run,
		p.lifecycle.watch(p.checkJoined),
	} {
		p.spawn(func() { f(ctx) })
	}
	p.claims.Start()
}

// checkJoined returns nil if the entry may serve: as a member, or by forwarding
// all work after it started while the platform was unreachable.
func (p *Process) checkJoined() error {
	if p.rollout.Current() == nil {
		return errors.New("no manifest received yet")
	}
	err := p.checkMember()
	return p.forwardOnly.update(err, p.directory.startedWithoutList() && p.engine.MemberLinked())
}

// checkMember returns nil if the entry is a member of the view in force, has read
// the VM list and has computed which targets it owns.
func (p *Process) checkMember() error {
	if !p.directory.hasList() {
		return errors.New("VM list not read from the platform yet")
	}
	if !p.claims.Ready() {
		return errors.New("not a member of the view in force yet")
	}
	if !p.ownership.isComputed() {
		return errors.New("targets not assigned to the members yet")
	}
	return nil
}

// announce keeps this VM on the platform's VM list until ctx ends.
func (p *Process) announce(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		p.announceOnce(ctx, p.lifecycle.stopping())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (p *Process) announceOnce(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vm := platform.VM{Name: p.cfg.Name, Role: platform.RoleEntry, DC: p.cfg.DC, Addr: p.self.Addr, Leaving: leaving}
	if err := p.platform.Announce(ctx, vm); err != nil {
		p.cfg.Log.Debug("entry could not be announced to the platform", "err", err)
	}
}

// Addr returns the address for callers.
func (p *Process) Addr() string { return p.callerAddr.String() }

// PeerAddr returns the address of the listener for other entries.
func (p *Process) PeerAddr() string { return p.peerAddr.String() }

// Self returns this incarnation of the entry as its peers know it.
func (p *Process) Self() structs.Member { return p.self }

// Ready returns nil if the load balancer may send work to this entry, else the
// reason why not.
func (p *Process) Ready() error { return p.lifecycle.ready() }

// Stop shuts the entry down in order: it reports itself as not ready to the load
// balancer, refuses new work, finishes the work in flight, hands over claims and
// kept answers, leaves the view and flushes the journal. It returns an error if
// ctx ends before all of this is done.
func (p *Process) Stop(ctx context.Context) error {
	p.lifecycle.drain()
	p.announceOnce(ctx, true)
	p.awaitBalancer(ctx)
	var errs []error
	errs = append(errs, p.engine.Drain(ctx))
	errs = append(errs, p.shutdownCallerServer(ctx))
	errs = append(errs, p.claims.Leave(ctx))
	errs = append(errs, p.node.Flush(ctx))
	errs = append(errs, p.journal.Flush(ctx))
	p.Kill()
	p.lifecycle.stopped()
	return errors.Join(errs...)
}

// awaitBalancer gives the load balancer time to see that the entry is not ready.
func (p *Process) awaitBalancer(ctx context.Context) {
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
}

// shutdownCallerServer waits until every caller has its answer, for at most
// shutdownTimeout.
func (p *Process) shutdownCallerServer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return p.callerServer.Shutdown(ctx)
}

// Kill stops the process without the steps of Stop, as a crash would.
func (p *Process) Kill() {
	p.cancel()
	if p.callerServer != nil {
		_ = p.callerServer.Close()
	}
	if p.claims != nil {
		p.claims.Stop()
	}
	if p.peerServer != nil {
		// Closed after the claims have stopped: a new incarnation that responds
		// at this address proves to the peers that this one starts no more work.
		_ = p.peerServer.Close()
	}
	if p.engine != nil {
		p.engine.Close()
	}
	if p.node != nil {
		_ = p.node.Close()
	}
	if p.pool != nil {
		p.pool.Close()
	}
	p.wg.Wait()
	_ = p.metrics.Close()
}

// apiHandler returns the HTTP handler for callers and operators.
func (p *Process) apiHandler() http.Handler {
	return api.New(api.Config{
		Engine:    p.engine,
		Manifests: manifestService{p},
		Account:   accountService{p},
		Status:    p.status,
		Ready:     p.lifecycle.ready,
		Metrics:   p.metrics,
		Log:       p.cfg.Log,
		Intake:    p.gate,
	})
}
