package pool

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/verdict"
)

// Stored jobs outlive their owner. Progress that must survive is saved before any action
// that can't be undone: the end of a run is acknowledged to its target, and a job is
// shown as ended, only once its record is saved.

const (
	// keepEndedFor is how long the state of an ended job is kept in memory.
	keepEndedFor = 30 * time.Second
	// runsPerEpoch separates the run numbers that successive owners use.
	runsPerEpoch = 1 << 12
)

// storedState is the pool's state of stored jobs.
type storedState struct {
	owned           bool          // the pool owns the stored jobs, and knows them all
	expected        bool          // stored jobs exist, whether restored or not
	unknown         bool          // it is not known yet whether stored jobs exist
	epoch           int           // of the ownership
	startsUntil     time.Duration // tasks may be started until then
	renewedAt       time.Duration // when the ownership was last renewed
	keepUntil       time.Duration // runs may be kept until then while the pool does not own the stored jobs
	recall          recall
	lastSeen        time.Duration            // when the former owner may last have renewed its ownership
	formerRunsEnd   time.Duration            // when all runs of a former owner are over
	formerStartsEnd time.Duration            // when a former owner has started its last run
	formerOver      map[bool]bool            // restored jobs may be started, by longRunningOnly
	reportsAsked    bool                     // all owned targets were asked for a report since then
	followed        bool                     // a run of a later epoch has shown that there was another owner since
	nextFitCheck    time.Duration            // when it is checked next whether jobs fit
	ended           map[string]*endedJob     // by job ID
	recurring       map[string]*recurringJob // by job ID
	awaiting        map[bool][]*job          // jobs that await former runs, and some that have ended, by longRunningOnly
	unknownJobEnds  map[string][]heldEnd     // held ends of jobs that are not restored yet, by job ID
}

// endedJob is the final state of a stored job. It is shown once its record is saved.
type endedJob struct {
	state   fleet.JobState
	seq     int
	saved   bool
	endedAt time.Duration
}

// reset drops all state of stored jobs but their expected existence.
func (s *storedState) reset() {
	*s = storedState{expected: s.expected, ended: make(map[string]*endedJob),
		recurring: make(map[string]*recurringJob), awaiting: make(map[bool][]*job), formerOver: make(map[bool]bool), unknownJobEnds: make(map[string][]heldEnd)}
}

// ExpectStored tells the pool that stored jobs exist. Until they are restored, ends and
// runs of unknown jobs are kept for them.
func (p *Pool) ExpectStored() { p.stored.expected = true }

// AwaitStored tells the pool that it is not known yet whether stored jobs exist. Until
// it is, ends of unknown jobs are kept.
func (p *Pool) AwaitStored() { p.stored.unknown = true }

// NoStored tells the pool that no stored jobs exist.
func (p *Pool) NoStored() {
	p.stored.unknown = false
	if !p.stored.expected {
		p.releaseUnknownEnds()
	}
}

// TakeOverStored makes the pool the owner of the stored jobs in the given epoch, and
// restores them. The former owner may have renewed its ownership until lastSeen. It does
// nothing if the pool is not leading.
func (p *Pool) TakeOverStored(now, lastSeen time.Duration, epoch int, jobs []jobstore.StoredJob) {
	if !p.leading {
		return
	}
	p.stored.owned, p.stored.unknown, p.stored.epoch = true, false, epoch
	p.stored.lastSeen, p.stored.reportsAsked, p.stored.followed = lastSeen, false, false
	p.stored.formerStartsEnd = lastSeen + jobstore.StartLease + formerStartsMargin
	p.stored.formerRunsEnd = lastSeen + formerRunsTimeout
	clear(p.stored.formerOver)
	if !p.ownsListedTargets(now) {
		p.stored.formerRunsEnd = lastSeen + unreachableWait
	}
	p.log("stored", "outcome", "owned", "epoch", epoch, "jobs", len(jobs), "safe_in_ms", (p.stored.formerRunsEnd - now).Milliseconds())
	for i := range jobs {
		p.restoreJob(now, &jobs[i])
	}
	p.releaseUnknownEnds()
}

// StoredDropped tells the owner of the stored jobs that the pool has dropped the jobs of an
// epoch. The owner has to restore them, for the pool takes no stored job until then.
type StoredDropped struct{ Epoch int }

