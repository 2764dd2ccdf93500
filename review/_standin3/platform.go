package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"

	"currantstall/platform/platformd"
	"currantstall/platform/store"
)

// Times that the store takes for a call.
const (
	readTime = 4 * time.Millisecond
	txTime   = 8 * time.Millisecond
)

// platform is the stand-in of the platform's store. It is the project's own, behind a front that takes
// the usual time for each call and can be down.
type platform struct {
	server  *platformd.Server
	handler http.Handler
	front   *http.Server
	addr    string

	mu   sync.Mutex
	down bool
	cut  chan struct{} // closed when an outage begins
	// lost is the key of a row. The next transaction that puts it gets no answer, and is done lostFor later if its
	// conditions still hold.
	lost    string
	lostFor time.Duration
	done    func(err error) // is told of the outcome
}

func startPlatform() (*platform, error) {
	server, err := platformd.Start("")
	if err != nil {
		return nil, err
	}
	server.Store.SetFaults(platformd.Faults{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{server: server, handler: server.Handler(), addr: l.Addr().String(), cut: make(chan struct{})}
	p.front = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.front.Serve(l) }()
	return p, nil
}

// setDown begins an outage, in which all calls get 503, or ends it.
func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down = down; down {
		close(p.cut)
		p.cut = make(chan struct{})
	}
}

func (p *platform) isDown() (bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down, p.cut
}

func (p *platform) serve(w http.ResponseWriter, q *http.Request) {
	down, cut := p.isDown()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q.URL.Path == store.PathTx {
		time.Sleep(txTime)
		if p.loses(q) {
			<-q.Context().Done()
			return
		}
		if down, _ := p.isDown(); down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p.handler.ServeHTTP(w, q)
		return
	}
	time.Sleep(readTime)
	// A read that waits for a change ends when an outage begins.
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	kept := httptest.NewRecorder()
	p.handler.ServeHTTP(kept, q.WithContext(ctx))
	select {
	case <-cut:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
	}
	maps.Copy(w.Header(), kept.Header())
	w.WriteHeader(kept.Code)
	_, _ = w.Write(kept.Body.Bytes())
}

// loseNext makes the store lose the answer to the next transaction that puts a row with the key, and carry it out late.
func (p *platform) loseNext(key string, late time.Duration, done func(err error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost, p.lostFor, p.done = key, late, done
}

// loses reports whether the answer to a transaction is lost.
func (p *platform) loses(q *http.Request) bool {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	q.Body = io.NopCloser(bytes.NewReader(body))
	var tx store.Tx
	if json.Unmarshal(body, &tx) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == "" || !slices.ContainsFunc(tx.Puts, func(r store.Row) bool { return r.Key == p.lost }) {
		return false
	}
	done := p.done
	p.lost = ""
	time.AfterFunc(p.lostFor, func() {
		_, err := p.server.Store.Apply(tx)
		done(err)
	})
	return true
}

// put writes a row as the operator or a runner. It fails while the store is down.
func (p *platform) put(table, key string, v any) bool {
	if down, _ := p.isDown(); down {
		return false
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	p.server.Store.Put(table, key, b)
	return true
}

func (p *platform) close() {
	_ = p.front.Close()
	_ = p.server.Close()
}
