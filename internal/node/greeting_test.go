package node

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
)

// lockedBuffer is a log that tests read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.b.Bytes(), []byte(s))
}

// startPair starts two nodes that link to each other at the addresses that via returns for their
// own ones.
func startPair(t *testing.T, log io.Writer, via func(addr string) string) []*Node {
	var nodes []*Node
	var members []fleet.Member
	for _, name := range []string{"a", "b"} {
		var handler http.Handler
		var mu sync.Mutex
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			h := handler
			mu.Unlock()
			h.ServeHTTP(w, r)
		}))
		self := fleet.Member{Name: name, DC: "dc-1", Addr: via(srv.Listener.Addr().String())}
		n, err := Start(Config{
			Self: self, Secret: []byte("a secret of the tests"),
			Targets: newBusyTargets(), Metrics: metrics.NewNop(), Log: slog.New(slog.NewTextHandler(log, nil)),
		})
		assert.NilError(t, err)
		mu.Lock()
		handler = n.Handler()
		mu.Unlock()
		t.Cleanup(srv.Close)
		t.Cleanup(n.Close)
		nodes, members = append(nodes, n), append(members, self)
	}
	for _, n := range nodes {
		n.SetMembers(members, []string{"a", "b"})
	}
	return nodes
}

// A peer whose loop is late handles a new link, its loss and the next link after the next one is
// up, so that both of its greetings travel on that one. That costs one loss of the link at the
// most; the answer to a greeting must not be answered in turn.
func TestSecondGreetingIsAnsweredOnce(t *testing.T) {
	var log lockedBuffer
	nodes := startPair(t, &log, func(addr string) string { return addr })
	for range 300 {
		if nodes[0].Linked() == 1 && nodes[1].Linked() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, nodes[0].Linked(), 1)
	time.Sleep(200 * time.Millisecond) // greetings arrive
	before := log.count("lost by the peer")
	nodes[0].post(func(now time.Duration) { nodes[0].greet(now, "b", true) })
	time.Sleep(300 * time.Millisecond)
	lost := log.count("lost by the peer") - before
	assert.Assert(t, lost <= 2, "the link was taken for lost %d times in 0.3 s", lost)
}
