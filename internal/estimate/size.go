package estimate

import (
	"math"

	"currantstall/internal/structs"
)

const (
	// sizeQuantile is the quantile of the observed sizes that is reserved for
	// a task: a higher one would leave resources unused, a lower one would
	// overload workers.
	sizeQuantile = 0.90
	// minReports is the number of reports before the learned size replaces
	// the declared one.
	minReports = 8
	// maxDeclaredError is the largest factor between the declared and the
	// learned size, either way, at which the declaration counts as a mistake.
	maxDeclaredError = 10
)

// Size learns the cores and the memory that the tasks of one kind use.
// Accelerators are whole devices that a task asks for, so they stay as
// declared. The zero value is ready to use.
type Size struct {
	cpu     histogram
	memory  histogram
	reports int
	learned structs.Resources // cached quantiles
}

// Observe adds the resources that one task used. A zero amount means that it
// was not reported.
func (s *Size) Observe(used structs.Resources) {
	if used.MilliCPU <= 0 && used.MemoryMB <= 0 {
		return
	}
	s.reports++
	if used.MilliCPU > 0 {
		s.cpu.add(float64(used.MilliCPU), 1)
	}
	if used.MemoryMB > 0 {
		s.memory.add(float64(used.MemoryMB), 1)
	}
	if s.cpu.refreshDue {
		s.learned.MilliCPU = roundUp(s.cpu.quantile(sizeQuantile))
		s.cpu.refreshDue = false
	}
	if s.memory.refreshDue {
		s.learned.MemoryMB = roundUp(s.memory.quantile(sizeQuantile))
		s.memory.refreshDue = false
	}
}

// Needs returns the resources to reserve for a task with the declared needs:
// the learned size, if the declaration is within a factor of ten of it. A
// declaration further off does not count as a mistake: the result is then a
// tenth or ten times of it, so that a task that can never run is not made to
// fit.
func (s *Size) Needs(declared structs.Resources) structs.Resources {
	if s.reports < minReports {
		return declared
	}
	return structs.Resources{
		MilliCPU:     clampToDeclared(s.learned.MilliCPU, declared.MilliCPU),
		MemoryMB:     clampToDeclared(s.learned.MemoryMB, declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}

// clampToDeclared returns the learned amount, limited to a factor of
// maxDeclaredError around the declared one. Zero means that an amount was not
// learned or not declared.
func clampToDeclared(learned, declared int64) int64 {
	if learned <= 0 {
		return declared
	}
	if declared <= 0 {
		return learned
	}
	return min(max(learned, declared/maxDeclaredError), declared*maxDeclaredError)
}

func roundUp(v float64) int64 { return int64(math.Ceil(v)) }
