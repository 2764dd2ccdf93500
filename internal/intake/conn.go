package intake

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"currantstall/internal/verdict"
)

// The phases of a connection.
const (
	phaseIdle   int32 = iota // before the first byte of a request
	phaseHead                // the head arrives
	phaseBody                // the body arrives
	phaseServed              // the request has arrived, or the connection is a peer's
)

const (
	// refusalWrite bounds the wait for a refusal to be written.
	refusalWrite = time.Second
	// answerPiece is the part of an answer that a caller has to take within Limits.AnswerIdle, in bytes.
	answerPiece = 64 << 10
)

// The refusals that are written before net/http has read a head: no request has run.
const (
	tooManyLines = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noRoom       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// conn counts the lines of heads before net/http stores them.
type conn struct {
	net.Conn
	gate     *Gate
	id       uint64
	phase    atomic.Int32
	progress atomic.Int64 // time of the last data, as a time.Duration of the gate
	evicted  atomic.Bool  // set under mu
	// writing is since when a piece of an answer has waited to be taken, as a time.Duration of the
	// gate; 0 if none does.
	writing atomic.Int64
	// ownDeadline is set while the handler has set a deadline of writes, or has taken the
	// connection over.
	ownDeadline atomic.Bool

	// Used by one reader at a time.
	size, lines int  // of the head so far
	lineHasText bool // the current line of the head has bytes other than CR
	counted     int64
	buffered    int64 // bytes after the head that came with its end
	refused     bool

	mu         sync.Mutex // for changes of the phase and of the deadlines
	closed     bool
	writeUntil time.Time // deadline of writes that Write has set
}

func newConn(g *Gate, raw net.Conn) *conn {
	c := &conn{Conn: raw, gate: g, id: g.lastID.Add(1)}
	c.progress.Store(int64(g.now()))
	return c
}

type connKey struct{}

// connOf returns the conn that a connection of a server is or wraps, nil if there is none.
func connOf(c net.Conn) *conn {
	for {
		if gc, ok := c.(*conn); ok {
			return gc
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = w.NetConn()
	}
}

// requestConn returns the connection of a request, nil if it came past the Gate.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// Read reads from the connection. It returns io.EOF after the head has been refused.
func (c *conn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.progress.Store(int64(c.gate.now()))
	if c.phase.Load() == phaseIdle {
		if !c.setPhase(phaseHead) {
			return 0, io.EOF // nothing of a request has been seen
		}
		c.size, c.lines, c.lineHasText, c.buffered = 0, 0, false, 0
	}
	if c.phase.Load() != phaseHead {
		return n, err
	}
	if refusal, reason := c.countHead(b[:n]); refusal != "" {
		c.refuse(refusal, reason)
		return 0, io.EOF
	}
	return n, err
}

// countHead counts bytes of a head, and asks for the memory that they cost. It returns the
// refusal if there is one.
func (c *conn) countHead(b []byte) (refusal string, reason verdict.Reason) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			c.size += len(b)
			c.lineHasText = c.lineHasText || hasText(b)
			break
		}
		c.size += i + 1
		c.lines++
		ends := c.lines > 1 && !c.lineHasText && !hasText(b[:i])
		c.lineHasText = false
		b = b[i+1:]
		if ends {
			c.buffered = int64(len(b))
			c.setPhase(phaseServed)
			break
		}
	}
	if c.lines > c.gate.limits.HeadLines {
		return tooManyLines, verdict.HeadTooLarge
	}
	cost := headCost(c.size, c.lines)
	if cost <= c.counted {
		return "", ""
	}
	if !c.gate.ask(c.id, c, Head, cost-c.counted) {
		return noRoom, verdict.MemoryFull
	}
	c.counted = cost
	return "", ""
}

// hasText reports whether part of a line has bytes other than the end of the line.
func hasText(b []byte) bool { return len(b) > 1 || len(b) == 1 && b[0] != '\r' }

