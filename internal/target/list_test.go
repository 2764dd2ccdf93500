package target_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/target"
	"currantstall/platform/platformd"
)

// A runner registers itself, is found through the VM list, and gets no new tasks
// once the list shows it as leaving. While the list is unavailable the set does not
// change.
func TestSetFollowsPlatformList(t *testing.T) {
	store := platformd.NewStore()
	faults := platformd.DefaultFaults()
	faults.ListLagMS = 50
	store.SetFaults(faults)
	r, err := runner.New(taskserver.Config{
		VM:   platform.VM{Name: "runner-1", DC: "rennes"},
		List: store,
	})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	tracker := target.NewTracker(target.TrackerConfig{})
	set := target.NewSet(target.SetConfig{
		List:         store,
		DC:           "rennes",
		PollInterval: 10 * time.Millisecond,
		Tracker:      tracker,
		Pool:         newPool(t, target.PoolConfig{}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { set.Run(ctx) })
	defer wg.Wait()
	defer cancel()

	waitFor(t, func() bool { return len(set.VMs()) == 1 })
	assert.DeepEqual(t, set.VMs(), []platform.VM{r.VM()})
	assert.Equal(t, tracker.Allowed(r.Addr(), time.Now()), target.Unlimited)

	faults.Down = true
	store.SetFaults(faults)
	set.Poll(ctx)
	set.Poll(ctx)
	set.Poll(ctx)
	assert.Equal(t, tracker.State(r.Addr(), time.Now()), target.Healthy)
	faults.Down = false
	store.SetFaults(faults)

	r.Leave()
	waitFor(t, func() bool { return tracker.State(r.Addr(), time.Now()) == target.Leaving })
	assert.Equal(t, tracker.Allowed(r.Addr(), time.Now()), 0)
}

func TestUsagePollerPollsOwnedTargets(t *testing.T) {
	r := newRunner(t, platform.VM{})
	other := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	var runs sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	s := withLease(newStart(t, `{"service_ms": 60000, "uses": {"milli_cpu": 2000}}`))
	runs.Go(func() { _, _ = p.Run(ctx, r.Addr(), s) })
	reports := make(chan target.Usage, 1)
	poller := target.UsagePoller{
		Pool:     p,
		Interval: 10 * time.Millisecond,
		Owned:    func() []string { return []string{r.Addr()} },
		OnUsage: func(addr string, u target.Usage) {
			assert.Check(t, addr == r.Addr())
			if len(u.Tasks) > 0 {
				select {
				case reports <- u:
				default:
				}
			}
		},
	}
	runs.Go(func() { poller.Run(ctx) })

	u := <-reports
	cancel()
	runs.Wait()

	assert.Equal(t, u.Tasks[0].Key, s.Key)
	assert.Equal(t, u.Used.MilliCPU, int64(2000))
	_, accepted, _ := other.Conns()
	assert.Equal(t, accepted, 0)
}
