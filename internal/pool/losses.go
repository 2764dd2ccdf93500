package pool

import (
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
)

// Targets that fall at one moment usually have one cause: power, a network, an upgrade. A
// task that crashes its targets explains the loss of those that ran its job, and no others.
// So the losses of a moment are assessed together: where there are many that a job doesn't
// explain, they are weak evidence against it.

const (
	// lossWindow is how long after the first loss of a moment others belong to it. Broken
	// connections show most losses within some tens of ms.
	lossWindow = 200 * time.Millisecond
	// minOtherCauses and otherCausesShare, of the targets that are not over, are the number of jobs that other
	// losses of the moment would have to be blamed on for them to be taken for one fault.
	minOtherCauses   = 4
	otherCausesShare = 1.0 / 8
	// promptLoss is the longest time from a start to the loss of its target that suits a task
	// that crashes targets. A target that was out of sight for longer may have crashed
	// after the end of the run.
	promptLoss = 500 * time.Millisecond
)

// loss is the loss of one incarnation of a target.
type loss struct {
	target      string
	incarnation int64
	jobs        []string // those with suspects on it, without duplicates
}

// lossGroup holds the losses of one moment until they are assessed.
type lossGroup struct {
	from   time.Duration // of the first one
	losses []loss
}

// noteLoss adds the loss of a target to those of the present moment. An idle target may have
// been gone for long when that is noticed.
func (p *Pool) noteLoss(now time.Duration, t *target, suspects []suspect) {
	if len(suspects) == 0 && (!t.owned || now > t.reportedAt+promptLoss) {
		return
	}
	if len(p.lossGroup.losses) == 0 {
		p.lossGroup.from = now
	}
	l := loss{target: t.ID, incarnation: t.Incarnation}
	for _, s := range suspects {
		if id := s.task.job.ID; !slices.Contains(l.jobs, id) {
			l.jobs = append(l.jobs, id)
		}
	}
	p.lossGroup.losses = append(p.lossGroup.losses, l)
}

// isAssessed reports whether the loss that a suspicion names has been assessed.
func (p *Pool) isAssessed(s fleet.Suspicion) bool {
	return !slices.ContainsFunc(p.lossGroup.losses, func(l loss) bool { return l.target == s.Target && l.incarnation == s.Incarnation })
}

// condemns reports whether the suspicions against a task show that it crashes its targets, as
// far as they have been assessed.
func (p *Pool) condemns(list []fleet.Suspicion) bool {
	if !fleet.Condemns(list) {
		return false
	}
	if len(p.lossGroup.losses) == 0 {
		return true
	}
	return fleet.Condemns(slices.DeleteFunc(slices.Clone(list), func(s fleet.Suspicion) bool { return !p.isAssessed(s) }))
}

// tickLosses assesses the losses of a moment once it is over.
func (p *Pool) tickLosses(now time.Duration) {
	if len(p.lossGroup.losses) == 0 || now < p.lossGroup.from+lossWindow {
		return
	}
	losses := p.lossGroup.losses
	p.lossGroup.losses = nil
	all, own := causesOf(losses)
	present := 0
	for _, t := range p.sortedTargets {
		if t.listed && !t.replaced {
			present++
		}
	}
	enough := max(minOtherCauses, float64(present)*otherCausesShare)
	p.log("losses", "targets", len(losses), "causes", int(all+0.5), "causes_of_one_fault", int(enough+0.5))
	weakened := make(map[string]bool)
	for _, l := range losses {
		for _, id := range l.jobs {
			weak := all-own[id] >= enough
			if sj := p.suspected[id]; sj != nil {
				weakened[id] = weak && sj.tasks.Weaken(l.target, l.incarnation) || weakened[id]
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(weakened)) {
		if j := p.jobs[id]; j != nil && j.suspected != nil {
			if weakened[id] {
				p.suspicionsChanged(now, j)
			} else {
				p.judge(now, j)
			}
		}
	}
}

// causesOf estimates on how many jobs the losses would have to be blamed if tasks have caused
// them, and how many of these causes each job would stand for. A job with suspects on several
// lost targets stands for one cause.
func causesOf(losses []loss) (all float64, own map[string]float64) {
	lostBy := make(map[string]int) // by job
	for _, l := range losses {
		for _, id := range l.jobs {
			lostBy[id]++
		}
	}
	own = make(map[string]float64, len(lostBy))
	for _, l := range losses {
		most := 1
		for _, id := range l.jobs {
			most = max(most, lostBy[id])
		}
		cause := 1 / float64(most)
		all += cause
		for _, id := range l.jobs {
			own[id] += cause
		}
	}
	return all, own
}
