package target

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is the error of a write to a sealed connection.
var errWritesBlocked = errors.New("connection is sealed")

// trackedConn is a connection whose writes can be stopped. A write is noted
// before it is tried, so that a connection on which none was noted has
// carried nothing.
type trackedConn struct {
	net.Conn
	onClose func()

	mu        sync.Mutex
	blocked   bool
	writes    uint64
	closeOnce sync.Once
}

// Write notes and passes on a write, or returns errSealed.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection and gives its place in the share back.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// writeCount returns the number of writes so far.
func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites stops all further writes and returns the number of those before.
func (c *trackedConn) blockWrites() uint64 {
	c.mu.Lock()
	c.blocked = true
	n := c.writes
	c.mu.Unlock()
	return n
}

// semaphore bounds the open connections to one target. The bound may change.
type semaphore struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	changed chan struct{} // closed when a place may be free
}

func newSemaphore(limit int) *semaphore {
	return &semaphore{limit: limit, changed: make(chan struct{})}
}

// acquire waits for a place. It returns the context's error if that ends first.
func (g *semaphore) acquire(ctx context.Context) error {
	for {
		g.mu.Lock()
		if g.inUse < g.limit {
			g.inUse++
			g.mu.Unlock()
			return nil
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release gives a place back.
func (g *semaphore) release() {
	g.mu.Lock()
	g.inUse--
	g.notifyLocked()
	g.mu.Unlock()
}

// setLimit changes the bound and reports whether it fell.
func (g *semaphore) setLimit(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lowered := n < g.limit
	g.limit = n
	g.notifyLocked()
	return lowered
}

// held returns the number of open connections.
func (g *semaphore) held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

func (g *semaphore) notifyLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}
