package pool

import (
	"currantstall/internal/speed"
	"currantstall/internal/statechart"
	"currantstall/internal/structs"
)

// Load is a summary of the pool's targets and jobs.
type Load struct {
	Targets  int               // known targets
	Owned    int               // targets that the pool owns
	Capacity structs.Resources // of the owned targets that may get tasks
	Used     structs.Resources // of that capacity, by runs of known size
	Jobs     int               // jobs that have not ended
	Waiting  int               // jobs with waiting tasks
	Slow     int               // owned targets that are shown to be slower than others
	Suspect  int               // owned targets that are suspected of that
	Ejected  int               // owned targets that are ejected, for whatever reason
	Queued   int64             // needs of the waiting tasks, in thousandths of a core
}

// Spare returns the capacity that neither runs nor waiting tasks need, in thousandths of
// a core.
func (l Load) Spare() int64 { return max(l.Capacity.MilliCPU-l.Used.MilliCPU-l.Queued, 0) }

// Load returns a summary of the present state.
func (p *Pool) Load() Load {
	s := Load{Targets: len(p.sortedTargets), Jobs: len(p.jobs)}
	for _, t := range p.sortedTargets {
		if !t.owned {
			continue
		}
		s.Owned++
		s.countHealth(t)
		if t.offered() {
			s.Capacity = s.Capacity.Plus(t.Capacity)
			s.Used = s.Used.Plus(t.usedRoom())
		}
	}
	for _, q := range p.rankedQueues {
		s.Waiting += q.length()
		for j := range q.all() {
			for i := range j.Steps {
				s.Queued += int64(min(j.remaining[i], j.waiting)) * j.Steps[i].Needs.MilliCPU
			}
		}
	}
	return s
}

func (l *Load) countHealth(t *target) {
	switch t.slowness {
	case speed.ShownSlow:
		l.Slow++
	case speed.Suspected:
		l.Suspect++
	}
	if t.state == statechart.TargetHealthEjected {
		l.Ejected++
	}
}

// TakeEjections calls add for each ejection since the last call.
func (p *Pool) TakeEjections(add func(reason string)) {
	for _, reason := range p.ejections {
		add(reason)
	}
	p.ejections = p.ejections[:0]
}

// Coordinators calls add for each coordinator of a job. Stored jobs have none.
func (p *Pool) Coordinators(add func(name string)) {
	for name := range p.coordinators {
		add(name)
	}
}
