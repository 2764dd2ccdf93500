package engine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/internal/claims"
	"currantstall/internal/dispatch"
	"currantstall/internal/journal"
	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/metrics"
	"currantstall/internal/platform"
	"currantstall/internal/rapidtest"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/standin/worker"
	"currantstall/internal/structs"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

func TestMain(m *testing.M) {
	rapidtest.Configure(3, 1000)
	goleak.VerifyTestMain(m)
}

// fakeClaims grants each key once. It also is the journal and the external
// claims of an engine.
type fakeClaims struct {
	mu       sync.Mutex
	held     map[key.Key]bool
	ended    map[key.Key]structs.Outcome
	leaseErr error

	recorded []journal.Record
	full     bool
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{held: make(map[key.Key]bool), ended: make(map[key.Key]structs.Outcome)}
}

func (f *fakeClaims) Acquire(_ context.Context, k key.Key, _ uint64) (claims.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.ended[k]; ok {
		return claims.Claim{Outcome: &o}, nil
	}
	if f.held[k] {
		return claims.Claim{}, verdict.New(verdict.MayHaveRun, verdict.KeyConflict, "held")
	}
	f.held[k] = true
	return claims.Claim{Granted: true}, nil
}

func (f *fakeClaims) MayStart(key.Key) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Add(time.Minute), f.leaseErr
}

func (f *fakeClaims) Finish(k key.Key, o structs.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, k)
	if o.Verdict != verdict.NotRun {
		f.ended[k] = o
	}
}

func (f *fakeClaims) Refuse(_ context.Context, k key.Key) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.ended[k]; ok {
		return verdict.New(verdict.MayHaveRun, verdict.KeyConflict, "ended with %s", o.Verdict)
	}
	return nil
}

func (f *fakeClaims) Outcome(_ context.Context, k key.Key) (*structs.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o, ok := f.ended[k]; ok {
		return &o, nil
	}
	if f.held[k] {
		return nil, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.NotFound, "no record")
}

func (f *fakeClaims) Record(rec journal.Record) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, rec)
	return true
}

func (f *fakeClaims) Full(int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.full
}

func (f *fakeClaims) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func (f *fakeClaims) ClaimExternal(context.Context, key.Key) error { return nil }

// fakeNet connects engines by direct calls.
type fakeNet struct {
	mu               sync.Mutex
	engines          map[string]*Engine
	cut              map[string]bool
	notMembers       map[string]bool // entries that are not in the view
	dcListWatchedFor time.Duration   // result of Config.DCListWatchedFor
}

// outsideView reports whether an entry is not in the view.
func (n *fakeNet) outsideView(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notMembers[name]
}

// setCut cuts an entry off from the others, or undoes that.
func (n *fakeNet) setCut(name string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[name] = cut
}

// fakeLinks holds the links of one engine in a fakeNet.
type fakeLinks struct {
	net  *fakeNet
	self string
}

func (l *fakeLinks) Send(name string, msgs ...wire.Message) error {
	l.net.mu.Lock()
	e := l.net.engines[name]
	cut := l.net.cut[name] || l.net.cut[l.self]
	l.net.mu.Unlock()
	if e == nil || cut {
		return verdict.New(verdict.NotRun, verdict.LinkDown, "no link to %s", name)
	}
	for _, m := range msgs {
		if err := e.Receive(l.self, m); err != nil {
			return err
		}
	}
	return nil
}

func (l *fakeLinks) Broadcast(msgs ...wire.Message) int {
	n := 0
	for _, name := range l.others("") {
		if l.Send(name, msgs...) == nil {
			n++
		}
	}
	return n
}

func (l *fakeLinks) others(dc string) []string {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	var names []string
	for name, e := range l.net.engines {
		if name != l.self && (dc == "" || e.DC == dc) && !l.net.cut[name] {
			names = append(names, name)
		}
	}
	return names
}

func (l *fakeLinks) Linked(dc string) []string { return l.others(dc) }

func (l *fakeLinks) DCOf(name string) (string, bool) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	e := l.net.engines[name]
	if e == nil {
		return "", false
	}
	return e.DC, true
}

