package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/overload"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// taskState is the progress of a task.
type taskState uint8

const (
	taskBlocked taskState = iota // an earlier step is not done
	taskWaiting                  // waits for a target
	taskPlaced                   // its start was sent, or it runs
	taskDone
)

// task is one task of a job and its current run, if any.
type task struct {
	job       *job
	id        fleet.TaskID
	step      *fleet.Step
	needs     structs.Resources
	expected  time.Duration
	state     taskState
	lastRun   int // number of the last run
	ordinal   int // position among the tasks of all steps
	failures  int
	failedRun int // the last run whose failure was counted; of a gang, on its first task
	// checkpoint is the last checkpoint that a run of the task has saved.
	checkpoint string
	failedOn   []*target // targets on which it failed or made no progress
	currentRun *run
	ratio      float64       // of its last judged run's time to the expected one, as a logarithm
	ratioOn    *target       // where that run was, nil if there is none
	moved      bool          // a run of it was stopped since its target was slow
	released   *release      // of its last run that was released, nil before
	suspect    bool          // it may crash its targets
	apartSince time.Duration // when it first looked for a target as a suspect, 0 before
}

// job is a job, or an occurrence of a recurring job, that has not ended.
type job struct {
	fleet.Job
	queueState      *queueState
	size            JobSize
	coordinator     string
	arrived         time.Duration
	latestStart     time.Duration // a later start misses the response time that the job aims at
	latestLateStart time.Duration // after a later start the answer is useless
	queueIndex
	steps               [][]*task
	remaining           []int // tasks that are not done, by step
	waiting             int   // tasks in state taskWaiting
	queued              bool  // in the list of its queue
	mayHaveStarted      bool  // a start was sent, or may have been by a former owner
	request             overload.Request
	started             bool          // a run is known to have begun
	mayHaveRunElsewhere bool          // a former owner may have started a task
	formerRunsEnd       time.Duration // when all runs of a former owner are over
	elsewhereUntil      time.Duration // when all its runs in other pools are over
	restored            bool          // taken over from a former owner
	seq                 int           // of the last record emitted to be saved
	savedSeq            int           // of the last record known to be saved
	endRecorded         bool          // the record of its end was emitted
	parent              *recurringJob // the recurring job of which it is an occurrence, or nil
	occurrence          int
	number              uint64        // of the coordinator's last submission
	vouch               *vouch        // of its coordinator; nil if its runs need none
	vouchFrom           time.Duration // tasks are started by the answer to a heartbeat of this time or later
	callerCame          time.Duration // when its caller's present attempt began
	callerUntil         time.Duration // when its caller, who has stated a deadline, has left; otherwise forever
	departureIndex      int           // in the heap of the pool
	earlier             []earlierCoordinator
	leftRuns            []*run // of earlier attempts, while these are not over
	passedOver          []*run // of tasks that other runs have completed
	lostRun             bool   // a run on a target out of reach was taken for over
	movedAway           bool   // its coordinator submits it to another owner
	withdrawn           bool   // its runs may continue until withdrawnUntil only
	withdrawnUntil      time.Duration
	orphaned            bool          // its caller or coordinator has disconnected, or its coordinator has withdrawn it
	orphanUntil         time.Duration // when the runs of the orphaned job are stopped
	unfitSince          time.Duration // of a stored job: since when it has fitted no listed target, 0 if it fits
	suspected           *suspectJob   // the suspicions against its tasks, nil if there are none
	suspicionsSaved     bool          // a record with suspicions was emitted
}

