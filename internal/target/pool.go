package target

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
)

// Defaults of PoolConfig.
const (
	DefaultConnShare   = 30   // connections to one target
	UnlimitedConnShare = 1024 // connections to one target without a limit
	DefaultIdleTimeout = 3 * time.Second
	DefaultDialTimeout = time.Second
	DefaultMaxAnswer   = 8 << 20 // bytes
)

// One part in controlShareDivisor of a share, but at least minControlConns
// connections, is reserved for control requests: lookups, stops and usage reports.
// So starts without a response can't block them, and a wave of cancels stops the
// tasks of a large worker within a second.
const (
	minControlConns     = 2
	controlShareDivisor = 16
)

// splitShare divides a share into connections for tasks and for control requests.
func splitShare(conns int) (tasks, control int) {
	control = max(minControlConns, conns/controlShareDivisor)
	return max(conns-control, 1), control
}

// closeGrace is the time within which a target should notice that a connection was
// closed. Only then may another connection be opened in its place: a target closes
// connections beyond its limit, and may have read a start from one before.
const closeGrace = 20 * time.Millisecond

// PoolConfig holds the settings of a Pool. Zero values stand for defaults.
type PoolConfig struct {
	// Share bounds the connections to each target until SetShare is called
	// for it.
	Share int
	// IdleTimeout is the time after which an idle connection is closed. It
	// is short, since an unused connection may go silent undetected.
	IdleTimeout time.Duration
	DialTimeout time.Duration
	// MaxAnswer bounds the body of an answer, in bytes.
	MaxAnswer int64
	Metrics   *metrics.Metrics
	Log       *slog.Logger
	// OnLeaving is called with the address of a target whose response reports
	// that it is leaving. It may be called often and from any goroutine.
	OnLeaving func(addr string)
}

func (c *PoolConfig) setDefaults() {
	if c.Share <= 0 {
		c.Share = DefaultConnShare
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.MaxAnswer <= 0 {
		c.MaxAnswer = DefaultMaxAnswer
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewNop()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func(string) {}
	}
}

// Pool holds the connections to all targets, within the share of each. It
// implements TaskRunner and is safe for concurrent use.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	targets map[string]*endpoint
	closed  bool
}

var _ TaskRunner = (*Pool)(nil)

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	cfg.setDefaults()
	return &Pool{cfg: cfg, targets: make(map[string]*endpoint)}
}

// ConnShare returns how many of a target's maxConn connections one of the given
// number of entries may hold. A tenth of maxConn stays unused for closed
// connections that the target has not noticed yet. Of the rest, the owner gets one
// half and the other entries equal parts of the other half, each entry at least
// minControlConns+1. So two owners at a time, during a takeover, stay within the
// limit. A maxConn of 0 means no limit.
func ConnShare(maxConn, entries int, owner bool) int {
	if maxConn <= 0 {
		return UnlimitedConnShare
	}
	n := maxConn * 9 / 20
	if !owner && entries > 1 {
		n /= entries - 1
	}
	return max(n, minControlConns+1)
}

// SetShare bounds the connections to a target. If the bound is lowered, idle
// connections are closed; connections in use are not.
func (p *Pool) SetShare(addr string, conns int) {
	e, err := p.endpoint(addr)
	if err != nil {
		return
	}
	e.setShare(conns)
}

// Conns returns the number of open connections to a target.
func (p *Pool) Conns(addr string) int {
	p.mu.Lock()
	e := p.targets[addr]
	p.mu.Unlock()
	if e == nil {
		return 0
	}
	return e.tasks.conns.held() + e.control.conns.held()
}

// CloseIdle closes the idle connections to a target, for example after one of its
// connections has gone silent.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	e := p.targets[addr]
	p.mu.Unlock()
	if e != nil {
		e.closeIdle()
	}
}

// Forget drops the state of a target that is gone. Calls in flight finish.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	e := p.targets[addr]
	delete(p.targets, addr)
	p.mu.Unlock()
	if e != nil {
		e.closeIdle()
	}
}

// Close closes the idle connections. Further calls are refused.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, e := range p.targets {
		e.closeIdle()
	}
}

// endpoint returns the endpoint of a target, which it creates at first use. It
// refuses once the pool is closed.
func (p *Pool) endpoint(addr string) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, verdict.New(verdict.NotRun, verdict.Draining, "the target pool is closed")
	}
	e := p.targets[addr]
	if e == nil {
		e = newEndpoint(addr, &p.cfg)
		p.targets[addr] = e
	}
	return e, nil
}

// endpoint is the state of one target in a Pool: its connections for tasks and for
// control requests, and the estimate of its clock.
type endpoint struct {
	addr       string
	cfg        *PoolConfig
	tasks      *connSet
	control    *connSet
	clock      clockEstimate
	clockFetch chan struct{} // holds an element while a call requests the clock
}

func newEndpoint(addr string, cfg *PoolConfig) *endpoint {
	tasks, control := splitShare(cfg.Share)
	return &endpoint{
		addr:       addr,
		cfg:        cfg,
		tasks:      newConnSet(cfg, tasks),
		control:    newConnSet(cfg, control),
		clockFetch: make(chan struct{}, 1),
	}
}

func (e *endpoint) setShare(conns int) {
	tasks, control := splitShare(conns)
	e.control.setLimit(control)
	e.tasks.setLimit(tasks)
}

// setLimit bounds the connections, and closes idle ones if the bound is lowered.
func (l *connSet) setLimit(conns int) {
	l.requests.setLimit(conns)
	if l.conns.setLimit(conns) {
		l.transport.CloseIdleConnections()
	}
}

func (e *endpoint) closeIdle() {
	e.tasks.transport.CloseIdleConnections()
	e.control.transport.CloseIdleConnections()
}

// connSet is a bounded set of connections to one target. The requests in flight
// have the same bound as the connections, so that no request waits in dial for a
// free connection: net/http would go on with such a dial even after the request got
// another connection.
type connSet struct {
	requests  *semaphore // requests in flight
	conns     *semaphore // open connections
	transport *http.Transport
}

func newConnSet(cfg *PoolConfig, conns int) *connSet {
	l := &connSet{requests: newSemaphore(conns), conns: newSemaphore(conns)}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	l.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return l.dial(ctx, dialer, network, addr)
		},
		MaxIdleConnsPerHost: 1 << 10, // conns is the bound
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
	}
	return l
}

// dialError is an error that occurred before a connection existed.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func (l *connSet) dial(ctx context.Context, d *net.Dialer, network, addr string) (net.Conn, error) {
	if err := l.conns.acquire(ctx); err != nil {
		return nil, &dialError{fmt.Errorf("no free connection to the target within this entry's share: %w", err)}
	}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		l.conns.release()
		return nil, &dialError{err}
	}
	release := func() { time.AfterFunc(closeGrace, l.conns.release) }
	return &trackedConn{Conn: c, onClose: release}, nil
}

// isDialError reports whether err occurred before a connection existed.
func isDialError(err error) bool {
	var d *dialError
	return errors.As(err, &d)
}
