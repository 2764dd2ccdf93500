package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the pages that a runner applies.
const (
	holdMax = time.Second     // hold_max_ms
	waitMax = 2 * time.Second // of a hold
	endsMax = 500             // ends that a hold lists
	// connsMax is the number of connections that a runner accepts at a time. More wait until others are closed.
	connsMax = 64
)

// spec is what a task's spec tells the stand-in: how long its run takes, and its share of the processor.
type spec struct {
	MS  float64 `json:"ms"`
	CPU int64   `json:"cpu"`
}

type runKey struct {
	task string
	run  int
}

// activeRun is a run that is at work.
type activeRun struct {
	began, due time.Time
	cpu        int64
	timer      *time.Timer
}

// order has the fields of the bodies of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// endRow is a row of the list of ends.
type endRow struct {
	n    int64
	task string
	run  int
	how  string
}

// runner is one life of a runner. It does not guard its capacity.
type runner struct {
	id, zone, kind, rack string
	cpu                  int64
	born                 time.Time
	rec                  *record
	listener             net.Listener
	server               *http.Server

	mu       sync.Mutex
	gone     bool
	fence    uint64
	lease    time.Time // zero while none is in force
	lapse    *time.Timer
	runs     map[runKey]*activeRun
	rejected map[string]int // by task: the highest run that was stopped or has ended
	ended    []endRow
	lastEnd  int64
	changed  chan struct{}
}

// startRunner starts a runner at an address of the loopback, "127.0.0.1:0" for any port.
func startRunner(rec *record, id, zone, kind, rack, addr string, cpu int64) (*runner, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, zone: zone, kind: kind, rack: rack, cpu: cpu, born: time.Now(), rec: rec, listener: l,
		runs: map[runKey]*activeRun{}, rejected: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", r.serve(r.start))
	mux.HandleFunc("POST /api/run-stop", r.serve(r.stop))
	mux.HandleFunc("POST /api/hold", r.serve(r.hold))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(&limited{Listener: l, room: make(chan struct{}, connsMax)}) }()
	rec.add(event{kind: "up", runner: id, label: kind})
	return r, nil
}

func (r *runner) addr() string { return r.listener.Addr().String() }

// crash ends this life: connections break, and nothing runs any more.
func (r *runner) crash() {
	r.mu.Lock()
	r.gone = true
	for k, a := range r.runs {
		a.timer.Stop()
		delete(r.runs, k)
	}
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.rec.add(event{kind: "gone", runner: r.id})
	r.mu.Unlock()
	_ = r.server.Close()
}

