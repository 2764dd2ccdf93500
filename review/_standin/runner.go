package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment that the runners apply.
const (
	holdMax     = 1000 // ms, longest lease
	maxEndsList = 500
	heartbeat   = 1500 * time.Millisecond
)

// work is the spec of a task, as far as the runners of these cases read it.
type work struct {
	MS  int64  `json:"ms"`  // how long a run works
	How string `json:"how"` // how it ends
}

// order has the fields of the bodies of all orders.
type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

type taskRun struct {
	task   string
	number int64
	began  time.Time
	work   work
}

type endRow struct {
	n     int64
	task  string
	run   int64
	how   string
	noted bool
}

// runner is a stand-in of one runner, as the pages describe it.
type runner struct {
	id, zone, kind, rack string
	rec                  *record
	store                *storeStandin
	listener             net.Listener // holds the address in its row; entries are served by the network
	startedAt            time.Time

	mu       sync.Mutex
	gone     bool      // it says nothing any more
	left     bool      // it has left in order: its row is gone
	leaving  time.Time // when it will leave, zero unless it drains
	refusing bool      // answers starts with 503 and does nothing
	fence    uint64
	lease    int64 // end of the lease, on this runner's clock
	leased   bool
	lapses   []time.Time
	runs     map[string]*taskRun
	rejected map[string]int64 // by task: highest run that was stopped or has ended
	ended    []*endRow
	lastEnd  int64
	changed  chan struct{} // closed and replaced at each end
}

func newRunner(id, zone, kind, rack string, rec *record, s *storeStandin) (*runner, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, zone: zone, kind: kind, rack: rack, rec: rec, store: s, listener: l, startedAt: time.Now().Add(-time.Minute),
		runs: map[string]*taskRun{}, rejected: map[string]int64{}, changed: make(chan struct{})}
	go r.work()
	go r.register()
	return r, nil
}

func (r *runner) clock() int64 { return time.Since(r.startedAt).Milliseconds() }

// register writes the row of this runner at each heartbeat. The row goes three
// heartbeats after the runner.
func (r *runner) register() {
	for seq := 1; ; seq++ {
		r.mu.Lock()
		gone, left := r.gone, r.left
		r.mu.Unlock()
		if left {
			return
		}
		if gone {
			time.Sleep(3 * heartbeat)
			r.store.remove("servers", r.id)
			r.rec.add("registration gone", "runner", r.id)
			return
		}
		r.announce(seq)
		time.Sleep(heartbeat)
	}
}

// announce writes the row of this runner.
func (r *runner) announce(seq int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone || r.left {
		return
	}
	row := map[string]any{
		"service": service, "addr": r.listener.Addr().String(), "zone": r.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": r.startedAt.UnixMilli(), "machine": "m-" + r.id,
		"capacity": map[string]any{"cpu": 32000, "mem_mb": 131072, "gpu": 0}, "labels": []string{r.kind, r.rack},
	}
	if !r.leaving.IsZero() {
		row["state"], row["remaining_ms"] = "draining", max(time.Until(r.leaving).Milliseconds(), 0)
	}
	r.store.put("servers", r.id, row)
}

// drain reports that the runner will leave.
func (r *runner) drain(in time.Duration) {
	r.mu.Lock()
	r.leaving = time.Now().Add(in)
	r.mu.Unlock()
	r.rec.add("draining", "runner", r.id)
	r.announce(1 << 20)
}

// leave ends the runner with all that runs there, and removes its row.
func (r *runner) leave() {
	r.mu.Lock()
	r.left = true
	for _, t := range r.runs {
		r.rec.addRun("lost with its runner", r, t, "")
	}
	r.runs = map[string]*taskRun{}
	r.store.remove("servers", r.id)
	r.mu.Unlock()
	r.rec.add("left", "runner", r.id)
}

// crashForGood ends the runner with all that runs there; it says nothing.
func (r *runner) crashForGood() {
	r.mu.Lock()
	r.gone = true
	for _, t := range r.runs {
		r.rec.addRun("lost with its runner", r, t, "")
	}
	r.runs = map[string]*taskRun{}
	r.mu.Unlock()
}

