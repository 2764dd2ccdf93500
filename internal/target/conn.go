package target

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errWritesBlocked is returned by a write after blockWrites.
var errWritesBlocked = errors.New("connection is blocked for writes")

// trackedConn is a connection that counts its writes and can block further ones.
// A write is counted before it is attempted, so that a connection with a count
// of zero has sent nothing.
type trackedConn struct {
	net.Conn
	onClose func() // called once, by the first Close

	mu        sync.Mutex
	blocked   bool
	writes    uint64
	closeOnce sync.Once
}

// Write counts a write and passes it on, or returns errWritesBlocked.
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

// Close closes the connection and calls onClose the first time.
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

// blockWrites makes all further writes fail and returns the number of earlier
// ones.
func (c *trackedConn) blockWrites() uint64 {
	c.mu.Lock()
	c.blocked = true
	n := c.writes
	c.mu.Unlock()
	return n
}

// semaphore is a counting semaphore whose limit can change. It bounds the open
// connections to a target, and the requests in flight.
type semaphore struct {
	mu      sync.Mutex
	limit   int
	inUse   int
	changed chan struct{} // closed when a permit may be free
}

func newSemaphore(limit int) *semaphore {
	return &semaphore{limit: limit, changed: make(chan struct{})}
}

// acquire waits for a permit. It returns the context's error if the context ends
// first.
func (s *semaphore) acquire(ctx context.Context) error {
	for {
		s.mu.Lock()
		if s.inUse < s.limit {
			s.inUse++
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release returns a permit.
func (s *semaphore) release() {
	s.mu.Lock()
	s.inUse--
	s.notifyLocked()
	s.mu.Unlock()
}

// setLimit changes the limit and reports whether it was lowered. Permits above a
// lowered limit stay valid until they are released.
func (s *semaphore) setLimit(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowered := n < s.limit
	s.limit = n
	s.notifyLocked()
	return lowered
}

// held returns the number of permits in use.
func (s *semaphore) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse
}

func (s *semaphore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
