package taskserver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/structs"
)

var testStart = time.Unix(1_700_000_000, 0)

func atSecond(s float64) time.Time { return testStart.Add(time.Duration(s * float64(time.Second))) }

func newTask(cores int64, service time.Duration) *record {
	return &record{serviceTime: service, needs: structs.Resources{MilliCPU: cores * 1000}, settled: make(chan struct{})}
}

func TestOverloadSlowsAllTasksInProportion(t *testing.T) {
	x := executor{size: structs.Resources{MilliCPU: 4000}}
	a, b := newTask(4, 2*time.Second), newTask(4, 2*time.Second)

	x.start(a, atSecond(0))
	x.start(b, atSecond(1))

	// From 1 s on each task runs at half speed: the last second of work of a
	// takes 2 s.
	assert.Assert(t, x.popFinished(atSecond(2.9)) == nil)
	assert.Assert(t, x.popFinished(atSecond(3.01)) == a)
	assert.Assert(t, x.popFinished(atSecond(3.9)) == nil)
	assert.Assert(t, x.popFinished(atSecond(4.02)) == b)
	assert.Equal(t, x.used, structs.Resources{})
}

func TestThrottleAndSlowdownExtendRemainingWork(t *testing.T) {
	x := executor{size: structs.Resources{MilliCPU: 4000}}
	a := newTask(1, 2*time.Second)
	x.start(a, atSecond(0))

	assert.Equal(t, x.progress(a, atSecond(1)), 0.5)
	x.throttle(a, 2, atSecond(1))
	assert.Assert(t, x.popFinished(atSecond(2.9)) == nil)
	x.slowdown = 10
	assert.Assert(t, x.popFinished(atSecond(3.5)) == nil)
	assert.Assert(t, x.popFinished(atSecond(4)) == a)
}

func TestUsageReportLags(t *testing.T) {
	s := &Server{cfg: Config{UsageLag: 2 * time.Second}}
	now := atSecond(10)
	early, late := newTask(1, time.Minute), newTask(2, time.Minute)
	ended := newTask(4, time.Second)
	s.exec.start(early, atSecond(1))
	s.exec.start(late, atSecond(9))
	ended.started, ended.ended = atSecond(7), atSecond(8.5)
	s.recentlyEnded = []*record{ended}

	u := s.usage(now)

	// 2 s ago the early task and the one that has ended since were running.
	assert.Equal(t, len(u.Tasks), 2)
	assert.Equal(t, u.Used.MilliCPU, int64(5000))
}