func (l *fakeLinks) RTT(string) (time.Duration, bool) { return 100 * time.Microsecond, true }

var testManifest = &manifest.Manifest{
	Version: 1,
	Kinds: []manifest.Kind{
		{Name: "unlock", Class: "request", Urgency: 10, Share: 0.5, DeadlineMS: 5000, ServiceMS: 20},
		{Name: "balance", Class: "request", Urgency: 1, Share: 0.2, DeadlineMS: 5000, Repeatable: true, ServiceMS: 20},
		{Name: "dusk", Class: "job", Urgency: 5, Share: 0.5, DeadlineMS: 20000, ServiceMS: 5, Needs: structs.Resources{MilliCPU: 1000, MemoryMB: 64}},
	},
	Teams: []manifest.Team{{Name: "north"}},
}

// newEngine adds an engine to the net that sends no load reports until it is run.
func (n *fakeNet) newEngine(t testing.TB, name, dc string, c claims.Claims) *Engine {
	t.Helper()
	pool := target.NewPool(target.PoolConfig{})
	t.Cleanup(pool.Close)
	e := New(Config{
		Self:             structs.Member{Name: name, Incarnation: 1},
		DC:               dc,
		Claims:           c,
		ExternalClaims:   c.(*fakeClaims),
		Journal:          c.(*fakeClaims),
		Links:            &fakeLinks{net: n, self: name},
		Manifest:         func() *manifest.Manifest { return testManifest },
		Member:           func() bool { return !n.outsideView(name) },
		KnownDC:          func(dc string) bool { return dc == "a" || dc == "b" },
		DCListWatchedFor: func() time.Duration { return n.dcListWatchedFor },
		Dispatch:         dispatch.New(dispatch.Config{Targets: pool}),
		Metrics:          metrics.NewNop(),
		Log:              slog.New(slog.DiscardHandler),
		AnswerBytes:      1 << 20,
	})
	e.Configure(testManifest, 1)
	n.mu.Lock()
	n.engines[name] = e
	n.mu.Unlock()
	return e
}

// startEngine adds a running engine to the net.
func (n *fakeNet) startEngine(t testing.TB, name, dc string, c claims.Claims) *Engine {
	t.Helper()
	e := n.newEngine(t, name, dc, c)
	runEngine(t, e)
	return e
}

// runEngine runs an engine until the end of the test.
func runEngine(t testing.TB, e *Engine) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		e.Close()
	})
}

func newFakeNet() *fakeNet {
	return &fakeNet{engines: make(map[string]*Engine), cut: make(map[string]bool), notMembers: make(map[string]bool)}
}

