package placement

import (
	"fmt"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Health is what the outcomes at a target allow.
type Health uint8

// The states of a target's health.
const (
	Healthy Health = iota
	// OnTrial targets were ejected and get one task at a time.
	OnTrial
	// Ejected targets get nothing.
	Ejected
	// Leaving targets get nothing new; what runs there goes on.
	Leaving
)

// Target is a runner (Slots is set) or a worker (Size is set).
type Target struct {
	Name  string
	Rack  string
	Slots int               // tasks that a runner runs at one time
	Size  structs.Resources // of a worker
}

// IsRunner reports whether the target runs requests.
func (t *Target) IsRunner() bool { return t.Slots > 0 }

// feasible reports whether the target can take one more task of these needs.
func (p *targetRecord) feasible(needs structs.Resources) bool {
	switch p.health {
	case Ejected, Leaving:
		return false
	case OnTrial:
		if p.running > 0 {
			return false
		}
	}
	if p.IsRunner() {
		return p.running+p.foreign.Running < p.Slots
	}
	return needs.Fits(p.free())
}

// free returns the capacity of a worker that is not accounted to any task.
func (p *targetRecord) free() structs.Resources {
	return p.Size.Minus(p.used).Minus(p.foreign.Used)
}

// NeverFits returns nil if any of the worker sizes could hold a task of these
// needs when empty, else a NotRun error that names the resource that is short
// and the largest worker. Without any worker nothing is known, so nothing is
// refused.
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

// shortage names the first resource of which no worker has enough.
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
