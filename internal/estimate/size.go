package estimate

import (
	"math"

	"currantstall/internal/structs"
)

const (
	// sizeQuantile of the observed sizes is what a task is accounted with:
	// more would leave room unused, less would overload workers.
	sizeQuantile = 0.90
	// minReports is the number of reports before the declared size is put
	// aside.
	minReports = 8
	// maxDeclaredError is how far a declaration may be off, either way, and
	// still be taken for a mistake.
	maxDeclaredError = 10
)

// Size learns the cores and the memory that one kind's tasks take. Accelerators
// are whole devices that a task asks for, and stay as declared. The zero value
// is ready.
type Size struct {
	cpu     histogram
	memory  histogram
	reports int
	learned structs.Resources // cached quantiles
}

// Observe adds what one task took. A zero amount was not reported.
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

// Needs returns what to account for a task with the declared needs: the
// learned size, as long as the declaration is within ten times of it. A
// declaration further off is not taken for a mistake: then a tenth or ten times
// of it counts, so that a task that can never run is not made to fit.
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

// clampToDeclared returns the learned amount, kept clampToDeclared the errors of a declaration.
// Zero stands for an amount that was not learned or not declared.
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
