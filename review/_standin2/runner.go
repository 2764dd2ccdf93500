package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment.
const (
	holdMax   = time.Second             // longest lease
	waitMax   = 2 * time.Second         // longest wait of a hold
	beatEvery = 1500 * time.Millisecond // heartbeat_ms
	endsMax   = 500                     // ends in one answer
	greyFails = 50 * time.Millisecond   // after this time a grey runner fails what it has started
	startup   = 300 * time.Millisecond  // of a task that lasts
)

// work is the spec of a task, as far as a runner reads it.
type work struct {
	MS    int64 `json:"ms"`
	Lasts bool  `json:"lasts"`
}

// order has the fields of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

type runKey struct {
	task string
	run  int
}

type running struct {
	runKey
	began, due time.Duration
	fails      bool
	lasts      bool
}

type ended struct {
	n   int64
	key runKey
	how string
}

// startEvent is a task that a runner has begun.
type startEvent struct {
	at           time.Time
	runner, task string
	run          int
}

// runner is a stand-in of a runner. It does not guard its capacity, and it supports neither gangs nor
// checkpoints, which no case uses.
type runner struct {
	w       *world
	id      string
	zone    string
	kind    string
	rack    string
	cpu     int64
	born    time.Time
	addr    string
	server  *http.Server
	quit    chan struct{}
	started func(startEvent)

	mu       sync.Mutex
	grey     bool // fails all that it starts
	fence    uint64
	lease    time.Duration // end of the lease, on the runner's clock
	leased   bool
	runs     map[runKey]*running
	lastRun  map[string]int // highest run of a task that was stopped or has ended here
	ends     []ended
	lastEnd  int64
	mostEnds int // that have waited here to be taken note of
	changed  chan struct{}
	seq      int
}

// startRunner starts a runner, which registers itself in the store.
func (w *world) startRunner(id, zone, kind, rack string, cpu int64) (*runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, id: id, zone: zone, kind: kind, rack: rack, cpu: cpu, born: time.Now(), addr: l.Addr().String(),
		quit: make(chan struct{}), runs: map[runKey]*running{}, lastRun: map[string]int{}, changed: make(chan struct{})}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	go r.advanceOften()
	go r.beat()
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	return r, nil
}

// lose ends the runner at once, as a crash does. Its row goes three heartbeats later.
func (r *runner) lose() {
	r.w.rec.add("runner %s is lost", r.id)
	close(r.quit)
	_ = r.server.Close()
	time.AfterFunc(3*beatEvery, func() { r.w.store.Store.Remove("servers", r.id) })
}

// setGrey makes the runner fail all that it starts, or no longer.
func (r *runner) setGrey(grey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grey = grey
	r.w.rec.add("runner %s fails all that it starts: %v", r.id, grey)
}

func (r *runner) clock() time.Duration { return time.Since(r.born) }

// beat writes the runner's row.
func (r *runner) beat() {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		r.mu.Lock()
		r.seq++
		row, _ := json.Marshal(map[string]any{
			"service": service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{r.kind, r.rack},
			"born": r.born.UnixMilli(), "clock_ms": r.clock().Milliseconds(), "seq": r.seq,
		})
		r.mu.Unlock()
		r.w.store.Store.Put("servers", r.id, row)
		select {
		case <-tick.C:
		case <-r.quit:
			return
		}
	}
}

// advanceOften ends runs and leases when they are due.
func (r *runner) advanceOften() {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.mu.Lock()
			r.advance()
			r.mu.Unlock()
		case <-r.quit:
			return
		}
	}
}

// advance brings the state to the present. The caller holds mu.
func (r *runner) advance() {
	now := r.clock()
	lapsed := r.leased && now >= r.lease
	var over []*running
	for _, t := range r.runs {
		if lapsed || !t.lasts && now >= t.due {
			over = append(over, t)
		}
	}
	slices.SortFunc(over, func(a, b *running) int { return cmp.Compare(a.due, b.due) })
	for _, t := range over {
		switch {
		case t.lasts || now < t.due:
			r.end(t, "lapsed")
		case t.fails:
			r.end(t, "failed")
		default:
			r.end(t, "done")
		}
	}
	if lapsed {
		r.leased = false
		for _, e := range r.ends {
			r.w.noteLapse(r.id, e.n)
		}
	}
}