// work ends the runs that are over, and all when the lease expires.
func (r *runner) work() {
	for {
		time.Sleep(2 * time.Millisecond)
		r.mu.Lock()
		if r.gone || r.left {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		for _, t := range r.runs {
			if now.Sub(t.began) >= time.Duration(t.work.MS)*time.Millisecond {
				r.end(t, t.work.How)
			}
		}
		if r.leased && r.clock() > r.lease {
			r.leased = false
			r.lapses = append(r.lapses, now)
			for _, t := range r.runs {
				r.end(t, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds mu.
func (r *runner) end(t *taskRun, how string) {
	delete(r.runs, t.task)
	r.rejected[t.task] = max(r.rejected[t.task], t.number)
	r.lastEnd++
	r.ended = append(r.ended, &endRow{n: r.lastEnd, task: t.task, run: t.number, how: how})
	r.rec.addRun("end", r, t, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// isGone reports whether the runner has crashed or left.
func (r *runner) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone || r.left
}

// serve handles an order with the given body.
func (r *runner) serve(w http.ResponseWriter, q *http.Request, body []byte) {
	reply := func(status int, m map[string]any) {
		m["clock_ms"], m["born"] = r.clock(), r.startedAt.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(m)
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		reply(http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if q.Method != http.MethodPost || json.Unmarshal(body, &o) != nil {
		reply(http.StatusBadRequest, map[string]any{})
		return
	}
	switch q.URL.Path {
	case "/api/run-start":
		status, reason := r.start(&o)
		body := map[string]any{}
		if reason != "" {
			body["reason"] = reason
		}
		reply(status, body)
	case "/api/run-stop":
		if !r.stop(&o) {
			reply(http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		reply(http.StatusOK, map[string]any{})
	case "/api/hold":
		r.hold(q, &o, reply)
	default:
		reply(http.StatusBadRequest, map[string]any{})
	}
}

// extend takes the lease of an order. The caller holds mu.
func (r *runner) extend(deadline int64) {
	if deadline > r.clock() {
		r.lease, r.leased = max(r.lease, min(deadline, r.clock()+holdMax)), true
	}
}

func (r *runner) start(o *order) (int, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusing {
		r.rec.add("start refused", "runner", r.id, "task", o.Task, "run", o.Run, "status", http.StatusServiceUnavailable)
		return http.StatusServiceUnavailable, ""
	}
	if o.Fence < r.fence {
		return http.StatusConflict, "fence"
	}
	r.fence = o.Fence
	if t := r.runs[o.Task]; t != nil && t.number == o.Run {
		r.extend(o.DeadlineMS)
		return http.StatusOK, ""
	}
	if o.Run <= r.rejected[o.Task] {
		r.extend(o.DeadlineMS)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMS <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.DeadlineMS)
	t := &taskRun{task: o.Task, number: o.Run, began: time.Now()}
	if json.Unmarshal([]byte(o.Spec), &t.work) != nil {
		return http.StatusBadRequest, ""
	}
	r.runs[o.Task] = t
	r.rec.addRun("start", r, t, "")
	return http.StatusOK, ""
}

func (r *runner) stop(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < r.fence {
		return false
	}
	r.fence = o.Fence
	r.rejected[o.Task] = max(r.rejected[o.Task], o.Run)
	if t := r.runs[o.Task]; t != nil && t.number <= o.Run {
		r.end(t, "stopped")
	}
	return true
}

func (r *runner) hold(q *http.Request, o *order, reply func(int, map[string]any)) {
	wait := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer wait.Stop()
	for waited := o.WaitMS <= 0; ; {
		r.mu.Lock()
		if o.Fence < r.fence {
			r.mu.Unlock()
			reply(http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		r.fence = o.Fence
		r.extend(o.DeadlineMS)
		r.note(o.LastSeen)
		running, ended := [][]any{}, [][]any{}
		for _, t := range r.runs {
			percent := min(100, 100*time.Since(t.began).Milliseconds()/max(t.work.MS, 1))
			if t.work.How == "" || strings.HasPrefix(t.task, longRunningID) {
				percent = 100
			}
			running = append(running, []any{t.task, t.number, "", percent, 1000})
		}
		for _, e := range r.ended {
			if len(ended) < maxEndsList {
				ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
			}
		}
		changed := r.changed
		r.mu.Unlock()
		if len(ended) > 0 || waited {
			reply(http.StatusOK, map[string]any{"running": running, "ended": ended})
			return
		}
		select {
		case <-changed:
		case <-wait.C:
			waited = true
		case <-q.Context().Done():
			return
		}
	}
}

// note forgets the ends up to a number, which have been taken note of. The caller holds
// mu.
func (r *runner) note(lastSeen int64) {
	var kept []*endRow
	for _, e := range r.ended {
		if e.n > lastSeen {
			kept = append(kept, e)
			continue
		}
		r.rec.addRun("noted", r, &taskRun{task: e.task, number: e.run}, e.how)
	}
	r.ended = kept
}

// lapsedBetween reports whether the lease of the runner expired between two times.
func (r *runner) lapsedBetween(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.lapses {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
