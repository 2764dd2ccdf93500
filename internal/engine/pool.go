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

// place is the part of a target that one task holds.
type place struct {
	name  string
	addr  string
	rack  string
	needs structs.Resources
}

// pool holds the targets of one class that this entry owns. The scheduler's
// lock guards it.
type pool struct {
	class structs.Class
	index *placement.Index
	owned map[string]platform.VM // by name
	sizes []structs.Resources    // of all workers of the data centre
	kinds map[string]*estimate.Size
	typic structs.Resources // needs of a usual task, for counting room
}

// typicalPart is the weight of one more task in the usual needs.
const typicalPart = 1.0 / 64

func newPool(class structs.Class, policy admission.Policy, seed uint64) *pool {
	return &pool{
		class: class,
		index: placement.NewIndex(placementPolicy(policy), seed),
		owned: make(map[string]platform.VM),
		kinds: make(map[string]*estimate.Size),
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
func (p *pool) setOwned(vms []platform.VM) {
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
func (p *pool) capacity() float64 { return float64(p.index.Slots(p.typic)) }

// needs returns what a task of the kind is accounted at.
func (p *pool) needs(kind string, declared structs.Resources) structs.Resources {
	if p.class == structs.Request {
		return structs.Resources{}
	}
	if s := p.kinds[kind]; s != nil {
		return s.Needs(declared)
	}
	return declared
}

// observe learns from what a task used.
func (p *pool) observe(kind string, used structs.Resources) {
	if p.class == structs.Request || used == (structs.Resources{}) {
		return
	}
	s := p.kinds[kind]
	if s == nil {
		s = &estimate.Size{}
		p.kinds[kind] = s
	}
	s.Observe(used)
}

// neverFits refuses a task that no worker of the data centre could hold.
func (p *pool) neverFits(needs structs.Resources) *verdict.Error {
	if p.class == structs.Request {
		return nil
	}
	return placement.NeverFits(p.sizes, needs)
}

// take accounts a task to a target with room, and returns false without one.
func (p *pool) take(now time.Time, u *unit) (place, bool) {
	needs := p.needs(u.Kind, u.Needs)
	t, ok := p.index.Select(needs, u.spread)
	if !ok {
		return place{}, false
	}
	p.index.Take(now, t.Name, needs)
	p.learnTypical(needs)
	if u.spread != nil {
		u.spread.Note(t.Rack, 1)
	}
	return place{name: t.Name, addr: p.owned[t.Name].Addr, rack: t.Rack, needs: needs}, true
}

// release ends the account of a task.
func (p *pool) release(now time.Time, u *unit, at place) {
	p.index.Release(now, at.name, at.needs)
	if u.spread != nil {
		u.spread.Note(at.rack, -1)
	}
}

// guessTypical takes the declared needs of the first kind until tasks start.
func (p *pool) guessTypical(kinds []manifest.Kind) {
	if p.typic == (structs.Resources{}) && len(kinds) > 0 {
		p.typic = kinds[0].Needs
	}
}

// learnTypical follows the needs of the tasks that start.
func (p *pool) learnTypical(needs structs.Resources) {
	if p.typic == (structs.Resources{}) {
		p.typic = needs
		return
	}
	p.typic = structs.Resources{
		MilliCPU:     blend(p.typic.MilliCPU, needs.MilliCPU),
		MemoryMB:     blend(p.typic.MemoryMB, needs.MemoryMB),
		Accelerators: blend(p.typic.Accelerators, needs.Accelerators),
	}
}

// blend moves old a step towards next, by at least one.
func blend(old, next int64) int64 {
	step := float64(next-old) * typicalPart
	switch {
	case next > old:
		return old + int64(max(step, 1))
	case next < old:
		return old + int64(min(step, -1))
	}
	return old
}
