package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/verdict"
)

// Stored jobs outlast their owner. What has to last of their course is saved
// before it is acted on where it can't be undone: an end that a target lists is
// acknowledged, and a job is shown as ended, only once its record is saved.

const (
	// formerRunsTimeout is the time after which nothing of a former owner runs, with
	// the leases of its last orders and room for clock rates.
	formerRunsTimeout = jobstore.RunLease + 1100*time.Millisecond
	// unreachableWait is how long tasks of a former owner are not started again while
	// a target on which they may have ended is out of reach, unless it has left. It is
	// longer than the usual cut, after which rows of targets that were cut off from the
	// store have vanished too.
	unreachableWait = 12 * time.Second
	// stableListFor is how long the list of targets must have lost none, so that
	// owning all that are listed proves that nothing runs elsewhere.
	stableListFor = 4 * time.Second
	// keepEndedFor is how long the state of a job that has ended is kept in memory.
	keepEndedFor = 30 * time.Second
	// runsPerEpoch separates the numbers of runs that successive owners use.
	runsPerEpoch = 1 << 12
)

// storedState is what the pool keeps for stored jobs.
type storedState struct {
	owned          bool
	expected       bool // stored jobs exist, restored or not
	unknown        bool // nobody has looked yet whether there are any
	epoch          int
	startsUntil    time.Duration // starts are allowed until then
	renewedAt      time.Duration // when the ownership was renewed last
	formerRunsEnd  time.Duration // when nothing of a former owner runs any more
	ended          map[string]*endedJob
	recurring      map[string]*recurringJob // jobs that repeat
	unknownJobEnds map[string][]heldEnd     // ends of jobs that are not restored yet
}

type endedJob struct {
	state   fleet.JobState
	seq     int
	saved   bool
	endedAt time.Duration
}

func (s *storedState) reset() {
	*s = storedState{expected: s.expected, ended: make(map[string]*endedJob),
		recurring: make(map[string]*recurringJob), unknownJobEnds: make(map[string][]heldEnd)}
}

// ExpectStored says that stored jobs exist. Until they are restored, ends and
// runs of jobs that are not known are kept for them.
func (p *Pool) ExpectStored() { p.stored.expected = true }

// AwaitStored says that it is not known yet whether there are stored jobs. Ends of jobs
// that are not known are kept for them until then.
func (p *Pool) AwaitStored() { p.stored.unknown = true }

// NoStored says that there are no stored jobs.
func (p *Pool) NoStored() {
	p.stored.unknown = false
	if !p.stored.expected {
		p.releaseUnknownEnds()
	}
}

// TakeOverStored takes over the stored jobs, as their owner of an epoch. The owner
// before may have renewed its ownership until lastSeen.
func (p *Pool) TakeOverStored(now, lastSeen time.Duration, epoch int, jobs []jobstore.StoredJob) {
	if !p.leading {
		return
	}
	p.stored.owned, p.stored.unknown, p.stored.epoch = true, false, epoch
	p.stored.formerRunsEnd = lastSeen + formerRunsTimeout
	if !p.ownsListedTargets(now) {
		p.stored.formerRunsEnd = lastSeen + unreachableWait
	}
	p.log("stored", "outcome", "owned", "epoch", epoch, "jobs", len(jobs), "safe_in_ms", (p.stored.formerRunsEnd - now).Milliseconds())
	for i := range jobs {
		p.restoreJob(now, &jobs[i])
	}
	p.releaseUnknownEnds()
}

// ReleaseStored gives all stored jobs up: another owner has them, or they may not go
// on without a renewal.
func (p *Pool) ReleaseStored(now time.Duration, why string) {
	p.log("stored", "outcome", "dropped", "reason", why)
	for id, j := range p.jobs {
		if !j.Stored {
			continue
		}
		delete(p.jobs, id)
		j.queueState.remove(j)
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "its job has another owner")
			p.detachRun(r)
		}
	}
	p.stored.reset()
	for _, t := range p.sortedTargets {
		t.lastEnd, t.heldEnds = t.ackNumber(), nil
	}
}

