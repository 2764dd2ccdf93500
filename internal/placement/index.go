package placement

import (
	"math/rand/v2"
	"time"

	"currantstall/internal/structs"
)

// Policy selects how a target is chosen.
type Policy uint8

// The policies. Random and RoundRobin are baselines for measurements only.
const (
	// LeastLoaded compares two of the least loaded targets and takes the better
	// one. Large tasks go to the most loaded worker that has room for them.
	LeastLoaded Policy = iota
	// Random takes a random target, whether or not it has room.
	Random
	// RoundRobin takes the next target in order, whether or not it has room.
	RoundRobin
)

// targetRecord is the index's record of a target.
type targetRecord struct {
	Target
	health     Health
	running    int
	used       structs.Resources // resources of the running tasks
	foreign    Usage             // usage by tasks that another owner started
	slowness   float64           // relative to other targets of the class, 1 is average
	level      int               // level of the levelSet that lists the target, -1 if none
	levelIndex int               // position in that level
	allIndex   int               // position in Index.all
	history    usageHistory
}

// Index holds the targets of one class that an entry owns, ordered by load, so
// that selecting a target costs the same for ten targets as for thousands.
type Index struct {
	policy         Policy
	rng            *rand.Rand
	byName         map[string]*targetRecord
	all            []*targetRecord
	plain          levelSet // targets without accelerators
	accel          levelSet // workers with accelerators, preferred for tasks that need them
	lastRoundRobin int
}

// NewIndex returns an empty index. The seed determines the choice between equal
// targets.
func NewIndex(policy Policy, seed uint64) *Index {
	return &Index{policy: policy, rng: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*targetRecord{}}
}

// Add adds a target. If the target is already known, Add replaces its
// description and keeps its health, usage and history.
func (x *Index) Add(t Target) {
	if r := x.byName[t.Name]; r != nil {
		x.removeFromLevel(r)
		r.Target = t
		x.addToLevel(r)
		return
	}
	r := &targetRecord{Target: t, level: -1, allIndex: len(x.all), slowness: 1}
	x.byName[t.Name] = r
	x.all = append(x.all, r)
	x.addToLevel(r)
}

// Remove deletes a target with its usage and history. An unknown name is
// ignored.
func (x *Index) Remove(name string) {
	r := x.byName[name]
	if r == nil {
		return
	}
	x.removeFromLevel(r)
	last := x.all[len(x.all)-1]
	x.all[r.allIndex], last.allIndex = last, r.allIndex
	x.all = x.all[:len(x.all)-1]
	delete(x.byName, name)
}

// Len returns the number of targets.
func (x *Index) Len() int { return len(x.all) }

// SetHealth sets the health of a target. An unknown name is ignored.
func (x *Index) SetHealth(name string, h Health) {
	x.update(name, func(r *targetRecord) { r.health = h })
}

// SetSlowness sets the slowness of a target relative to the other targets of
// its class, where 1 is average. Of two targets with equal load, the one with
// the lower slowness is selected.
func (x *Index) SetSlowness(name string, slowness float64) {
	if r := x.byName[name]; r != nil {
		r.slowness = slowness
	}
}

// Acquire allocates room on a target to a task that is about to start.
func (x *Index) Acquire(now time.Time, name string, needs structs.Resources) {
	x.update(name, func(r *targetRecord) {
		r.running++
		r.used = r.used.Plus(needs)
		r.history.record(now, Usage{r.running, r.used})
	})
}

// Release frees the room that Acquire allocated with the same needs.
func (x *Index) Release(now time.Time, name string, needs structs.Resources) {
	x.update(name, func(r *targetRecord) {
		if r.running == 0 {
			return // the target was removed and added again since Acquire
		}
		r.history.record(now, Usage{r.running, r.used})
		r.running--
		r.used = r.used.Minus(needs)
	})
}

// ReportUsage processes the usage that a target reported for the time at. Usage
// beyond what this entry started there is subtracted from the target's room.
func (x *Index) ReportUsage(name string, at time.Time, reported Usage) {
	x.update(name, func(r *targetRecord) {
		ownPeak := r.history.peakSince(at, Usage{r.running, r.used})
		r.foreign = ForeignUsage(ownPeak, reported)
	})
}

// update applies f to a target and moves the target to the level of its new
// load.
func (x *Index) update(name string, f func(*targetRecord)) {
	r := x.byName[name]
	if r == nil {
		return
	}
	x.removeFromLevel(r)
	f(r)
	x.addToLevel(r)
}

// TotalSlots returns how many tasks the targets can run at the same time: for
// runners the number of slots, for workers the number of tasks with the given
// needs that fit on an empty worker. Usage by another owner's tasks is
// subtracted. The cost is linear in the number of targets.
func (x *Index) TotalSlots(needs structs.Resources) int {
	sum := 0
	for _, r := range x.all {
		sum += r.totalSlots(needs)
	}
	return sum
}

func (r *targetRecord) totalSlots(needs structs.Resources) int {
	switch r.health {
	case Ejected, Leaving:
		// Admission still counts the running tasks of this target.
		return r.running
	case OnTrial:
		return 1
	}
	if r.IsRunner() {
		return max(0, r.Slots-r.foreign.Running)
	}
	return FitCount(r.Size.Minus(r.foreign.Used), needs)
}

// FitCount returns how many tasks with these needs fit in size. It is 0 if
// needs is zero for every resource.
func FitCount(size, needs structs.Resources) int {
	n := int64(-1)
	for _, r := range [][2]int64{
		{size.MilliCPU, needs.MilliCPU},
		{size.MemoryMB, needs.MemoryMB},
		{size.Accelerators, needs.Accelerators},
	} {
		if r[1] <= 0 {
			continue
		}
		if copies := max(0, r[0]/r[1]); n < 0 || copies < n {
			n = copies
		}
	}
	return int(max(0, n))
}
