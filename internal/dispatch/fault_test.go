package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/standin/worker"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// testFleet is a set of runners behind fault-injecting proxies, with a
// dispatcher that uses them in turn, as far as their health allows.
type testFleet struct {
	t       *testing.T
	runners []*taskserver.Server
	proxies []*toxiproxy.Proxy
	addrs   []string
	pool    *target.Pool
	tracker *target.Tracker
	d       *Dispatcher
	// taskTime replaces the measured times of attempts in the evidence, unless it is
	// 0: on a busy machine they say nothing about the targets.
	taskTime time.Duration

	mu      sync.Mutex
	turn    int
	used    map[string]int
	ejected map[string]bool
}

const (
	fleetSlots    = 8
	fleetTaskTime = 5 * time.Millisecond
)

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, used: map[string]int{}, ejected: map[string]bool{}}
	f.tracker = target.NewTracker(target.TrackerConfig{Cooldown: time.Minute, OnChange: f.noteChange})
	f.pool = target.NewPool(target.PoolConfig{
		OnLeaving: func(addr string) { f.tracker.Leave(addr, time.Now()) },
	})
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	for i := range n {
		name := fmt.Sprintf("runner-%d", i)
		r, err := runner.New(taskserver.Config{VM: platform.VM{Name: name}})
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", r.Addr())
		assert.NilError(t, p.Start())
		t.Cleanup(p.Stop)
		f.runners = append(f.runners, r)
		f.proxies = append(f.proxies, p)
		f.addrs = append(f.addrs, p.Listen)
		f.tracker.Add(p.Listen, "rennes/runner", time.Now())
	}
	f.d = New(Config{Targets: f.pool, Seed: 3, Observe: func(addr string, ev target.Evidence, took time.Duration, kind string) {
		if f.taskTime > 0 {
			took = f.taskTime
		}
		f.tracker.Observe(addr, ev, took, kind, time.Now())
	}})
	t.Cleanup(func() {
		f.d.Close()
		f.pool.Close()
	})
	return f
}

func (f *testFleet) noteChange(c target.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.To == target.Ejected {
		f.ejected[c.Addr] = true
	}
}

// pick reserves a slot at the next target whose health allows it and that is
// not excluded.
func (f *testFleet) pick(exclude []string) (Reservation, bool) {
	for range f.addrs {
		f.mu.Lock()
		f.turn++
		addr := f.addrs[f.turn%len(f.addrs)]
		f.mu.Unlock()
		allowed := f.tracker.Allowed(addr, time.Now())
		if allowed == 0 || contains(exclude, addr) {
			continue
		}
		f.mu.Lock()
		ok := f.used[addr] < fleetSlots
		if ok {
			f.used[addr]++
		}
		f.mu.Unlock()
		if ok {
			return Reservation{Addr: addr, Release: func() { f.release(addr) }}, true
		}
	}
	return Reservation{}, false
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (f *testFleet) release(addr string) {
	f.mu.Lock()
	f.used[addr]--
	f.mu.Unlock()
}

// do executes one task and checks that the answer belongs to it.
func (f *testFleet) do(ctx context.Context, k key.Key, task int, repeatable bool) error {
	rsv, ok := f.pick(nil)
	for !ok {
		time.Sleep(time.Millisecond)
		rsv, ok = f.pick(nil)
	}
	t := Task{
		Start: target.Start{
			Key:  k,
			Task: task,
			Kind: "unlock",
			Body: fmt.Appendf(nil, `{"service_ms": %d, "answer_bytes": 20000}`, fleetTaskTime.Milliseconds()),
		},
		Repeatable:  repeatable,
		First:       rsv,
		Pick:        f.pick,
		SilentAfter: 150 * time.Millisecond,
		HedgeAfter:  50 * time.Millisecond,
		MayStart:    func() (time.Time, error) { return time.Now().Add(30 * time.Second), nil },
	}
	a, err := f.d.Do(ctx, t)
	if err != nil {
		return err
	}
	var res taskserver.Result
	if err := json.Unmarshal(a.Body, &res); err != nil {
		return err
	}
	if res.Key != k || res.Task != task {
		return fmt.Errorf("answer of %v/%d for %v/%d", res.Key, res.Task, k, task)
	}
	return nil
}

// runTasks runs n tasks, ten at a time, and returns their errors by task.
func (f *testFleet) runTasks(n int, repeatable bool) (key.Key, []error) {
	k, err := key.New("rennes")
	assert.NilError(f.t, err)
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Minute)
	defer cancel()
	errs := make([]error, n)
	var wg sync.WaitGroup
	tasks := make(chan int)
	for range 10 {
		wg.Go(func() {
			for task := range tasks {
				errs[task] = f.do(ctx, k, task, repeatable)
			}
		})
	}
	for task := range n {
		tasks <- task
	}
	close(tasks)
	wg.Wait()
	return k, errs
}

