package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// busyTargets are targets whose runs last until they are stopped or their lease ends. They record
// each start of a task that another run of the same task overlaps.
type busyTargets struct {
	mu       sync.Mutex
	began    time.Time
	targets  map[string]*busyTarget
	starts   map[string]int // by target
	ofJob    map[string]int // starts by job
	overlaps []string
}

type busyTarget struct {
	still        bool // its process stands still: it answers nothing, and ends nothing
	leaseUntilMS int64
	runs         map[fleet.TaskID]int
	ended        []fleet.End
}

func newBusyTargets() *busyTargets {
	return &busyTargets{began: time.Now().Add(-time.Minute), targets: make(map[string]*busyTarget), starts: make(map[string]int), ofJob: make(map[string]int)}
}

func (f *busyTargets) clock() int64 { return time.Since(f.began).Milliseconds() }

// target returns a target, without the runs whose lease has ended.
func (f *busyTargets) target(id string) *busyTarget {
	t := f.targets[id]
	if t == nil {
		t = &busyTarget{runs: make(map[fleet.TaskID]int)}
		f.targets[id] = t
	}
	if f.clock() >= t.leaseUntilMS && !t.still {
		for task := range t.runs {
			t.end(task)
		}
	}
	return t
}

func (t *busyTarget) end(task fleet.TaskID) {
	t.ended = append(t.ended, fleet.End{Number: int64(len(t.ended) + 1), Task: task, Run: t.runs[task], Kind: fleet.EndInterrupted})
	delete(t.runs, task)
}

func (f *busyTargets) Start(_ context.Context, o fleet.Start) fleet.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		if _, runs := f.target(id).runs[o.Task]; runs {
			f.overlaps = append(f.overlaps, fmt.Sprintf("task %s starts on %s while it runs on %s", o.Task.String(), o.Target.ID, id))
		}
	}
	t := f.target(o.Target.ID)
	if t.still {
		return fleet.Reply{Answer: fleet.Unanswered}
	}
	f.starts[o.Target.ID]++
	f.ofJob[o.Task.Job]++
	t.runs[o.Task] = o.Run
	t.leaseUntilMS = max(t.leaseUntilMS, o.LeaseUntilMS)
	return fleet.Reply{Answer: fleet.Accepted, ClockMS: f.clock(), Incarnation: 1}
}

func (f *busyTargets) Stop(_ context.Context, o fleet.Stop) fleet.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(o.Target.ID)
	if t.still {
		return fleet.Reply{Answer: fleet.Unanswered}
	}
	if t.runs[o.Task] == o.Run {
		t.end(o.Task)
	}
	return fleet.Reply{Answer: fleet.Accepted, ClockMS: f.clock(), Incarnation: 1}
}

func (f *busyTargets) Hold(ctx context.Context, o fleet.Hold) fleet.HoldReply {
	select {
	case <-time.After(o.Wait):
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(o.Target.ID)
	if t.still {
		return fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected}
	}
	t.leaseUntilMS = max(t.leaseUntilMS, o.LeaseUntilMS)
	r := fleet.HoldReply{Answer: fleet.Accepted, ClockMS: f.clock(), Incarnation: 1}
	for task, run := range t.runs {
		r.Running = append(r.Running, fleet.Running{Task: task, Run: run})
	}
	for _, e := range t.ended {
		if e.Number > o.AckedEnd {
			r.Ended = append(r.Ended, e)
		}
	}
	return r
}

// startsOn returns how often tasks were started on a target.
func (f *busyTargets) startsOn(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id]
}

// started returns how many runs were started.
func (f *busyTargets) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	started := 0
	for _, n := range f.starts {
		started += n
	}
	return started
}

// manyPools is a deployment with a pool for each data centre, each led by the entry there.
type manyPools struct {
	t     *testing.T
	nodes []*Node
	busy  *busyTargets
	// cancels end the callers' connections.
	cancels []context.CancelFunc
	notes   []string // under the lock of busy
}

