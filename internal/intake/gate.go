package intake

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
)

// Gate keeps the Limits for all servers of a process. Its methods are safe for concurrent use.
type Gate struct {
	limits  Limits
	metrics *metrics.Metrics
	start   time.Time
	bytes   tally.Gauge
	open    tally.Gauge
	lastID  atomic.Uint64

	mu     sync.Mutex
	ledger *Ledger
	// conns are the open connections, and senders those of requests that hold counted
	// memory, by the ID of the request.
	conns, senders map[uint64]*conn
	freed          chan struct{} // closed and replaced when a connection ends while a listener waits
	wanted         bool          // a listener waits for freed
}

// NewGate returns a Gate with nothing in use.
func NewGate(l Limits, m *metrics.Metrics) *Gate {
	s := m.Scope().SubScope("intake")
	return &Gate{
		limits: l, metrics: m, start: time.Now(), bytes: s.Gauge("bytes"), open: s.Gauge("connections"),
		ledger: NewLedger(l), conns: map[uint64]*conn{}, senders: map[uint64]*conn{}, freed: make(chan struct{}),
	}
}

// collectAbove is the part of the memory of the machine above which the runtime collects
// garbage more often; the rest is for what it does not count.
const collectAbove = 0.625

// LimitRuntime makes the runtime collect garbage more often as the process nears the
// memory of its machine. It holds for the whole process.
func LimitRuntime(m Machine) {
	if m.Memory > 0 {
		debug.SetMemoryLimit(int64(collectAbove * float64(m.Memory)))
	}
}

// Memory returns the memory of the machine in bytes, 0 if it is not known.
func (g *Gate) Memory() int64 { return g.limits.Memory }

func (g *Gate) now() time.Duration { return time.Since(g.start) }

// closedFor counts what is refused or closed here, by reason.
func (g *Gate) closedFor(r verdict.Reason) { g.metrics.Count("intake_closed", r) }

// Serve returns s with the limits in force, and the listener that it is to serve. Listeners
// with ordinary false may open connections beyond the number that the others leave them.
func (g *Gate) Serve(s *http.Server, ln net.Listener, ordinary bool) net.Listener {
	s.MaxHeaderBytes = g.limits.HeadSize
	s.Handler = g.handler(s.Handler)
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		if gc := connOf(c); gc != nil {
			ctx = context.WithValue(ctx, connKey{}, gc)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if gc := connOf(c); gc != nil {
			gc.stateChanged(state)
		}
	}
	conns := g.limits.Conns
	if ordinary {
		conns -= conns / quietShare
	}
	return &listener{Listener: ln, gate: g, conns: conns}
}

// handler marks requests whose body has not arrived yet, so that they can be evicted.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := requestConn(r); c != nil {
			if c.evicted.Load() {
				refuseEvicted(w)
				return
			}
			if r.ContentLength != 0 && !c.hasWhole(r) {
				c.beginBody()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// refuseEvicted refuses a request on a connection that made room for another before it
// was seen that the request had arrived.
func refuseEvicted(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ask asks for n more bytes for request id, which arrives on c, and evicts others for them.
func (g *Gate) ask(id uint64, c *conn, use Use, n int64) bool {
	g.mu.Lock()
	granted, evicted := g.ledger.Ask(id, use, n, g.now())
	if granted {
		g.senders[id] = c
	}
	victims := make([]*conn, 0, len(evicted))
	for _, id := range evicted {
		if v := g.senders[id]; v != nil {
			victims = append(victims, v)
		}
		delete(g.senders, id)
	}
	g.bytes.Update(float64(g.ledger.Used()))
	g.mu.Unlock()
	for _, v := range victims {
		v.evict(verdict.MemoryFull)
	}
	return granted
}

// arrived notes that counted request id has sent something, or all of it.
func (g *Gate) arrived(id uint64, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if whole {
		g.ledger.Keep(id)
	} else {
		g.ledger.Progress(id, g.now())
	}
}

// shrink frees n bytes of what request id holds.
func (g *Gate) shrink(id uint64, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Shrink(id, n)
	g.bytes.Update(float64(g.ledger.Used()))
}

// release frees what request id holds.
func (g *Gate) release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(id)
	delete(g.senders, id)
	g.bytes.Update(float64(g.ledger.Used()))
}

// enter adds a connection if fewer than most are open. Else it returns one that may be
// evicted for it, nil if there is none.
func (g *Gate) enter(c *conn, most int) (entered bool, victim *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most <= 0 || len(g.conns) < most {
		g.conns[c.id] = c
		g.open.Update(float64(len(g.conns)))
		return true, nil
	}
	g.wanted = true
	since := g.now() - stalledAfter
	for _, other := range g.conns {
		if at, ok := other.waitingSince(); ok && at < since {
			victim, since = other, at
		}
	}
	return false, victim
}

// leave removes a connection that is closed.
func (g *Gate) leave(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c.id)
	g.open.Update(float64(len(g.conns)))
	if g.wanted {
		g.wanted = false
		close(g.freed)
		g.freed = make(chan struct{})
	}
}

// listener accepts connections while the process has room for them. Others wait in the
// kernel's queue.
type listener struct {
	net.Listener
	gate  *Gate
	conns int
}

// Accept waits for the next connection, and for its room.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(l.gate, raw)
	for {
		l.gate.mu.Lock()
		freed := l.gate.freed
		l.gate.mu.Unlock()
		entered, victim := l.gate.enter(c, l.conns)
		if entered {
			return c, nil
		}
		if victim != nil {
			victim.evict(verdict.ConnectionsFull)
		}
		select {
		case <-freed:
		case <-time.After(scanInterval):
		}
	}
}