// check compares the outcomes of non-repeatable tasks with the starts at the
// targets, and returns the number of tasks that did not complete.
func (f *testFleet) check(k key.Key, errs []error) (failed int) {
	f.t.Helper()
	starts := make([]int, len(errs))
	for _, r := range f.runners {
		for id, n := range r.Starts() {
			if id.Key == k {
				starts[id.Task] += n
			}
		}
	}
	for task, err := range errs {
		n := starts[task]
		assert.Check(f.t, n <= 1, "task %d was started %d times: %v", task, n, err)
		if err == nil {
			assert.Check(f.t, n == 1, "task %d completed with %d starts", task, n)
			continue
		}
		failed++
		if verdict.FromError(err).Verdict == verdict.NotRun {
			assert.Check(f.t, n == 0, "task %d was started: %v", task, err)
		}
	}
	return failed
}

func (f *testFleet) addToxic(i int, kind, stream, attributes string, share float64) {
	f.t.Helper()
	_, err := f.proxies[i].Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"type":%q,"stream":%q,"toxicity":%v,"attributes":%s}`, kind, stream, share, attributes)))
	assert.NilError(f.t, err)
}

func failures(errs []error) (n int) {
	for _, err := range errs {
		if err != nil {
			n++
		}
	}
	return n
}

func TestFailingTargetIsEjected(t *testing.T) {
	f := newTestFleet(t, 5)
	f.taskTime = fleetTaskTime
	f.runners[0].SetFaults(taskserver.Faults{FailAll: true})

	k, errs := f.runTasks(300, false)
	failed := f.check(k, errs)
	_, repeated := f.runTasks(300, true)

	assert.Assert(t, failed > 0 && failed <= 30, "%d failed", failed)
	assert.Assert(t, f.ejected[f.addrs[0]])
	assert.Equal(t, len(f.ejected), 1)
	assert.Equal(t, failures(repeated), 0)
}

func TestStragglerIsHedgedAndEjected(t *testing.T) {
	f := newTestFleet(t, 5)
	f.runners[0].SetFaults(taskserver.Faults{Straggle: 20})

	_, errs := f.runTasks(400, true)

	assert.Equal(t, failures(errs), 0, "%v", errs)
	assert.Assert(t, f.ejected[f.addrs[0]])
	total := 0
	for _, r := range f.runners {
		for _, n := range r.Starts() {
			total += n
		}
	}
	assert.Assert(t, total <= 400+budgetBurst+400*DefaultHedgePercent/100, "%d starts", total)
}

func TestHalfOfTargetsCrash(t *testing.T) {
	f := newTestFleet(t, 6)
	var wg sync.WaitGroup
	wg.Go(func() {
		waitStarts(f.runners[:3], 60)
		for i := range 3 {
			f.runners[i].Kill()
			f.proxies[i].Stop()
		}
	})

	k, errs := f.runTasks(600, false)

	wg.Wait()
	// Only tasks that ran on the crashed targets may fail, at most one per
	// slot.
	failed := f.check(k, errs)
	assert.Assert(t, failed <= 3*fleetSlots, "%d failed", failed)
	for _, err := range errs {
		assert.Check(t, err == nil || verdict.FromError(err).Verdict == verdict.MayHaveRun, "%v", err)
	}
	for i := range 3 {
		assert.Check(t, f.ejected[f.addrs[i]], "runner %d", i)
		assert.Check(t, !f.ejected[f.addrs[i+3]], "runner %d", i+3)
	}
}

// waitStarts waits until the runners have started n tasks, for a bounded time.
func waitStarts(runners []*taskserver.Server, n int) {
	for range 5000 {
		total := 0
		for _, r := range runners {
			total += len(r.Starts())
		}
		if total >= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHalfOfConnectionsGoSilent(t *testing.T) {
	f := newTestFleet(t, 4)
	f.taskTime = fleetTaskTime
	var wg sync.WaitGroup
	wg.Go(func() {
		for round := 1; round <= 3; round++ {
			waitStarts(f.runners, 100*round)
			for _, r := range f.runners {
				r.SetFaults(taskserver.Faults{Silence: 0.5})
			}
		}
	})

	k, errs := f.runTasks(500, false)

	wg.Wait()
	assert.Equal(t, f.check(k, errs), 0, "%v", errs)
	assert.Equal(t, len(f.ejected), 0)
}

func TestConnectionsBreakMidAnswer(t *testing.T) {
	f := newTestFleet(t, 4)
	for i := range f.runners {
		f.addToxic(i, "limit_data", "downstream", `{"bytes": 50000}`, 1)
	}

	k, errs := f.runTasks(300, false)

	// Each connection carries two and a half answers; the answers cut off by a
	// break are fetched by lookups.
	assert.Equal(t, f.check(k, errs), 0, "%v", errs)
}

func TestCrossedTruncatedAndLateAnswers(t *testing.T) {
	f := newTestFleet(t, 4)
	for _, r := range f.runners {
		r.SetFaults(taskserver.Faults{Cross: 0.2, Truncate: 0.2, Late: 0.1, LateMS: 300})
	}

	k, errs := f.runTasks(200, false)

	f.check(k, errs)
	for _, err := range errs {
		assert.Check(t, err == nil || verdict.FromError(err).Verdict == verdict.MayHaveRun, "%v", err)
	}
}

func TestLeavingTargetGetsNoNewTasks(t *testing.T) {
	f := newTestFleet(t, 4)
	f.runTasks(50, false)
	f.runners[0].SetFaults(taskserver.Faults{Leaving: true})
	before := len(f.runners[0].Starts())

	k, errs := f.runTasks(200, false)

	assert.Equal(t, f.check(k, errs), 0)
	assert.Equal(t, len(f.runners[0].Starts()), before)
	assert.Equal(t, f.tracker.State(f.addrs[0], time.Now()), target.Leaving)
}

func TestCancelStopsTaskAtTarget(t *testing.T) {
	f := newTestFleet(t, 1)
	k, err := key.New("rennes")
	assert.NilError(t, err)
	rsv, _ := f.pick(nil)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err = f.d.Do(ctx, Task{
			Start:    target.Start{Key: k, Kind: "unlock", Body: []byte(`{"service_ms": 60000}`)},
			First:    rsv,
			MayStart: func() (time.Time, error) { return time.Now().Add(time.Minute), nil },
		})
	})
	waitStarts(f.runners, 1)
	cancel()
	wg.Wait()

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.Failed, "%v", err)
	assert.Equal(t, f.runners[0].Running(), 0)
	assert.Equal(t, f.used[f.addrs[0]], 0)
}

// Cancelling many tasks at once stops every task on a large worker.
func TestMassCancelStopsAllTasks(t *testing.T) {
	const tasks = 200
	w, err := worker.New(taskserver.Config{})
	assert.NilError(t, err)
	t.Cleanup(w.Close)
	pool := target.NewPool(target.PoolConfig{DialTimeout: time.Minute}) // the starts have no other target
	t.Cleanup(pool.Close)
	pool.SetShare(w.Addr(), target.ConnShare(0, 1, true))
	d := New(Config{Targets: pool})
	k, err := key.New("rennes")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	errs := make([]error, tasks)
	var wg sync.WaitGroup
	for i := range tasks {
		wg.Go(func() {
			_, errs[i] = d.Do(ctx, Task{
				Start:       target.Start{Key: k, Task: i, Kind: "reconcile", Body: []byte(`{"service_ms": 600000}`)},
				First:       Reservation{Addr: w.Addr(), Release: func() {}},
				SilentAfter: time.Minute,
				MayStart:    func() (time.Time, error) { return time.Now().Add(time.Minute), nil },
			})
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(w.Starts()); n < tasks {
			return poll.Continue("%d of %d tasks are started", n, tasks)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	cancel()
	wg.Wait()

	assert.Equal(t, w.Running(), 0)
	for _, err := range errs {
		assert.Check(t, verdict.FromError(err).Verdict == verdict.Failed, "%v", err)
	}
}