func startManyPools(t *testing.T, pools int) *manyPools {
	d := &manyPools{t: t, busy: newBusyTargets()}
	layout := fleet.Layout{Version: 1, Targets: pools}
	var members []fleet.Member
	var names []string
	for i := range pools {
		layout.Pools = append(layout.Pools, fleet.Scope{DC: dcName(i)})
		self := fleet.Member{Name: fmt.Sprintf("e%d", i), DC: dcName(i)}
		srv := httptest.NewUnstartedServer(nil)
		self.Addr = srv.Listener.Addr().String()
		n, err := Start(Config{
			Self: self, Secret: []byte("a secret of the tests"), Targets: d.busy,
			Metrics: metrics.NewNop(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		assert.NilError(t, err)
		srv.Config.Handler = n.Handler()
		srv.Start()
		t.Cleanup(srv.CloseClientConnections)
		t.Cleanup(n.Close)
		n.SetConfig(&fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s"}}})
		d.nodes, members, names = append(d.nodes, n), append(members, self), append(names, self.Name)
	}
	for _, n := range d.nodes {
		n.SetLayout(layout)
		n.SetMembers(members, names)
	}
	for i, n := range d.nodes {
		d.eventually("each entry leads the pool of its data centre", func() bool {
			return n.ask(func() int {
				for k, s := range n.shards {
					if s.decision.Leader != names[k] || s.decision.Leading != (k == i) {
						return 0
					}
				}
				return len(n.shards)
			}) == pools
		})
	}
	return d
}

func dcName(i int) string { return fmt.Sprintf("dc-%d", i) }

// targetOf returns the ID of the only target of a pool.
func targetOf(pool int) string { return fmt.Sprintf("t%d", pool) }

// setCapacities gives each pool one target of that capacity, or none for 0, and waits until all entries
// have heard of that.
func (d *manyPools) setCapacities(capacities []int64) {
	var list []fleet.Target
	for i, c := range capacities {
		if c > 0 {
			list = append(list, fleet.Target{ID: targetOf(i), Service: "s", DC: dcName(i), Capacity: structs.Resources{MilliCPU: c}})
		}
	}
	for _, n := range d.nodes {
		n.SetTargets(list, time.Now())
	}
	for _, n := range d.nodes {
		d.eventually("an entry knows all capacities", func() bool {
			return n.ask(func() int {
				known := 0
				for i, v := range n.poolViews() {
					if v.led && v.capacity == capacities[i] {
						known++
					}
				}
				return known
			}) == len(capacities)
		})
	}
}

// awaitChoice waits until an entry chooses a pool for a job.
func (d *manyPools) awaitChoice(n *Node, job string, pool int) {
	d.eventually(fmt.Sprintf("an entry chooses pool %d", pool), func() bool {
		return n.ask(func() int { return choosePool(job, n.poolViews(), nil) }) == pool
	})
}

func (d *manyPools) eventually(what string, ok func() bool) {
	d.t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.busy.mu.Lock()
	defer d.busy.mu.Unlock()
	d.t.Fatalf("not true within 20 s: %s; starts %v, overlaps %v, %v", what, d.busy.starts, d.busy.overlaps, d.notes)
}

// submit submits a job of a caller whose connection is lost at the caller's end only: the entry goes
// on waiting for it. A caller whose job is rejected as not run submits it again.
func (d *manyPools) submit(n *Node, id string) {
	ctx, cancel := context.WithCancel(context.Background())
	d.t.Cleanup(cancel)
	d.cancels = append(d.cancels, cancel)
	go func() {
		for {
			o, err := n.Submit(ctx, callerJob(id, time.Minute), Caller{})
			if err != nil || o.Verdict != verdict.NotRun {
				d.note("%s answers %s: %v %s %v", n.cfg.Self.Name, id, o.Verdict, o.Reason, err)
				return
			}
			d.note("%s rejects %s: %s", n.cfg.Self.Name, id, o.Reason)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// note keeps a line for the message of a failure.
func (d *manyPools) note(format string, args ...any) {
	d.busy.mu.Lock()
	defer d.busy.mu.Unlock()
	d.notes = append(d.notes, fmt.Sprintf(format, args...))
}

// preferring returns the ID of a job that goes to the given one of several pools of one capacity.
func preferring(pool, pools int) string {
	views := make([]poolView, pools)
	for i := range views {
		views[i] = poolView{led: true, capacity: 1}
	}
	for i := 0; ; i++ {
		if id := fmt.Sprintf("%016x", i); strings.TrimLeft(id, "0") != "" && choosePool(id, views, nil) == pool {
			return id
		}
	}
}

// A caller lost its connection, whose entry did not notice, and submitted its job again at another
// entry. That one had heard of other capacities and chose another pool, whose leader knew nothing of the
// run in the first one.
func TestJobThatComesAgainAtAnotherPoolWaitsForItsRuns(t *testing.T) {
	const few, many = 1000, 1000 * 1000
	for preferred := range 3 {
		t.Run(fmt.Sprint("of three pools it prefers ", preferred), func(t *testing.T) {
			d := startManyPools(t, 3)
			job := preferring(preferred, 3)
			d.setCapacities([]int64{few, 0, 0})
			d.awaitChoice(d.nodes[0], job, 0)
			d.submit(d.nodes[0], job)
			d.eventually("the job runs in the first pool", func() bool { return d.busy.startsOn(targetOf(0)) > 0 })

			d.setCapacities([]int64{few, many, 0})
			d.awaitChoice(d.nodes[1], job, 1)
			d.submit(d.nodes[1], job)
			d.eventually("the job runs in the second pool", func() bool { return d.busy.startsOn(targetOf(1)) > 0 })

			d.busy.mu.Lock()
			defer d.busy.mu.Unlock()
			assert.Equal(t, len(d.busy.overlaps), 0, "%v", d.busy.overlaps)
		})
	}
}

// The same with many jobs, each of which has its home, its first and its second pool anywhere.
func TestManyJobsThatComeAgainHaveOneRunAtATime(t *testing.T) {
	const entries, jobs = 3, 30
	d := startManyPools(t, entries)
	chosen := make(map[string]int) // by job: its pool
	starts := make(map[string]int) // by job: one for each pool that it goes to, at least
	submitAll := func(entry int, capacities ...int64) {
		d.setCapacities(capacities)
		views := make([]poolView, entries)
		for i, c := range capacities {
			views[i] = poolView{led: true, capacity: c}
		}
		for i := range jobs {
			job := fmt.Sprintf("%016x", 1+i)
			if at, before := choosePool(job, views, nil), starts[job] > 0; !before || at != chosen[job] {
				chosen[job] = at
				starts[job]++
			}
			d.submit(d.nodes[(entry+i)%entries], job)
		}
		d.eventually("all jobs run where they should", func() bool {
			d.busy.mu.Lock()
			defer d.busy.mu.Unlock()
			for job, n := range starts {
				if d.busy.ofJob[job] < n {
					return false
				}
			}
			return true
		})
	}
	submitAll(0, 20000, 60000, 40000)
	submitAll(1, 60000, 30000, 20000)
	submitAll(2, 20000, 20000, 90000)
	d.busy.mu.Lock()
	defer d.busy.mu.Unlock()
	assert.Equal(t, len(d.busy.overlaps), 0, "%v", d.busy.overlaps)
}
