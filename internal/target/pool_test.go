package target_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

func newRunner(t *testing.T, vm platform.VM) *taskserver.Server {
	t.Helper()
	vm.Name = "runner-1"
	s, err := runner.New(taskserver.Config{VM: vm, Seed: 1})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newPool(t *testing.T, cfg target.PoolConfig) *target.Pool {
	t.Helper()
	p := target.NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

func newStart(t *testing.T, body string) target.Start {
	t.Helper()
	k, err := key.New("rennes")
	assert.NilError(t, err)
	return target.Start{Key: k, Kind: "unlock", Body: []byte(body)}
}

func withLease(s target.Start) target.Start {
	s.NotAfter = time.Now().Add(time.Minute)
	return s
}

func TestRunReturnsMatchingAnswer(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	s := withLease(newStart(t, `{"service_ms": 1, "answer_bytes": 100000}`))
	s.Task = 3

	a, err := p.Run(t.Context(), r.Addr(), s)

	assert.NilError(t, err)
	var res taskserver.Result
	assert.NilError(t, json.Unmarshal(a.Body, &res))
	assert.Equal(t, res.Key, s.Key)
	assert.Equal(t, res.Task, 3)
	assert.Equal(t, res.Digest, target.Checksum(s.Body))
	assert.Equal(t, len(res.Pad), 100000)
	assert.Assert(t, a.RunTime >= time.Millisecond)
	assert.DeepEqual(t, r.Starts(), map[taskserver.TaskID]int{{Key: s.Key, Task: 3}: 1})
}

func TestRunVerdictPerFault(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  taskserver.Faults
		body    string
		verdict verdict.Verdict
		reason  verdict.Reason
		starts  int
	}{
		{"every task fails", taskserver.Faults{FailAll: true}, "{}", verdict.Failed, verdict.TaskFailed, 1},
		{"fast errors", taskserver.Faults{ErrorFast: true}, "{}", verdict.MayHaveRun, verdict.TargetError, 1},
		{"truncated answer", taskserver.Faults{Truncate: 1}, `{"answer_bytes": 9000}`, verdict.MayHaveRun, verdict.TruncatedAnswer, 1},
		{"target leaving", taskserver.Faults{Leaving: true}, "{}", verdict.NotRun, verdict.TargetLeaving, 0},
		{"late answer", taskserver.Faults{Late: 1, LateMS: 60_000}, "{}", verdict.MayHaveRun, verdict.Timeout, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRunner(t, platform.VM{})
			p := newPool(t, target.PoolConfig{})
			r.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()

			_, err := p.Run(ctx, r.Addr(), newStart(t, c.body))

			e := verdict.FromError(err)
			assert.Equal(t, e.Verdict, c.verdict, "%v", err)
			assert.Equal(t, e.Reason, c.reason, "%v", err)
			assert.Equal(t, len(r.Starts()), c.starts)
		})
	}
}

func TestRunRejectsMismatchedAnswer(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	_, err := p.Run(t.Context(), r.Addr(), newStart(t, `{"service_ms": 1}`))
	assert.NilError(t, err)
	r.SetFaults(taskserver.Faults{Cross: 1})

	_, err = p.Run(t.Context(), r.Addr(), newStart(t, `{"service_ms": 1}`))

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.MayHaveRun)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.MismatchedAnswer)
}

func TestRunToClosedPortIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	p := newPool(t, target.PoolConfig{})

	_, err = p.Run(t.Context(), l.Addr().String(), newStart(t, "{}"))

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.DialFailed)
}

func TestTargetRefusesStartAfterLeaseExpiry(t *testing.T) {
	r := newRunner(t, platform.VM{Slots: 1})
	p := newPool(t, target.PoolConfig{})
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := p.Run(t.Context(), r.Addr(), newStart(t, `{"service_ms": 300}`))
		assert.Check(t, err)
	})
	waitFor(t, func() bool { return r.Running() == 1 })
	s := newStart(t, "{}")
	s.NotAfter = time.Now().Add(100 * time.Millisecond)

	// The start waits for the slot until its lease has expired.
	_, err := p.Run(t.Context(), r.Addr(), s)

	wg.Wait()
	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.LeaseLapsed)
	assert.Equal(t, r.Starts()[taskserver.TaskID{Key: s.Key}], 0)
}

func TestRestartedTargetRefusesLeaseOfFormerIncarnation(t *testing.T) {
	first := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	_, err := p.Run(t.Context(), first.Addr(), withLease(newStart(t, `{"service_ms": 1}`)))
	assert.NilError(t, err)
	first.Kill()
	second, err := runner.New(taskserver.Config{Listen: first.Addr()})
	assert.NilError(t, err)
	t.Cleanup(second.Close)
	p.CloseIdle(first.Addr())
	s := withLease(newStart(t, `{"service_ms": 1}`))

	_, refused := p.Run(t.Context(), first.Addr(), s)
	_, retried := p.Run(t.Context(), first.Addr(), s)

	assert.Equal(t, verdict.FromError(refused).Verdict, verdict.NotRun, "%v", refused)
	assert.NilError(t, retried)
}

