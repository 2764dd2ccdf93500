package pool

import (
	"cmp"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// Of several pools, each caller's attempt may be run by another one, whose leaders know nothing of each
// other. So each job has a home among the pools, the same at all entries. A coordinator that hands a job to
// another pool tells the leader of its home before, and waits for the runs of earlier attempts there.

// maxElsewhere limits the notes of jobs that are in other pools.
const maxElsewhere = 1 << 15

// elsewhere is the note of a coordinator that its job is in another pool.
type elsewhere struct {
	coordinator string
	until       time.Duration // its runs are over then
	gone        bool          // the coordinator has given the job up
}

// CallerReturned asks a coordinator to give a job up: its caller has submitted the job again at another
// entry.
type CallerReturned struct {
	Coordinator string
	Job         string
}

// NoteElsewhere records that a coordinator has a job in another pool, with runs that are over at the given
// time at the latest.
func (p *Pool) NoteElsewhere(now time.Duration, coordinator, id string, until time.Duration) {
	if !p.leading || p.keptElsewhere >= maxElsewhere && p.elsewhere[id] == nil {
		return
	}
	p.forgetElsewhere(id, func(e elsewhere) bool { return e.coordinator == coordinator })
	p.elsewhere[id] = append(p.elsewhere[id], elsewhere{coordinator: coordinator, until: until})
	p.keptElsewhere++
	if j := p.jobs[id]; j != nil && !j.Stored && !j.orphaned {
		p.awaitElsewhere(now, j)
	}
}

// JobsElsewhere returns the number of jobs of which there are notes that they are in other pools.
func (p *Pool) JobsElsewhere() int { return len(p.elsewhere) }

// GoneElsewhere records that a coordinator has given up a job that is in another pool, with runs that are
// over at the given time.
func (p *Pool) GoneElsewhere(coordinator, id string, until time.Duration) {
	notes := p.elsewhere[id]
	for i := range notes {
		if e := &notes[i]; e.coordinator == coordinator {
			e.until, e.gone = min(e.until, until), true
		}
	}
	if j := p.jobs[id]; j != nil && !j.Stored {
		j.elsewhereUntil = p.elsewhereUntil(id, j.attempt())
	}
}

// ClaimElsewhere records that a coordinator is about to submit a job to another pool, with runs that are
// over at the given time at the latest, and ends the earlier attempts at other coordinators. It returns
// until when runs of these may be at work.
func (p *Pool) ClaimElsewhere(now time.Duration, coordinator, id string, until time.Duration) time.Duration {
	j := p.jobs[id]
	if j != nil && j.Stored {
		return 0
	}
	if j != nil && (j.orphaned || j.attempt() != coordinator) {
		p.endAttempt(now, j)
	}
	p.NoteElsewhere(now, coordinator, id, until)
	p.askToGiveUp(now, coordinator, id)
	left := p.leftRuns[id]
	if p.formerShown < left.formerRunsEnd {
		p.formerShown = p.formerRunsShownByAll(now) // targets may have been acquired since the last tick
	}
	over, open := max(p.elsewhereUntil(id, coordinator), left.until), p.isOpen(&left) || len(p.unclaimedRuns[id]) > 0
	if j := p.jobs[id]; j != nil {
		over, open = max(over, p.runsOver(j)), open || slices.ContainsFunc(j.openRuns(), onLostTarget)
	}
	if open {
		over = max(over, now+OpenFor)
	}
	return over
}

// endAttempt stops the runs of a job whose caller has submitted it again at another entry, and tells its
// coordinator.
func (p *Pool) endAttempt(now time.Duration, j *job) {
	over := j.formerRunsEnd
	for _, e := range j.earlier {
		over = max(over, e.permittedUntil+p.cfg.TakeoverDelay-p.cfg.VouchFor)
	}
	if !j.orphaned {
		p.emit(Ended{j.coordinator, j.ID, j.number, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Resubmitted}})
	}
	p.orphanJob(now, j, now)
	if over > now {
		left := p.leftRuns[j.ID]
		left.coordinator, left.until = j.coordinator, max(left.until, over)
		p.leftRuns[j.ID] = left
	}
}

// attempt returns the coordinator of the job's present caller, whether it relays the job or not.
func (j *job) attempt() string {
	if j.vouch != nil {
		return cmp.Or(j.vouch.origin, j.coordinator)
	}
	return j.coordinator
}

// awaitElsewhere delays the start of a job until the runs are over that it has in other pools by the words
// of earlier coordinators, and asks these to give it up.
func (p *Pool) awaitElsewhere(now time.Duration, j *job) {
	j.elsewhereUntil = p.elsewhereUntil(j.ID, j.attempt())
	if j.elsewhereUntil <= now {
		return
	}
	j.mayHaveRunElsewhere = true
	j.markMayHaveStarted()
	p.askToGiveUp(now, j.attempt(), j.ID)
	p.log("job", "job", j.ID, "outcome", "waits for its runs in another pool", "coordinator", j.coordinator, "safe_in_ms", (j.elsewhereUntil - now).Milliseconds())
}

// elsewhereUntil returns until when runs of a job may be at work in other pools that have it from other
// coordinators than the given one.
func (p *Pool) elsewhereUntil(id, coordinator string) (until time.Duration) {
	for _, e := range p.elsewhere[id] {
		if e.coordinator != coordinator {
			until = max(until, e.until)
		}
	}
	return until
}

// askToGiveUp asks the other coordinators of a job to give it up.
func (p *Pool) askToGiveUp(now time.Duration, coordinator, id string) {
	for _, e := range p.elsewhere[id] {
		if e.coordinator != coordinator && !e.gone && e.until > now {
			p.emit(CallerReturned{e.coordinator, id})
		}
	}
}

// forgetElsewhere forgets notes about a job.
func (p *Pool) forgetElsewhere(id string, drop func(elsewhere) bool) {
	before := len(p.elsewhere[id])
	kept := slices.DeleteFunc(p.elsewhere[id], drop)
	p.keptElsewhere -= before - len(kept)
	if len(kept) == 0 {
		delete(p.elsewhere, id)
		return
	}
	p.elsewhere[id] = kept
}

// sweepElsewhere forgets the notes of runs that are over. Coordinators that were not linked when a job
// began to wait for theirs are asked again.
func (p *Pool) sweepElsewhere(now time.Duration) {
	for id := range p.elsewhere {
		p.forgetElsewhere(id, func(e elsewhere) bool { return e.until <= now })
		if j := p.jobs[id]; j != nil && !j.orphaned && j.elsewhereUntil > now {
			p.askToGiveUp(now, j.attempt(), id)
		}
	}
}
