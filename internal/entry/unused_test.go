package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testHeaderTimeout = 100 * time.Millisecond
	testIdleTimeout   = time.Minute
)

// serveUnused serves empty responses and returns a connection to the server.
func serveUnused(t *testing.T) net.Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ReadHeaderTimeout: testHeaderTimeout,
		IdleTimeout:       testIdleTimeout,
	}
	go func() { _ = s.Serve(unusedListener{ln, testHeaderTimeout, testIdleTimeout}) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A connection that a caller keeps in reserve was closed after the time for a header; the
// request that then used it got no response.
func TestUnusedConnectionServesLateRequest(t *testing.T) {
	c := serveUnused(t)
	time.Sleep(5 * testHeaderTimeout)

	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)

	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// A caller that sends its header too slowly does not hold the connection.
func TestSlowHeaderEndsConnection(t *testing.T) {
	c := serveUnused(t)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(testIdleTimeout/2)))

	_, err = io.ReadAll(c)

	assert.NilError(t, err, "the connection is still open")
}