// Submit is a job that a coordinator submits to the owner.
type Submit struct {
	Coordinator string // entry that keeps the caller's connection
	DC          string // of that entry, "" if not known
	Job         fleet.Job
	Number      uint64 // chosen by the coordinator, which expects it in the answer
	// Waited is the time since the job arrived from the caller.
	Waited time.Duration
	// ReadAfter is the part of it that had passed before the coordinator got to the job. It is no
	// reason to shed the job.
	ReadAfter time.Duration
	// MayHaveRun is set if a former owner may have started the job. VouchedAgo is the time
	// since the coordinator last vouched for the job to that owner.
	MayHaveRun bool
	VouchedAgo time.Duration
	// HereBefore is set if this owner is one of the former ones. VouchedElsewhereAgo is then
	// the time since the coordinator last vouched for the job to another one, a long time if
	// there is none.
	HereBefore          bool
	VouchedElsewhereAgo time.Duration
	// NeedsVouch is set if runs of the job may continue only while the coordinator, or the
	// entry Origin for which it relays the job, vouches for them. HeartbeatAt is the time of
	// the heartbeat of this entry that the submission answers.
	NeedsVouch  bool
	Origin      string
	HeartbeatAt time.Duration
	// Suspicions are those of former owners against the job's tasks.
	Suspicions fleet.Suspicions
}

// Submit accepts a job, or attaches the coordinator to the job if it is known already.
// It rejects the job if the pool is not leading, if no target that it fits is listed, or
// to shed load or for lack of memory. It fails the job if none ever was.
func (p *Pool) Submit(now time.Duration, s Submit) {
	if s.Job.Stored {
		p.submitStored(now, s)
		return
	}
	if !p.leading {
		p.emit(Ended{s.Coordinator, s.Job.ID, s.Number, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady}})
		return
	}
	if k, ok := p.keptOutcomes[s.Job.ID]; ok {
		p.log("job", "job", s.Job.ID, "outcome", "answered from kept outcome", "coordinator", s.Coordinator)
		p.emit(Ended{s.Coordinator, s.Job.ID, s.Number, k.outcome})
		return
	}
	if j := p.jobs[s.Job.ID]; j != nil {
		if p.rejectEarlierAttempt(now, j, &s) {
			return
		}
		p.log("job", "job", j.ID, "outcome", "attached", "coordinator", s.Coordinator, "orphan", j.orphaned)
		p.changeCoordinator(now, j, &s)
		j.coordinator, j.number, j.orphaned, j.withdrawn, j.movedAway = s.Coordinator, s.Number, false, false, false
		p.attachVouch(now, j, &s)
		p.extendTimeout(now, j, &s)
		p.waitForFormerOwners(now, j, &s)
		if s.MayHaveRun {
			j.markMayHaveStarted()
		}
		p.awaitElsewhere(now, j)
		p.enqueue(j)
		p.learnSuspicions(now, j, s.Suspicions)
		return
	}
	if !p.cfg.Memory.fits(SizeOf(&s.Job)) {
		p.emit(Ended{s.Coordinator, s.Job.ID, s.Number, fleet.Outcome{Verdict: notRunVerdict(s.MayHaveRun), Reason: verdict.MemoryFull, RetryAfter: memoryRetryAfter}})
		return
	}
	j := p.newJob(now, s)
	p.addJob(j)
	p.countCoordinator(j.coordinator, 1)
	p.awaitElsewhere(now, j)
	if s.MayHaveRun {
		p.log("job", "job", j.ID, "outcome", "taken over", "coordinator", s.Coordinator, "safe_in_ms", (j.formerRunsEnd - now).Milliseconds())
	}
	p.adopt(now, j)
	p.learnSuspicions(now, j, s.Suspicions)
	switch reason := p.neverFits(j); {
	case p.jobs[j.ID] != j: // given up
	case reason != "" && !j.mayHaveRunElsewhere && p.fittedBefore(j):
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: reason, RetryAfter: p.retryAfter()})
	case reason != "" && !j.mayHaveRunElsewhere:
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
	case !j.mayHaveStarted && p.searchEvacuated().evacuated(j):
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.Evacuated, RetryAfter: p.retryAfter()})
	case p.shouldShed(now, j):
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull, RetryAfter: p.retryAfter()})
	default:
		p.enqueue(j)
	}
}

// memoryRetryAfter is the advised wait before a job for which there was no memory is submitted again.
const memoryRetryAfter = time.Second