// refuse answers a request whose head is not read further.
func (c *conn) refuse(refusal string, reason verdict.Reason) {
	c.refused = true
	c.gate.closedFor(reason)
	c.releaseHead()
	_ = c.SetWriteDeadline(time.Now().Add(refusalWrite))
	_, _ = io.WriteString(c.Conn, refusal) // a caller that does not read it sees the end of the connection
}

// releaseHead frees what the head holds.
func (c *conn) releaseHead() {
	if c.counted > 0 {
		c.gate.release(c.id)
		c.counted = 0
	}
}

// setPhase changes the phase, and reports whether the connection is not evicted.
func (c *conn) setPhase(p int32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase.Store(p)
	return !c.evicted.Load()
}

// stateChanged follows the states of net/http.
func (c *conn) stateChanged(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.setPhase(phaseServed)
	case http.StateHijacked:
		c.ownDeadline.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Time{})
		c.setPhase(phaseServed)
	case http.StateIdle:
		c.releaseHead()
		c.buffered = 0
		c.progress.Store(int64(c.gate.now()))
		c.setPhase(phaseIdle)
	}
}

// hasWhole reports whether the body of a request came with its head.
func (c *conn) hasWhole(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= c.buffered
}

// beginBody notes that the body is still to arrive.
func (c *conn) beginBody() {
	c.setPhase(phaseBody)
	_ = c.SetReadDeadline(time.Now().Add(c.gate.limits.BodyIdle))
}

// endBody notes that the body has been read, and lifts its deadline. It reports whether
// the connection is not evicted.
func (c *conn) endBody() bool {
	if !c.setPhase(phaseServed) {
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	return true
}

// waitingSince returns since when the connection has sent nothing, or taken nothing of its
// answer. It is not ok if the connection holds a request that has arrived whole and has no
// answer yet.
func (c *conn) waitingSince() (at time.Duration, ok bool) {
	if at := time.Duration(c.writing.Load()); at > 0 {
		return at, true
	}
	return time.Duration(c.progress.Load()), c.phase.Load() != phaseServed
}

// evict ends the reads of the connection, and an answer that the caller does not take. A request
// whose body is read is refused.
func (c *conn) evict(reason verdict.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	writing := c.writing.Load() > 0
	if c.phase.Load() == phaseServed && !writing || c.evicted.Swap(true) {
		return // it has got on meanwhile
	}
	c.gate.closedFor(reason)
	if writing {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline sets the deadline of reads, unless the connection is evicted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes. A zero time leaves it to Write.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownDeadline.Store(!t.IsZero())
	c.writeUntil = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Write writes to the connection. It fails if the caller does not take an answer.
func (c *conn) Write(b []byte) (n int, err error) {
	idle := c.gate.limits.AnswerIdle
	if idle <= 0 || c.ownDeadline.Load() {
		return c.Conn.Write(b)
	}
	defer c.writing.Store(0)
	for {
		if err := c.beginPiece(idle); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(b[n:min(n+answerPiece, len(b))])
		n += m
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.evicted.Load() {
			c.gate.closedFor(verdict.TooSlow)
		}
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// beginPiece sets the deadline for the next piece of an answer, unless half of the time or more is
// left until the last one that was set. It fails if the connection is evicted.
func (c *conn) beginPiece(idle time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted.Load() {
		return os.ErrDeadlineExceeded
	}
	now := time.Now()
	c.writing.Store(int64(now.Sub(c.gate.start)))
	if c.writeUntil.Sub(now) >= idle/2 {
		return nil
	}
	c.writeUntil = now.Add(idle)
	return c.Conn.SetWriteDeadline(c.writeUntil)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close closes the connection and frees what it holds.
func (c *conn) Close() error {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.gate.release(c.id)
		c.gate.leave(c)
	}
	return err
}

// CloseWrite shuts down the writing side, so that net/http can await the caller's end.
func (c *conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// SyscallConn gives access to the kernel's account of the connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}
