package taskserver

import (
	"container/heap"
	"time"

	"currantstall/internal/structs"
)

// executor runs tasks in simulated time: a task is an amount of work in
// seconds, and all running tasks proceed at one rate. It is not safe for
// concurrent use; the server's lock guards it.
type executor struct {
	slots    int               // tasks at one time, 0 for no limit
	size     structs.Resources // zero parts don't slow anything down
	straggle float64           // slows all tasks down by this factor

	used  structs.Resources
	work  float64 // done for each task that runs all along, s
	last  time.Time
	tasks taskHeap
	queue []*record
	room  int // length of the queue
}

// rate returns the work done in a second. It falls below 1 when more is used
// than there is.
func (x *executor) rate() float64 {
	over := max(
		ratio(x.used.MilliCPU, x.size.MilliCPU),
		ratio(x.used.MemoryMB, x.size.MemoryMB),
		ratio(x.used.Accelerators, x.size.Accelerators),
		1)
	return 1 / (over * max(x.straggle, 1))
}

func ratio(used, size int64) float64 {
	if size <= 0 {
		return 0
	}
	return float64(used) / float64(size)
}

// advance brings the work up to now. It precedes each change of the rate.
func (x *executor) advance(now time.Time) {
	if !x.last.IsZero() {
		x.work += now.Sub(x.last).Seconds() * x.rate()
	}
	x.last = now
}

// free reports whether a task can run now.
func (x *executor) free() bool { return x.slots == 0 || len(x.tasks) < x.slots }

// start lets a task run from now on.
func (x *executor) start(r *record, now time.Time) {
	x.advance(now)
	r.state, r.started = running, now
	r.finish = x.work + r.service.Seconds()
	x.used = x.used.Plus(r.needs)
	heap.Push(&x.tasks, r)
}

// remove takes a running task out.
func (x *executor) remove(r *record, now time.Time) {
	x.advance(now)
	heap.Remove(&x.tasks, r.index)
	x.used = x.used.Minus(r.needs)
}

// finished takes out a task whose work is done, or returns nil.
func (x *executor) finished(now time.Time) *record {
	x.advance(now)
	if len(x.tasks) == 0 || x.tasks[0].finish > x.work {
		return nil
	}
	r := x.tasks[0]
	x.remove(r, now)
	return r
}

// next returns the time until the first task is done, and false if none runs.
func (x *executor) next() (time.Duration, bool) {
	if len(x.tasks) == 0 {
		return 0, false
	}
	left := (x.tasks[0].finish - x.work) / x.rate()
	return max(time.Duration(left*float64(time.Second)), 0) + time.Microsecond, true
}

// progress returns the part of a running task's work that is done, 0 to 1.
func (x *executor) progress(r *record, now time.Time) float64 {
	x.advance(now)
	if r.service <= 0 {
		return 1
	}
	return 1 - (r.finish-x.work)/r.service.Seconds()
}

// throttle lets the rest of a running task take factor times as long.
func (x *executor) throttle(r *record, factor float64, now time.Time) {
	x.advance(now)
	r.finish = x.work + (r.finish-x.work)*factor
	heap.Fix(&x.tasks, r.index)
}

// unqueue takes a waiting task out.
func (x *executor) unqueue(r *record) {
	for i, q := range x.queue {
		if q == r {
			x.queue = append(x.queue[:i], x.queue[i+1:]...)
			return
		}
	}
}

// taskHeap orders running tasks by their finish.
type taskHeap []*record

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(v any) {
	r := v.(*record)
	r.index = len(*h)
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
