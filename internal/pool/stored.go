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
	// successorWaits is the time after which nothing of a former owner runs, with
	// the leases of its last orders and room for clock rates.
	successorWaits = jobstore.RunLease + 1100*time.Millisecond
	// unreachableWait is how long tasks of a former owner are not started again while
	// a target on which they may have ended is out of reach, unless it has left. It is
	// longer than the usual cut, after which rows of targets that were cut off from the
	// store have vanished too.
	unreachableWait = 12 * time.Second
	// settledFor is how long the list of targets must have lost none, so that
	// owning all that are listed proves that nothing runs elsewhere.
	settledFor = 4 * time.Second
	// showEnded is how long the state of a job that has ended is kept in memory.
	showEnded = 30 * time.Second
	// runsAnEpoch separates the numbers of runs that successive owners use.
	runsAnEpoch = 1 << 12
)

// storedState is what the pool keeps for stored jobs.
type storedState struct {
	owned    bool
	expected bool // stored jobs exist, restored or not
	unknown  bool // nobody has looked yet whether there are any
	epoch    int
	until    time.Duration // starts are allowed until then
	renewed  time.Duration // when the ownership was renewed last
	safeAt   time.Duration // when nothing of a former owner runs any more
	ended    map[string]*endedJob
	timed    map[string]*timed    // jobs that repeat
	ends     map[string][]heldEnd // ends of jobs that are not restored yet
}

type endedJob struct {
	state fleet.JobState
	seq   int
	saved bool
	at    time.Duration
}

func (s *storedState) reset() {
	*s = storedState{expected: s.expected, ended: make(map[string]*endedJob),
		timed: make(map[string]*timed), ends: make(map[string][]heldEnd)}
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

// OwnStored takes over the stored jobs, as their owner of an epoch. The owner
// before may have renewed its ownership until lastSeen.
func (p *Pool) OwnStored(now, lastSeen time.Duration, epoch int, jobs []jobstore.StoredJob) {
	if !p.leading {
		return
	}
	p.stored.owned, p.stored.unknown, p.stored.epoch = true, false, epoch
	p.stored.safeAt = lastSeen + successorWaits
	if !p.reachesAll(now) {
		p.stored.safeAt = lastSeen + unreachableWait
	}
	p.log("stored", "outcome", "owned", "epoch", epoch, "jobs", len(jobs), "safe_in_ms", (p.stored.safeAt - now).Milliseconds())
	for i := range jobs {
		p.restoreJob(now, &jobs[i])
	}
	p.releaseUnknownEnds()
}

// DropStored gives all stored jobs up: another owner has them, or they may not go
// on without a renewal.
func (p *Pool) DropStored(now time.Duration, why string) {
	p.log("stored", "outcome", "dropped", "reason", why)
	for id, j := range p.jobs {
		if !j.Stored {
			continue
		}
		delete(p.jobs, id)
		j.class.remove(j)
		for _, r := range j.runs() {
			p.stop(now, r, "its job has another owner")
			p.disown(r)
		}
	}
	p.stored.reset()
	for _, t := range p.order {
		t.seen, t.held = t.acknowledged(), nil
	}
}

// disown makes a run one of a job that is not known, so that the job can adopt it
// if it is restored.
func (p *Pool) disown(r *run) {
	tk, t := r.owner, r.target
	t.used = t.used.Minus(r.needs)
	tk.job.class.inUse -= r.needs.MilliCPU
	r.owner, tk.current = nil, nil
	t.unknown++
	p.foreign[r.task.Job] = append(p.foreign[r.task.Job], r)
}

// RenewStored allows starts of stored jobs until a time.
func (p *Pool) RenewStored(renewed, until time.Duration) {
	p.stored.renewed = max(p.stored.renewed, renewed)
	p.stored.until = max(p.stored.until, until)
}

// tickStored ends what may not go on without a renewal.
func (p *Pool) tickStored(now time.Duration) {
	if !p.stored.owned {
		return
	}
	if now > p.stored.renewed+jobstore.RunLease && p.runsStored() {
		p.DropStored(now, "not renewed")
		return
	}
	if now < p.stored.safeAt && p.ownsAll(now) {
		p.stored.safeAt = now
	}
	p.tickTimed(now)
	for id, e := range p.stored.ended {
		if e.saved && now > e.at+showEnded {
			delete(p.stored.ended, id)
		}
	}
}

func (p *Pool) runsStored() bool {
	for _, j := range p.jobs {
		if j.Stored && len(j.runs()) > 0 {
			return true
		}
	}
	return false
}

// ownsAll reports whether all targets on which a former owner could run something
// are owned.
func (p *Pool) ownsAll(now time.Duration) bool {
	if now < max(p.firstListed, p.lastVanished)+settledFor {
		return false
	}
	return p.reachesAll(now)
}

// reachesAll reports whether all targets that were listed lately are owned.
func (p *Pool) reachesAll(now time.Duration) bool {
	if p.lastVanished > 0 && now < p.lastVanished+unreachableWait {
		return false
	}
	for _, t := range p.order {
		if !t.owned {
			return false
		}
	}
	return true
}

// mayStart reports whether tasks of the job may be started now.
func (p *Pool) mayStart(now time.Duration, j *job) bool {
	if !j.Stored {
		return now >= j.safeAt
	}
	return now < p.stored.until && (!j.restored || now >= p.stored.safeAt)
}

// submitStored takes in a stored job that was accepted a moment ago.
func (p *Pool) submitStored(now time.Duration, s Submit) {
	if !p.leading || !p.stored.owned || p.knowsStored(s.Job.ID) {
		return // not ours, or known
	}
	if s.Job.Occurrences > 0 {
		p.takeTimed(now, s.Job, fleet.Record{}, false)
		return
	}
	p.takeStored(now, s, fleet.Record{}, false)
}

func (p *Pool) restoreJob(now time.Duration, r *jobstore.StoredJob) {
	if r.Record.State.Ended() {
		p.stored.ended[r.Job.ID] = &endedJob{state: r.Record.State, saved: true, at: now}
		return
	}
	switch {
	case p.knowsStored(r.Job.ID):
	case r.Job.Occurrences > 0:
		p.takeTimed(now, r.Job, r.Record, true)
	default:
		p.takeStored(now, Submit{Job: r.Job, Waited: r.Waited}, r.Record, true)
	}
}

func (p *Pool) knowsStored(id string) bool {
	return p.jobs[id] != nil || p.stored.ended[id] != nil || p.stored.timed[id] != nil
}

func (p *Pool) takeStored(now time.Duration, s Submit, rec fleet.Record, restored bool) *job {
	j := p.newJob(now, s)
	j.restored = restored
	j.safeAt = 0
	p.jobs[j.ID] = j
	p.applyRecord(j, rec)
	p.settleStored(now, j)
	return j
}

// settleStored takes in what is known already of a job that was just taken.
func (p *Pool) settleStored(now time.Duration, j *job) {
	for _, h := range p.takeEndsOf(j.ID) {
		p.foreignEnd(now, h.end)
		p.holdBack(h.target, h.end)
	}
	if p.jobs[j.ID] != j {
		return // ended by what was listed
	}
	p.adopt(now, j)
	if reason := p.neverFits(j); reason != "" && !j.restored {
		p.end(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
		return
	}
	p.enqueue(j)
}

// applyRecord marks the tasks that were done before.
func (p *Pool) applyRecord(j *job, rec fleet.Record) {
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			tk.run = p.stored.epoch * runsAnEpoch
			tk.failures = rec.Failures[tk.place]
			j.started = j.started || tk.failures > 0 || rec.IsDone(tk.place)
			j.begun = j.started
			if !rec.IsDone(tk.place) {
				continue
			}
			if tk.state == taskWaiting {
				j.waiting--
			}
			tk.state = taskDone
			j.left[tk.id.Step]--
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
				rec.SetDone(tk.place)
			}
			if tk.failures > 0 {
				if rec.Failures == nil {
					rec.Failures = make(map[int]int)
				}
				rec.Failures[tk.place] = tk.failures
			}
		}
	}
	return rec
}

