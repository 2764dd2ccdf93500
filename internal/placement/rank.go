package placement

import "math/bits"

// numLevels is the number of load levels that are distinguished.
const numLevels = 64

// levelSet holds targets by load level. A bit set of the non-empty levels finds
// the least or most loaded targets in constant time. Full, ejected and leaving
// targets are in no level.
type levelSet struct {
	levels   [numLevels][]*targetRecord
	nonEmpty uint64 // bit i is set if levels[i] has a target
}

func (s *levelSet) add(r *targetRecord, level int) {
	r.level, r.levelIndex = level, len(s.levels[level])
	s.levels[level] = append(s.levels[level], r)
	s.nonEmpty |= 1 << level
}

func (s *levelSet) remove(r *targetRecord) {
	list := s.levels[r.level]
	last := list[len(list)-1]
	list[r.levelIndex], last.levelIndex = last, r.levelIndex
	list[len(list)-1] = nil
	s.levels[r.level] = list[:len(list)-1]
	if len(list) == 1 {
		s.nonEmpty &^= 1 << r.level
	}
	r.level = -1
}

// lowestLevel returns the lowest level in the bit set, or -1 if it is empty.
func lowestLevel(set uint64) int {
	if set == 0 {
		return -1
	}
	return bits.TrailingZeros64(set)
}

// highestLevel returns the highest level in the bit set, or -1 if it is empty.
func highestLevel(set uint64) int { return bits.Len64(set) - 1 }

// loadLevel returns the load level of a target, from 0 to numLevels-1. The
// level is the used fraction of the scarcest resource. It is -1 if the target
// cannot take any task.
func (r *targetRecord) loadLevel() int {
	if r.health == Ejected || r.health == Leaving {
		return -1
	}
	if r.health == OnTrial && r.running > 0 {
		return -1
	}
	if r.IsRunner() {
		return levelOf(int64(r.running+r.foreign.Running), int64(r.Slots))
	}
	free := r.free()
	return max(levelOf(r.Size.MilliCPU-free.MilliCPU, r.Size.MilliCPU), levelOf(r.Size.MemoryMB-free.MemoryMB, r.Size.MemoryMB))
}

// levelOf returns the load level for the used part of size, at most
// numLevels-1. Full runners have no level, because addToLevel does not list
// them.
func levelOf(used, size int64) int {
	if size <= 0 {
		return 0
	}
	return int(max(0, min(used*numLevels/size, numLevels-1)))
}

// dominantShare returns the largest fraction of any resource of the target that
// a task would use.
func dominantShare(r *targetRecord, milliCPU, memoryMB int64) float64 {
	part := 0.0
	if r.Size.MilliCPU > 0 {
		part = float64(milliCPU) / float64(r.Size.MilliCPU)
	}
	if r.Size.MemoryMB > 0 {
		part = max(part, float64(memoryMB)/float64(r.Size.MemoryMB))
	}
	return part
}

func (x *Index) levelSetOf(r *targetRecord) *levelSet {
	if r.Size.Accelerators > 0 {
		return &x.accel
	}
	return &x.plain
}

// addToLevel lists a target at its load level. A target without room is not
// listed, so that Select does not examine it.
func (x *Index) addToLevel(r *targetRecord) {
	if r.IsRunner() && r.running+r.foreign.Running >= r.Slots {
		return
	}
	if l := r.loadLevel(); l >= 0 {
		x.levelSetOf(r).add(r, l)
	}
}

func (x *Index) removeFromLevel(r *targetRecord) {
	if r.level >= 0 {
		x.levelSetOf(r).remove(r)
	}
}