// detachRun makes a run one of a job that is not known, so that the job can adopt it
// if it is restored.
func (p *Pool) detachRun(r *run) {
	tk, t := r.task, r.target
	t.used = t.used.Minus(r.needs)
	tk.job.queueState.usedMilliCPU -= r.needs.MilliCPU
	r.task, tk.currentRun = nil, nil
	t.unclaimed++
	p.unclaimedRuns[r.taskID.Job] = append(p.unclaimedRuns[r.taskID.Job], r)
}

// RenewStored allows starts of stored jobs until a time.
func (p *Pool) RenewStored(renewed, until time.Duration) {
	p.stored.renewedAt = max(p.stored.renewedAt, renewed)
	p.stored.startsUntil = max(p.stored.startsUntil, until)
}

// tickStored ends what may not go on without a renewal.
func (p *Pool) tickStored(now time.Duration) {
	if !p.stored.owned {
		return
	}
	if now > p.stored.renewedAt+jobstore.RunLease && p.hasStoredRuns() {
		p.ReleaseStored(now, "not renewed")
		return
	}
	if now < p.stored.formerRunsEnd && p.noRunsElsewhere(now) {
		p.stored.formerRunsEnd = now
	}
	p.tickRecurring(now)
	for id, e := range p.stored.ended {
		if e.saved && now > e.endedAt+keepEndedFor {
			delete(p.stored.ended, id)
		}
	}
}

func (p *Pool) hasStoredRuns() bool {
	for _, j := range p.jobs {
		if j.Stored && len(j.currentRuns()) > 0 {
			return true
		}
	}
	return false
}

// noRunsElsewhere reports whether all targets on which a former owner could run something
// are owned.
func (p *Pool) noRunsElsewhere(now time.Duration) bool {
	if now < max(p.firstListedAt, p.lastUnlistedAt)+stableListFor {
		return false
	}
	return p.ownsListedTargets(now)
}

// ownsListedTargets reports whether all targets that were listed lately are owned.
func (p *Pool) ownsListedTargets(now time.Duration) bool {
	if p.lastUnlistedAt > 0 && now < p.lastUnlistedAt+unreachableWait {
		return false
	}
	for _, t := range p.sortedTargets {
		if !t.owned {
			return false
		}
	}
	return true
}

// mayStart reports whether tasks of the job may be started now.
func (p *Pool) mayStart(now time.Duration, j *job) bool {
	if !j.Stored {
		return now >= j.formerRunsEnd
	}
	return now < p.stored.startsUntil && (!j.restored || now >= p.stored.formerRunsEnd)
}

// submitStored takes in a stored job that was accepted a moment ago.
func (p *Pool) submitStored(now time.Duration, s Submit) {
	if !p.leading || !p.stored.owned || p.hasStored(s.Job.ID) {
		return // not ours, or known
	}
	if s.Job.Occurrences > 0 {
		p.addRecurring(now, s.Job, fleet.Record{}, false)
		return
	}
	p.addStored(now, s, fleet.Record{}, false)
}

func (p *Pool) restoreJob(now time.Duration, r *jobstore.StoredJob) {
	if r.Record.State.Ended() {
		p.stored.ended[r.Job.ID] = &endedJob{state: r.Record.State, saved: true, endedAt: now}
		return
	}
	switch {
	case p.hasStored(r.Job.ID):
	case r.Job.Occurrences > 0:
		p.addRecurring(now, r.Job, r.Record, true)
	default:
		p.addStored(now, Submit{Job: r.Job, Waited: r.Waited}, r.Record, true)
	}
}

func (p *Pool) hasStored(id string) bool {
	return p.jobs[id] != nil || p.stored.ended[id] != nil || p.stored.recurring[id] != nil
}

func (p *Pool) addStored(now time.Duration, s Submit, rec fleet.Record, restored bool) *job {
	j := p.newJob(now, s)
	j.restored = restored
	j.formerRunsEnd = 0
	p.jobs[j.ID] = j
	p.applyRecord(j, rec)
	p.reconcileStored(now, j)
	return j
}

// reconcileStored takes in what is known already of a job that was just taken.
func (p *Pool) reconcileStored(now time.Duration, j *job) {
	for _, h := range p.takeHeldEnds(j.ID) {
		p.handleUnknownEnd(now, h.end)
		p.holdEnd(h.target, h.end)
	}
	if p.jobs[j.ID] != j {
		return // ended by what was listed
	}
	p.adopt(now, j)
	if reason := p.neverFits(j); reason != "" && !j.restored {
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
		return
	}
	p.enqueue(j)
}

