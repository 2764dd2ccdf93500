package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

const (
	// neverFitsAfter is how long a stored job that is not too large for all targets there have
	// been waits for one that it fits before it fails. Targets that are replaced at short notice
	// are missing for some seconds, and for longer while the store is away.
	neverFitsAfter = 15 * time.Second
	// fitCheckInterval is the time between two rounds of checks whether such jobs fit by now.
	fitCheckInterval = time.Second
)

// exceedsAllRooms reports whether a step of the job is too large for all targets of its service that
// were ever listed.
func (p *Pool) exceedsAllRooms(j *job) bool {
	return slices.ContainsFunc(j.Steps, func(s fleet.Step) bool { return !s.Needs.Fits(p.largestRooms[j.Queue.Service]) })
}

// endUnfitJobs fails the stored jobs that have fitted no listed target for neverFitsAfter.
func (p *Pool) endUnfitJobs(now time.Duration) {
	if now < p.stored.nextFitCheck {
		return
	}
	p.stored.nextFitCheck = now + fitCheckInterval
	for _, j := range p.jobs {
		if j.unfitSince == 0 {
			continue
		}
		reason := p.neverFits(j)
		switch {
		case reason == "":
			j.unfitSince = 0
		case now >= j.unfitSince+neverFitsAfter:
			p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
		}
	}
}
