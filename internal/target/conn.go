package target

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errSealed is the error of a write to a sealed connection.
var errSealed = errors.New("connection is sealed")

// sealConn is a connection whose writes can be stopped. A write is noted
// before it is tried, so that a connection on which none was noted has
// carried nothing.
type sealConn struct {
	net.Conn
	release func()

	mu     sync.Mutex
	sealed bool
	writes uint64
	once   sync.Once
}

// Write notes and passes on a write, or returns errSealed.
func (c *sealConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place in the share back.
func (c *sealConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}

// noted returns the number of writes so far.
func (c *sealConn) noted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal stops all further writes and returns the number of those before.
func (c *sealConn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	n := c.writes
	c.mu.Unlock()
	return n
}

// gate bounds the open connections to one target. The bound may change.
type gate struct {
	mu    sync.Mutex
	limit int
	open  int
	freed chan struct{} // closed when a place may be free
}

func newGate(limit int) *gate {
	return &gate{limit: limit, freed: make(chan struct{})}
}

// acquire waits for a place. It returns the context's error if that ends first.
func (g *gate) acquire(ctx context.Context) error {
	for {
		g.mu.Lock()
		if g.open < g.limit {
			g.open++
			g.mu.Unlock()
			return nil
		}
		freed := g.freed
		g.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release gives a place back.
func (g *gate) release() {
	g.mu.Lock()
	g.open--
	g.wakeLocked()
	g.mu.Unlock()
}

// setLimit changes the bound and reports whether it fell.
func (g *gate) setLimit(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	fell := n < g.limit
	g.limit = n
	g.wakeLocked()
	return fell
}

// count returns the number of open connections.
func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gate) wakeLocked() {
	close(g.freed)
	g.freed = make(chan struct{})
}