func TestConnectionsStayWithinShare(t *testing.T) {
	const share, calls = 6, 40
	r := newRunner(t, platform.VM{Slots: calls, MaxConn: share})
	p := newPool(t, target.PoolConfig{})
	p.SetShare(r.Addr(), share)
	var wg sync.WaitGroup
	for range calls {
		s := withLease(newStart(t, `{"service_ms": 5}`))
		wg.Go(func() {
			_, err := p.Run(t.Context(), r.Addr(), s)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	_, accepted, rejected := r.Conns()
	assert.Equal(t, rejected, 0)
	assert.Assert(t, accepted <= share, "%d connections were accepted", accepted)
	assert.Assert(t, p.Conns(r.Addr()) <= share)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{IdleTimeout: 20 * time.Millisecond})
	_, err := p.Run(t.Context(), r.Addr(), newStart(t, `{"service_ms": 1}`))
	assert.NilError(t, err)
	waitFor(t, func() bool { return p.Conns(r.Addr()) == 0 })
}

func TestFenceBlocksLaterStart(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	s := withLease(newStart(t, "{}"))

	before, err := p.Lookup(t.Context(), r.Addr(), s.Key, s.Task, target.LookupState, 0)
	assert.NilError(t, err)
	fence, err := p.Lookup(t.Context(), r.Addr(), s.Key, s.Task, target.LookupFence, 0)
	assert.NilError(t, err)
	_, refused := p.Run(t.Context(), r.Addr(), s)

	assert.Equal(t, before.State, target.TaskUnknown)
	assert.Equal(t, fence.State, target.TaskFenced)
	incarnation, err := p.Incarnation(t.Context(), r.Addr())
	assert.NilError(t, err)
	assert.Equal(t, fence.Incarnation, incarnation)
	assert.Equal(t, verdict.FromError(refused).Verdict, verdict.NotRun)
	assert.Equal(t, len(r.Starts()), 0)
}

func TestLookupReturnsStoredAnswer(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	s := withLease(newStart(t, `{"service_ms": 30}`))
	r.SetFaults(taskserver.Faults{Truncate: 1})
	_, err := p.Run(t.Context(), r.Addr(), s)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.TruncatedAnswer)
	r.SetFaults(taskserver.Faults{})

	st, err := p.Lookup(t.Context(), r.Addr(), s.Key, s.Task, target.LookupFence, time.Second)

	assert.NilError(t, err)
	assert.Equal(t, st.State, target.TaskDone)
	assert.NilError(t, st.Err)
	var res taskserver.Result
	assert.NilError(t, json.Unmarshal(st.Answer.Body, &res))
	assert.Equal(t, res.Key, s.Key)
	assert.Equal(t, r.Starts()[taskserver.TaskID{Key: s.Key}], 1)
}

func TestLookupStopEndsRunningTask(t *testing.T) {
	r := newRunner(t, platform.VM{})
	p := newPool(t, target.PoolConfig{})
	s := withLease(newStart(t, `{"service_ms": 60000}`))
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := p.Run(t.Context(), r.Addr(), s)
		assert.Check(t, verdict.FromError(err).Verdict == verdict.Failed)
	})
	waitFor(t, func() bool { return r.Running() == 1 })

	st, err := p.Lookup(t.Context(), r.Addr(), s.Key, s.Task, target.LookupStop, 0)

	wg.Wait()
	assert.NilError(t, err)
	assert.Equal(t, st.State, target.TaskDone)
	assert.Equal(t, r.Running(), 0)
}

// waitFor waits until ok returns true, for at least 10 s.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met in time")
}

// Cancels starts at random moments between the dial and the answer. A start that
// is reported as NotRun must not be started, also not later.
func TestCancelledStartIsNotRunOnlyIfNothingSent(t *testing.T) {
	const calls = 600
	r := newRunner(t, platform.VM{Slots: calls, MaxConn: 100})
	p := newPool(t, target.PoolConfig{Share: 20})
	rng := rand.New(rand.NewPCG(5, 5))
	body := `{"service_ms": 0.3, "pad": "` + strings.Repeat("x", 100_000) + `"}`
	starts := make([]target.Start, calls)
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		starts[i] = withLease(newStart(t, body))
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.Int64N(int64(3*time.Millisecond))))
		wg.Go(func() {
			defer cancel()
			_, errs[i] = p.Run(ctx, r.Addr(), starts[i])
		})
		if i%20 == 19 {
			wg.Wait()
		}
	}
	wg.Wait()
	p.CloseIdle(r.Addr())
	waitFor(t, func() bool {
		open, _, _ := r.Conns()
		return open == 0 && r.Running() == 0
	})
	notRun := 0
	for i, err := range errs {
		if err != nil && verdict.FromError(err).Verdict == verdict.NotRun {
			notRun++
			assert.Check(t, r.Starts()[taskserver.TaskID{Key: starts[i].Key}] == 0, "%v", err)
		}
	}
	t.Logf("%d of %d calls NotRun, %d tasks started", notRun, calls, len(r.Starts()))
}