// applyRecord marks the tasks that were done before.
func (p *Pool) applyRecord(j *job, rec fleet.Record) {
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			tk.lastRun = p.stored.epoch * runsPerEpoch
			tk.failures = rec.Failures[tk.ordinal]
			j.started = j.started || tk.failures > 0 || rec.IsDone(tk.ordinal)
			j.mayHaveStarted = j.started
			if !rec.IsDone(tk.ordinal) {
				continue
			}
			if tk.state == taskWaiting {
				j.waiting--
			}
			tk.state = taskDone
			j.remaining[tk.id.Step]--
		}
	}
	p.unblock(j)
}

// record returns what has to last of a job.
func (j *job) record(state fleet.JobState) fleet.Record {
	rec := fleet.Record{State: state}
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			if tk.state == taskDone {
				rec.SetDone(tk.ordinal)
			}
			if tk.failures > 0 {
				if rec.Failures == nil {
					rec.Failures = make(map[int]int)
				}
				rec.Failures[tk.ordinal] = tk.failures
			}
		}
	}
	return rec
}

// saveRecord asks for the job's record to be saved, if it is a stored job.
func (p *Pool) saveRecord(j *job, state fleet.JobState) {
	if !j.Stored || j.endRecorded {
		return // what is still reported of a job that has ended changes nothing
	}
	if j.parent != nil {
		p.saveRecurring(j.parent, fleet.JobRunning)
		return
	}
	j.seq++
	p.emit(jobstore.Save{Job: j.ID, Seq: j.seq, Record: j.record(state)})
}

// endStoredJob notes how a stored job ended. It is shown once that is saved.
func (p *Pool) endStoredJob(now time.Duration, j *job, o fleet.Outcome) {
	state := fleet.JobFailed
	switch {
	case o.Verdict == verdict.Completed:
		state = fleet.JobComplete
	case o.Reason == verdict.Cancelled:
		state = fleet.JobCancelled
	}
	if j.parent != nil {
		p.endOccurrence(now, j, state)
		return
	}
	p.saveRecord(j, state)
	j.endRecorded = true
	p.stored.ended[j.ID] = &endedJob{state: state, seq: j.seq, endedAt: now}
}

// RecordSaved notes that a record is saved: the ends that it covers may be acknowledged.
func (p *Pool) RecordSaved(id string, seq int) {
	if tm := p.stored.recurring[id]; tm != nil {
		tm.savedSeq = max(tm.savedSeq, seq)
	} else if j := p.jobs[id]; j != nil {
		j.savedSeq = max(j.savedSeq, seq)
	}
	if e := p.stored.ended[id]; e != nil && seq >= e.seq {
		e.saved = true
	}
	for _, t := range p.sortedTargets {
		t.releaseHeld(func(h heldEnd) bool { return h.job == id && h.recordSeq <= seq })
	}
}

// JobState returns the state of a stored job, if it is known.
func (p *Pool) JobState(id string) (fleet.JobState, bool) {
	if e := p.stored.ended[id]; e != nil {
		if e.saved {
			return e.state, true
		}
		return fleet.JobRunning, true
	}
	if tm := p.stored.recurring[id]; tm != nil {
		return tm.state(), true
	}
	j := p.jobs[id]
	switch {
	case j == nil || !j.Stored:
		return 0, false
	case j.started:
		return fleet.JobRunning, true
	}
	return fleet.JobQueued, true
}

// KnowsAllStored reports whether a job that the pool does not know is not open: it owns
// all stored jobs, or there are none.
func (p *Pool) KnowsAllStored() bool {
	return p.leading && (p.stored.owned || !p.stored.expected && !p.stored.unknown)
}

// OwnsStored reports whether the pool knows all stored jobs.
func (p *Pool) OwnsStored() bool { return p.stored.owned }

// Pending returns how many stored jobs of each queue have not begun.
func (p *Pool) Pending() map[string]int {
	n := make(map[string]int)
	for _, j := range p.jobs {
		if j.Stored && !j.started && j.parent == nil {
			n[j.Queue.Name]++
		}
	}
	for _, tm := range p.stored.recurring {
		if tm.state() == fleet.JobQueued {
			n[tm.Queue.Name]++
		}
	}
	return n
}
