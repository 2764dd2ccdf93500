package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	acceptWait  = 20 * time.Second
	finish      = 14 * time.Second        // finish_s
	storeOutage = 4500 * time.Millisecond // platform_down, for_s 4.5
	freeze      = 3500 * time.Millisecond // node_freeze, for_s 3.5
	downTime    = 3500 * time.Millisecond // node_kill, for_s 3.5
	lastingGap  = 6 * time.Second         // a task that lasts may be away so long after its last run
	idleWindow  = 3 * time.Second
	zoneCut     = 5 * time.Second         // zone_cut, for_s up to 5.5
	spotNotice  = 2 * time.Second         // scale_in, how = "spot": gone 2 s after the notice
	spotOthers  = 4 * time.Second         // others come 4 s later
	unhealthy   = 6500 * time.Millisecond // srv_grey, for_s 6.5
)

// submit hands a job in until it is accepted: after no answer, 502 or 504 under the same ID
// 1.3 s later, after 429 or 503 as a new job. It returns the ID of the accepted one.
func (c *cluster) submit(prefix string, at []*entryProcess, body string) (string, error) {
	id, until := c.nextID(prefix), time.Now().Add(acceptWait)
	for i := 0; time.Now().Before(until); i++ {
		status, _ := c.call(at[i%len(at)], http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			return id, nil
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			id = c.nextID(prefix)
		}
		time.Sleep(resend)
	}
	return "", errors.New("no job was accepted")
}

