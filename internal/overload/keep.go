package overload

import (
	"math"
	"time"
)

// useMemory is the time over which the use of room by a kind is averaged.
const useMemory = 500 * time.Millisecond

// Use is the room that a kind usually takes.
type Use struct {
	mean, perTask float64 // in thousandths of a core
	at            time.Duration
}

// Observe notes the room that the kind's runs take.
func (u *Use) Observe(now time.Duration, milliCPU int64) {
	if u.at > 0 {
		u.mean += (float64(milliCPU) - u.mean) * (1 - math.Exp(-float64(now-u.at)/float64(useMemory)))
	}
	u.at = now
}

// Start notes the start of a task.
func (u *Use) Start(milliCPU int64) {
	if u.perTask == 0 {
		u.perTask = float64(milliCPU)
	}
	u.perTask += (float64(milliCPU) - u.perTask) * taskWeight
}

// taskWeight is the weight of a task in the mean need of the tasks of a kind.
const taskWeight = 0.05

// Lately reports whether the kind has had runs in the last moments.
func (u *Use) Lately() bool { return u.mean > idleUse }

// idleUse is the mean use below which a kind counts as idle, in thousandths of a core.
const idleUse = 100

// held returns how much room is held for the kind while it uses less than its part of the room: what it usually takes and
// does not use at present. Without that, a flood of long tasks takes each room that a kind of short tasks leaves for
// a moment, and the next short tasks wait for a long one to end.
func (u *Use) held(part, used float64) float64 { return max(min(u.mean, part)-used, 0) }

// Taker is a kind whose runs share room with those of other kinds.
type Taker struct {
	Usual   *Use
	Used    float64 // room that its runs take
	Part    float64 // of the room, that it is guaranteed
	RunTime time.Duration
}

// Over reports whether the kind uses its part of the room, so that more is spare room only.
func (t *Taker) Over() bool { return t.Used >= t.Part }

// Held returns how many tasks, and of which size, find room in what kinds above their parts must leave free. Room is
// held for kinds whose tasks are much shorter than those of a kind above its part: these wait less for one of their
// own tasks to end.
func Held(takers []Taker) (tasks int, milliCPU int64) {
	var longest time.Duration
	for i := range takers {
		if takers[i].Over() {
			longest = max(longest, takers[i].RunTime)
		}
	}
	held, perTask := 0.0, 0.0
	for i := range takers {
		t := &takers[i]
		if h := t.Usual.held(t.Part, t.Used); h > 0 && t.RunTime > 0 && t.RunTime*shorter <= longest {
			held += h
			perTask = max(perTask, t.Usual.perTask)
		}
	}
	if held == 0 || perTask == 0 {
		return 0, 0
	}
	return int(held / perTask), int64(perTask)
}

// shorter is how many times shorter the tasks of a kind are for which room is held.
const shorter = 2