// ReleaseStored drops all stored jobs and stops their runs, because another owner has
// taken over or the ownership was not renewed.
func (p *Pool) ReleaseStored(now time.Duration, reason string) {
	p.log("stored", "outcome", "dropped", "reason", reason)
	for _, j := range p.jobs {
		if !j.Stored {
			continue
		}
		p.dropJob(j)
		j.queueState.remove(j)
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "job has another owner")
			p.detachRun(r)
		}
	}
	if p.stored.recall.wanted != 0 {
		p.emit(RecallStored{})
	}
	p.stored.reset()
	for _, t := range p.sortedTargets {
		t.lastEnd, t.heldEnds = t.ackNumber(), nil
	}
}

// detachRun makes a run unclaimed, so that its job can adopt it if it is restored.
func (p *Pool) detachRun(r *run) {
	tk, t := r.task, r.target
	t.used = t.used.Minus(r.needs)
	tk.job.queueState.Used -= r.needs.MilliCPU
	r.task, tk.currentRun = nil, nil
	t.unclaimed++
	p.unclaimedRuns[r.taskID.Job] = append(p.unclaimedRuns[r.taskID.Job], r)
}

// RenewStored records a renewal of the ownership, and permits starts of stored jobs
// until the given time.
func (p *Pool) RenewStored(renewed, until time.Duration) {
	p.stored.renewedAt = max(p.stored.renewedAt, renewed)
	p.stored.startsUntil = max(p.stored.startsUntil, until)
}

// tickStored drops the stored jobs if their runs may not continue without a renewal, or if another owner has
// followed an idle one. It starts due occurrences and removes ended jobs.
func (p *Pool) tickStored(now time.Duration) {
	if !p.stored.owned {
		return
	}
	if now > p.stored.renewedAt+jobstore.RunLease && p.hasStoredRuns() {
		p.emit(StoredDropped{p.stored.epoch})
		p.ReleaseStored(now, "ownership not renewed in time")
		return
	}
	if p.stored.followed && !p.hasStoredRuns() { // with runs the renewals of the ownership will show it
		p.emit(StoredDropped{p.stored.epoch})
		p.ReleaseStored(now, "a run of a later owner has ended")
		return
	}
	p.awaitFormerRuns(now)
	p.releaseAwaiting(now)
	p.endUnfitJobs(now)
	p.tickRecurring(now)
}

// hasStoredRuns reports whether a stored job has runs.
func (p *Pool) hasStoredRuns() bool {
	for _, t := range p.sortedTargets {
		for _, r := range t.runs {
			if r.task != nil && r.task.job.Stored && r.task.currentRun == r && p.jobs[r.task.job.ID] == r.task.job {
				return true
			}
		}
	}
	return false
}

// mayStart reports whether tasks of the job may be started now.
func (p *Pool) mayStart(now time.Duration, j *job) bool {
	if !j.Stored {
		return p.mayStartVouched(now, j)
	}
	return now < p.stored.startsUntil && !j.awaitsFormerRuns
}

// submitStored accepts a stored job that was just submitted. It does nothing if the pool
// does not own the stored jobs or knows the job already.
func (p *Pool) submitStored(now time.Duration, s Submit) {
	if !p.leading || !p.stored.owned || p.hasStored(s.Job.ID) {
		return // not owned, or known already
	}
	if s.Job.Occurrences > 0 {
		p.addRecurring(now, s.Job, fleet.Record{}, false)
		return
	}
	p.addStored(now, s, fleet.Record{}, false)
}

// restoreJob restores a stored job from its last record.
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

// hasStored reports whether the pool knows the stored job, ended or not.
func (p *Pool) hasStored(id string) bool {
	return p.jobs[id] != nil || p.stored.ended[id] != nil || p.stored.recurring[id] != nil
}

// addStored adds a stored job with the progress of its record.
func (p *Pool) addStored(now time.Duration, s Submit, rec fleet.Record, restored bool) *job {
	j := p.newJob(now, s)
	j.restored = restored
	j.formerRunsEnd = 0
	p.awaitFormerOwner(j)
	p.addJob(j)
	p.applyRecord(j, rec)
	p.restoreOpenRuns(now, j, rec.Open)
	p.reconcileStored(now, j, rec)
	return j
}