// notRunVerdict returns the verdict of a job that is rejected or cancelled.
func notRunVerdict(mayHaveRun bool) verdict.Verdict {
	if mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// newJob returns a job with its tasks and the latest useful times to start them.
func (p *Pool) newJob(now time.Duration, s Submit) *job {
	q := p.queueFor(&s.Job.Queue)
	j := &job{
		Job: s.Job, queueState: q, coordinator: s.Coordinator, request: overload.Request{Group: s.DC}, number: s.Number, arrived: now - s.Waited,
		mayHaveRunElsewhere: s.MayHaveRun, mayHaveStarted: s.MayHaveRun, departureIndex: noDeparture,
		steps: make([][]*task, len(s.Job.Steps)), remaining: make([]int, len(s.Job.Steps)),
	}
	p.attachVouch(now, j, &s)
	p.waitForFormerOwners(now, j, &s)
	p.waitForLeftRuns(now, j, &s)
	j.queueIndex = newQueueIndex(j.Steps)
	ordinal := 0
	for i := range j.Steps {
		step := &j.Steps[i]
		expected := q.expectedRunTime(step.Estimate)
		if step.LongRunning {
			expected = 0 // the task has no expected end
		}
		ready := len(step.DependsOn) == 0
		tasks := make([]task, step.Count)
		j.remaining[i] = step.Count
		j.steps[i] = make([]*task, step.Count)
		for k := range tasks {
			tasks[k] = task{
				job: j, id: fleet.TaskID{Job: j.ID, Step: i, Index: k}, ordinal: ordinal,
				step: step, needs: step.Needs, expected: expected,
			}
			ordinal++
			j.steps[i][k] = &tasks[k]
			if ready {
				tasks[k].state = taskWaiting
				j.waiting++
			}
		}
	}
	aim := overload.Aim{Work: j.criticalPath(), Stretch: j.Queue.Stretch, Slack: j.Queue.Slack, Timeout: j.Timeout - s.ReadAfter}
	read := j.arrived + s.ReadAfter
	j.latestStart, j.latestLateStart = read+aim.LatestStart(), read+aim.LatestLateStart()
	return j
}

// criticalPath returns the expected run time of the longest chain of dependent steps.
func (j *job) criticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var from time.Duration
		for _, a := range j.Steps[i].DependsOn {
			from = max(from, ends[a])
		}
		ends[i] = from
		if len(j.steps[i]) > 0 {
			ends[i] += j.steps[i][0].expected
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// task returns a task of a known job, or nil if there is none with this ID.
func (p *Pool) task(id fleet.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.steps) || id.Index < 0 || id.Index >= len(j.steps[id.Step]) {
		return nil
	}
	return j.steps[id.Step][id.Index]
}

// markPlaced makes r the current run of a waiting task.
func (p *Pool) markPlaced(tk *task, r *run) {
	j := tk.job
	tk.currentRun, tk.state = r, taskPlaced
	j.waiting--
	if j.waiting == 0 {
		j.queueState.remove(j)
	}
	j.markMayHaveStarted()
}

// markMayHaveStarted records that a task of the job may have started. Such jobs come first
// in their queue.
func (j *job) markMayHaveStarted() {
	if j.mayHaveStarted {
		return
	}
	queued := j.queued
	j.queueState.remove(j)
	j.mayHaveStarted = true
	if queued {
		j.queueState.insert(j)
	}
}

// requeue makes a task wait for a target again after its run is over.
func (p *Pool) requeue(now time.Duration, tk *task) {
	if tk.state != taskPlaced {
		return
	}
	tk.state = taskWaiting
	j := tk.job
	j.waiting++
	if p.jobs[j.ID] != j {
		return
	}
	if tk.step.Gang {
		p.stopGang(now, tk)
	}
	if j.orphaned {
		p.dropOrphan(now, j)
		return
	}
	p.enqueue(j)
}

// enqueue adds a job to its queue if it has waiting tasks and is neither queued,
// orphaned nor ended.
func (p *Pool) enqueue(j *job) {
	if j.waiting > 0 && !j.queued && !j.orphaned && p.jobs[j.ID] == j {
		j.queueState.insert(j)
	}
}

// taskDone marks a task as done, and ends its job after the last one.
func (p *Pool) taskDone(now time.Duration, tk *task) {
	j := tk.job
	if tk.step.Gang {
		p.finishGang(tk)
	}
	if tk.state == taskWaiting {
		j.waiting--
		if j.waiting == 0 {
			j.queueState.remove(j)
		}
	}
	tk.state = taskDone
	p.dropSuspicions(tk)
	j.remaining[tk.id.Step]--
	if j.remaining[tk.id.Step] > 0 {
		p.saveRecord(j, fleet.JobRunning)
		return
	}
	if !slices.ContainsFunc(j.remaining, func(n int) bool { return n > 0 }) {
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.Completed})
		return
	}
	p.saveRecord(j, fleet.JobRunning)
	p.unblock(j)
}

