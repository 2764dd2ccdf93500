package placement

import "math/bits"

// numLevels is the number of steps of load that are told apart.
const numLevels = 64

// levelSet holds places by their load, so that the least or the most loaded ones
// are found by one look at a bit set. Full, ejected and leaving targets are in
// no list.
type levelSet struct {
	levels   [numLevels][]*targetRecord
	nonEmpty uint64 // bit i is set if levels[i] has a place
}

func (s *levelSet) add(p *targetRecord, level int) {
	p.level, p.levelIndex = level, len(s.levels[level])
	s.levels[level] = append(s.levels[level], p)
	s.nonEmpty |= 1 << level
}

func (s *levelSet) remove(p *targetRecord) {
	list := s.levels[p.level]
	last := list[len(list)-1]
	list[p.levelIndex], last.levelIndex = last, p.levelIndex
	list[len(list)-1] = nil
	s.levels[p.level] = list[:len(list)-1]
	if len(list) == 1 {
		s.nonEmpty &^= 1 << p.level
	}
	p.level = -1
}

// lowestLevel returns the lowest non-empty level of the set, or -1.
func lowestLevel(set uint64) int {
	if set == 0 {
		return -1
	}
	return bits.TrailingZeros64(set)
}

// highestLevel returns the highest non-empty level of the set, or -1.
func highestLevel(set uint64) int { return bits.Len64(set) - 1 }

// loadLevel returns the level of a place: the part in use of the scarcest
// resource, from 0 to numLevels-1, or -1 if it can take nothing at all.
func (p *targetRecord) loadLevel() int {
	if p.health == Ejected || p.health == Leaving {
		return -1
	}
	if p.health == OnTrial && p.running > 0 {
		return -1
	}
	if p.IsRunner() {
		return levelOf(int64(p.running+p.foreign.Running), int64(p.Slots))
	}
	free := p.free()
	return max(levelOf(p.Size.MilliCPU-free.MilliCPU, p.Size.MilliCPU), levelOf(p.Size.MemoryMB-free.MemoryMB, p.Size.MemoryMB))
}

// levelOf returns the part used of size in steps, at most numLevels-1. A runner
// is never listed as full, since feasible excludes it; see list.
func levelOf(used, size int64) int {
	if size <= 0 {
		return 0
	}
	return int(max(0, min(used*numLevels/size, numLevels-1)))
}

// dominantShare returns the largest part of the place that a task would take.
func dominantShare(p *targetRecord, milliCPU, memoryMB int64) float64 {
	part := 0.0
	if p.Size.MilliCPU > 0 {
		part = float64(milliCPU) / float64(p.Size.MilliCPU)
	}
	if p.Size.MemoryMB > 0 {
		part = max(part, float64(memoryMB)/float64(p.Size.MemoryMB))
	}
	return part
}

func (x *Index) levelSetOf(p *targetRecord) *levelSet {
	if p.Size.Accelerators > 0 {
		return &x.accel
	}
	return &x.plain
}

// addToLevel puts a place where its load belongs. Places without any room are in no
// addToLevel, so that they cost no look.
func (x *Index) addToLevel(p *targetRecord) {
	if p.IsRunner() && p.running+p.foreign.Running >= p.Slots {
		return
	}
	if l := p.loadLevel(); l >= 0 {
		x.levelSetOf(p).add(p, l)
	}
}

func (x *Index) removeFromLevel(p *targetRecord) {
	if p.level >= 0 {
		x.levelSetOf(p).remove(p)
	}
}