func startTarget(t *testing.T, role platform.Role, name string) *taskserver.Server {
	t.Helper()
	cfg := taskserver.Config{VM: platform.VM{Name: name, DC: "a"}, Seed: 1}
	start := runner.New
	if role == platform.RoleWorker {
		start = worker.New
	}
	s, err := start(cfg)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newWork(t *testing.T, kind string, class structs.Class, tasks int) *structs.Work {
	t.Helper()
	k, err := key.New("a")
	assert.NilError(t, err)
	w := &structs.Work{Key: k, Class: class, Kind: kind, Team: "north", Deadline: time.Now().Add(20 * time.Second)}
	w.Repeatable = kind == "balance"
	for i := range tasks {
		w.Tasks = append(w.Tasks, fmt.Appendf(nil, `{"service_ms":5,"echo":%d}`, i))
	}
	if class == structs.Job {
		w.Needs = structs.Resources{MilliCPU: 1000, MemoryMB: 64}
	}
	return w
}

func TestRequestRunsOnceAndAnswerIsKept(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	e := n.startEngine(t, "e1", "a", c)
	e.SetTargets([]platform.VM{r.VM()}, nil)
	w := newWork(t, "unlock", structs.Request, 1)

	first := e.Do(context.Background(), w)
	second := e.Do(context.Background(), w)

	assert.Equal(t, first.Verdict, verdict.Completed, first.Message)
	assert.DeepEqual(t, second.Answers, first.Answers)
	assert.Equal(t, len(r.Starts()), 1)
	assert.NilError(t, e.Drain(context.Background()))
}

func TestFreshKeyIsRecordedWithoutClaim(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	e := n.startEngine(t, "e1", "a", c)
	e.SetTargets([]platform.VM{r.VM()}, nil)
	w := newWork(t, "unlock", structs.Request, 1)
	w.FreshKey = true

	o := e.Do(context.Background(), w)

	assert.Equal(t, o.Verdict, verdict.Completed, o.Message)
	assert.Equal(t, len(c.ended), 0)
	assert.Equal(t, len(c.recorded), 1)
	assert.Equal(t, c.recorded[0].Key, w.Key)
}

// TestFullJournalRejectsNewWorkOnly fills the journal: work that is not
// repeatable is rejected until there is room. Kept answers and repeatable work
// are served meanwhile.
func TestFullJournalRejectsNewWorkOnly(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	e := n.startEngine(t, "e1", "a", c)
	r := startTarget(t, platform.RoleRunner, "r1")
	e.SetTargets([]platform.VM{r.VM()}, nil)
	kept := newWork(t, "unlock", structs.Request, 1)
	assert.Equal(t, e.Do(t.Context(), kept).Verdict, verdict.Completed)

	c.setFull(true)
	refused, fresh := newWork(t, "unlock", structs.Request, 1), newWork(t, "unlock", structs.Request, 1)
	fresh.FreshKey = true
	for _, w := range []*structs.Work{refused, fresh} {
		o := e.Do(t.Context(), w)
		assert.Equal(t, o.Verdict, verdict.NotRun)
		assert.Equal(t, o.Reason, verdict.MemoryFull)
	}
	assert.Equal(t, verdict.FromError(e.ClaimExternal(t.Context(), refused.Key)).Reason, verdict.MemoryFull)
	assert.Equal(t, len(r.Starts()), 1)
	assert.Equal(t, e.Do(t.Context(), kept).Verdict, verdict.Completed)
	assert.Equal(t, e.Do(t.Context(), newWork(t, "balance", structs.Request, 1)).Verdict, verdict.Completed)

	c.setFull(false)
	assert.Equal(t, e.Do(t.Context(), refused).Verdict, verdict.Completed)
	assert.Equal(t, e.pendingRecords, 0)
	assert.Equal(t, len(r.Starts()), 3)
}

func TestJobThatNeverFitsIsRefused(t *testing.T) {
	n := newFakeNet()
	e := n.startEngine(t, "e1", "a", newFakeClaims())
	w1 := startTarget(t, platform.RoleWorker, "w1")
	e.SetTargets([]platform.VM{w1.VM()}, []structs.Resources{w1.VM().Size})
	w := newWork(t, "dusk", structs.Job, 3)
	w.Needs.Accelerators = 1

	o := e.Do(context.Background(), w)

	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.NeverFits)
	assert.Equal(t, len(w1.Starts()), 0)
}

