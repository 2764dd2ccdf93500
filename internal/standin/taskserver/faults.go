package taskserver

import (
	"errors"
	"net"
	"sync"
)

// Faults are the switches of a stand-in. The zero value is a healthy one.
type Faults struct {
	Straggle  float64 `json:"straggle,omitempty"`   // all tasks take this many times as long
	FailAll   bool    `json:"fail_all,omitempty"`   // every task runs and fails
	ErrorFast bool    `json:"error_fast,omitempty"` // every start is answered 500 at once
	Leaving   bool    `json:"leaving,omitempty"`    // says so and refuses starts
	Truncate  float64 `json:"truncate,omitempty"`   // share of answers cut in the middle
	Cross     float64 `json:"cross,omitempty"`      // share of answers that are another task's
	Late      float64 `json:"late,omitempty"`       // share of answers sent late
	LateMS    int64   `json:"late_ms,omitempty"`    // by this much
	Silence   float64 `json:"silence,omitempty"`    // at the call, this share of the open connections goes silent for good
	Dead      bool    `json:"dead,omitempty"`       // closes everything abruptly, for good
}

// faultListener bounds the accepted connections, keeps track of them, and
// silences them on demand.
type faultListener struct {
	net.Listener
	max int // 0 for no limit

	mu       sync.Mutex
	conns    map[*faultConn]struct{}
	accepted int
	rejected int
}

func newFaultListener(l net.Listener, limit int) *faultListener {
	return &faultListener{Listener: l, max: limit, conns: make(map[*faultConn]struct{})}
}

// Accept returns the next connection within the limit; those beyond it are
// closed.
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

// silenceShare lets a share of the open connections go silent, at least one if
// there is one.
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

// resetAll closes all connections without the usual end of stream.
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

// connCounts returns the open, accepted and rejected connections.
func (l *faultListener) connCounts() (open, accepted, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.accepted, l.rejected
}

// faultConn is a connection that can go silent: it stays open, but what comes
// in is lost and what is written goes nowhere.
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

// Read reads until the connection goes silent; then it discards what comes in.
func (c *faultConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isSilent() || err != nil {
			return n, err
		}
	}
}

// Write writes, or drops the bytes on a silent connection.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A silent one is kept open until its peer closes
// it, as if something in between had lost track of it.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	_, open := c.listener.conns[c]
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if !open {
		return errors.New("connection is closed already")
	}
	return c.Conn.Close()
}