// awaitEvents waits until a number of events of a kind of a job's runs were recorded.
func (c *cluster) awaitEvents(job, kind string, run, n int) error {
	for range 4000 {
		seen := 0
		for _, events := range c.rec.runsOf(job) {
			starts := 0
			for _, e := range events {
				if e.kind == kind {
					starts++
				}
			}
			if starts >= run {
				seen++
			}
		}
		if seen >= n {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("job %s: fewer than %d tasks with %d events %q", job, n, run, kind)
}

// judgeTwice applies TWICE to a stored job.
func (c *cluster) judgeTwice(id string) verdict {
	runs := c.rec.runsOf(id)
	for task, events := range runs {
		var working *runEvent
		for i := range events {
			e := &events[i]
			switch e.kind {
			case "start":
				if working != nil {
					return verdict{true, fmt.Sprintf("TWICE: two runs of %s at the same time, on %s and %s", task, working.runner.id, e.runner.id)}
				}
				working = e
				for _, done := range events[:i] {
					if done.kind == "end" && done.how == "done" && takenNoteOf(done, events) {
						return verdict{true, fmt.Sprintf("TWICE: %s was started as run %d on %s %d ms after run %d had ended done on %s, and that end is taken note of",
							task, e.run, e.runner.id, e.at.Sub(done.at).Milliseconds(), done.run, done.runner.id)}
					}
				}
			case "end", "lost with its runner":
				working = nil
			}
		}
	}
	return verdict{false, fmt.Sprintf("no task of %d ran twice", len(runs))}
}

// takenNoteOf reports whether an end was taken note of, then or later, before the lease of its
// runner lapsed.
func takenNoteOf(end runEvent, events []runEvent) bool {
	for _, e := range events {
		if e.kind == "noted" && e.run == end.run && e.runner == end.runner {
			return !end.runner.lapsedBetween(end.at, e.at)
		}
	}
	return false
}

// silentFeed: the connections of the leader on which it waits for changes in the store go
// silent, amid short jobs that are followed by longer ones.
func silentFeed(c *cluster, trouble bool) (verdict, error) {
	leader, err := c.leader()
	if err != nil {
		return verdict{}, err
	}
	var ids []string
	others := c.others(leader)
	send := func(i int, ms int64, tasks int) error {
		id, err := c.submit(shortID, others[i%len(others):], job(tasks, work{ms, "done"}, ""))
		ids = append(ids, id)
		return err
	}
	for i := range 24 {
		if err := send(i, 80, 4); err != nil {
			return verdict{}, err
		}
		time.Sleep(200 * time.Millisecond)
		if trouble && i == 22 {
			n := c.store.silence(leader.name)
			c.rec.add("connections go silent", "entry", leader.name, "connections", n)
		}
	}
	time.Sleep(250 * time.Millisecond)
	for i := range 3 {
		if err := send(i, 6000, 4); err != nil {
			return verdict{}, err
		}
		time.Sleep(1200 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for i := range 20 {
		if err := send(i, 200, 4); err != nil {
			return verdict{}, err
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(finish)
	return c.judgeLost(ids), nil
}

// judgeLost applies LOST to stored jobs, finish_s after the end of the traffic: each is known,
// and none that has not ended has nothing running for 3 s. The runners have far more than
// twice the capacity.
func (c *cluster) judgeLost(ids []string) verdict {
	var open []string
	for _, id := range ids {
		status, state := c.state(id, c.entries)
		switch {
		case status == http.StatusGone:
			return verdict{true, "LOST: job " + id + " was accepted and is gone"}
		case status != http.StatusOK:
			return verdict{true, fmt.Sprintf("LOST: no answer for job %s: status %d", id, status)}
		case state != "complete":
			open = append(open, id)
		}
	}
	from := time.Now()
	time.Sleep(idleWindow + 200*time.Millisecond)
	var idle []string
	for _, id := range open {
		if !ranSince(c.rec.runsOf(id), from) {
			idle = append(idle, id)
		}
	}
	if len(idle) > 0 {
		_, state := c.state(idle[0], c.entries)
		return verdict{true, fmt.Sprintf("LOST: %d of %d accepted jobs, %v first, state %q, have nothing running for 3 s, %v after the end of the traffic, on 48 runners without any work",
			len(idle), len(ids), idle[0], state, finish)}
	}
	return verdict{false, fmt.Sprintf("%d of %d jobs complete, the others run", len(ids)-len(open), len(ids))}
}

// ranSince reports whether a run of the job was at work at some time since from.
func ranSince(runs map[string][]runEvent, from time.Time) bool {
	for _, events := range runs {
		working := false
		for _, e := range events {
			switch e.kind {
			case "start":
				working = true
			case "end", "lost with its runner":
				working = false
			default:
				continue
			}
			if e.at.After(from) {
				return true
			}
		}
		if working {
			return true
		}
	}
	return false
}

// healedZone: a data centre is cut off from the others for 5 s. Shortly before the cut heals, two
// jobs come that require its racks, and others follow when all is well again.
func healedZone(c *cluster, trouble bool) (verdict, error) {
	leader, err := c.leader()
	if err != nil {
		return verdict{}, err
	}
	zone := zones[1]
	if leader.zone == zone {
		zone = zones[2]
	}
	var racks []string
	var at []*entryProcess
	for _, r := range c.runners {
		if r.zone == zone && !slices.Contains(racks, r.rack) {
			racks = append(racks, r.rack)
		}
	}
	for _, e := range c.entries {
		if e.zone != zone {
			at = append(at, e)
		}
	}
	var ids []string
	submit := func(i, tasks int, step string) error {
		id, err := c.submit(shortID, at[i%len(at):], job(tasks, work{200, "done"}, fmt.Sprintf(`"requires":%q%s`, racks[i%len(racks)], step)))
		ids = append(ids, id)
		return err
	}
	sendOne := func(i int) error { return submit(i, 1, "") }
	// send submits a job with a task for each runner of a rack.
	send := func(i int) error { return submit(i, 8, `,"anti_affinity":1`) }
	if id, err := c.submit(shortID, at, job(2, work{200, "done"}, "")); err != nil {
		return verdict{}, err
	} else {
		ids = append(ids, id)
	}
	time.Sleep(800 * time.Millisecond)
	from := time.Now()
	if trouble {
		c.rec.add("cut off", "zone", zone)
		c.net.cut(zone)
	}
	for i := range 16 {
		if err := sendOne(i); err != nil {
			return verdict{}, err
		}
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Until(from.Add(zoneCut)))
	if trouble {
		c.net.cut("")
		c.rec.add("healed", "zone", zone)
	}
	time.Sleep(6 * time.Second)
	for i := range 8 {
		if err := send(i); err != nil {
			return verdict{}, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	return c.judgeLost(ids), nil
}

// failuresAroundTakeover: the leader is killed while the last permitted run of tasks that
// always fail is at work.
func failuresAroundTakeover(c *cluster, trouble bool) (verdict, error) {
	leader, err := c.leader()
	if err != nil {
		return verdict{}, err
	}
	id, err := c.submit(shortID, c.others(leader), job(6, work{900, "failed"}, ""))
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		// The first run of each task has failed, and the second one is at work.
		if err := c.awaitEvents(id, "start", 2, 6); err != nil {
			return verdict{}, err
		}
		time.Sleep(500 * time.Millisecond)
		c.signal(leader, syscall.SIGKILL)
		_ = leader.cmd.Wait()
		time.Sleep(downTime)
		if err := c.launch(leader, c.seeds()); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(finish)
	c.state(id, c.others(leader))
	return c.judgeBudget(id, 2), nil
}

func (c *cluster) seeds() []string {
	return []string{c.entries[0].control, c.entries[3].control, c.entries[5].control}
}

// judgeBudget applies BUDGET to a stored job.
func (c *cluster) judgeBudget(id string, attempts int) verdict {
	runs := c.rec.runsOf(id)
	for task, events := range runs {
		failed := 0
		for i, e := range events {
			switch {
			case e.kind == "start" && failed >= attempts:
				return verdict{true, fmt.Sprintf("BUDGET: %s was started as run %d after %d runs had ended failed, which are taken note of; attempts is %d",
					task, e.run, failed, attempts)}
			case e.kind == "end" && e.how == "failed" && takenNoteOf(e, events[i:]):
				failed++
			}
		}
	}
	return verdict{false, fmt.Sprintf("no task of %d was started after %d failed runs", len(runs), attempts)}
}

// lastingTaskEndsDuringTakeover: the leader is killed shortly before the present runs of tasks
// that last come to an end.
func lastingTaskEndsDuringTakeover(c *cluster, trouble bool) (verdict, error) {
	leader, err := c.leader()
	if err != nil {
		return verdict{}, err
	}
	id, err := c.submit(longRunningID, c.others(leader), job(6, work{2500, "done"}, `"long_running":true`))
	if err != nil {
		return verdict{}, err
	}
	if err := c.awaitEvents(id, "start", 2, 6); err != nil {
		return verdict{}, err
	}
	if trouble {
		time.Sleep(2 * time.Second)
		c.signal(leader, syscall.SIGKILL)
		_ = leader.cmd.Wait()
		time.Sleep(downTime)
		if err := c.launch(leader, c.seeds()); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(25 * time.Second)
	c.state(id, c.others(leader))
	return c.judgeLasting(id), nil
}

// lastingTaskOnLostRunner: a runner with a task that lasts is lost for good.
func lastingTaskOnLostRunner(c *cluster, trouble bool) (verdict, error) {
	id, err := c.submit(longRunningID, c.entries, job(4, work{3600_000, "done"}, `"long_running":true`))
	if err != nil {
		return verdict{}, err
	}
	if err := c.awaitEvents(id, "start", 1, 4); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		on := c.rec.runsOf(id)[id+".0.0.0"]
		c.rec.add("runner lost for good", "runner", on[0].runner.id)
		on[0].runner.crashForGood()
	}
	time.Sleep(25 * time.Second)
	c.state(id, c.entries)
	return c.judgeLasting(id), nil
}

// judgeLasting applies LOST to a job whose tasks last: from 6 s after its last run no task may
// have nothing running for 3 s.
func (c *cluster) judgeLasting(id string) verdict {
	now := time.Now()
	var away []string
	longest := time.Duration(0)
	for task, events := range c.rec.runsOf(id) {
		var endedAt time.Time
		check := func(until time.Time) {
			if !endedAt.IsZero() && until.Sub(endedAt) > lastingGap+idleWindow {
				away = append(away, task)
				longest = max(longest, until.Sub(endedAt))
			}
		}
		for _, e := range events {
			switch e.kind {
			case "start":
				check(e.at)
				endedAt = time.Time{}
			case "end", "lost with its runner":
				endedAt = e.at
			}
		}
		check(now)
	}
	if len(away) > 0 {
		slices.Sort(away)
		return verdict{true, fmt.Sprintf("LOST: %d tasks that last, %s first, had nothing running for up to %.1f s after their last run, on 47 runners with room",
			len(away), away[0], longest.Seconds())}
	}
	return verdict{false, "each task that lasts was started again in time"}
}

// replacedRunners: the 3 runners that jobs require are taken away at short notice, and 3 others
// of the same kind come 4 s later.
func replacedRunners(c *cluster, trouble bool) (verdict, error) {
	kind := func(r *runner) bool { return r.kind == "g" }
	began := time.Now()
	if trouble {
		go func() {
			time.Sleep(2 * time.Second)
			for _, r := range c.runners {
				if kind(r) {
					r.drain(spotNotice)
				}
			}
			time.Sleep(spotNotice)
			for _, r := range c.runners {
				if kind(r) {
					r.leave()
				}
			}
			time.Sleep(spotOthers)
			for i, r := range c.runners {
				if kind(r) {
					if err := c.addRunner(fmt.Sprintf("i-%08x", 0x8c000000+i), r.zone, r.kind, r.rack); err != nil {
						panic(err)
					}
				}
			}
		}()
	}
	var ids []string
	for i := 0; time.Since(began) < 14*time.Second; i++ {
		id, err := c.submit(shortID, c.entries[i%len(c.entries):], job(1, work{200, "done"}, `"requires":"g"`))
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(finish)
	var failed []string
	for _, id := range ids {
		if _, state := c.state(id, c.entries); state == "failed" && c.failedEnds(id) == 0 {
			failed = append(failed, id)
		}
	}
	if len(failed) > 0 {
		return verdict{true, fmt.Sprintf("LOST: %d of %d accepted jobs, %s first, are shown as failed, though no run of them has ended failed, and runners with their label are there again",
			len(failed), len(ids), failed[0])}, nil
	}
	return c.judgeLost(ids), nil
}

// failedEnds returns how many runs of the job have ended failed.
func (c *cluster) failedEnds(id string) int {
	n := 0
	for _, events := range c.rec.runsOf(id) {
		for _, e := range events {
			if e.kind == "end" && e.how == "failed" {
				n++
			}
		}
	}
	return n
}

// pendingWithRefusedStarts: the 3 runners that jobs require are unhealthy for 6.5 s and reject
// all starts.
func pendingWithRefusedStarts(c *cluster, trouble bool) (verdict, error) {
	for _, r := range c.runners {
		if r.kind == "g" {
			r.mu.Lock()
			r.refusing = trouble
			r.mu.Unlock()
			c.rec.add("runner", "runner", r.id, "label", r.kind, "unhealthy", trouble)
		}
	}
	began := time.Now()
	var ids []string
	for i := range 5 {
		id, err := c.submit(shortID, c.entries[i%len(c.entries):], job(1, work{400, "done"}, `"requires":"g"`))
		if err != nil {
			return verdict{}, err
		}
		ids = append(ids, id)
	}
	// visible_ms + 2 s after the last acceptance
	time.Sleep(5200 * time.Millisecond)
	v := verdict{false, "pending was right"}
	for _, e := range c.entries {
		waiting := 0
		for _, id := range ids {
			if len(c.rec.runsOf(id)) == 0 {
				waiting++
			}
		}
		status, body := c.call(e, http.MethodGet, "", "")
		var p struct {
			Pending int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &p) != nil {
			continue
		}
		if 2*p.Pending < waiting {
			v = verdict{true, fmt.Sprintf("MIXED: %s gives %d as pending, while %d jobs that were accepted over 5 s before have not begun", e.name, p.Pending, waiting)}
		}
	}
	time.Sleep(max(unhealthy-time.Since(began), 0))
	for _, r := range c.runners {
		r.mu.Lock()
		r.refusing = false
		r.mu.Unlock()
	}
	time.Sleep(8 * time.Second)
	for _, id := range ids {
		c.state(id, c.entries)
	}
	return v, nil
}

// mayMissInStoreOutage: the platform's store is down for 4.5 s while tasks that last are at
// work, one of which may be unavailable.
func mayMissInStoreOutage(c *cluster, trouble bool) (verdict, error) {
	id, err := c.submit(longRunningID, c.entries, job(6, work{3600_000, "done"}, `"long_running":true,"may_miss":1`))
	if err != nil {
		return verdict{}, err
	}
	if err := c.awaitEvents(id, "start", 1, 6); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		c.rec.add("store down")
		c.store.setDown(true)
		time.Sleep(storeOutage)
		c.store.setDown(false)
		c.rec.add("store back")
	}
	time.Sleep(finish)
	c.state(id, c.entries)
	stopped := []string{}
	for task, events := range c.rec.runsOf(id) {
		for _, e := range events {
			if e.kind == "end" && e.how == "stopped" {
				stopped = append(stopped, task)
			}
		}
	}
	if len(stopped) > 1 {
		slices.Sort(stopped)
		return verdict{true, fmt.Sprintf("AVAIL: %d tasks at work on sound runners were stopped by orders, may_miss is 1: %s", len(stopped), strings.Join(stopped, " "))}, nil
	}
	return verdict{false, fmt.Sprintf("%d tasks were stopped", len(stopped))}, nil
}
