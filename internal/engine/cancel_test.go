package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/internal/dispatch"
	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/structs"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// slowStopTargets are targets at which each stop waits for others first, which takes
// several tries.
type slowStopTargets struct {
	*target.Pool
	stoppableAt time.Time
}

func (s slowStopTargets) Lookup(ctx context.Context, addr string, k key.Key, task int, mode target.LookupMode, wait time.Duration) (target.Status, error) {
	if mode == target.LookupStop && sleep.For(ctx, time.Until(s.stoppableAt)) != nil {
		return target.Status{}, ctx.Err()
	}
	return s.Pool.Lookup(ctx, addr, k, task, mode, wait)
}

// A cancel at another entry than the coordinator was told that no entry responded while
// the tasks were being stopped.
func TestCancelAtAnotherEntryAwaitsSlowStops(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	pool := target.NewPool(target.PoolConfig{})
	t.Cleanup(pool.Close)
	coordinator := n.newEngine(t, "e1", "a", c)
	coordinator.Dispatch = dispatch.New(dispatch.Config{Targets: slowStopTargets{pool, time.Now().Add(2500 * time.Millisecond)}})
	runEngine(t, coordinator)
	other := n.startEngine(t, "e2", "a", c)
	coordinator.SetTargets([]platform.VM{r.VM()}, nil)
	w := newWork(t, "unlock", structs.Request, 1)
	w.Tasks[0] = []byte(`{"service_ms":60000}`)
	done := make(chan structs.Outcome, 1)
	go func() { done <- coordinator.Do(context.Background(), w) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Running() == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	})

	o, err := other.Cancel(context.Background(), w.Key)

	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.Failed, "%s: %s", o.Reason, o.Message)
	assert.Equal(t, r.Running(), 0)
	assert.Equal(t, (<-done).Verdict, verdict.Failed)
}

// startLongRequest starts a request that runs for a minute at an entry, and returns its key.
func startLongRequest(t *testing.T, e *Engine, r *taskserver.Server) key.Key {
	t.Helper()
	w := newWork(t, "unlock", structs.Request, 1)
	w.Tasks[0] = []byte(`{"service_ms":60000}`)
	go e.Do(context.Background(), w)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Running() == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	})
	return w.Key
}

// A cancel at an entry whose link to the coordinator was down for a moment was given up
// at once, and the work ran on.
func TestCancelAwaitsLinkToCoordinator(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	coordinator, other := n.startEngine(t, "e1", "a", c), n.startEngine(t, "e2", "a", c)
	coordinator.SetTargets([]platform.VM{r.VM()}, nil)
	k := startLongRequest(t, coordinator, r)
	n.setCut("e1", true)
	time.AfterFunc(300*time.Millisecond, func() { n.setCut("e1", false) })

	o, err := other.Cancel(context.Background(), k)

	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.Failed, "%s: %s", o.Reason, o.Message)
	assert.Equal(t, r.Running(), 0)
}

// The link broke after the coordinator had read a cancel. Its response was kept until the
// link was up again, and nobody waited for it then.
func TestCancelAwaitsResponseAcrossLinkLoss(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	pool := target.NewPool(target.PoolConfig{})
	t.Cleanup(pool.Close)
	coordinator := n.newEngine(t, "e1", "a", c)
	coordinator.Dispatch = dispatch.New(dispatch.Config{Targets: slowStopTargets{pool, time.Now().Add(time.Second)}})
	runEngine(t, coordinator)
	other := n.startEngine(t, "e2", "a", c)
	coordinator.LinkUp("e2", 1)
	other.LinkUp("e1", 1)
	coordinator.SetTargets([]platform.VM{r.VM()}, nil)
	k := startLongRequest(t, coordinator, r)
	time.AfterFunc(300*time.Millisecond, func() {
		n.setCut("e1", true)
		other.LinkDown("e1")
		coordinator.LinkDown("e2")
	})
	time.AfterFunc(1500*time.Millisecond, func() {
		n.setCut("e1", false)
		other.LinkUp("e1", 1)
		coordinator.LinkUp("e2", 1)
	})

	o, err := other.Cancel(context.Background(), k)

	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.Failed, "%s: %s", o.Reason, o.Message)
	assert.Equal(t, r.Running(), 0)
}

// A lost entry does not hold up a cancel until the end of its time.
func TestCancelDoesNotAwaitLostEntry(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	coordinator, other := n.startEngine(t, "e1", "a", c), n.startEngine(t, "e2", "a", c)
	lost := n.newEngine(t, "e3", "a", c)
	lost.Links = silentLinks{&fakeLinks{net: n, self: "e3"}}
	coordinator.SetTargets([]platform.VM{r.VM()}, nil)
	k := startLongRequest(t, coordinator, r)
	began := time.Now()

	o, err := other.Cancel(context.Background(), k)

	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.Failed, "%s: %s", o.Reason, o.Message)
	assert.Assert(t, time.Since(began) < dispatch.StopTimeout, "took %v", time.Since(began))
}

// silentLinks are links that lose all messages.
type silentLinks struct{ *fakeLinks }

func (silentLinks) Send(string, ...wire.Message) error { return nil }
