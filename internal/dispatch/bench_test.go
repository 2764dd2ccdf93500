package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// countingPool counts the calls to targets. Each call is a request and an
// answer.
type countingPool struct {
	*target.Pool
	calls atomic.Int64
}

func (c *countingPool) Run(ctx context.Context, addr string, s target.Start) (target.Answer, error) {
	c.calls.Add(1)
	return c.Pool.Run(ctx, addr, s)
}

func (c *countingPool) Lookup(ctx context.Context, addr string, k key.Key, task int, mode target.LookupMode, wait time.Duration) (target.Status, error) {
	c.calls.Add(1)
	return c.Pool.Lookup(ctx, addr, k, task, mode, wait)
}

const benchBody = `{"service_ms": 0.001}`

// benchmarkDo runs tasks one after the other. The stand-in target and the
// dispatcher share the process.
func benchmarkDo(b *testing.B, faults taskserver.Faults, want verdict.Reason) {
	r, err := runner.New(taskserver.Config{})
	assert.NilError(b, err)
	defer r.Close()
	r.SetFaults(faults)
	c := &countingPool{Pool: target.NewPool(target.PoolConfig{})}
	defer c.Close()
	d := New(Config{Targets: c})
	k, err := key.New("rennes")
	assert.NilError(b, err)
	t := Task{
		Start:    target.Start{Key: k, Kind: "unlock", Body: []byte(benchBody)},
		First:    Reservation{Addr: r.Addr(), Release: func() {}},
		MayStart: func() (time.Time, error) { return time.Now().Add(time.Minute), nil },
	}
	b.ReportAllocs()
	for b.Loop() {
		t.Start.Task = (t.Start.Task + 1) % 670
		_, err := d.Do(b.Context(), t)
		if want == "" && err != nil || want != "" && verdict.FromError(err).Reason != want {
			b.Fatal(err)
		}
	}
	b.ReportMetric(2*float64(c.calls.Load())/float64(b.N), "messages/op")
}

func BenchmarkDispatch(b *testing.B) { benchmarkDo(b, taskserver.Faults{}, "") }

func BenchmarkDispatchRefusedByTarget(b *testing.B) {
	benchmarkDo(b, taskserver.Faults{Leaving: true}, verdict.TargetLeaving)
}

// BenchmarkPlainPost sends the same request with net/http alone, as the lower
// bound.
func BenchmarkPlainPost(b *testing.B) {
	r, err := runner.New(taskserver.Config{})
	assert.NilError(b, err)
	defer r.Close()
	k, err := key.New("rennes")
	assert.NilError(b, err)
	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://"+r.Addr()+target.PathTasks, bytes.NewReader([]byte(benchBody)))
		assert.NilError(b, err)
		req.Header.Set(target.HeaderKey, k.String())
		req.Header.Set(target.HeaderTask, "0")
		resp, err := tr.RoundTrip(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkLeaseLapsed measures a task that is rejected before anything is
// sent.
func BenchmarkLeaseLapsed(b *testing.B) {
	m := &model{targets: map[string]*modelTarget{}, starts: map[int]int{}}
	d := New(Config{Targets: m})
	t := Task{
		First: Reservation{Addr: "target", Release: func() {}},
		MayStart: func() (time.Time, error) {
			return time.Time{}, verdict.New(verdict.NotRun, verdict.LeaseLapsed, "lapsed")
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Do(b.Context(), t); err == nil {
			b.Fatal("no error")
		}
	}
}