// TestQueuedJobRejectedOnceWorkerSizesKnown submits a job that fits on no
// worker before the entry knows the sizes of the workers.
func TestQueuedJobRejectedOnceWorkerSizesKnown(t *testing.T) {
	n := newFakeNet()
	e := n.startEngine(t, "e1", "a", newFakeClaims())
	w1 := startTarget(t, platform.RoleWorker, "w1")
	e.SetTargets([]platform.VM{w1.VM()}, nil)
	w := newWork(t, "dusk", structs.Job, 3)
	w.Needs.Accelerators = 1
	done := make(chan structs.Outcome, 1)
	go func() { done <- e.Do(context.Background(), w) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.tracked(w.Key) == nil {
			return poll.Continue("not accepted yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))

	e.SetTargets([]platform.VM{w1.VM()}, []structs.Resources{w1.VM().Size})

	o := <-done
	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.NeverFits)
}

func TestEntryWithoutTargetsOffloadsToPeer(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	peer := n.startEngine(t, "e1", "a", c)
	peer.SetTargets([]platform.VM{r.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	waitForLoad(t, e, "e1")

	for _, kind := range []string{"unlock", "balance"} {
		o := e.Do(context.Background(), newWork(t, kind, structs.Request, 1))
		assert.Equal(t, o.Verdict, verdict.Completed, o.Message)
	}
	assert.Equal(t, len(r.Starts()), 2)
}

// An entry without targets counted the tasks that it had offloaded since a peer's last load
// report as running there, also when their results were back. It refused jobs until the next
// report, which a busy peer sends late.
func TestResultsOfOffloadedTasksMakeRoomForOthers(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	w := startTarget(t, platform.RoleWorker, "w1")
	peer := n.newEngine(t, "e1", "a", c)
	t.Cleanup(peer.Close)
	peer.SetTargets([]platform.VM{w.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	e.jobs.receiveLoad("e1", &loadReport{Class: structs.Job, Member: true, Kinds: []kindLoad{{Kind: "dusk", Free: 2, GuaranteedRoom: 2}}})
	for i := range 8 {
		o := e.Do(context.Background(), newWork(t, "dusk", structs.Job, 1))
		assert.Equal(t, o.Verdict, verdict.Completed, "job %d: %s %s", i, o.Reason, o.Message)
	}
	assert.Equal(t, len(w.Starts()), 8)
}

// waitForLoad waits until an engine has a load report of a peer with free room.
func waitForLoad(t *testing.T, e *Engine, peer string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.requests.mu.Lock()
		defer e.requests.mu.Unlock()
		if p := e.requests.peerLoads[peer]; p != nil && p.kinds["unlock"] != nil && p.kinds["unlock"].Free > 0 {
			return poll.Success()
		}
		return poll.Continue("no load report with free room from %s", peer)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// waitForStarts waits until n tasks have started on a target.
func waitForStarts(t *testing.T, s *taskserver.Server, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := len(s.Starts()); got != n {
			return poll.Continue("%d starts", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// waitForQueue waits until at least n requests are queued.
func waitForQueue(t *testing.T, e *Engine, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		e.requests.mu.Lock()
		defer e.requests.mu.Unlock()
		if queued, _ := e.requests.queue.Len(); queued < n {
			return poll.Continue("%d are queued", queued)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestTaskOnLostPeerMayHaveRun(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	peer := n.startEngine(t, "e1", "a", c)
	peer.SetTargets([]platform.VM{r.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	waitForLoad(t, e, "e1")
	e.LinkUp("e1", 1)
	w := newWork(t, "unlock", structs.Request, 1)
	w.Tasks[0] = []byte(`{"service_ms":60000}`)
	done := make(chan structs.Outcome, 1)
	go func() { done <- e.Do(context.Background(), w) }()
	waitForStarts(t, r, 1)

	e.LinkUp("e1", 2) // a new incarnation: the first process is gone

	o := <-done
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	assert.Equal(t, o.Reason, verdict.HolderLost)
}

func TestForeignKeyForwardedToItsDataCentre(t *testing.T) {
	n := newFakeNet()
	home := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	a := n.startEngine(t, "e1", "a", home)
	a.SetTargets([]platform.VM{r.VM()}, nil)
	b := n.startEngine(t, "e2", "b", newFakeClaims())
	w := newWork(t, "unlock", structs.Request, 1)

	o := b.Do(context.Background(), w)
	again := b.Do(context.Background(), w)
	refused := b.Refuse(context.Background(), w.Key, verdict.New(verdict.NotRun, verdict.Draining, "x"))

	assert.Equal(t, o.Verdict, verdict.Completed, o.Message)
	assert.DeepEqual(t, again.Answers, o.Answers)
	assert.Equal(t, len(r.Starts()), 1)
	assert.Equal(t, verdict.FromError(refused).Verdict, verdict.MayHaveRun)
}

func TestUnreachableHomeGivesMayHaveRun(t *testing.T) {
	n := newFakeNet()
	n.startEngine(t, "e1", "a", newFakeClaims())
	b := n.startEngine(t, "e2", "b", newFakeClaims())
	n.mu.Lock()
	n.cut["e1"] = true
	n.mu.Unlock()
	w := newWork(t, "unlock", structs.Request, 1)
	w.Deadline = time.Now().Add(150 * time.Millisecond)

	o := b.Do(context.Background(), w)

	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	assert.Equal(t, o.Reason, verdict.HomeUnreachable)
}

func TestCancelStopsQueuedWork(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	e := n.startEngine(t, "e1", "a", c)
	other := n.startEngine(t, "e2", "a", c)
	r := startTarget(t, platform.RoleRunner, "r1")
	e.SetTargets([]platform.VM{r.VM()}, nil)
	for range 2 * r.VM().Slots {
		busy := newWork(t, "unlock", structs.Request, 1)
		busy.Tasks[0] = []byte(`{"service_ms":1500}`)
		go e.Do(context.Background(), busy)
	}
	waitForQueue(t, e, r.VM().Slots)
	w := newWork(t, "unlock", structs.Request, 1)
	done := make(chan structs.Outcome, 1)
	go func() { done <- e.Do(context.Background(), w) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.tracked(w.Key) != nil {
			return poll.Success()
		}
		return poll.Continue("not queued")
	})

	o, err := other.Cancel(context.Background(), w.Key)

	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.Cancelled)
	assert.Equal(t, (<-done).Verdict, verdict.NotRun)
	for id := range r.Starts() {
		assert.Assert(t, id.Key != w.Key, "cancelled work was started")
	}
}

func TestExpiredLeasePreventsStart(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	c.leaseErr = verdict.New(verdict.NotRun, verdict.LeaseLapsed, "lapsed")
	r := startTarget(t, platform.RoleRunner, "r1")
	e := n.startEngine(t, "e1", "a", c)
	e.SetTargets([]platform.VM{r.VM()}, nil)

	o := e.Do(context.Background(), newWork(t, "unlock", structs.Request, 1))

	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.LeaseLapsed)
	assert.Equal(t, len(r.Starts()), 0)
}

func TestNonMemberAndDrainingEntriesForwardWork(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	e1 := n.startEngine(t, "e1", "a", c)
	e1.SetTargets([]platform.VM{r.VM()}, nil)
	joining, stopping := n.startEngine(t, "e2", "a", c), n.startEngine(t, "e3", "a", c)
	n.mu.Lock()
	n.notMembers["e2"] = true
	n.mu.Unlock()
	assert.NilError(t, stopping.Drain(context.Background()))

	for _, e := range []*Engine{joining, stopping} {
		o := e.Do(context.Background(), newWork(t, "unlock", structs.Request, 1))
		assert.Equal(t, o.Verdict, verdict.Completed, o.Message)
	}
	assert.Equal(t, len(r.Starts()), 2)
}

func TestDrainingEntryReturnsOffloadedTasks(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	stopping := n.startEngine(t, "e1", "a", c)
	stopping.SetTargets([]platform.VM{r.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	waitForLoad(t, e, "e1")
	stopping.inFlight.close() // before it has sent a load report about it

	o := e.Do(context.Background(), newWork(t, "unlock", structs.Request, 1))

	assert.Equal(t, o.Verdict, verdict.NotRun, o.Message)
	assert.Equal(t, len(r.Starts()), 0)
}

// TestUnlistedDataCentre checks that an unlisted data centre gives not_run only
// after the list was watched without a gap for longer than the lifetime of a
// key.
func TestUnlistedDataCentre(t *testing.T) {
	n := newFakeNet()
	e := n.startEngine(t, "a1", "a", newFakeClaims())
	for watched, want := range map[time.Duration]verdict.Verdict{
		0:                           verdict.MayHaveRun,
		DefaultKeyTTL:               verdict.MayHaveRun,
		DefaultKeyTTL + time.Second: verdict.NotRun,
	} {
		n.dcListWatchedFor = watched
		w := newWork(t, "unlock", structs.Request, 1)
		w.Key.DC = "z"
		o := e.Do(t.Context(), w)
		assert.Equal(t, o.Reason, verdict.UnknownDC)
		assert.Equal(t, o.Verdict, want, "watched for %v", watched)
	}
}
