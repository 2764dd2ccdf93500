package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"currantstall/internal/verdict"
)

// exchange is one HTTP request to a target. It tracks the connections that
// carried it, to tell whether any byte of it was sent.
type exchange struct {
	mu        sync.Mutex
	conns     []usedConn
	untracked bool // a connection can't tell what it carried
}

// usedConn is a connection and the count of its writes before the exchange.
type usedConn struct {
	conn         *trackedConn
	writesBefore uint64
}

// trace returns a context that reports the connections to the exchange.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.mu.Lock()
			defer x.mu.Unlock()
			c, ok := info.Conn.(*trackedConn)
			if !ok {
				x.untracked = true
				return
			}
			x.conns = append(x.conns, usedConn{c, c.writeCount()})
		},
	})
}

// abort makes sure that nothing more of the request is sent and reports
// whether something was. After it no byte follows, so a false result holds.
func (x *exchange) abort() (sent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sent = x.untracked
	for _, c := range x.conns {
		if c.conn.blockWrites() != c.writesBefore {
			sent = true
		}
		_ = c.conn.Close()
	}
	return sent
}

// acquireRequest waits until the lane has room for an exchange. The returned function
// gives the acquireRequest back once the answer is read. The error is NotRun.
func (l *connSet) acquireRequest(ctx context.Context) (func(), error) {
	if err := l.requests.acquire(ctx); err != nil {
		return nil, transportError(ctx, err, false)
	}
	return l.requests.release, nil
}

// roundTrip sends a request once and returns the answer's head. It uses the
// transport, not a client, so that no redirect is followed. The error is a
// *verdict.Error.
func (e *endpoint) roundTrip(l *connSet, req *http.Request) (*http.Response, error) {
	var x exchange
	ctx := req.Context()
	resp, err := l.transport.RoundTrip(req.WithContext(x.trace(ctx)))
	if err == nil {
		e.observeHeaders(resp.Header)
		return resp, nil
	}
	return nil, transportError(ctx, err, x.abort())
}

// transportError maps an error of the transport to its verdict.
func transportError(ctx context.Context, err error, sent bool) *verdict.Error {
	v := verdict.MayHaveRun
	if !sent {
		v = verdict.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(v, verdict.Timeout, "no answer in time: %w", err)
	case ctx.Err() != nil:
		return verdict.New(v, verdict.Cancelled, "cancelled: %w", err)
	case !sent && isDialError(err):
		return verdict.New(v, verdict.DialFailed, "dial: %w", err)
	case !sent:
		return verdict.New(v, verdict.NothingWritten, "send: %w", err)
	}
	return verdict.New(v, verdict.TargetLost, "connection lost: %w", err)
}

// observeHeaders takes in what every answer says of its target.
func (e *endpoint) observeHeaders(h http.Header) {
	if c, err := ParseClock(h.Get(HeaderClock)); err == nil {
		e.clock.observe(c, time.Now())
	}
	if h.Get(HeaderLeaving) == "true" {
		e.cfg.OnLeaving(e.addr)
	}
}

// readBody reads a whole body and checks its length and checksum. A connection
// whose answer was not read to its end is closed.
func readBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	body, err := readAll(resp, limit)
	if err == nil && resp.Header.Get(HeaderChecksum) != Checksum(body) {
		err = errors.New("the checksum differs")
	}
	switch {
	case err == nil:
		return body, nil
	case ctx.Err() != nil:
		return nil, transportError(ctx, err, true)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.TruncatedAnswer, "answer is not whole: %w", err)
}

func readAll(resp *http.Response, limit int64) ([]byte, error) {
	n := resp.ContentLength
	if n < 0 {
		return nil, errors.New("no length given")
	}
	if n > limit {
		return nil, errors.New("longer than the limit")
	}
	body := make([]byte, n)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}
