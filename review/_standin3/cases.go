package main

import (
	"fmt"
	"sync"
	"time"
)

// step is a step of a job as clients send it.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu"`
	MemMB    int64  `json:"mem_mb"`
	EstMS    int64  `json:"est_ms"`
	After    []int  `json:"after,omitempty"`
	Requires string `json:"requires,omitempty"`
}

// jobBody is the body of a job.
type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
}

// awaitState asks for a job's state until it has ended.
func (w *world) awaitState(client, front, path string, atMost time.Duration) string {
	state := ""
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		r := w.call(client, "GET", front, path, nil, 2*time.Second)
		if state = r.state; state == "complete" || state == "failed" || state == "cancelled" {
			break
		}
	}
	return state
}

// warmUp runs a small job, so that the stored jobs have an owner.
func (w *world) warmUp(front string) error {
	path := "/lohu930/" + newID()
	job := jobBody{Spec: specText(spec{MS: 100, CPU: 1000}), Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstMS: 100}}}
	if r := w.call("c0", "POST", front, path, job, 4*time.Second); r.status != 200 {
		return fmt.Errorf("the first job was not accepted: %d %s", r.status, r.body)
	}
	if state := w.awaitState("c0", front, path, 20*time.Second); state != "complete" {
		return fmt.Errorf("the first job is %q", state)
	}
	return nil
}

// otherKind has a runner that crashes and starts again as one of another kind while the store is down. All jobs require
// the kind that it had.
func otherKind(w *world, trouble bool) ([]string, error) {
	w.configure(3, route("lohu930", 1, 4))
	if err := w.addRunners(4, "a", 32000); err != nil {
		return nil, err
	}
	if err := w.addRunners(3, "b", 48000); err != nil {
		return nil, err
	}
	reborn, err := w.addRunner("i-b0x", zones[0], "b", "r1-1", "127.0.0.1:0", 48000)
	if err != nil {
		return nil, err
	}
	if err := w.startEntries(7); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 16 {
		front := w.entries[c%len(w.entries)].front
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				job := jobBody{Spec: specText(spec{MS: 200, CPU: 14000}), BestEffort: true,
					Steps: []step{{Count: 2, CPU: 14000, MemMB: 64, EstMS: 200, Requires: "b"}}}
				if r := w.call(fmt.Sprintf("c%d", c), "POST", front, "/lohu930/"+newID(), job, 1500*time.Millisecond); r.status != 200 {
					time.Sleep(time.Second) // as the Retry-After says
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.rec.note("store", "down")
		w.platform.setDown(true)
		time.Sleep(300 * time.Millisecond)
		addr := reborn.addr()
		reborn.crash()
		time.Sleep(500 * time.Millisecond)
		if _, err := w.addRunner("i-b0x", zones[0], "a", "r1-1", addr, 32000); err != nil {
			return nil, err
		}
		time.Sleep(3700 * time.Millisecond)
		w.platform.setDown(false)
		w.rec.note("store", "up")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	return without("b", w.rec.all()), nil
}

// silentPolls has the open connections to the store go silent, while new ones work. Soon after that a
// configuration with another route is acknowledged.
func silentPolls(w *world, trouble bool) ([]string, error) {
	routes := []map[string]any{route("lohu930", 1, 4)}
	w.configure(3, routes...)
	if err := w.addRunners(12, "a", 32000); err != nil {
		return nil, err
	}
	if err := w.startEntries(7); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	w.configure(5, routes...)
	time.Sleep(100 * time.Millisecond)
	silentAt := time.Since(w.rec.began)
	if trouble {
		w.rec.note("network", "%d open connections to the store go silent", w.toStore.silence())
	}
	time.Sleep(500 * time.Millisecond)
	w.configure(9, append(routes, route("pima44", 1, 4))...)
	acknowledged := time.Since(w.rec.began)
	w.rec.note("operator", "version 9, with the route pima44, is acknowledged")
	// All machines are in touch again contactMS after the connections went silent.
	const contact, config = 3 * time.Second, 2 * time.Second
	time.Sleep(time.Until(w.rec.began.Add(max(silentAt+contact, acknowledged+config) + 50*time.Millisecond)))
	var mu sync.Mutex
	var findings []string
	var wg sync.WaitGroup
	for i, e := range w.entries {
		wg.Go(func() {
			for range 12 {
				sent := time.Since(w.rec.began)
				r := w.call(fmt.Sprintf("c%d", i), "GET", e.front, "/pima44/", nil, time.Second)
				if r.status == 404 {
					mu.Lock()
					findings = append(findings, fmt.Sprintf("CONFIG %s answered 404 for the route pima44 to a request sent at %.3f, %.3f s after the acknowledgement and %.3f s after the connections went silent",
						e.name, sent.Seconds(), (sent-acknowledged).Seconds(), (sent-silentAt).Seconds()))
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return findings, nil
}

// lateAccept has a client that gets no answer to its job, since the store has lost the answer to the write that accepts
// it, and cancels the job. The store carries the write out 5 s later.
func lateAccept(w *world, trouble bool) ([]string, error) {
	w.configure(3, route("lohu930", 1, 4))
	if err := w.addRunners(12, "a", 32000); err != nil {
		return nil, err
	}
	if err := w.startEntries(7); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if err := w.warmUp(w.entries[0].front); err != nil {
		return nil, err
	}
	id := newID()
	path := "/lohu930/" + id
	done := make(chan time.Duration, 1)
	if trouble {
		w.platform.loseNext(id, 5*time.Second, func(err error) {
			w.rec.note("store", "the write whose answer was lost is carried out: %v", err == nil)
			done <- time.Since(w.rec.began)
		})
	}
	job := jobBody{Spec: specText(spec{MS: 400, CPU: 2000})}
	for i := range 20 {
		s := step{Count: 2, CPU: 2000, MemMB: 64, EstMS: 400}
		if i > 0 {
			s.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, s)
	}
	front := w.entries[1].front
	w.call("c1", "POST", front, path, job, 4*time.Second)
	acknowledged := time.Duration(0)
	for range 20 {
		if r := w.call("c1", "DELETE", front, path, nil, 4*time.Second); r.status/100 == 2 || r.status == 410 {
			acknowledged = r.at
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acknowledged == 0 {
		return nil, fmt.Errorf("the cancelling was not acknowledged")
	}
	time.Sleep(14 * time.Second)
	w.call("c1", "GET", front, path, nil, 2*time.Second)
	// cancel_ms holds for machines in touch: not before contact_ms after the late write, which ends the disruption.
	const contact, cancel = 3 * time.Second, 3 * time.Second
	bound := cancel
	if trouble {
		select {
		case at := <-done:
			bound = max(cancel, at-acknowledged+contact)
		default:
			return nil, fmt.Errorf("no write was lost")
		}
	}
	return startedAfter(w.rec.all(), id, acknowledged, bound), nil
}
