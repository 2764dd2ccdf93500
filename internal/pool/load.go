package pool

import "currantstall/internal/structs"

// Load is a summary of the pool's targets and jobs.
type Load struct {
	Targets  int               // known targets
	Owned    int               // targets that the pool owns
	Capacity structs.Resources // of the owned targets that may get tasks
	Used     structs.Resources // of that capacity, by runs of known size
	Jobs     int               // jobs that have not ended
	Waiting  int               // jobs with waiting tasks
}

// Load returns a summary of the present state.
func (p *Pool) Load() Load {
	s := Load{Targets: len(p.sortedTargets), Jobs: len(p.jobs)}
	for _, t := range p.sortedTargets {
		if !t.owned {
			continue
		}
		s.Owned++
		if t.listed && !t.Leaving {
			s.Capacity = s.Capacity.Plus(t.Capacity)
			s.Used = s.Used.Plus(t.used)
		}
	}
	for _, q := range p.rankedQueues {
		s.Waiting += len(q.waiting)
	}
	return s
}
