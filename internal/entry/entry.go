// Package entry assembles one entry process: it provisions the parts, connects
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
	Name string // of the VM, unique
	DC   string
	// Listen and PeerListen are the addresses for callers and for other
	// entries, host:port; port 0 takes a free one.
	Listen     string
	PeerListen string
	// PeerAdvertise is the address that other entries dial; empty stands for
	// the address of the listener.
	PeerAdvertise string
	PlatformURL   string
	// Seeds are entries to dial as long as the list of VMs was never read.
	Seeds  []peer.Peer
	Secret []byte // shared by all entries
	// WritesPerSecond bounds this entry's writes to the platform.
	WritesPerSecond float64
	// Lease is how long a member may start work without renewal.
	Lease time.Duration
	// BodyBytes bounds the request bodies in memory.
	BodyBytes int64
	// AnswerBytes bounds the answers of one job in memory.
	AnswerBytes int64
	// KeptAnswerBytes bounds the answers kept for resubmissions.
	KeptAnswerBytes int64
	// PeerQueueBytes bounds the messages that wait for one peer.
	PeerQueueBytes int
	Policy         admission.Policy
	Log            *slog.Logger
}

// Timing of the process.
const (
	vmListInterval          = time.Second
	announceInterval        = 2 * time.Second
	usageInterval           = time.Second
	usageReportsPerInterval = 16                     // usage reports asked for
	linkLossDelay           = 500 * time.Millisecond // a lost link this old counts for ownership
	headerTimeout           = 10 * time.Second
	idleTimeout             = 2 * time.Minute
	platformTimeout         = 2 * time.Second
	shutdownTimeout         = 5 * time.Second
	balancerDelay           = 300 * time.Millisecond // for the balancer to see readyz
)

// Process is one running entry.
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

	callerServer *http.Server
	peerServer   *http.Server
	callerAddr   net.Addr
	peerAddr     net.Addr
	cancel       context.CancelFunc
	wg           sync.WaitGroup
	viewInForce  structs.View // the last one that viewChanged took in
}

// Start provisions and starts an entry. It returns once the listeners are
// open; the entry is ready when it has joined its data centre's view and
// holds a manifest.
func Start(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg, metrics: metrics.New()}
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

// newMember returns this run of the process as the others know it. A later run
// has a higher incarnation, since VM clocks do not go back over a restart.
func (p *Process) newMember(listenAddr string) structs.Member {
	addr := p.cfg.PeerAdvertise
	if addr == "" {
		addr = listenAddr
	}
	return structs.Member{Name: p.cfg.Name, Incarnation: uint64(time.Now().UnixNano()), Addr: addr}
}

// serve starts the two HTTP services.
func (p *Process) serve(callers, peers net.Listener) {
	p.callerServer = &http.Server{Handler: p.apiHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.node)
	p.peerServer = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	p.spawn(func() { p.serveListener(p.callerServer, callers) })
	p.spawn(func() { p.serveListener(p.peerServer, peers) })
}

func (p *Process) serveListener(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		p.cfg.Log.Error("listener failed", "addr", ln.Addr().String(), "error", err)
	}
}

func (p *Process) spawn(f func()) {
	p.wg.Go(f)
}

// run starts the background work, which ends with ctx.
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

// checkJoined returns nil once the entry may serve: by itself, or by passing work
// on while the platform is out of reach.
func (p *Process) checkJoined() error {
	if p.rollout.Current() == nil {
		return errors.New("no manifest yet")
	}
	err := p.checkMember()
	return p.forwardOnly.update(err, p.directory.startedWithoutList() && p.engine.MemberLinked())
}

// checkMember returns nil once the entry is a member with all it needs.
func (p *Process) checkMember() error {
	if !p.directory.hasList() {
		return errors.New("no list of VMs yet")
	}
	if !p.claims.Ready() {
		return errors.New("not in a view in force yet")
	}
	if !p.ownership.isComputed() {
		return errors.New("targets not shared out yet")
	}
	return nil
}

// announce keeps this VM on the platform's list.
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
		p.cfg.Log.Debug("not announced", "error", err)
	}
}

// Addr returns the address for callers.
func (p *Process) Addr() string { return p.callerAddr.String() }

// PeerAddr returns the address that is listened on for other entries.
func (p *Process) PeerAddr() string { return p.peerAddr.String() }

// Self returns this run as other entries know it.
func (p *Process) Self() structs.Member { return p.self }

// Ready returns nil while the balancer may send work here.
func (p *Process) Ready() error { return p.lifecycle.ready() }

// Stop ends the process in order: it turns the balancer away, refuses new
// work, finishes what runs, hands claims and kept answers over, leaves the
// view and flushes the journal. It returns an error if ctx ended before that
// was done.
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

// awaitBalancer waits a moment for the balancer to see that the entry is not ready.
func (p *Process) awaitBalancer(ctx context.Context) {
	select {
	case <-time.After(balancerDelay):
	case <-ctx.Done():
	}
}

// shutdownCallerServer waits until every caller has its answer.
func (p *Process) shutdownCallerServer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	return p.callerServer.Shutdown(ctx)
}

// Kill ends the process without any order, as a crash would.
func (p *Process) Kill() {
	p.cancel()
	if p.callerServer != nil {
		_ = p.callerServer.Close()
	}
	if p.claims != nil {
		p.claims.Stop()
	}
	if p.peerServer != nil {
		// A new run that answers at this address proves to the others that
		// this one starts nothing any more.
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

// apiHandler returns the service for callers and operators.
func (p *Process) apiHandler() http.Handler {
	return api.New(api.Config{
		Engine:    p.engine,
		Manifests: manifestService{p},
		Account:   accountService{p},
		Status:    p.status,
		Ready:     p.lifecycle.ready,
		Metrics:   p.metrics,
		Log:       p.cfg.Log,
		BodyBytes: p.cfg.BodyBytes,
	})
}