// save asks for the job's record to be saved, if it is a stored job.
func (p *Pool) save(j *job, state fleet.JobState) {
	if !j.Stored || j.settled {
		return // what is still reported of a job that has ended changes nothing
	}
	if j.parent != nil {
		p.saveTimed(j.parent, fleet.JobRunning)
		return
	}
	j.seq++
	p.emit(jobstore.Save{Job: j.ID, Seq: j.seq, Record: j.record(state)})
}

// endStored notes how a stored job ended. It is shown once that is saved.
func (p *Pool) endStored(now time.Duration, j *job, o fleet.Outcome) {
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
	p.save(j, state)
	j.settled = true
	p.stored.ended[j.ID] = &endedJob{state: state, seq: j.seq, at: now}
}

// Saved notes that a record is saved: the ends that it covers may be acknowledged.
func (p *Pool) Saved(id string, seq int) {
	if tm := p.stored.timed[id]; tm != nil {
		tm.savedSeq = max(tm.savedSeq, seq)
	} else if j := p.jobs[id]; j != nil {
		j.savedSeq = max(j.savedSeq, seq)
	}
	if e := p.stored.ended[id]; e != nil && seq >= e.seq {
		e.saved = true
	}
	for _, t := range p.order {
		t.release(func(h heldEnd) bool { return h.job == id && h.seq <= seq })
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
	if tm := p.stored.timed[id]; tm != nil {
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

// KnowsStored reports whether a job that the pool does not know is not open: it owns
// all stored jobs, or there are none.
func (p *Pool) KnowsStored() bool {
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
	for _, tm := range p.stored.timed {
		if tm.state() == fleet.JobQueued {
			n[tm.Queue.Name]++
		}
	}
	return n
}
