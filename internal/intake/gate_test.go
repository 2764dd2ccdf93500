package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/metrics"
)

// serve serves requests whose body is read with limits, and returns connections to the server.
// The server answers with the body.
func serve(t *testing.T, limits Limits) (dial func() net.Conn, g *Gate) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g = NewGate(limits, metrics.NewNop())
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, hold, err := g.ReadBody(r, 1<<20)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			defer hold.Release()
			_, _ = w.Write(body)
		}
	})}
	wrapped := g.Serve(s, ln, false)
	go func() { _ = s.Serve(wrapped) }()
	t.Cleanup(func() { _ = s.Close() })
	return func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(time.Minute)))
		return c
	}, g
}

// exchange sends text and returns the status and the body of the response.
func exchange(t *testing.T, c net.Conn, text string) (int, string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
	return answer(t, c)
}

func answer(t *testing.T, c net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(b)
}

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (g *Gate) used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Used()
}

// awaitFree waits until all requests have given back their memory, the last of them after
// its response.
func (g *Gate) awaitFree(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Minute); g.used() != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes stay in use", g.used())
	}
}

// In calm a single request as large as the limits allow is served, on the smallest machine.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	dial, g := serve(t, NewLimits(Machine{Memory: 144 << 20, Descriptors: 3075}, 0))
	var head bytes.Buffer
	for i := range defaultHeadLines - 10 {
		fmt.Fprintf(&head, "%x: %s\r\n", i, strings.Repeat("b", 80))
	}
	assert.Assert(t, head.Len() > 800_000)
	body := strings.Repeat("x", 1<<20)
	status, got := exchange(t, dial(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", &head, len(body), body))
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, got == body)
	g.awaitFree(t)
}

// Requests that follow on a connection are counted anew, also those sent together.
func TestRequestsOnOneConnection(t *testing.T) {
	dial, g := serve(t, Limits{Bytes: 64 << 10, HeadBytes: 64 << 10, HeadSize: 1 << 20, HeadLines: 50, BodyIdle: time.Minute, BodyRate: 1})
	c := dial()
	r := bufio.NewReader(c)
	lines := strings.Repeat("a: b\r\n", 40) // the lines of all requests together are over the limit
	for i := range 20 {
		body := strings.Repeat("line\n", 10*i)
		text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
		_, err := io.WriteString(c, text+text)
		assert.NilError(t, err)
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err)
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, string(b), body)
		}
	}
	g.awaitFree(t)
}

func TestHeadOfTooManyLinesIsRefused(t *testing.T) {
	dial, g := serve(t, NewLimits(Machine{}, 0))
	status, _ := exchange(t, dial(), "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a: b\r\n", defaultHeadLines))
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	g.awaitFree(t)
}

func TestBodyWithoutRoomIsRefused(t *testing.T) {
	dial, g := serve(t, Limits{Bytes: 16 << 10, HeadBytes: 16 << 10, HeadSize: 1 << 20, HeadLines: 100, BodyIdle: time.Minute, BodyRate: 1})
	status, _ := exchange(t, dial(), post(strings.Repeat("x", 100<<10)))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = exchange(t, dial(), post(strings.Repeat("x", FreeBytes)))
	assert.Equal(t, status, http.StatusOK)
	g.awaitFree(t)
}

func TestBodyThatStopsIsRefused(t *testing.T) {
	dial, g := serve(t, Limits{Bytes: 1 << 20, HeadBytes: 1 << 20, HeadSize: 1 << 20, HeadLines: 100, BodyIdle: 50 * time.Millisecond, BodyRate: 1 << 20})
	c := dial()
	text := post(strings.Repeat("x", 50<<10))
	status, _ := exchange(t, c, text[:len(text)-1])
	assert.Equal(t, status, http.StatusServiceUnavailable)
	g.awaitFree(t)
}

// Connections that send nothing make room for one that asks.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	limits := NewLimits(Machine{}, 0)
	limits.Conns = 3
	dial, _ := serve(t, limits)
	silent := []net.Conn{dial(), dial(), dial(), dial()}
	status, body := exchange(t, dial(), post("hello"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "hello")
	_, err := silent[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func TestAnswerThatIsNotTakenEndsItsConnection(t *testing.T) {
	limits := NewLimits(Machine{}, 0)
	limits.AnswerIdle = 50 * time.Millisecond
	dial, g := serve(t, limits)
	c := dial()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	for body := post(strings.Repeat("x", 1<<20)); ; { // answered with the same, which is not read
		if _, err := io.WriteString(c, body); err != nil {
			break
		}
	}
	open := func() int {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.conns)
	}
	for open() > 0 {
		time.Sleep(time.Millisecond)
	}
	status, _ := exchange(t, dial(), post("x"))
	assert.Equal(t, status, http.StatusOK)
}

func TestHoldIsResizedToWhatTheBodyDecodesTo(t *testing.T) {
	limits := NewLimits(Machine{}, 0)
	limits.Bytes = 100 << 10
	g := NewGate(limits, metrics.NewNop())
	read := func(size int) *Hold {
		r, err := http.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		assert.NilError(t, err)
		_, h, err := g.ReadBody(r, 1<<20)
		assert.NilError(t, err)
		return &h
	}
	used := func() int64 { return g.ledger.Used() }
	small, large := read(100), read(50<<10)
	assert.Equal(t, used(), int64(50<<10-FreeBytes))
	assert.NilError(t, small.Resize(FreeBytes))
	assert.NilError(t, large.Resize(20<<10))
	assert.Equal(t, used(), int64(20<<10-FreeBytes), "ordinary requests are not counted")
	assert.NilError(t, small.Resize(80<<10))
	assert.ErrorIs(t, large.Resize(60<<10), ErrNoRoom)
	assert.Equal(t, used(), int64(100<<10-2*FreeBytes), "a request that gets no more keeps what it has")
	small.Release()
	assert.NilError(t, large.Resize(60<<10))
	large.Release()
	large.Release()
	assert.Equal(t, used(), int64(0))
}

func TestAnswerThatIsNotTakenMakesRoomForAnotherConnection(t *testing.T) {
	limits := NewLimits(Machine{}, 0)
	limits.Conns, limits.AnswerIdle = 1, time.Hour
	dial, g := serve(t, limits)
	c := dial()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	go func() {
		for body := post(strings.Repeat("x", 1<<20)); ; { // answered with the same, which is not read
			if _, err := io.WriteString(c, body); err != nil {
				return
			}
		}
	}()
	writing := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, c := range g.conns {
			return c.writing.Load() > 0
		}
		return false
	}
	for !writing() {
		time.Sleep(time.Millisecond)
	}
	status, _ := exchange(t, dial(), post("x"))
	assert.Equal(t, status, http.StatusOK)
}
