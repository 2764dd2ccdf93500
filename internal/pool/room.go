package pool

import "currantstall/internal/structs"

// A target's room may shrink and grow again while it runs. Runs that are over the room
// stay, and nothing is started until the room holds all that runs or is being stopped.

// noteRoom notes the listed capacity, so that a job that fits the target only when its room
// has grown again waits rather than fails.
func (t *target) noteRoom(c structs.Resources) { t.largestRoom = t.largestRoom.Max(c) }

// mayFit reports whether the needs fit the target when it is idle, now or with the largest
// room that this incarnation has had.
func (t *target) mayFit(needs structs.Resources) bool {
	return needs.Fits(t.Capacity) || needs.Fits(t.largestRoom)
}

// usedRoom returns the part of the target's capacity that is in use.
func (t *target) usedRoom() structs.Resources {
	return structs.Resources{
		MilliCPU:     min(t.used.MilliCPU, t.Capacity.MilliCPU),
		MemoryMB:     min(t.used.MemoryMB, t.Capacity.MemoryMB),
		Accelerators: min(t.used.Accelerators, t.Capacity.Accelerators),
	}
}