// end lists the end of a run. The caller holds mu.
func (r *runner) end(t *running, how string) {
	delete(r.runs, t.runKey)
	r.lastRun[t.task] = max(r.lastRun[t.task], t.run)
	r.lastEnd++
	r.ends = append(r.ends, ended{r.lastEnd, t.runKey, how})
	r.w.noteEnd(r.id, r.lastEnd, t.runKey, how)
	r.mostEnds = max(r.mostEnds, len(r.ends))
	if r.w.terse {
		r.w.rec.add("%s: %s run %d %s in %d ms", r.id, t.task, t.run, how, (r.clock() - t.began).Milliseconds())
	} else {
		r.w.rec.add("runner %s: %s run %d ended %s", r.id, t.task, t.run, how)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend takes the deadline of an order. The caller holds mu.
func (r *runner) extend(deadlineMS int64) {
	until := min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+holdMax)
	if until > r.clock() && (!r.leased || until > r.lease) {
		r.lease, r.leased = until, true
	}
}

// ServeHTTP carries out an order.
func (r *runner) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		r.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if q.Method != http.MethodPost || json.NewDecoder(q.Body).Decode(&o) != nil {
		r.answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	switch q.URL.Path {
	case "/api/run-start":
		r.reply(rw, r.start(&o))
	case "/api/run-stop":
		r.reply(rw, r.stop(&o))
	case "/api/hold":
		r.hold(rw, q, &o)
	default:
		r.answer(rw, http.StatusBadRequest, map[string]any{})
	}
}

// reply answers an order: 200, or 409 with a reason.
func (r *runner) reply(rw http.ResponseWriter, reason string) {
	if reason != "" {
		r.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	r.answer(rw, http.StatusOK, map[string]any{})
}

func (r *runner) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = r.clock().Milliseconds(), r.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// admit advances the state and takes the fence of an order. It reports whether the order holds. The caller
// holds mu.
func (r *runner) admit(fence uint64) bool {
	r.advance()
	if fence < r.fence {
		return false
	}
	r.fence = fence
	return true
}

// start begins a run and returns the reason of a rejection.
func (r *runner) start(o *order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(o.Fence) {
		return "fence"
	}
	k := runKey{o.Task, o.Run}
	switch {
	case r.runs[k] != nil:
		r.extend(o.DeadlineMS)
		return ""
	case o.Run <= r.lastRun[o.Task]:
		r.extend(o.DeadlineMS)
		return "old"
	case o.DeadlineMS <= r.clock().Milliseconds():
		return "late"
	}
	r.extend(o.DeadlineMS)
	var s work
	_ = json.Unmarshal([]byte(o.Spec), &s)
	t := &running{runKey: k, began: r.clock(), lasts: s.Lasts, fails: r.grey}
	t.due = t.began + time.Duration(s.MS)*time.Millisecond
	if t.fails {
		t.due = t.began + greyFails
	}
	r.runs[k] = t
	if !r.w.terse {
		r.w.rec.add("runner %s: %s run %d begins", r.id, t.task, t.run)
	}
	r.w.noteStart(startEvent{time.Now(), r.id, t.task, t.run})
	return ""
}

// stop ends the runs of a task up to a number.
func (r *runner) stop(o *order) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(o.Fence) {
		return "fence"
	}
	r.lastRun[o.Task] = max(r.lastRun[o.Task], o.Run)
	for k, t := range r.runs {
		if k.task == o.Task && k.run <= o.Run {
			r.end(t, "stopped")
		}
	}
	return ""
}

// hold renews the lease, takes note of ends and lists what runs and has ended. It waits for an end.
func (r *runner) hold(rw http.ResponseWriter, q *http.Request, o *order) {
	r.mu.Lock()
	held := r.admit(o.Fence)
	if held {
		r.extend(o.DeadlineMS)
		r.ends = slices.DeleteFunc(r.ends, func(e ended) bool {
			if e.n <= o.LastSeen {
				r.w.noteTaken(r.id, e.n)
			}
			return e.n <= o.LastSeen
		})
	}
	r.mu.Unlock()
	if !held {
		r.reply(rw, "fence")
		return
	}
	until := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, waitMax))
	for over := o.WaitMS <= 0; ; {
		body, changed := r.lists()
		if over || len(body["ended"].([][]any)) > 0 {
			r.answer(rw, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-until:
			over = true
		case <-q.Context().Done():
			return
		}
	}
}

// lists returns what runs and which ends were not taken note of, and a channel that is closed at the next end.
func (r *runner) lists() (map[string]any, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	now, rows, ends := r.clock(), [][]any{}, [][]any{}
	for _, t := range r.runs {
		percent := int64(100)
		if whole := max(t.due-t.began, time.Millisecond); !t.lasts {
			percent = int64(100 * (now - t.began) / whole)
		} else if now < t.began+startup {
			percent = int64(100 * (now - t.began) / startup)
		}
		rows = append(rows, []any{t.task, t.run, "", min(percent, 100), 1000})
	}
	for _, e := range r.ends[:min(len(r.ends), endsMax)] {
		ends = append(ends, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"running": rows, "ended": ends}, r.changed
}

// runsOf returns how many tasks of a job run here.
func (r *runner) runsOf(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	n := 0
	for k := range r.runs {
		if strings.HasPrefix(k.task, job+".") {
			n++
		}
	}
	return n
}

func (r *runner) String() string { return fmt.Sprintf("%s (%s, %s, %d)", r.id, r.kind, r.rack, r.cpu) }
