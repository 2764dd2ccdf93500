package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"currantstall/platform/platformd"
	"currantstall/platform/store"
)

// Times of the platform's store in the settings of a small deployment.
const (
	readTime = 4 * time.Millisecond
	txTime   = 8 * time.Millisecond
)

// storeStandin is the project's stand-in of the platform's store, with the response times of a
// small deployment, and an outage during which all calls of the entries get 503.
type storeStandin struct {
	server  *platformd.Server
	handler http.Handler
	net     *network

	mu     sync.Mutex
	down   bool
	cut    chan struct{}            // closed when an outage begins
	silent map[string]chan struct{} // by entry: closed when the connections with waiting reads go silent
	waits  map[string]int           // by entry: reads that wait for changes
}

func newStoreStandin(n *network) (*storeStandin, error) {
	server, err := platformd.Start("")
	if err != nil {
		return nil, err
	}
	server.Store.SetFaults(platformd.Faults{})
	return &storeStandin{server: server, handler: server.Handler(), net: n, cut: make(chan struct{}), silent: map[string]chan struct{}{}, waits: map[string]int{}}, nil
}

// listen returns an address at which the store serves one entry, so that it knows the caller.
func (s *storeStandin) listen(entry string) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.silent[entry] = make(chan struct{})
	s.mu.Unlock()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(entry, w, q) }))
	}()
	return l.Addr().String(), nil
}

// silence lets the connections of an entry on which a read waits for changes go silent for
// good, without a reset. New connections, and those in use for other calls, work. It returns
// how many go silent.
func (s *storeStandin) silence(entry string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent[entry])
	s.silent[entry] = make(chan struct{})
	return s.waits[entry]
}

// countWait counts a read that waits for changes from now on, or no longer.
func (s *storeStandin) countWait(entry string, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits[entry] += by
}

func (s *storeStandin) put(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.server.Store.Put(table, key, b)
}

func (s *storeStandin) remove(table, key string) {
	_, _ = s.server.Store.Apply(store.Tx{Remove: []store.RowID{{Table: table, Key: key}}})
}

// setDown begins or ends an outage. Calls that wait when it begins get 503 too.
func (s *storeStandin) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.cut)
	} else {
		s.cut = make(chan struct{})
	}
}

func (s *storeStandin) serve(entry string, w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	down, cut, silent := s.down, s.cut, s.silent[entry]
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q.URL.Path == store.PathTx {
		time.Sleep(txTime)
		s.handler.ServeHTTP(w, q)
		return
	}
	time.Sleep(readTime)
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	b := &buffer{header: http.Header{}, status: http.StatusOK}
	if q.URL.Path == store.PathFeed {
		s.countWait(entry, 1)
	}
	s.handler.ServeHTTP(b, q.WithContext(ctx))
	if q.URL.Path == store.PathFeed {
		s.countWait(entry, -1)
	}
	select {
	case <-silent:
		<-q.Context().Done() // the client has closed the connection
		return
	case <-cut:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	if t := q.URL.Query().Get("table"); b.status == http.StatusOK && (t == store.MemberTable || t == store.TargetTable) {
		b.body = s.net.rewrite(entry, b.body)
	}
	b.copyTo(w)
}
