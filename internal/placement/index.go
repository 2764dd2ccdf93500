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

// place is the index's record of a target.
type place struct {
	Target
	health  Health
	running int
	used    structs.Resources // accounted to running tasks
	unknown Usage             // of tasks that another owner started
	score   float64           // learned slowness, 1 is usual
	level   int               // the pool's list that it is in, -1 for none
	pos     int               // in that list
	order   int               // in Index.all
	history history
}

// Index holds the targets of one class that an entry owns, by load, so that a
// choice costs the same for ten targets as for thousands.
type Index struct {
	policy Policy
	rng    *rand.Rand
	byName map[string]*place
	all    []*place
	plain  pool // targets without accelerators
	accel  pool // workers with accelerators, kept for tasks that need them
	turn   int
}

// NewIndex returns an empty index. The seed decides among equal targets.
func NewIndex(policy Policy, seed uint64) *Index {
	return &Index{policy: policy, rng: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*place{}}
}

// Add adds a target, or replaces its size and rack and keeps its accounts.
func (x *Index) Add(t Target) {
	if p := x.byName[t.Name]; p != nil {
		x.unlist(p)
		p.Target = t
		x.list(p)
		return
	}
	p := &place{Target: t, level: -1, order: len(x.all), score: 1}
	x.byName[t.Name] = p
	x.all = append(x.all, p)
	x.list(p)
}

// Remove drops a target and its accounts.
func (x *Index) Remove(name string) {
	p := x.byName[name]
	if p == nil {
		return
	}
	x.unlist(p)
	last := x.all[len(x.all)-1]
	x.all[p.order], last.order = last, p.order
	x.all = x.all[:len(x.all)-1]
	delete(x.byName, name)
}

// Len returns the number of targets.
func (x *Index) Len() int { return len(x.all) }

// SetHealth sets what a target may get. An unknown name changes nothing.
func (x *Index) SetHealth(name string, h Health) {
	x.change(name, func(p *place) { p.health = h })
}

// SetScore sets how slow a target is against the others of its class, where 1
// is usual. Of two targets with equal load the one with the lower score wins.
func (x *Index) SetScore(name string, score float64) {
	if p := x.byName[name]; p != nil {
		p.score = score
	}
}

// Take accounts a started task to a target.
func (x *Index) Take(now time.Time, name string, needs structs.Resources) {
	x.change(name, func(p *place) {
		p.running++
		p.used = p.used.Plus(needs)
		p.history.note(now, Usage{p.running, p.used})
	})
}

// Release ends the account of a task that Take began with the same needs.
func (x *Index) Release(now time.Time, name string, needs structs.Resources) {
	x.change(name, func(p *place) {
		if p.running == 0 {
			return // the target was removed and added meanwhile
		}
		p.history.note(now, Usage{p.running, p.used})
		p.running--
		p.used = p.used.Minus(needs)
	})
}

// Report tells what a target itself says that it runs, as of at. What this
// entry does not know of is taken off the target's room.
func (x *Index) Report(name string, at time.Time, reported Usage) {
	x.change(name, func(p *place) {
		own := p.history.since(at, Usage{p.running, p.used})
		p.unknown = Unknown(own, reported)
	})
}

// change applies f to a target and lists it anew.
func (x *Index) change(name string, f func(*place)) {
	p := x.byName[name]
	if p == nil {
		return
	}
	x.unlist(p)
	f(p)
	x.list(p)
}

// Slots returns the tasks that the targets can run at one time: the slots of
// runners, or, of workers, as many tasks of the given needs as fit when empty.
// What another owner runs there is taken off. It looks at each target.
func (x *Index) Slots(needs structs.Resources) int {
	sum := 0
	for _, p := range x.all {
		sum += p.slots(needs)
	}
	return sum
}

func (p *place) slots(needs structs.Resources) int {
	switch p.health {
	case Ejected, Leaving:
		// What still runs there is counted as running by admission.
		return p.running
	case OnTrial:
		return 1
	}
	if p.IsRunner() {
		return max(0, p.Slots-p.unknown.Running)
	}
	return Copies(p.Size.Minus(p.unknown.Used), needs)
}

// Copies returns how many tasks of these needs fit in size, 0 if none or if
// needs is zero in every resource.
func Copies(size, needs structs.Resources) int {
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
