package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

const (
	// neverFitsAfter is how long a stored job that no target listed so far fits waits for
	// one before it fails. Targets that are added may be listed some seconds late.
	neverFitsAfter = 15 * time.Second
	// fitCheckInterval is the time between two rounds of checks whether such jobs fit by now.
	fitCheckInterval = time.Second
	// currentListAge is the age up to which the list of targets is current enough to show
	// that no target that a job fits was added.
	currentListAge = 4 * time.Second
	// knownForLong is how long the rooms of targets must have been recorded for a later owner of the
	// stored jobs to tell that no target could ever hold one. Targets that crash, with their
	// rack or alone, are back by then.
	knownForLong = time.Minute
)

// fittedBefore reports whether each step of the job fits some target that was ever listed.
func (p *Pool) fittedBefore(j *job) bool {
	return !slices.ContainsFunc(j.Steps, func(s fleet.Step) bool { return !p.rooms.fits(j.Queue.Service, &s) })
}

// exceedsAllRooms reports whether a step of the job is too large for all targets of its service that
// were ever listed.
func (p *Pool) exceedsAllRooms(j *job) bool {
	return slices.ContainsFunc(j.Steps, func(s fleet.Step) bool {
		s.RequiredLabel = ""
		return !p.rooms.fits(j.Queue.Service, &s)
	})
}

// knowsAllRooms reports whether what the pool knows of targets shows that a job can never be done. Before
// it became the owner of stored jobs another one may have known targets that are away now.
func (p *Pool) knowsAllRooms(now time.Duration) bool {
	return p.stored.epoch <= 1 || p.rooms.KnownFor(now) >= knownForLong
}

// TargetsRead tells when the list of targets was read, or a time before that.
func (p *Pool) TargetsRead(at time.Duration) {
	p.targetsReadAt, p.targetsReadKnown = at, true
}

// listOutdated reports whether the list of targets is too old to show that no target was added.
func (p *Pool) listOutdated(now time.Duration) bool {
	return p.targetsReadKnown && now > p.targetsReadAt+currentListAge
}

// endUnfitJobs fails the stored jobs that fit no target that was ever listed, once they have waited for
// one for neverFitsAfter.
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
		case reason == "" || p.fittedBefore(j):
			j.unfitSince = 0
		case p.listOutdated(now):
			j.unfitSince = now
		case now >= j.unfitSince+neverFitsAfter && p.knowsAllRooms(now):
			p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
		}
	}
}
