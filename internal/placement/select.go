package placement

import "currantstall/internal/structs"

const (
	// candidatesPerLevel is the number of targets of a level that are compared.
	candidatesPerLevel = 2
	// maxProbes bounds the targets looked at for one task.
	maxProbes = 64
	// largeTaskFraction of a worker is what makes a task large: it goes where the
	// least room is left over, so that room for large tasks stays whole.
	largeTaskFraction = 0.25
)

// Spread counts a job's running tasks by rack, so that the loss of one rack
// takes as few of them as may be. The zero value is ready.
type Spread struct{ racks map[string]int }

// Add adds n to the tasks in a rack; n is negative at the end of a task.
func (s *Spread) Add(rack string, n int) {
	if s.racks == nil {
		s.racks = map[string]int{}
	}
	s.racks[rack] += n
}

// count returns the tasks count a rack; a nil Spread has none.
func (s *Spread) count(rack string) int {
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
	var p *targetRecord
	switch {
	case x.policy == Random && len(x.all) > 0:
		p = x.all[x.rng.IntN(len(x.all))]
	case x.policy == RoundRobin && len(x.all) > 0:
		x.lastRoundRobin++
		p = x.all[x.lastRoundRobin%len(x.all)]
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
func (x *Index) search(s *levelSet, needs structs.Resources, spread *Spread) *targetRecord {
	set := s.nonEmpty
	next := lowestLevel
	if x.isLarge(s, needs) {
		next = highestLevel
	}
	probes := maxProbes
	for set != 0 && probes > 0 {
		l := next(set)
		set &^= 1 << l
		if p := x.pickFromLevel(s.levels[l], needs, spread, &probes); p != nil {
			return p
		}
	}
	return nil
}

// isLarge judges by any one target, as those of a class are much alike.
func (x *Index) isLarge(s *levelSet, needs structs.Resources) bool {
	if s.nonEmpty == 0 || needs == (structs.Resources{}) {
		return false
	}
	sample := s.levels[lowestLevel(s.nonEmpty)][0]
	return dominantShare(sample, needs.MilliCPU, needs.MemoryMB) > largeTaskFraction
}

// pickFromLevel returns the best of the first feasible targets of a level, looking from
// a random one on.
func (x *Index) pickFromLevel(list []*targetRecord, needs structs.Resources, spread *Spread, probes *int) *targetRecord {
	var best *targetRecord
	found := 0
	start := x.rng.IntN(len(list))
	for i := range list {
		if *probes == 0 || found == candidatesPerLevel {
			break
		}
		*probes--
		p := list[(start+i)%len(list)]
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
func better(a, b *targetRecord, spread *Spread) bool {
	if ra, rb := spread.count(a.Rack), spread.count(b.Rack); ra != rb {
		return ra < rb
	}
	return a.slowness < b.slowness
}
