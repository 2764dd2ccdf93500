package pool

import (
	"slices"
	"time"

	"currantstall/internal/structs"
)

const (
	// divisionLogInterval is the time between two accounts of the division in the log. Entries with
	// configurations of different versions submit jobs with different shares.
	divisionLogInterval = time.Second
	// forgetQueueAfter is how long a queue without jobs and runs keeps its place, and its share, in the division.
	// It may have left the configuration.
	forgetQueueAfter = 30 * time.Second
)

// forgetQueues forgets the queues that have had no job for a while.
func (p *Pool) forgetQueues(now time.Duration) {
	if now < p.nextQueueSweep {
		return
	}
	p.nextQueueSweep = now + forgetQueueAfter
	used := make(map[*queueState]bool, len(p.queues))
	for _, j := range p.jobs {
		used[j.queueState] = true
	}
	idle := func(q *queueState) bool { return !used[q] && q.Used == 0 && now >= q.usedAt+forgetQueueAfter }
	if !slices.ContainsFunc(p.rankedQueues, idle) {
		return
	}
	p.rankedQueues = slices.DeleteFunc(p.rankedQueues, func(q *queueState) bool {
		if idle(q) {
			delete(p.queues, q.name)
			return true
		}
		return false
	})
	p.rankQueues()
}

// roomOf tells the division of the room about the pool's targets.
type roomOf struct{ *Pool }

// MilliCPU implements overload.Targets.
func (r roomOf) MilliCPU(service string) float64 {
	var capacity float64
	r.work.targets += len(r.sortedTargets)
	for _, t := range r.sortedTargets {
		if t.owned && t.offered() && t.Service == service {
			capacity += float64(t.Capacity.MilliCPU)
		}
	}
	return capacity
}

// Places implements overload.Targets.
func (r roomOf) Places(service string, milliCPU int64) int {
	places := 0
	r.work.targets += len(r.sortedTargets)
	for _, t := range r.sortedTargets {
		if t.Service == service && t.available() && t.answersStarts() {
			places += int(t.free().MilliCPU / max(milliCPU, 1))
		}
	}
	return places
}

// placesFor returns how many tasks with these needs find room now on targets that may run each step of the job.
func (p *Pool) placesFor(j *job, needs structs.Resources) int {
	places := 0
	p.work.targets += len(p.sortedTargets)
targets:
	for _, t := range p.sortedTargets {
		if !t.answersStarts() {
			continue
		}
		for i := range j.steps {
			if !t.eligible(j.steps[i][0]) {
				continue targets
			}
		}
		places += needs.Times(t.free())
	}
	return places
}
