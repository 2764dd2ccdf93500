package engine

import (
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/estimate"
	"currantstall/internal/manifest"
	"currantstall/internal/placement"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// reservation is the share of a target that one task holds.
type reservation struct {
	name  string
	addr  string
	rack  string
	needs structs.Resources
}

// targetPool holds the targets of one class that this entry owns. It is guarded
// by the lock of its scheduler.
type targetPool struct {
	class        structs.Class
	index        *placement.Index
	owned        map[string]platform.VM // by name
	workerSizes  []structs.Resources    // of all workers of the data centre
	learnedSizes map[string]*estimate.Size
	typicalNeeds structs.Resources // average needs of a task, for counting free slots
}

// typicalNeedsWeight is the weight of a new task in typicalNeeds, a moving
// average.
const typicalNeedsWeight = 1.0 / 64

func newTargetPool(class structs.Class, policy admission.Policy, seed uint64) *targetPool {
	return &targetPool{
		class:        class,
		index:        placement.NewIndex(placementPolicy(policy), seed),
		owned:        make(map[string]platform.VM),
		learnedSizes: make(map[string]*estimate.Size),
	}
}

// placementPolicy returns the placement policy that goes with an admission
// policy.
func placementPolicy(p admission.Policy) placement.Policy {
	switch p {
	case admission.FIFO:
		return placement.Random
	case admission.TakeTurns:
		return placement.RoundRobin
	}
	return placement.LeastLoaded
}

// setOwned replaces the owned targets.
func (p *targetPool) setOwned(vms []platform.VM) {
	next := make(map[string]platform.VM, len(vms))
	for _, vm := range vms {
		next[vm.Name] = vm
		if old, ok := p.owned[vm.Name]; ok && old == vm {
			continue
		}
		p.index.Add(placement.Target{Name: vm.Name, Rack: vm.Rack, Slots: vm.Slots, Size: vm.Size})
	}
	for name := range p.owned {
		if _, ok := next[name]; !ok {
			p.index.Remove(name)
		}
	}
	p.owned = next
}

// capacity returns how many tasks of typical needs the owned targets can run at
// a time.
func (p *targetPool) capacity() float64 { return float64(p.index.TotalSlots(p.typicalNeeds)) }

// needs returns the resources to reserve for a task of the kind: those learned
// from earlier tasks, or the declared ones. Requests reserve a slot only.
func (p *targetPool) needs(kind string, declared structs.Resources) structs.Resources {
	if p.class == structs.Request {
		return structs.Resources{}
	}
	if s := p.learnedSizes[kind]; s != nil {
		return s.Needs(declared)
	}
	return declared
}

// observeUsage updates the learned needs of the kind with the usage of one
// task.
func (p *targetPool) observeUsage(kind string, used structs.Resources) {
	if p.class == structs.Request || used == (structs.Resources{}) {
		return
	}
	s := p.learnedSizes[kind]
	if s == nil {
		s = &estimate.Size{}
		p.learnedSizes[kind] = s
	}
	s.Observe(used)
}

// neverFits returns an error if no worker of the data centre is large enough
// for the task.
func (p *targetPool) neverFits(needs structs.Resources) *verdict.Error {
	if p.class == structs.Request {
		return nil
	}
	return placement.NeverFits(p.workerSizes, needs)
}

// reserve reserves room for a task on a target. It returns false if no target
// has room.
func (p *targetPool) reserve(now time.Time, t *task) (reservation, bool) {
	needs := p.needs(t.Kind, t.Needs)
	selected, ok := p.index.Select(needs, t.spread)
	if !ok {
		return reservation{}, false
	}
	p.index.Acquire(now, selected.Name, needs)
	p.updateTypicalNeeds(needs)
	if t.spread != nil {
		t.spread.Add(selected.Rack, 1)
	}
	return reservation{name: selected.Name, addr: p.owned[selected.Name].Addr, rack: selected.Rack, needs: needs}, true
}

// release frees the reservation of a task.
func (p *targetPool) release(now time.Time, t *task, at reservation) {
	p.index.Release(now, at.name, at.needs)
	if t.spread != nil {
		t.spread.Add(at.rack, -1)
	}
}

// initTypicalNeeds sets typicalNeeds to the declared needs of the first kind
// until tasks start.
func (p *targetPool) initTypicalNeeds(kinds []manifest.Kind) {
	if p.typicalNeeds == (structs.Resources{}) && len(kinds) > 0 {
		p.typicalNeeds = kinds[0].Needs
	}
}

// updateTypicalNeeds moves typicalNeeds towards the needs of a task that
// starts.
func (p *targetPool) updateTypicalNeeds(needs structs.Resources) {
	if p.typicalNeeds == (structs.Resources{}) {
		p.typicalNeeds = needs
		return
	}
	p.typicalNeeds = structs.Resources{
		MilliCPU:     stepTowards(p.typicalNeeds.MilliCPU, needs.MilliCPU),
		MemoryMB:     stepTowards(p.typicalNeeds.MemoryMB, needs.MemoryMB),
		Accelerators: stepTowards(p.typicalNeeds.Accelerators, needs.Accelerators),
	}
}

// stepTowards moves old towards next by typicalNeedsWeight of the difference,
// but at least by one.
func stepTowards(old, next int64) int64 {
	step := float64(next-old) * typicalNeedsWeight
	switch {
	case next > old:
		return old + int64(max(step, 1))
	case next < old:
		return old + int64(min(step, -1))
	}
	return old
}
