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
	// lossWindow is how long before or after a loss others belong to the same moment. Broken
	// connections show most losses within some tens of ms, a busy owner notices them over
	// some 0.3 s.
	lossWindow = 200 * time.Millisecond
	// lossBatch is how long losses wait longer than that, so that many are assessed at once.
	lossBatch = 50 * time.Millisecond
	// minOtherCauses and otherCausesShare, of all targets, are the number of jobs that other
	// losses of the moment would have to be blamed on for them to be taken for one fault.
	minOtherCauses   = 4
	otherCausesShare = 1.0 / 8
	// lostAllOtherCauses replaces that number if no target is left: the targets of a small pool
	// are fewer. It is below 1 since causes are added up from fractions.
	lostAllOtherCauses = 0.5
	// unansweredOtherCauses replaces it for starts that the lost target had not answered: it may have
	// fallen before they arrived.
	unansweredOtherCauses = 1.5
	// promptLoss is the longest time from a start to the loss of its target that suits a task
	// that crashes targets. A target that was out of sight for longer may have crashed
	// after the end of the run.
	promptLoss = 500 * time.Millisecond
)

// loss is the loss of one incarnation of a target.
type loss struct {
	at          time.Duration
	target      string
	addr        string
	incarnation int64
	jobs        []string // those with suspects on it or starts under way to it, without duplicates
	answered    []string // those of them whose start it had answered
	assessed    bool
}

// noteLoss adds the loss of a target to those of the present moment. An idle target may have
// been gone for long when that is noticed.
func (p *Pool) noteLoss(now time.Duration, t *target, suspects []suspect) {
	if t.owned || len(suspects) > 0 {
		p.noteLostTarget(now, t)
	}
	if len(suspects) == 0 && (!t.owned || now > t.reportedAt+promptLoss) {
		return
	}
	l := loss{at: now, target: t.ID, addr: t.Addr, incarnation: t.Incarnation}
	for _, s := range suspects {
		l.addJob(s.task.job.ID)
		if s.run.startedAt > 0 {
			l.answered = append(l.answered, s.task.job.ID)
		}
	}
	for _, r := range sortedRuns(t.runs) {
		if r.state == runOrdered {
			l.addJob(r.taskID.Job) // the start may be lost later than its target, and is suspected then
		}
	}
	p.losses = append(p.losses, l)
}

func (l *loss) addJob(id string) {
	if !slices.Contains(l.jobs, id) {
		l.jobs = append(l.jobs, id)
	}
}

// isAssessed reports whether the loss that a suspicion names has been assessed.
func (p *Pool) isAssessed(s fleet.Suspicion) bool {
	return !slices.ContainsFunc(p.losses, func(l loss) bool { return !l.assessed && l.target == s.Target && l.incarnation == s.Incarnation })
}

// condemns reports whether the suspicions against a task show that it crashes its targets, as
// far as they have been assessed.
func (p *Pool) condemns(list []fleet.Suspicion) bool {
	if !fleet.Condemns(list) {
		return false
	}
	if len(p.losses) == 0 {
		return true
	}
	return fleet.Condemns(slices.DeleteFunc(slices.Clone(list), func(s fleet.Suspicion) bool { return !p.isAssessed(s) }))
}

// tickLosses assesses the losses whose moment is over, some at a time, and forgets those that belong
// to no moment any more.
func (p *Pool) tickLosses(now time.Duration) {
	p.losses = slices.DeleteFunc(p.losses, func(l loss) bool { return l.assessed && l.at+2*lossWindow+lossBatch < now })
	first := slices.IndexFunc(p.losses, func(l loss) bool { return !l.assessed })
	if first < 0 || p.losses[first].at+lossWindow+lossBatch > now {
		return
	}
	end := first
	for end < len(p.losses) && p.losses[end].at+lossWindow <= now {
		p.losses[end].assessed = true
		end++
	}
	from, to := first, end
	for from > 0 && p.losses[from-1].at >= p.losses[first].at-lossWindow {
		from--
	}
	for to < len(p.losses) && p.losses[to].at <= p.losses[end-1].at+lossWindow {
		to++
	}
	p.assessLosses(now, p.losses[first:end], p.losses[from:to])
}

// assessLosses judges whether losses are weak evidence against their suspects, by all losses of
// their moment.
func (p *Pool) assessLosses(now time.Duration, losses, moment []loss) {
	all, own := causesOf(moment)
	enough, of := p.causesOfOneFault(moment)
	p.log("losses", "targets", len(losses), "in_moment", len(moment), "of", of, "causes", int(all+0.5), "causes_of_one_fault", int(enough+0.5),
		"falls", len(p.falls.list))
	weakened := make(map[string]bool)
	for _, l := range losses {
		for _, id := range l.jobs {
			others := all - own[id]
			weak := others >= enough || others >= unansweredOtherCauses && !slices.Contains(l.answered, id)
			p.noteWeakLoss(l, id, weak)
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

// noteWeakLoss notes on the runs of a job whether the loss of their target is weak evidence
// against it, for those that are suspected later.
func (p *Pool) noteWeakLoss(l loss, job string, weak bool) {
	t := p.targets[l.target]
	if t == nil || t.Incarnation != l.incarnation {
		return
	}
	for _, r := range t.runs {
		if r.taskID.Job == job {
			r.weakLoss = weak
		}
	}
}

// noteProcessGone notes whether a hold to an address shows that the process of a target is not there.
func (p *Pool) noteProcessGone(now time.Duration, t *target, addr string, rep *fleet.HoldReply) {
	p.settleLoss(now, t)
	t.processGone = rep.Answer == fleet.Unanswered && (t.processGone || rep.ProcessGone && addr == t.ownAddr)
}

// settleLoss weakens the suspicions of the loss of a target once the leases of its runs have expired,
// unless its process was found gone before: it may have been cut off, and have crashed since. Those against
// jobs with a start there that was not answered stay as they are.
func (p *Pool) settleLoss(now time.Duration, t *target) {
	if !t.lossRecorded || t.lossSettled || !t.leasesExpired(now) {
		return
	}
	t.lossSettled = true
	if t.processGone {
		return
	}
	answered := make(map[string]bool) // by job
	for _, r := range sortedRuns(t.runs) {
		all, known := answered[r.taskID.Job]
		answered[r.taskID.Job] = r.startedAt > 0 && (all || !known)
	}
	for _, id := range slices.Sorted(maps.Keys(answered)) {
		sj, j := p.suspected[id], p.jobs[id]
		if sj == nil || !answered[id] || !sj.tasks.Weaken(t.ID, t.Incarnation) {
			continue
		}
		p.log("suspect", "job", id, "target", t.ID, "outcome", "weakened: not seen to crash under the lease")
		if j != nil && !j.Stored { // no write for this alone: the next record has it
			p.suspicionsChanged(now, j)
		}
	}
}

// causesOfOneFault returns the number of other jobs that losses would have to be blamed on for
// them to be taken for one fault, and the number of targets at the time. Targets that were
// lost before, or have another incarnation at their address, are none of them.
func (p *Pool) causesOfOneFault(losses []loss) (enough float64, targets int) {
	at := make(map[string]bool) // by address
	for _, l := range losses {
		at[l.addr] = true
	}
	lost := len(at)
	for _, t := range p.sortedTargets {
		if t.owned {
			at[t.Addr] = true
		}
	}
	if len(at) == lost {
		return lostAllOtherCauses, lost
	}
	return max(minOtherCauses, float64(len(at))*otherCausesShare), len(at)
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
