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

// exchange is one HTTP request to a target. It records the connections that
// net/http used for it, to determine whether any byte of it was sent.
type exchange struct {
	onConnected func() // called for each connection, or nil

	mu        sync.Mutex
	conns     []usedConn
	untracked bool // a connection does not count its writes
}

// usedConn is a connection and the number of its writes before the exchange.
type usedConn struct {
	conn         *trackedConn
	writesBefore uint64
}

// trace returns a context that makes net/http report the connections to the
// exchange.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if x.onConnected != nil {
				x.onConnected()
			}
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

// abort prevents any further byte of the request from being sent and reports
// whether any byte was sent. Since no byte can follow, a result of false is final.
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

// acquireRequest waits until one more request may be in flight. The caller calls
// the returned function once it has read the response. The error has the verdict
// NotRun.
func (l *connSet) acquireRequest(ctx context.Context) (func(), error) {
	if err := l.requests.acquire(ctx); err != nil {
		return nil, transportError(ctx, err, false)
	}
	return l.requests.release, nil
}

// roundTrip sends a request once and returns the response with its body unread.
// It calls onConnected, unless nil, for each connection that the request gets.
// It uses the transport, not a client, so that no redirect is followed. The error
// is a *verdict.Error.
func (e *endpoint) roundTrip(l *connSet, req *http.Request, onConnected func()) (*http.Response, error) {
	x := exchange{onConnected: onConnected}
	ctx := req.Context()
	resp, err := l.transport.RoundTrip(req.WithContext(x.trace(ctx)))
	if err == nil {
		e.observeHeaders(resp.Header)
		return resp, nil
	}
	return nil, transportError(ctx, err, x.abort())
}

// transportError maps an error of the transport to a verdict. The flag sent is
// set if any byte of the request was sent.
func transportError(ctx context.Context, err error, sent bool) *verdict.Error {
	v := verdict.MayHaveRun
	if !sent {
		v = verdict.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(v, verdict.Timeout, "no response from the target in time: %w", err)
	case ctx.Err() != nil:
		return verdict.New(v, verdict.Cancelled, "request to the target cancelled: %w", err)
	case !sent && isDialError(err):
		return verdict.New(v, verdict.DialFailed, "dial target: %w", err)
	case !sent:
		return verdict.New(v, verdict.NothingWritten, "request to the target not sent: %w", err)
	}
	return verdict.New(v, verdict.TargetLost, "connection to the target lost: %w", err)
}

// observeHeaders processes the headers that are on every response of a target:
// its clock and whether it is leaving.
func (e *endpoint) observeHeaders(h http.Header) {
	if c, err := ParseClock(h.Get(HeaderClock)); err == nil {
		e.clock.observe(c, time.Now())
	}
	if h.Get(HeaderLeaving) == "true" {
		e.cfg.OnLeaving(e.addr)
	}
}

// readBody reads a complete response body and checks its length and checksum. A
// connection whose response was not read to its end is closed.
func readBody(ctx context.Context, resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	body, err := readAll(resp, limit)
	if err == nil && resp.Header.Get(HeaderChecksum) != Checksum(body) {
		err = errors.New("checksum mismatch")
	}
	switch {
	case err == nil:
		return body, nil
	case ctx.Err() != nil:
		return nil, transportError(ctx, err, true)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.TruncatedAnswer, "response of the target is incomplete or corrupt: %w", err)
}

func readAll(resp *http.Response, limit int64) ([]byte, error) {
	n := resp.ContentLength
	if n < 0 {
		return nil, errors.New("content length is missing")
	}
	if n > limit {
		return nil, errors.New("body is longer than the limit")
	}
	body := make([]byte, n)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}