// reconcileStored applies held ends and unclaimed runs to a job that was just added, and
// queues it unless that ended it.
func (p *Pool) reconcileStored(now time.Duration, j *job, rec fleet.Record) {
	for _, h := range p.takeHeldEnds(j.ID) {
		p.handleUnknownEnd(now, h.target, h.end)
		if !h.isOver() {
			p.holdEnd(h.target, h.end)
		}
	}
	if p.jobs[j.ID] != j {
		return // ended by the held ends
	}
	p.adopt(now, j)
	if p.learnSuspicions(now, j, rec.Suspicions); p.jobs[j.ID] != j {
		return // given up
	}
	switch reason := p.neverFits(j); {
	case reason != "" && !j.restored && p.exceedsAllRooms(j) && p.knowsAllRooms(now):
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
		return
	case reason != "":
		j.unfitSince = now
	}
	p.enqueue(j)
}

// applyRecord applies the recorded progress to the tasks of a job.
func (p *Pool) applyRecord(j *job, rec fleet.Record) {
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			tk.lastRun = p.stored.epoch * runsPerEpoch
			tk.failures, tk.failedRun = rec.Failures[tk.ordinal], rec.FailedRuns[tk.ordinal]
			if tk.failures > 0 && tk.failedRun == 0 {
				tk.failedRun = tk.lastRun // not known: all runs of former owners count as counted
			}
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

// record returns the progress of a job that must survive its owner, with open runs on at most the given number of targets.
func (j *job) record(state fleet.JobState, openTargets int) fleet.Record {
	rec := fleet.Record{State: state}
	if !state.Ended() {
		rec.Open = j.openOnLostTargets(openTargets)
	}
	if j.suspected != nil {
		rec.Suspicions = j.suspected.tasks.Clone()
		j.suspicionsSaved = j.suspicionsSaved || len(rec.Suspicions) > 0
	}
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			if tk.state == taskDone {
				rec.SetDone(tk.ordinal)
			}
			if tk.failures > 0 {
				if rec.Failures == nil {
					rec.Failures, rec.FailedRuns = make(map[int]int), make(map[int]int)
				}
				rec.Failures[tk.ordinal], rec.FailedRuns[tk.ordinal] = tk.failures, tk.failedRun
			}
		}
	}
	return rec
}

// saveRecord emits the record of a stored job to be saved. It does nothing for other
// jobs.
func (p *Pool) saveRecord(j *job, state fleet.JobState) {
	if !j.Stored || j.endRecorded {
		return // reports after the end of a job change nothing
	}
	if j.parent != nil {
		p.saveRecurring(j.parent, fleet.JobRunning)
		return
	}
	j.seq++
	p.emit(jobstore.Save{Job: j.ID, Seq: j.seq, Epoch: p.stored.epoch, Record: j.record(state, fleet.MaxOpenTargets)})
}

// endStoredJob records how a stored job ended. The end is shown once the record is
// saved.
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

// RecordSaved handles the confirmation that a record was saved: ends that it contains
// may be acknowledged.
func (p *Pool) RecordSaved(id string, seq int) {
	if rj := p.stored.recurring[id]; rj != nil {
		rj.savedSeq = max(rj.savedSeq, seq)
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

// JobState returns the state of a stored job, or false if the job is unknown.
func (p *Pool) JobState(id string) (fleet.JobState, bool) {
	if e := p.stored.ended[id]; e != nil {
		if e.saved {
			return e.state, true
		}
		return fleet.JobRunning, true
	}
	if rj := p.stored.recurring[id]; rj != nil {
		return rj.state(), true
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

// KnowsAllStored reports whether an unknown job is certain not to be open: the pool is
// leading, and owns the stored jobs or there are none.
func (p *Pool) KnowsAllStored() bool {
	return p.leading && (p.stored.owned || !p.stored.expected && !p.stored.unknown)
}

// OwnsStored reports whether the pool owns the stored jobs, and so knows them all.
func (p *Pool) OwnsStored() bool { return p.stored.owned }

// Pending returns the number of stored jobs that have not started, by queue.
func (p *Pool) Pending() map[string]int {
	n := make(map[string]int)
	for _, j := range p.jobs {
		if j.Stored && !j.started && j.parent == nil {
			n[j.Queue.Name]++
		}
	}
	for _, rj := range p.stored.recurring {
		if rj.state() == fleet.JobQueued {
			n[rj.Queue.Name]++
		}
	}
	return n
}
