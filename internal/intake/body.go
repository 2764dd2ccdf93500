package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"currantstall/internal/verdict"
)

// Errors of ReadBody. The request has not been accepted.
var (
	ErrTooLarge = errors.New("the body is longer than the limit")
	ErrNoRoom   = errors.New("the memory for requests has no room now")
	ErrTooSlow  = errors.New("the body stopped or came too slowly before its end")
)

const firstPiece = 4 << 10

// ReadBody reads the body of a request, at most limit bytes. The memory grows with what has
// arrived. The caller must call Release of the hold when it no longer uses the body. With an
// error it returns what it has read, and the hold is released.
func (g *Gate) ReadBody(r *http.Request, limit int64) (body []byte, hold Hold, err error) {
	hold = Hold{gate: g, conn: requestConn(r)}
	if r.ContentLength > limit {
		return nil, hold, ErrTooLarge
	}
	if hold.conn != nil && hold.conn.hasWhole(r) {
		body, err = readAll(r.Body, r.ContentLength, limit, func(int64) error { return nil }, func(int64) {})
		return body, hold, err
	}
	return g.readArriving(r, limit, hold)
}

// readArriving reads a body that has not come with its head.
func (g *Gate) readArriving(r *http.Request, limit int64, hold Hold) ([]byte, Hold, error) {
	c, start := hold.conn, g.now()
	arrived := func(n int64) {
		if hold.counted > 0 {
			g.arrived(hold.id, false)
		}
		if c != nil {
			_ = c.SetReadDeadline(g.start.Add(g.limits.bodyDeadline(start, g.now(), n)))
		}
	}
	body, err := readAll(r.Body, r.ContentLength, limit, hold.grow, arrived)
	if err == nil && c != nil && !c.endBody() {
		err = os.ErrDeadlineExceeded
	}
	if err != nil {
		hold.Release()
		return body, hold, g.refused(c, err)
	}
	if hold.counted > 0 {
		g.arrived(hold.id, true)
	}
	return body, hold, nil
}

// Hold is the memory of one request. It is not safe for concurrent use.
type Hold struct {
	gate    *Gate
	conn    *conn  // nil if not known
	id      uint64 // 0 before memory is first counted
	counted int64
}

// grow makes the request hold capacity bytes, of which the first FreeBytes are not counted.
func (h *Hold) grow(capacity int64) error {
	more := capacity - FreeBytes - h.counted
	if more <= 0 {
		return nil
	}
	if h.id == 0 {
		h.id = h.gate.lastID.Add(1)
	}
	if !h.gate.ask(h.id, h.conn, Body, more) {
		return ErrNoRoom
	}
	h.counted += more
	return nil
}

// Resize makes a request that has arrived whole hold size bytes from now on: what its body decodes
// to in place of the body. It fails with ErrNoRoom if there is no memory for more.
func (h *Hold) Resize(size int64) error {
	if less := h.counted - max(size-FreeBytes, 0); less > 0 {
		h.gate.shrink(h.id, less)
		h.counted -= less
		return nil
	}
	counted := h.counted
	if err := h.grow(size); err != nil {
		return h.gate.refused(nil, err)
	}
	if h.counted > counted {
		h.gate.arrived(h.id, true)
	}
	return nil
}

// Release frees the memory. It may be called more than once.
func (h *Hold) Release() {
	if h.counted > 0 {
		h.gate.release(h.id)
		h.counted = 0
	}
}

// refused counts a body that was not read to its end. What the caller still sends is
// read for refusalWrite at most.
func (g *Gate) refused(c *conn, err error) error {
	reason := verdict.MemoryFull
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c != nil && c.evicted.Load():
		return fmt.Errorf("%w: %w", ErrNoRoom, err) // counted by evict
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = verdict.TooSlow
		err = fmt.Errorf("%w: %w", ErrTooSlow, err)
	case !errors.Is(err, ErrNoRoom):
		return err
	}
	g.closedFor(reason)
	if c != nil {
		_ = c.SetReadDeadline(time.Now().Add(refusalWrite))
	}
	return err
}

// readAll reads to the end of r, at most limit bytes; size is the length, -1 if it is not
// known. It calls grow before it uses more memory, and arrived after each read.
func readAll(r io.Reader, size, limit int64, grow func(capacity int64) error, arrived func(n int64)) ([]byte, error) {
	most := limit + 1 // one more, to tell a body that is too long
	if size >= 0 {
		most = size
	}
	b := make([]byte, 0, min(most, firstPiece))
	for {
		if int64(len(b)) == most {
			if size >= 0 {
				return b, nil
			}
			return b, ErrTooLarge
		}
		if len(b) == cap(b) {
			next := min(2*int64(cap(b)), most)
			if err := grow(next); err != nil {
				return b, err
			}
			b = append(make([]byte, 0, next), b...)
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			if int64(len(b)) < size {
				err = io.ErrUnexpectedEOF
			} else {
				err = nil
			}
			return b, err
		}
		if err != nil {
			return b, err
		}
		arrived(int64(len(b)))
	}
}
