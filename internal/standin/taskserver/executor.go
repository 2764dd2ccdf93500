package taskserver

import (
	"container/heap"
	"time"

	"currantstall/internal/structs"
)

// executor runs tasks in simulated time: a task is an amount of work in
// seconds, and all running tasks proceed at the same rate. It is not safe for
// concurrent use; Server.mu guards it.
type executor struct {
	slots    int               // tasks that run at the same time, 0 for no limit
	size     structs.Resources // a resource with size 0 never slows tasks down
	slowdown float64           // factor by which all tasks are slowed down

	used          structs.Resources
	workDone      float64 // by a task that has run all the time, s
	lastAdvance   time.Time
	tasks         taskHeap
	queue         []*record
	queueCapacity int // maximum length of queue
}

// rate returns the work that each task does per second. It falls below 1 when
// the tasks use more than the target has.
func (x *executor) rate() float64 {
	overload := max(
		usageRatio(x.used.MilliCPU, x.size.MilliCPU),
		usageRatio(x.used.MemoryMB, x.size.MemoryMB),
		usageRatio(x.used.Accelerators, x.size.Accelerators),
		1)
	return 1 / (overload * max(x.slowdown, 1))
}

func usageRatio(used, size int64) float64 {
	if size <= 0 {
		return 0
	}
	return float64(used) / float64(size)
}

// advance brings workDone up to now. It must precede each change of the rate.
func (x *executor) advance(now time.Time) {
	if !x.lastAdvance.IsZero() {
		x.workDone += now.Sub(x.lastAdvance).Seconds() * x.rate()
	}
	x.lastAdvance = now
}

// hasFreeSlot reports whether another task can start.
func (x *executor) hasFreeSlot() bool { return x.slots == 0 || len(x.tasks) < x.slots }

// start starts a task.
func (x *executor) start(r *record, now time.Time) {
	x.advance(now)
	r.state, r.started = running, now
	r.finishWork = x.workDone + r.serviceTime.Seconds()
	x.used = x.used.Plus(r.needs)
	heap.Push(&x.tasks, r)
}

// remove removes a running task.
func (x *executor) remove(r *record, now time.Time) {
	x.advance(now)
	heap.Remove(&x.tasks, r.heapIndex)
	x.used = x.used.Minus(r.needs)
}

// popFinished removes and returns a task whose work is done, or returns nil if
// there is none.
func (x *executor) popFinished(now time.Time) *record {
	x.advance(now)
	if len(x.tasks) == 0 || x.tasks[0].finishWork > x.workDone {
		return nil
	}
	r := x.tasks[0]
	x.remove(r, now)
	return r
}

// timeToFirstFinish returns the time until the first task finishes, and false
// if none runs.
func (x *executor) timeToFirstFinish() (time.Duration, bool) {
	if len(x.tasks) == 0 {
		return 0, false
	}
	remaining := (x.tasks[0].finishWork - x.workDone) / x.rate()
	return max(time.Duration(remaining*float64(time.Second)), 0) + time.Microsecond, true
}

// progress returns the fraction of a running task's work that is done, 0 to 1.
func (x *executor) progress(r *record, now time.Time) float64 {
	x.advance(now)
	if r.serviceTime <= 0 {
		return 1
	}
	return 1 - (r.finishWork-x.workDone)/r.serviceTime.Seconds()
}

// throttle makes the remaining work of a running task take factor times as
// long.
func (x *executor) throttle(r *record, factor float64, now time.Time) {
	x.advance(now)
	r.finishWork = x.workDone + (r.finishWork-x.workDone)*factor
	heap.Fix(&x.tasks, r.heapIndex)
}

// removeQueued removes a task from the queue.
func (x *executor) removeQueued(r *record) {
	for i, q := range x.queue {
		if q == r {
			x.queue = append(x.queue[:i], x.queue[i+1:]...)
			return
		}
	}
}

// taskHeap orders running tasks by finishWork.
type taskHeap []*record

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].finishWork < h[j].finishWork }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(v any) {
	r := v.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
