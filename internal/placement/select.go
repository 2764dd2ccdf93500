package placement

import "currantstall/internal/structs"

const (
	// choices is the number of targets of a level that are compared.
	choices = 2
	// maxLooks bounds the targets looked at for one task.
	maxLooks = 64
	// largePart of a worker is what makes a task large: it goes where the
	// least room is left over, so that room for large tasks stays whole.
	largePart = 0.25
)

// Spread counts a job's running tasks by rack, so that the loss of one rack
// takes as few of them as may be. The zero value is ready.
type Spread struct{ racks map[string]int }

// Note adds n to the tasks in a rack; n is negative at the end of a task.
func (s *Spread) Note(rack string, n int) {
	if s.racks == nil {
		s.racks = map[string]int{}
	}
	s.racks[rack] += n
}

// in returns the tasks in a rack; a nil Spread has none.
func (s *Spread) in(rack string) int {
	if s == nil {
		return 0
	}
	return s.racks[rack]
}

// Select returns the target for one task, or false if none has room. needs is
// zero for requests; spread may be nil. It accounts nothing; see Take. When
// room is scarce and needs are odd it may miss the one target that has it, as
// it looks at a bounded number; later calls look at others.
func (x *Index) Select(needs structs.Resources, spread *Spread) (Target, bool) {
	var p *place
	switch {
	case x.policy == Random && len(x.all) > 0:
		p = x.all[x.rng.IntN(len(x.all))]
	case x.policy == RoundRobin && len(x.all) > 0:
		x.turn++
		p = x.all[x.turn%len(x.all)]
	case needs.Accelerators > 0:
		p = x.search(&x.accel, needs, spread)
	default:
		p = x.search(&x.plain, needs, spread)
		if p == nil {
			p = x.search(&x.accel, needs, spread)
		}
	}
	if p == nil {
		return Target{}, false
	}
	return p.Target, true
}

// search looks from the least loaded targets up, or for a large task from the
// most loaded down.
func (x *Index) search(s *pool, needs structs.Resources, spread *Spread) *place {
	set := s.nonEmpty
	next := least
	if x.isLarge(s, needs) {
		next = most
	}
	looks := maxLooks
	for set != 0 && looks > 0 {
		l := next(set)
		set &^= 1 << l
		if p := x.pick(s.levels[l], needs, spread, &looks); p != nil {
			return p
		}
	}
	return nil
}

// isLarge judges by any one target, as those of a class are much alike.
func (x *Index) isLarge(s *pool, needs structs.Resources) bool {
	if s.nonEmpty == 0 || needs == (structs.Resources{}) {
		return false
	}
	sample := s.levels[least(s.nonEmpty)][0]
	return dominant(sample, needs.MilliCPU, needs.MemoryMB) > largePart
}

// pick returns the best of the first feasible targets of a level, looking from
// a random one on.
func (x *Index) pick(list []*place, needs structs.Resources, spread *Spread, looks *int) *place {
	var best *place
	found := 0
	from := x.rng.IntN(len(list))
	for i := range list {
		if *looks == 0 || found == choices {
			break
		}
		*looks--
		p := list[(from+i)%len(list)]
		if !p.feasible(needs) {
			continue
		}
		found++
		if best == nil || better(p, best, spread) {
			best = p
		}
	}
	return best
}

// better ranks two targets of equal load: fewer tasks of the job in the rack,
// then the faster one.
func better(a, b *place, spread *Spread) bool {
	if ra, rb := spread.in(a.Rack), spread.in(b.Rack); ra != rb {
		return ra < rb
	}
	return a.score < b.score
}
