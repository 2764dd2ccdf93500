package pool

import (
	"slices"
	"time"
)

// A leader remembers which runs of a job that has left its pool are open. The next leader does not, so the
// coordinators tell it of the jobs that they have answered as ones that may have run. Until all targets have shown the
// runs of that time, a copy of such a job waits.

// maxNotedLeft limits the jobs that have left of which others than this leader have told.
const maxNotedLeft = 1 << 15

// LeftNote is the note of a coordinator that it has given up a job that may have run.
type LeftNote struct {
	Coordinator string
	Job         string
	// VouchedAgo is the time since the coordinator last vouched for the job to any leader.
	VouchedAgo time.Duration
	// HereOnly is set if no other leader has had the job from the coordinator, where it arrived at ArrivedAt.
	HereOnly  bool
	ArrivedAt time.Duration
}

// NoteLeft records a job that may have run by the word of its coordinator, and reports whether runs of it are open. A
// leader that has had the job itself, and has led since, goes by its own memory.
func (p *Pool) NoteLeft(now time.Duration, n LeftNote) (open bool) {
	j := p.jobs[n.Job]
	if !p.leading || j != nil && j.Stored {
		return false
	}
	until := now + p.cfg.TakeoverDelay - n.VouchedAgo
	if n.HereOnly && p.leadingSince <= n.ArrivedAt || now >= until && p.formerShown >= until {
		return p.hasOpenRuns(now, n.Job)
	}
	if now >= until {
		p.formerRunsShown(now, until) // asks the targets
	}
	if j != nil {
		p.awaitNoted(now, j, until)
	} else {
		p.noteLeft(now, &n, until)
	}
	return true
}

// awaitNoted delays the starts of a job that is here already when a coordinator tells of an earlier attempt.
func (p *Pool) awaitNoted(now time.Duration, j *job, until time.Duration) {
	if j.mayHaveRunElsewhere && j.formerRunsEnd >= until {
		return
	}
	j.mayHaveRunElsewhere = true
	j.markMayHaveStarted()
	j.waitForRunsUntil(now, until)
	p.log("job", "job", j.ID, "outcome", "waits for its earlier runs", "coordinator", j.coordinator, "safe_in_ms", (until - now).Milliseconds(), "open", true)
}

// noteLeft records a job that is not here.
func (p *Pool) noteLeft(now time.Duration, n *LeftNote, until time.Duration) {
	left, known := p.leftRuns[n.Job]
	if !known && len(p.leftRuns) >= maxNotedLeft {
		return
	}
	if !known {
		p.log("job", "job", n.Job, "outcome", "left a former leader", "coordinator", n.Coordinator, "safe_in_ms", (until - now).Milliseconds())
	}
	left.coordinator = "" // whoever submits the job waits for all of its runs
	left.until, left.formerRunsEnd = max(left.until, min(until, now+maxLeftRunsWait)), max(left.formerRunsEnd, until)
	p.leftRuns[n.Job] = left
}

// hasOpenRuns reports whether runs of attempts at a job that are over may be at work.
func (p *Pool) hasOpenRuns(now time.Duration, id string) bool {
	left := p.leftRuns[id]
	if left.until > now || p.isOpen(&left) || len(p.unclaimedRuns[id]) > 0 {
		return true
	}
	j := p.jobs[id]
	if j == nil {
		return false
	}
	waits := j.mayHaveRunElsewhere && (now < j.formerRunsEnd || p.formerShown < j.formerRunsEnd)
	return j.orphaned || waits || j.hasLeftRuns() || slices.ContainsFunc(j.openRuns(), onLostTarget)
}
