package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"currantstall/platform/store"
)

// network joins entries, runners and the store. Each entry has addresses of its own for all
// others, so that a data centre can be cut off: what is sent across the cut is held up, and
// arrives with the first retransmission after the cut has healed.
type network struct {
	mu      sync.Mutex
	cutZone string                       // the data centre that is cut off, "" if none is
	routes  map[string]map[string]string // by entry: the address that it uses, by the real address
}

func newNetwork() *network { return &network{routes: map[string]map[string]string{}} }

// cut cuts a data centre off from the others; "" heals.
func (n *network) cut(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutZone = zone
}

// apart reports whether two data centres are cut off from each other.
func (n *network) apart(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && n.cutZone != "" && (a == n.cutZone || b == n.cutZone)
}

// pass waits until what is sent now from one data centre to another arrives. It reports whether
// that is before the context ends.
func (n *network) pass(ctx context.Context, a, b string) bool {
	const firstRetransmission = 200 * time.Millisecond
	for wait := firstRetransmission; n.apart(a, b); wait *= 2 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// route sets the address that an entry uses in place of a real one.
func (n *network) route(entry, real, used string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.routes[entry] == nil {
		n.routes[entry] = map[string]string{}
	}
	n.routes[entry][real] = used
}

// routed returns the address that an entry uses in place of a real one.
func (n *network) routed(entry, real string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if used := n.routes[entry][real]; used != "" {
		return used
	}
	return real
}

// serveRunner serves a runner to an entry at an address of its own.
func (n *network) serveRunner(e *entryProcess, r *runner) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.route(e.name, r.listener.Addr().String(), l.Addr().String())
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			body, err := io.ReadAll(q.Body)
			if err != nil || !n.pass(q.Context(), e.zone, r.zone) || r.isGone() {
				panic(http.ErrAbortHandler)
			}
			b := &buffer{header: http.Header{}, status: http.StatusOK}
			r.serve(b, q, body)
			if !n.pass(q.Context(), r.zone, e.zone) {
				panic(http.ErrAbortHandler)
			}
			b.copyTo(w)
		}))
	}()
	return nil
}

// servePeer passes the connections of an entry to another one on.
func (n *network) servePeer(from, to *entryProcess) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.route(from.name, to.control, l.Addr().String())
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			go n.join(a, from, to)
		}
	}()
	return nil
}

func (n *network) join(a net.Conn, from, to *entryProcess) {
	defer a.Close()
	if !n.pass(context.Background(), from.zone, to.zone) {
		return
	}
	b, err := net.Dial("tcp4", to.control)
	if err != nil {
		return
	}
	defer b.Close()
	done := make(chan struct{}, 2)
	pump := func(src, dst net.Conn) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			k, err := src.Read(buf)
			if !n.pass(context.Background(), from.zone, to.zone) {
				return
			}
			if k > 0 {
				if _, err := dst.Write(buf[:k]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(a, b)
	go pump(b, a)
	<-done
}

// rewrite replaces the addresses in rows of entries and runners by those that an entry uses.
func (n *network) rewrite(entry string, body []byte) []byte {
	var a map[string]json.RawMessage
	var rows []map[string]any
	if json.Unmarshal(body, &a) != nil || json.Unmarshal(a["rows"], &rows) != nil {
		return body
	}
	for _, r := range rows {
		var row store.Row
		var value map[string]any
		if json.Unmarshal(mustJSON(r), &row) != nil || json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		if real, ok := value["addr"].(string); ok {
			value["addr"] = n.routed(entry, real)
			r["value"] = mustJSON(value)
		}
	}
	a["rows"] = mustJSON(rows)
	return mustJSON(a)
}

// buffer keeps a response until it is known whether it may be sent.
type buffer struct {
	header http.Header
	status int
	body   []byte
}

func (b *buffer) Header() http.Header { return b.header }
func (b *buffer) WriteHeader(s int)   { b.status = s }
func (b *buffer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *buffer) copyTo(w http.ResponseWriter) {
	for k, v := range b.header {
		if k != "Content-Length" {
			w.Header()[k] = v
		}
	}
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body)
}
