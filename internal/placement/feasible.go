package placement

import (
	"fmt"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Health determines which tasks a target may get, given the outcomes of its
// earlier tasks.
type Health uint8

// The health states of a target.
const (
	Healthy Health = iota
	// OnTrial targets were ejected before and get one task at a time.
	OnTrial
	// Ejected targets get no tasks.
	Ejected
	// Leaving targets get no new tasks; their running tasks continue.
	Leaving
)

// Target is a runner (Slots is set) or a worker (Size is set).
type Target struct {
	Name  string
	Rack  string
	Slots int               // tasks that a runner runs at the same time
	Size  structs.Resources // resources of a worker
}

// IsRunner reports whether the target is a runner, which runs requests.
func (t *Target) IsRunner() bool { return t.Slots > 0 }

// feasible reports whether the target can take one more task with these needs.
func (r *targetRecord) feasible(needs structs.Resources) bool {
	switch r.health {
	case Ejected, Leaving:
		return false
	case OnTrial:
		if r.running > 0 {
			return false
		}
	}
	if r.IsRunner() {
		return r.running+r.foreign.Running < r.Slots
	}
	return needs.Fits(r.free())
}

// free returns the resources of a worker that are not allocated to any task.
func (r *targetRecord) free() structs.Resources {
	return r.Size.Minus(r.used).Minus(r.foreign.Used)
}

// NeverFits returns nil if any of the worker sizes could hold a task with these
// needs while empty. Otherwise it returns a NotRun error that names the scarce
// resource and the size of the largest worker. If no worker is known, it
// rejects nothing.
func NeverFits(sizes []structs.Resources, needs structs.Resources) *verdict.Error {
	if len(sizes) == 0 {
		return nil
	}
	var largest structs.Resources
	for _, s := range sizes {
		if needs.Fits(s) {
			return nil
		}
		largest = structs.Resources{
			MilliCPU:     max(largest.MilliCPU, s.MilliCPU),
			MemoryMB:     max(largest.MemoryMB, s.MemoryMB),
			Accelerators: max(largest.Accelerators, s.Accelerators),
		}
	}
	return verdict.New(verdict.NotRun, verdict.NeverFits, "no worker can hold a task: %s", shortage(largest, needs))
}

// shortage describes the first resource of which no worker has enough.
func shortage(largest, needs structs.Resources) string {
	switch {
	case needs.MilliCPU > largest.MilliCPU:
		return fmt.Sprintf("it needs %d milli_cpu, the largest worker has %d", needs.MilliCPU, largest.MilliCPU)
	case needs.MemoryMB > largest.MemoryMB:
		return fmt.Sprintf("it needs %d memory_mb, the largest worker has %d", needs.MemoryMB, largest.MemoryMB)
	case needs.Accelerators > largest.Accelerators:
		return fmt.Sprintf("it needs %d accelerators, the largest worker has %d", needs.Accelerators, largest.Accelerators)
	}
	return fmt.Sprintf("none has %d milli_cpu, %d memory_mb and %d accelerators together", needs.MilliCPU, needs.MemoryMB, needs.Accelerators)
}
