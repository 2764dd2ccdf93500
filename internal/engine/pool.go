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

// reservation is the part of a target that one task holds.
type reservation struct {
	name  string
	addr  string
	rack  string
	needs structs.Resources
}

// targetPool holds the targets of one class that this entry owns. The scheduler's
// lock guards it.
type targetPool struct {
	class        structs.Class
	index        *placement.Index
	owned        map[string]platform.VM // by name
	workerSizes  []structs.Resources    // of all workers of the data centre
	learnedSizes map[string]*estimate.Size
	typicalNeeds structs.Resources // needs of a usual task, for counting room
}

// typicalNeedsWeight is the weight of one more task in the usual needs.
const typicalNeedsWeight = 1.0 / 64

func newTargetPool(class structs.Class, policy admission.Policy, seed uint64) *targetPool {
	return &targetPool{
		class:        class,
		index:        placement.NewIndex(placementPolicy(policy), seed),
		owned:        make(map[string]platform.VM),
		learnedSizes: make(map[string]*estimate.Size),
	}
}

// placementPolicy returns the choice of targets that goes with a policy.
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

// capacity returns how many usual tasks the owned targets run at one time.
func (p *targetPool) capacity() float64 { return float64(p.index.TotalSlots(p.typicalNeeds)) }

// needs returns what a task of the kind is accounted at.
func (p *targetPool) needs(kind string, declared structs.Resources) structs.Resources {
	if p.class == structs.Request {
		return structs.Resources{}
	}
	if s := p.learnedSizes[kind]; s != nil {
		return s.Needs(declared)
	}
	return declared
}

// observeUsage learns from what a task used.
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

// neverFits refuses a task that no worker of the data centre could hold.
func (p *targetPool) neverFits(needs structs.Resources) *verdict.Error {
	if p.class == structs.Request {
		return nil
	}
	return placement.NeverFits(p.workerSizes, needs)
}

// reserve accounts a task to a target with room, and returns false without one.
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

// release ends the account of a task.
func (p *targetPool) release(now time.Time, t *task, at reservation) {
	p.index.Release(now, at.name, at.needs)
	if t.spread != nil {
		t.spread.Add(at.rack, -1)
	}
}

// initTypicalNeeds takes the declared needs of the first kind until tasks start.
func (p *targetPool) initTypicalNeeds(kinds []manifest.Kind) {
	if p.typicalNeeds == (structs.Resources{}) && len(kinds) > 0 {
		p.typicalNeeds = kinds[0].Needs
	}
}

// updateTypicalNeeds follows the needs of the tasks that start.
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

// stepTowards moves old a step towards next, by at least one.
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
