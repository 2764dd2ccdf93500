package placement

import "currantstall/internal/structs"

const (
	// candidatesPerLevel is the number of feasible targets of a level that are
	// compared.
	candidatesPerLevel = 2
	// maxProbes bounds the number of targets examined for one task.
	maxProbes = 64
	// largeTaskFraction is the fraction of a worker above which a task is
	// large. A large task goes to the most loaded worker with room for it, so
	// that room for other large tasks is not fragmented.
	largeTaskFraction = 0.25
)

// Spread counts a job's running tasks by rack, so that the loss of one rack
// affects as few of them as possible. The zero value is ready to use.
type Spread struct{ racks map[string]int }

// Add adds n to the number of tasks in a rack. n is negative when a task ends.
func (s *Spread) Add(rack string, n int) {
	if s.racks == nil {
		s.racks = map[string]int{}
	}
	s.racks[rack] += n
}

// count returns the number of tasks in a rack. It is 0 for a nil Spread.
func (s *Spread) count(rack string) int {
	if s == nil {
		return 0
	}
	return s.racks[rack]
}

// Select returns the target for one task, or false if it finds no room. needs
// is zero for requests, and spread may be nil. Select does not allocate room;
// see Acquire. Because it examines a bounded number of targets, it may miss the
// only feasible target when room is scarce and needs are unusual. Later calls
// examine other targets.
func (x *Index) Select(needs structs.Resources, spread *Spread) (Target, bool) {
	var r *targetRecord
	switch {
	case x.policy == Random && len(x.all) > 0:
		r = x.all[x.rng.IntN(len(x.all))]
	case x.policy == RoundRobin && len(x.all) > 0:
		x.lastRoundRobin++
		r = x.all[x.lastRoundRobin%len(x.all)]
	case needs.Accelerators > 0:
		r = x.search(&x.accel, needs, spread)
	default:
		r = x.search(&x.plain, needs, spread)
		if r == nil {
			r = x.search(&x.accel, needs, spread)
		}
	}
	if r == nil {
		return Target{}, false
	}
	return r.Target, true
}

// search examines the levels from the least loaded upwards, or for a large task
// from the most loaded downwards.
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
		if r := x.pickFromLevel(s.levels[l], needs, spread, &probes); r != nil {
			return r
		}
	}
	return nil
}

// isLarge reports whether a task is large. It compares needs with one arbitrary
// target, since the targets of a class are similar in size.
func (x *Index) isLarge(s *levelSet, needs structs.Resources) bool {
	if s.nonEmpty == 0 || needs == (structs.Resources{}) {
		return false
	}
	sample := s.levels[lowestLevel(s.nonEmpty)][0]
	return dominantShare(sample, needs.MilliCPU, needs.MemoryMB) > largeTaskFraction
}

// pickFromLevel returns the best of the first feasible targets of a level,
// starting at a random one.
func (x *Index) pickFromLevel(list []*targetRecord, needs structs.Resources, spread *Spread, probes *int) *targetRecord {
	var best *targetRecord
	found := 0
	start := x.rng.IntN(len(list))
	for i := range list {
		if *probes == 0 || found == candidatesPerLevel {
			break
		}
		*probes--
		r := list[(start+i)%len(list)]
		if !r.feasible(needs) {
			continue
		}
		found++
		if best == nil || better(r, best, spread) {
			best = r
		}
	}
	return best
}

// better reports whether a is a better choice than b at equal load: first by
// fewer tasks of the job in its rack, then by lower slowness.
func better(a, b *targetRecord, spread *Spread) bool {
	if ra, rb := spread.count(a.Rack), spread.count(b.Rack); ra != rb {
		return ra < rb
	}
	return a.slowness < b.slowness
}
