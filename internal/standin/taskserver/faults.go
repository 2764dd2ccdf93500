package taskserver

import (
	"errors"
	"net"
	"sync"
)

// Faults are the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	Straggle  float64 `json:"straggle,omitempty"`   // factor by which all tasks take longer
	FailAll   bool    `json:"fail_all,omitempty"`   // every task runs and fails
	ErrorFast bool    `json:"error_fast,omitempty"` // every start is answered 500 at once
	Leaving   bool    `json:"leaving,omitempty"`    // announces that it is leaving and refuses starts
	Truncate  float64 `json:"truncate,omitempty"`   // fraction of answers truncated in the middle
	Cross     float64 `json:"cross,omitempty"`      // fraction of answers replaced by another task's
	Late      float64 `json:"late,omitempty"`       // fraction of answers sent late
	LateMS    int64   `json:"late_ms,omitempty"`    // delay of a late answer
	Silence   float64 `json:"silence,omitempty"`    // fraction of the connections open at the call that goes silent for good
	Dead      bool    `json:"dead,omitempty"`       // closes all connections abruptly, for good
}

// faultListener limits and tracks the accepted connections, and silences them
// on demand.
type faultListener struct {
	net.Listener
	max int // open connections, 0 for no limit

	mu       sync.Mutex
	conns    map[*faultConn]struct{}
	accepted int
	rejected int
}

func newFaultListener(l net.Listener, limit int) *faultListener {
	return &faultListener{Listener: l, max: limit, conns: make(map[*faultConn]struct{})}
}

// Accept returns the next connection within the limit and closes those above
// it.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if fc := l.add(c); fc != nil {
			return fc, nil
		}
		_ = c.Close()
	}
}

func (l *faultListener) add(c net.Conn) *faultConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && len(l.conns) >= l.max {
		l.rejected++
		return nil
	}
	l.accepted++
	fc := &faultConn{Conn: c, listener: l}
	l.conns[fc] = struct{}{}
	return fc
}

// silenceShare silences a fraction of the open connections, at least one if any
// is open.
func (l *faultListener) silenceShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := int(share*float64(len(l.conns)) + 0.999)
	for c := range l.conns {
		if n <= 0 {
			return
		}
		c.silence()
		n--
	}
}

// resetAll closes all connections with a reset instead of the usual end of
// stream.
func (l *faultListener) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

// connCounts returns the numbers of open, accepted and rejected connections.
func (l *faultListener) connCounts() (open, accepted, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.accepted, l.rejected
}

// faultConn is a connection that can go silent: it stays open, but received
// bytes are discarded and written bytes are dropped, as if a device on the path
// had lost track of the connection.
type faultConn struct {
	net.Conn
	listener *faultListener

	mu     sync.Mutex
	silent bool
}

func (c *faultConn) silence() {
	c.mu.Lock()
	c.silent = true
	c.mu.Unlock()
}

func (c *faultConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read reads until the connection goes silent. From then on it discards
// received bytes and returns only when the connection ends, so that the server
// keeps a silent connection open until its peer closes it.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isSilent() || err != nil {
			return n, err
		}
	}
}

// Write writes to the connection, or drops the bytes if it is silent.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and stops tracking it. It fails if the connection
// is already closed.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	_, open := c.listener.conns[c]
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if !open {
		return errors.New("connection is already closed")
	}
	return c.Conn.Close()
}
