package target_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// staleServer responds to the first request it receives and keeps that connection
// open. It reads any later request completely and closes the connection without a
// response, like a server that has just closed an idle connection.
type staleServer struct {
	l  net.Listener
	wg sync.WaitGroup

	mu      sync.Mutex
	bodies  []string
	headers []http.Header
}

func newStaleServer(t *testing.T) *staleServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &staleServer{l: l}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.wg.Wait()
	})
	return s
}

func (s *staleServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for range 2 {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(body))
		s.headers = append(s.headers, req.Header)
		first := len(s.bodies) == 1
		s.mu.Unlock()
		if !first {
			return
		}
		h := http.Header{}
		for _, name := range []string{target.HeaderKey, target.HeaderTask} {
			h.Set(name, req.Header.Get(name))
		}
		h.Set(target.HeaderVerdict, verdict.Completed.String())
		h.Set(target.HeaderChecksum, target.Checksum(nil))
		resp := http.Response{StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody}
		if resp.Write(c) != nil {
			return
		}
	}
}

func (s *staleServer) receivedBodies() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.bodies...)
}

func TestStartOnStaleConnectionIsNotResent(t *testing.T) {
	s := newStaleServer(t)
	p := newPool(t, target.PoolConfig{})
	addr := s.l.Addr().String()
	_, err := p.Run(t.Context(), addr, newStart(t, "first"))
	assert.NilError(t, err)

	_, err = p.Run(t.Context(), addr, newStart(t, "second"))

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun, "%v", err)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.TargetLost, "%v", err)
	assert.DeepEqual(t, s.receivedBodies(), []string{"first", "second"})
	for _, h := range s.headers {
		assert.Equal(t, h.Get("Idempotency-Key")+h.Get("X-Idempotency-Key"), "")
	}
}

// Shows with the same server and a plain transport that net/http resends a request
// with an idempotency key, which the test above guards against.
func TestNetHTTPResendsWithIdempotencyKey(t *testing.T) {
	s := newStaleServer(t)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	post := func(body string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+s.l.Addr().String(), bytes.NewReader([]byte(body)))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "1")
		resp, err := tr.RoundTrip(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Body.Close()
	}
	assert.NilError(t, post("first"))
	assert.Assert(t, post("second") != nil)
	assert.DeepEqual(t, s.receivedBodies(), []string{"first", "second", "second"})
}