// unblock makes the blocked tasks of a step wait for a target once all steps on which it
// depends are done.
func (p *Pool) unblock(j *job) {
	for i := range j.Steps {
		ready := !slices.ContainsFunc(j.Steps[i].DependsOn, func(a uint16) bool { return j.remaining[a] > 0 })
		for _, tk := range j.steps[i] {
			if ready && tk.state == taskBlocked {
				tk.state = taskWaiting
				j.waiting++
			}
		}
	}
	p.enqueue(j)
}

// taskFailed counts the failure of a task's current run, and requeues the task unless that
// ended the job.
func (p *Pool) taskFailed(now time.Duration, tk *task, r *run) {
	p.countFailure(now, tk, r.number, r.target)
	if p.jobs[tk.job.ID] == tk.job {
		p.requeue(now, tk)
	}
}

// countFailure counts the failure of a run once. The job fails after as many failures of one
// task as its queue permits. Failures of a gang are counted on its first task, once for each run.
func (p *Pool) countFailure(now time.Duration, tk *task, number int, on *target) {
	if tk.step.Gang {
		tk = tk.job.steps[tk.id.Step][0]
	}
	if number <= tk.failedRun {
		return
	}
	tk.failedRun = number
	tk.failures++
	tk.failedOn = append(tk.failedOn, on)
	p.log("run", "task", tk.id.String(), "run", number, "target", on.ID, "outcome", "failed", "failures", tk.failures)
	if tk.failures >= max(tk.job.Queue.MaxAttempts, 1) {
		p.endJob(now, tk.job, fleet.Outcome{Verdict: verdict.Failed, Reason: verdict.TaskFailed})
		return
	}
	p.saveRecord(tk.job, fleet.JobRunning)
}

// endJob removes a job, stops its runs and reports the outcome to its coordinator.
func (p *Pool) endJob(now time.Duration, j *job, o fleet.Outcome) {
	if p.jobs[j.ID] != j {
		return
	}
	p.limitRuns(now, j)
	p.removeJob(j)
	p.noteLeftRuns(now, j)
	j.queueState.remove(j)
	p.dropAdvice(j)
	for _, r := range j.currentRuns() {
		p.stopRun(now, r, "job ended")
	}
	p.log("job", "job", j.ID, "queue", j.Queue.Name, "outcome", o.Verdict.String(), "reason", o.Reason,
		"ms", (now - j.arrived).Milliseconds(), "slack_ms", (j.latestStart - now).Milliseconds())
	if j.Stored {
		p.endStoredJob(now, j, o)
		return
	}
	if o.Verdict == verdict.Completed || o.Verdict == verdict.Failed {
		p.keptOutcomes[j.ID] = keptOutcome{o, now + keepOutcomeFor}
	}
	if !j.orphaned {
		p.emit(Ended{j.coordinator, j.ID, j.number, o})
	}
}

// currentRuns returns the runs of the job that were ordered or are running.
func (j *job) currentRuns() []*run {
	var rs []*run
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			if tk.currentRun != nil {
				rs = append(rs, tk.currentRun)
			}
		}
	}
	return rs
}
