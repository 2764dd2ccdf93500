package entry

import (
	"net"
	"sync"
	"time"
)

// unusedListener accepts connections that may stay unused for idleTimeout before their
// first request. net/http counts the time for the header of the first request from the
// accept, and so closes connections that callers keep in reserve; a caller that then
// uses one gets no response, and can't tell whether its request ran.
type unusedListener struct {
	net.Listener
	headerTimeout, idleTimeout time.Duration
}

func (l unusedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &unusedConn{Conn: c, headerTimeout: l.headerTimeout, unusedUntil: time.Now().Add(l.idleTimeout)}, nil
}

// unusedConn is a connection whose read deadlines count from its first byte.
type unusedConn struct {
	net.Conn
	headerTimeout time.Duration
	unusedUntil   time.Time

	mu   sync.Mutex
	used bool // a byte was read
}

// Read reads from the connection. The first byte starts the time for a header.
func (c *unusedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && !c.used {
		c.used = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout)) // the next read reports an error
	}
	return n, err
}

// SetReadDeadline sets the deadline. One in the future is put off while the connection is
// unused; one in the past, which ends a read, is not.
func (c *unusedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && t.After(time.Now()) {
		t = c.unusedUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection below.
func (c *unusedConn) NetConn() net.Conn { return c.Conn }
