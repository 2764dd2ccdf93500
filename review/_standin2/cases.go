package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the sheet.
const (
	finish   = 14 * time.Second // finish_s
	cancelMS = 3 * time.Second  // cancel_ms
	idleFor  = 3 * time.Second  // for so long a job may have nothing running
)

// prepare starts a deployment with a number of runners.
func (w *world) prepare(runners, attempts int) error {
	if err := w.startStore(attempts); err != nil {
		return err
	}
	if err := w.startRunners(runners); err != nil {
		return err
	}
	return w.startEntries()
}

// small is a job of one task that any runner can run.
func small() job {
	return job{Spec: `{"ms":300}`, Steps: []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 64, "est_ms": 900}}}
}

// idle reports whether a job has nothing running for idleFor.
func (w *world) idle(id string) bool {
	before := len(w.startsOf(id))
	for until := time.Now().Add(idleFor); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		runners := w.runners
		w.mu.Unlock()
		for _, r := range runners {
			if r.runsOf(id) > 0 {
				return false
			}
		}
	}
	return len(w.startsOf(id)) == before
}

// leaderRestarts stops the entry that leads while jobs arrive, as in a planned restart, and starts it again. Some
// other jobs of the queue wait for room in a rack that a job which lasts has filled. The jobs that any runner can run
// have to run.
func leaderRestarts(w *world) (bool, error) {
	const rack = "r1-1"
	if err := w.prepare(48, 4); err != nil {
		return false, err
	}
	fills := job{Spec: `{"lasts":true}`, LongRun: true, Steps: []map[string]any{{"count": 8, "cpu": 32000, "mem_mb": 64, "requires": rack, "anti_affinity": 1}}}
	lasts := newID()
	if !w.submit(0, lasts, fills) {
		return false, errors.New("the job that lasts was not accepted")
	}
	for until := time.Now().Add(20 * time.Second); len(w.startsOf(lasts)) < 8; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			return false, errors.New("the job that lasts has not begun")
		}
	}
	time.Sleep(time.Second)
	for i := range 10 {
		waits := job{Spec: `{"ms":900}`, Steps: []map[string]any{{"count": 1, "cpu": 20000, "mem_mb": 64, "est_ms": 900, "requires": rack}}}
		if !w.submit(i, newID(), waits) {
			return false, errors.New("a job was not accepted")
		}
	}
	leads, err := w.leader()
	if err != nil {
		return false, err
	}
	w.rec.add("%s leads", leads.name)
	var others []int
	for i, e := range w.entries {
		if e != leads {
			others = append(others, i)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var plain []string
	const jobs, pause = 800, 10 * time.Millisecond // 100 a second for 8 s
	for i := range jobs {
		if i == jobs/4 && w.trouble {
			wg.Go(func() { leads.restart() })
		}
		wg.Go(func() {
			id := newID()
			if w.submit(others[i%len(others)], id, small()) {
				mu.Lock()
				plain = append(plain, id)
				mu.Unlock()
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
	w.rec.add("the traffic has ended; %d jobs that any runner can run were accepted", len(plain))
	if len(plain) < jobs/2 {
		return false, errors.New("too few jobs were accepted")
	}
	time.Sleep(finish)
	var late []string
	for _, id := range plain {
		if len(w.startsOf(id)) == 0 {
			late = append(late, id)
		}
	}
	w.rec.add("%v later %d of these jobs have never begun", finish, len(late))
	if len(late) == 0 {
		return false, nil
	}
	idle := w.idle(late[len(late)-1])
	for i, id := range late {
		w.rec.add("job %s is %s", id, w.state(others[i%len(others)], id))
	}
	return idle, nil
}

// largeFailed hands in a job whose only task fits the 3 large ones of the 8 runners that have its label. These fail
// all that they start for 6.5 s. Afterwards the job has to run.
func largeFailed(w *world) (bool, error) {
	const rack = "r1-1"
	if err := w.prepare(48, 4); err != nil {
		return false, err
	}
	if w.trouble {
		for _, r := range w.runners {
			if r.rack == rack && r.cpu == 48000 {
				r.setGrey(true)
				time.AfterFunc(6500*time.Millisecond, func() { r.setGrey(false) })
			}
		}
	}
	id := newID()
	j := job{Spec: `{"ms":900}`, Steps: []map[string]any{{"count": 1, "cpu": 40000, "mem_mb": 64, "est_ms": 900, "requires": rack}}}
	if !w.submit(0, id, j) {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(8 * time.Second)
	for i := range 10 { // other jobs go on
		w.submit(i, newID(), small())
	}
	w.rec.add("the traffic has ended")
	time.Sleep(finish)
	state := w.state(1, id)
	w.rec.add("the job is %s after %d starts", state, len(w.startsOf(id)))
	if state == "complete" || state == "failed" {
		return false, nil
	}
	return w.idle(id), nil
}

// largeAdded adds runners that are larger than those before, and hands in a job for each that only they can run.
func largeAdded(w *world) (bool, error) {
	if err := w.startStore(4); err != nil {
		return false, err
	}
	for i := range 40 {
		if _, err := w.startRunner(fmt.Sprintf("i-%04d", i), zones[i/8%len(zones)], "a", fmt.Sprintf("r1-%d", i/8), 32000); err != nil {
			return false, err
		}
	}
	if !w.trouble { // they are there from the beginning
		if err := w.addLarge(); err != nil {
			return false, err
		}
	}
	if err := w.startEntries(); err != nil {
		return false, err
	}
	for i := range 10 {
		w.submit(i, newID(), small())
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		if err := w.addLarge(); err != nil {
			return false, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	var ids []string
	for i := range 5 {
		id := newID()
		if w.submit(i, id, job{Spec: `{"ms":900}`, Steps: []map[string]any{{"count": 1, "cpu": 40000, "mem_mb": 64, "est_ms": 900}}}) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(finish)
	broken := false
	for i, id := range ids {
		state, starts := w.state(i, id), len(w.startsOf(id))
		w.rec.add("job %s is %s after %d starts", id, state, starts)
		broken = broken || state == "failed" && starts == 0
	}
	return broken, nil
}

// addLarge adds runners of 48 cores.
func (w *world) addLarge() error {
	for i := 40; i < 48; i++ {
		r, err := w.startRunner(fmt.Sprintf("i-%04d", i), zones[i/8%len(zones)], "b", fmt.Sprintf("r1-%d", i/8), 48000)
		if err != nil {
			return err
		}
		w.rec.add("runner %v is added", r)
	}
	return nil
}

// storeSlow sends 140 jobs a second that are to be kept, each of 8 tasks of 0.06 s on half a core, and makes the store
// slow for some seconds. No task that has ended done may be started again.
func storeSlow(w *world) (bool, error) {
	const factor, length = 83, 4500 * time.Millisecond
	w.terse = true
	if err := w.prepare(48, 4); err != nil {
		return false, err
	}
	j := job{Spec: `{"ms":60}`, Steps: []map[string]any{{"count": 8, "cpu": 500, "mem_mb": 256, "est_ms": 60}}}
	var wg sync.WaitGroup
	var accepted atomic.Int64
	const jobs, pause = 1120, time.Second / 140 // 140 a second for 8 s
	began := time.Now()
	for i := range jobs {
		if i == jobs/4 && w.trouble { // after 2 s
			w.rec.add("the store takes %d times as long for %v", factor, length)
			w.slow.Store(factor)
			time.AfterFunc(length, func() {
				w.slow.Store(0)
				w.rec.add("the store is as fast as before")
			})
		}
		wg.Go(func() {
			if w.submit(i, newID(), j) {
				accepted.Add(1)
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * pause)))
	}
	wg.Wait()
	w.rec.add("the traffic has ended; %d jobs were accepted", accepted.Load())
	if accepted.Load() < jobs/2 {
		return false, errors.New("too few jobs were accepted")
	}
	time.Sleep(finish)
	most := 0
	for _, r := range w.runners {
		most = max(most, r.mostEnds)
	}
	w.rec.add("at most %d ends have waited at a runner to be taken note of; a runner lists %d at a time", most, endsMax)
	again := w.startedAgain()
	w.rec.add("%d starts of tasks that had ended done", again)
	return again > 0, nil
}

// cancelElsewhere cancels a job that need not be kept. The first try meets a connection that is reset, the next one
// reaches another entry.
func cancelElsewhere(w *world) (bool, error) {
	if err := w.prepare(48, 4); err != nil {
		return false, err
	}
	id := newID()
	step := func(after ...int) map[string]any {
		s := map[string]any{"count": 4, "cpu": 1000, "mem_mb": 64, "est_ms": 6000}
		if len(after) > 0 {
			s["after"] = after
		}
		return s
	}
	j := job{Spec: `{"ms":6000}`, BestEffort: true, Steps: []map[string]any{step(), step(0)}}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		w.call(http.MethodPost, w.entries[0].front, queue+id, j, 20*time.Second)
	}()
	time.Sleep(time.Second)
	if len(w.startsOf(id)) == 0 {
		return false, errors.New("the job has not begun")
	}
	first := w.entries[0].front
	if w.trouble {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer l.Close()
		go func() {
			if c, err := l.Accept(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close() // a reset
			}
		}()
		first = l.Addr().String()
	}
	status, _ := w.call(http.MethodDelete, first, queue+id, nil, 3*time.Second)
	if status == 0 {
		status, _ = w.call(http.MethodDelete, w.entries[1].front, queue+id, nil, 4*time.Second)
	}
	at := time.Now()
	if status != http.StatusGone && (status < 200 || status > 299) {
		return false, fmt.Errorf("the cancel was answered %d", status)
	}
	w.rec.add("the cancel was acknowledged with %d", status)
	<-answered
	broken := false
	for _, s := range w.startsOf(id) {
		if after := s.at.Sub(at); after > cancelMS {
			w.rec.add("%s run %d has begun at runner %s %.3f s after the acknowledgement", s.task, s.run, s.runner, after.Seconds())
			broken = true
		}
	}
	return broken, nil
}
