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
	"currantstall/internal/structs"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
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