// row is the value of the runner's row in the store.
func (r *runner) row(seq int) map[string]any {
	return map[string]any{"service": serviceName, "addr": r.addr(), "zone": r.zone, "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": seq, "born": r.born.UnixMilli(), "capacity": map[string]any{"cpu": r.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{r.kind, r.rack}}
}

// clock returns the runner's steady clock.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// serve decodes an order and answers it with the status, the reason of a rejection and the lists.
func (r *runner) serve(do func(o *order) (status int, reason string, lists bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("X-Expect-Instance") != r.id && q.Header.Get("X-Expect-Instance") != "" {
			r.answer(w, http.StatusMisdirectedRequest, "", false)
			return
		}
		var o order
		if json.NewDecoder(q.Body).Decode(&o) != nil {
			r.answer(w, http.StatusBadRequest, "", false)
			return
		}
		status, reason, lists := do(&o)
		if lists && o.WaitMS > 0 {
			r.await(q, min(time.Duration(o.WaitMS)*time.Millisecond, waitMax))
		}
		r.answer(w, status, reason, lists)
	}
}

// await waits until there is an end to list.
func (r *runner) await(q *http.Request, wait time.Duration) {
	timeout := time.After(wait)
	for {
		r.mu.Lock()
		n, changed := len(r.ended), r.changed
		r.mu.Unlock()
		if n > 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string, lists bool) {
	a := map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli()}
	if reason != "" {
		a["reason"] = reason
	}
	if lists {
		a["running"], a["ended"] = r.lists()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (r *runner) lists() (running, ended [][]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended = [][]any{}, [][]any{}
	for k, a := range r.runs {
		percent := 100 * time.Since(a.began) / max(a.due.Sub(a.began), 1)
		running = append(running, []any{k.task, k.run, "", int64(min(percent, 99)), a.cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), endsMax)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return running, ended
}

// fenced reports whether an order has a lower fencing token than an earlier one, and keeps the highest.
// The caller holds mu.
func (r *runner) fenced(o *order) bool {
	if o.Fence < r.fence {
		return true
	}
	r.fence = o.Fence
	return false
}

// extend takes the deadline of an order. The caller holds mu.
func (r *runner) extend(deadlineMS int64) {
	now := time.Now()
	until := r.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if until.After(now.Add(holdMax)) {
		until = now.Add(holdMax)
	}
	if !until.After(now) || !r.lease.IsZero() && !until.After(r.lease) {
		return
	}
	r.lease = until
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(time.Until(until), r.lapsed)
}

// lapsed kills everything once the lease has expired.
func (r *runner) lapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone || r.lease.IsZero() || time.Now().Before(r.lease) {
		return
	}
	r.lease = time.Time{}
	r.rec.add(event{kind: "lapse", runner: r.id})
	for k := range r.runs {
		r.end(k, "lapsed")
	}
}

// end lists the end of a run. The caller holds mu.
func (r *runner) end(k runKey, how string) {
	a := r.runs[k]
	if a == nil || r.gone {
		return
	}
	a.timer.Stop()
	delete(r.runs, k)
	r.rejected[k.task] = max(r.rejected[k.task], k.run)
	r.lastEnd++
	r.ended = append(r.ended, endRow{r.lastEnd, k.task, k.run, how})
	r.rec.add(event{kind: "end", runner: r.id, task: k.task, run: k.run, how: how, n: r.lastEnd})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) start(o *order) (int, string, bool) {
	var s spec
	if json.Unmarshal([]byte(o.Spec), &s) != nil || o.Run < 1 {
		return http.StatusBadRequest, "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := runKey{o.Task, o.Run}
	switch {
	case r.gone:
		return http.StatusServiceUnavailable, "", false
	case r.fenced(o):
		return http.StatusConflict, "fence", false
	case r.runs[k] != nil:
		r.extend(o.DeadlineMS)
		return http.StatusOK, "", false
	case o.Run <= r.rejected[o.Task]:
		r.extend(o.DeadlineMS)
		return http.StatusConflict, "old", false
	case o.DeadlineMS <= r.clock():
		return http.StatusConflict, "late", false
	}
	r.extend(o.DeadlineMS)
	length := time.Duration(s.MS * float64(time.Millisecond))
	now := time.Now()
	r.runs[k] = &activeRun{began: now, due: now.Add(length), cpu: s.CPU, timer: time.AfterFunc(length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(k, "done")
	})}
	r.rec.add(event{kind: "start", runner: r.id, task: o.Task, run: o.Run, label: r.kind})
	return http.StatusOK, "", false
}

func (r *runner) stop(o *order) (int, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(o) {
		return http.StatusConflict, "fence", false
	}
	r.rejected[o.Task] = max(r.rejected[o.Task], o.Run)
	for k := range r.runs {
		if k.task == o.Task && k.run <= o.Run {
			r.end(k, "stopped")
		}
	}
	return http.StatusOK, "", false
}

func (r *runner) hold(o *order) (int, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(o) {
		return http.StatusConflict, "fence", false
	}
	if o.DeadlineMS > 0 {
		r.extend(o.DeadlineMS)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e endRow) bool {
		if e.n > o.LastSeen {
			return false
		}
		r.rec.add(event{kind: "noted", runner: r.id, task: e.task, run: e.run, how: e.how, n: e.n})
		return true
	})
	return http.StatusOK, "", true
}

// limited is a listener that accepts as many connections at a time as there is room for.
type limited struct {
	net.Listener
	room chan struct{}
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	l.room <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: c, room: l.room}, nil
}

type limitedConn struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}
