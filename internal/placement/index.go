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
	// LeastLoaded takes the better of two targets of the least load; large
	// tasks go to the fullest worker that holds them.
	LeastLoaded Policy = iota
	// Random takes any target, whether it has room or not.
	Random
	// RoundRobin takes the next target, whether it has room or not.
	RoundRobin
)

// targetRecord is the index's record of a target.
type targetRecord struct {
	Target
	health     Health
	running    int
	used       structs.Resources // accounted to running tasks
	foreign    Usage             // of tasks that another owner started
	slowness   float64           // learned slowness, 1 is usual
	level      int               // the pool's list that it is in, -1 for none
	levelIndex int               // in that list
	allIndex   int               // in Index.all
	history    usageHistory
}

// Index holds the targets of one class that an entry owns, by load, so that a
// choice costs the same for ten targets as for thousands.
type Index struct {
	policy         Policy
	rng            *rand.Rand
	byName         map[string]*targetRecord
	all            []*targetRecord
	plain          levelSet // targets without accelerators
	accel          levelSet // workers with accelerators, kept for tasks that need them
	lastRoundRobin int
}

// NewIndex returns an empty index. The seed decides among equal targets.
func NewIndex(policy Policy, seed uint64) *Index {
	return &Index{policy: policy, rng: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*targetRecord{}}
}

// Add adds a target, or replaces its size and rack and keeps its accounts.
func (x *Index) Add(t Target) {
	if p := x.byName[t.Name]; p != nil {
		x.removeFromLevel(p)
		p.Target = t
		x.addToLevel(p)
		return
	}
	p := &targetRecord{Target: t, level: -1, allIndex: len(x.all), slowness: 1}
	x.byName[t.Name] = p
	x.all = append(x.all, p)
	x.addToLevel(p)
}

// Remove drops a target and its accounts.
func (x *Index) Remove(name string) {
	p := x.byName[name]
	if p == nil {
		return
	}
	x.removeFromLevel(p)
	last := x.all[len(x.all)-1]
	x.all[p.allIndex], last.allIndex = last, p.allIndex
	x.all = x.all[:len(x.all)-1]
	delete(x.byName, name)
}

// Len returns the number of targets.
func (x *Index) Len() int { return len(x.all) }

// SetHealth sets what a target may get. An unknown name changes nothing.
func (x *Index) SetHealth(name string, h Health) {
	x.update(name, func(p *targetRecord) { p.health = h })
}

// SetSlowness sets how slow a target is against the others of its class, where 1
// is usual. Of two targets with equal load the one with the lower score wins.
func (x *Index) SetSlowness(name string, slowness float64) {
	if p := x.byName[name]; p != nil {
		p.slowness = slowness
	}
}

// Acquire accounts a started task to a target.
func (x *Index) Acquire(now time.Time, name string, needs structs.Resources) {
	x.update(name, func(p *targetRecord) {
		p.running++
		p.used = p.used.Plus(needs)
		p.history.record(now, Usage{p.running, p.used})
	})
}

// Release ends the account of a task that Take began with the same needs.
func (x *Index) Release(now time.Time, name string, needs structs.Resources) {
	x.update(name, func(p *targetRecord) {
		if p.running == 0 {
			return // the target was removed and added meanwhile
		}
		p.history.record(now, Usage{p.running, p.used})
		p.running--
		p.used = p.used.Minus(needs)
	})
}

// ReportUsage tells what a target itself says that it runs, as of at. What this
// entry does not know of is taken off the target's room.
func (x *Index) ReportUsage(name string, at time.Time, reported Usage) {
	x.update(name, func(p *targetRecord) {
		ownPeak := p.history.peakSince(at, Usage{p.running, p.used})
		p.foreign = ForeignUsage(ownPeak, reported)
	})
}

// update applies f to a target and lists it anew.
func (x *Index) update(name string, f func(*targetRecord)) {
	p := x.byName[name]
	if p == nil {
		return
	}
	x.removeFromLevel(p)
	f(p)
	x.addToLevel(p)
}

// TotalSlots returns the tasks that the targets can run at one time: the slots of
// runners, or, of workers, as many tasks of the given needs as fit when empty.
// What another owner runs there is taken off. It looks at each target.
func (x *Index) TotalSlots(needs structs.Resources) int {
	sum := 0
	for _, p := range x.all {
		sum += p.totalSlots(needs)
	}
	return sum
}

func (p *targetRecord) totalSlots(needs structs.Resources) int {
	switch p.health {
	case Ejected, Leaving:
		// What still runs there is counted as running by admission.
		return p.running
	case OnTrial:
		return 1
	}
	if p.IsRunner() {
		return max(0, p.Slots-p.foreign.Running)
	}
	return FitCount(p.Size.Minus(p.foreign.Used), needs)
}

// FitCount returns how many tasks of these needs fit in size, 0 if none or if
// needs is zero in every resource.
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
