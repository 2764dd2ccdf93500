package taskserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/structs"
)

var start = time.Unix(1_700_000_000, 0)

func after(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func task(cores int64, service time.Duration) *record {
	return &record{service: service, needs: structs.Resources{MilliCPU: cores * 1000}, over: make(chan struct{})}
}

func TestOverloadSlowsAllTasksInProportion(t *testing.T) {
	x := executor{size: structs.Resources{MilliCPU: 4000}}
	a, b := task(4, 2*time.Second), task(4, 2*time.Second)

	x.start(a, after(0))
	x.start(b, after(1))

	// From 1 s on each gets half: a's last second of work takes 2 s.
	assert.Assert(t, x.finished(after(2.9)) == nil)
	assert.Assert(t, x.finished(after(3.01)) == a)
	assert.Assert(t, x.finished(after(3.9)) == nil)
	assert.Assert(t, x.finished(after(4.02)) == b)
	assert.Equal(t, x.used, structs.Resources{})
}

func TestThrottleAndStraggleStretchTheRest(t *testing.T) {
	x := executor{size: structs.Resources{MilliCPU: 4000}}
	a := task(1, 2*time.Second)
	x.start(a, after(0))

	assert.Equal(t, x.progress(a, after(1)), 0.5)
	x.throttle(a, 2, after(1))
	assert.Assert(t, x.finished(after(2.9)) == nil)
	x.straggle = 10
	assert.Assert(t, x.finished(after(3.5)) == nil)
	assert.Assert(t, x.finished(after(4)) == a)
}

func TestUsageReportLags(t *testing.T) {
	s := &Server{cfg: Config{UsageLag: 2 * time.Second}}
	now := after(10)
	early, late := task(1, time.Minute), task(2, time.Minute)
	ended := task(4, time.Second)
	s.exec.start(early, after(1))
	s.exec.start(late, after(9))
	ended.started, ended.ended = after(7), after(8.5)
	s.recent = []*record{ended}

	u := s.usage(now)

	// 2 s ago the early one and the one that has ended since were running.
	assert.Equal(t, len(u.Tasks), 2)
	assert.Equal(t, u.Used.MilliCPU, int64(5000))
}
