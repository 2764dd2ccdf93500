package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/sleep"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// slowStops is a target whose tasks run until they are stopped. It takes few stops
// at a time, and each takes a while.
type slowStops struct {
	slots chan struct{}
	took  time.Duration

	mu      sync.Mutex
	running map[int]bool
}

func (s *slowStops) Run(ctx context.Context, _ string, start target.Start) (target.Answer, error) {
	s.mu.Lock()
	s.running[start.Task] = true
	s.mu.Unlock()
	<-ctx.Done()
	return target.Answer{}, verdict.New(verdict.MayHaveRun, verdict.Cancelled, "request to the target cancelled")
}

func (s *slowStops) Incarnation(context.Context, string) (string, error) { return "1", nil }

func (s *slowStops) Lookup(ctx context.Context, _ string, _ key.Key, task int, mode target.LookupMode, _ time.Duration) (target.Status, error) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
	if err := sleep.For(ctx, s.took); err != nil {
		return target.Status{}, err
	}
	if mode == target.LookupStop {
		s.mu.Lock()
		delete(s.running, task)
		s.mu.Unlock()
	}
	return target.Status{State: target.TaskDone, Incarnation: "1", Err: verdict.New(verdict.Failed, verdict.Cancelled, "stopped")}, nil
}

func (s *slowStops) CloseIdle(string) {}

// The last stops of a wave wait for those before them. Their tasks run on for good
// if they are given up.
func TestStopsThatWaitForOthersAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 16
		s := &slowStops{slots: make(chan struct{}, 2), took: 250 * time.Millisecond, running: make(map[int]bool)}
		d := New(Config{Targets: s})
		k, err := key.New("rennes")
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		errs := make([]error, tasks)
		var wg sync.WaitGroup
		for i := range tasks {
			wg.Go(func() {
				_, errs[i] = d.Do(ctx, Task{
					Start:       target.Start{Key: k, Task: i},
					First:       Reservation{Addr: "target-0", Release: func() {}},
					SilentAfter: time.Hour,
				})
			})
		}
		synctest.Wait()

		cancel()
		wg.Wait()
		d.Close()

		assert.Equal(t, len(s.running), 0, "tasks run on after the cancel")
		for _, err := range errs {
			assert.Check(t, verdict.FromError(err).Verdict == verdict.Failed, "%v", err)
		}
	})
}
