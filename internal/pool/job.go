package pool

import (
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

type taskState uint8

const (
	taskBlocked taskState = iota // an earlier step is not done
	taskWaiting
	taskPlaced
	taskDone
)

type task struct {
	job       *job
	id        fleet.TaskID
	step      *fleet.Step
	needs     structs.Resources
	expected  time.Duration
	state     taskState
	lastRun   int // number of the last run
	ordinal   int // among the tasks of all steps
	failures  int
	failedRun int // of a gang: the run whose failure was counted
	// checkpoint is what the last run has saved.
	checkpoint string
	failedOn   []*target // where it failed or stood still
	currentRun *run
}

type job struct {
	fleet.Job
	queueState          *queueState
	coordinator         string
	arrived             time.Duration
	latestStart         time.Duration // after which a start comes too late for full worth
	latestLateStart     time.Duration // after which it comes too late for any
	steps               [][]*task
	remaining           []int // tasks that are not done, by step
	waiting             int   // tasks that wait for a place
	queued              bool  // stands in its class's queue
	mayHaveStarted      bool  // a task was ordered, or may have been by an earlier owner
	started             bool  // a task is known to have been ordered
	mayHaveRunElsewhere bool
	formerRunsEnd       time.Duration // when nothing of an earlier owner can run any more
	restored            bool          // from an owner before
	seq                 int           // of the last record that was to be saved
	savedSeq            int
	endRecorded         bool          // its end is to be saved, or is
	parent              *recurringJob // the job of which it is an occurrence
	occurrence          int
	orphaned            bool
	orphanUntil         time.Duration
}

// Submit hands a job in.
type Submit struct {
	Coordinator string // entry that keeps the caller's connection
	Job         fleet.Job
	// Waited is the time since the job arrived from the caller.
	Waited time.Duration
	// MayHaveRun says that an earlier owner may have started it, and LostAgo
	// when it was lost.
	MayHaveRun bool
	LostAgo    time.Duration
}

// Submit takes a job in, or a copy of one that is known.
func (p *Pool) Submit(now time.Duration, s Submit) {
	if s.Job.Stored {
		p.submitStored(now, s)
		return
	}
	if !p.leading {
		p.emit(Ended{s.Coordinator, s.Job.ID, fleet.Outcome{Verdict: notRun(s.MayHaveRun), Reason: verdict.NotReady}})
		return
	}
	if k, ok := p.keptOutcomes[s.Job.ID]; ok {
		p.log("job", "job", s.Job.ID, "outcome", "answered from kept outcome", "coordinator", s.Coordinator)
		p.emit(Ended{s.Coordinator, s.Job.ID, k.outcome})
		return
	}
	if j := p.jobs[s.Job.ID]; j != nil {
		p.log("job", "job", j.ID, "outcome", "attached", "coordinator", s.Coordinator, "orphan", j.orphaned)
		j.coordinator, j.orphaned = s.Coordinator, false
		j.waitForFormerOwner(now, &s, p.cfg.TakeoverDelay)
		p.enqueue(j)
		return
	}
	j := p.newJob(now, s)
	p.jobs[j.ID] = j
	p.adopt(now, j)
	switch reason := p.neverFits(j); {
	case reason != "" && !j.mayHaveRunElsewhere:
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: reason})
	case p.shouldShed(now, j):
		p.endJob(now, j, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull, RetryAfter: p.retryAfter()})
	default:
		p.enqueue(j)
	}
}

func notRun(mayHaveRun bool) verdict.Verdict {
	if mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func (p *Pool) newJob(now time.Duration, s Submit) *job {
	c := p.queueFor(&s.Job.Queue)
	j := &job{
		Job: s.Job, queueState: c, coordinator: s.Coordinator, arrived: now - s.Waited,
		mayHaveRunElsewhere: s.MayHaveRun, mayHaveStarted: s.MayHaveRun,
		steps: make([][]*task, len(s.Job.Steps)), remaining: make([]int, len(s.Job.Steps)),
	}
	j.waitForFormerOwner(now, &s, p.cfg.TakeoverDelay)
	place := 0
	for i := range j.Steps {
		st := &j.Steps[i]
		expect := c.expectedRunTime(st.Estimate)
		if st.LongRunning {
			expect = 0 // it has no end to expect
		}
		ready := len(st.DependsOn) == 0
		tasks := make([]task, st.Count)
		j.remaining[i] = st.Count
		j.steps[i] = make([]*task, st.Count)
		for k := range tasks {
			tasks[k] = task{
				job: j, id: fleet.TaskID{Job: j.ID, Step: i, Index: k}, ordinal: place,
				step: st, needs: st.Needs, expected: expect,
			}
			place++
			j.steps[i][k] = &tasks[k]
			if ready {
				tasks[k].state = taskWaiting
				j.waiting++
			}
		}
	}
	chain := j.criticalPath()
	aim := time.Duration(float64(chain)*max(j.Queue.Stretch, 1)) + j.Queue.Slack
	j.latestStart = j.arrived + aim - chain - networkMargin
	j.latestLateStart = j.arrived + min(lateFactor*aim-chain, time.Duration(lateShare*float64(j.Timeout)))
	return j
}

// waitForFormerOwner notes that another owner had the job: what it started may go on for a
// while.
func (j *job) waitForFormerOwner(now time.Duration, s *Submit, safe time.Duration) {
	if s.MayHaveRun {
		j.mayHaveRunElsewhere = true
		j.formerRunsEnd = max(j.formerRunsEnd, now+safe-s.LostAgo)
	}
}

// criticalPath returns the length of the longest criticalPath of steps.
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

// task returns a task of a known job, or nil.
func (p *Pool) task(id fleet.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || id.Step < 0 || id.Step >= len(j.steps) || id.Index < 0 || id.Index >= len(j.steps[id.Step]) {
		return nil
	}
	return j.steps[id.Step][id.Index]
}

// markPlaced notes that a task runs or is ordered.
func (p *Pool) markPlaced(tk *task, r *run) {
	j := tk.job
	j.started = true
	tk.currentRun, tk.state = r, taskPlaced
	j.waiting--
	if j.waiting == 0 {
		j.queueState.remove(j)
	}
	if !j.mayHaveStarted {
		queued := j.queued
		j.queueState.remove(j)
		j.mayHaveStarted = true // which changes its place in the queue
		if queued {
			j.queueState.insert(j)
		}
	}
}

// requeue lets a task wait for a place again.
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

func (p *Pool) enqueue(j *job) {
	if j.waiting > 0 && !j.queued && !j.orphaned && p.jobs[j.ID] == j {
		j.queueState.insert(j)
	}
}

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

// unblock frees the steps whose earlier steps are done.
func (p *Pool) unblock(j *job) {
	for i := range j.Steps {
		ready := !slices.ContainsFunc(j.Steps[i].DependsOn, func(a int) bool { return j.remaining[a] > 0 })
		for _, tk := range j.steps[i] {
			if ready && tk.state == taskBlocked {
				tk.state = taskWaiting
				j.waiting++
			}
		}
	}
	p.enqueue(j)
}

func (p *Pool) taskFailed(now time.Duration, tk *task, r *run) {
	if tk.step.Gang {
		tk = tk.job.steps[tk.id.Step][0] // a gang fails as one
		if tk.failedRun == r.number {
			p.requeue(now, r.task)
			return
		}
		tk.failedRun = r.number
	}
	tk.failures++
	tk.failedOn = append(tk.failedOn, r.target)
	p.log("run", "task", tk.id.String(), "run", r.number, "target", r.target.ID, "outcome", "failed", "failures", tk.failures)
	if tk.failures >= max(tk.job.Queue.MaxAttempts, 1) {
		p.endJob(now, tk.job, fleet.Outcome{Verdict: verdict.Failed, Reason: verdict.TaskFailed})
		return
	}
	p.saveRecord(tk.job, fleet.JobRunning)
	p.requeue(now, r.task)
}

// endJob tells the coordinator how the job ended and stops what still runs of it.
func (p *Pool) endJob(now time.Duration, j *job, o fleet.Outcome) {
	if p.jobs[j.ID] != j {
		return
	}
	delete(p.jobs, j.ID)
	j.queueState.remove(j)
	p.dropAdvice(j)
	for _, r := range j.currentRuns() {
		p.stopRun(now, r, "its job has ended")
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
		p.emit(Ended{j.coordinator, j.ID, o})
	}
}

// currentRuns returns what is ordered or currentRuns of the job.
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

// Abandon notes that the caller of a job is gone. What waits is dropped; what
// runs may go on for a moment, in case the caller comes back.
func (p *Pool) Abandon(now time.Duration, coordinator, id string) {
	j := p.jobs[id]
	if j == nil || j.Stored || j.coordinator != coordinator {
		return
	}
	p.orphanJob(now, j, now+p.cfg.OrphanGrace)
}

// Withdraw notes that a coordinator hands the job to another owner: what runs
// here has to end at once.
func (p *Pool) Withdraw(now time.Duration, coordinator, id string) {
	j := p.jobs[id]
	if j == nil || j.Stored || j.coordinator != coordinator {
		return
	}
	p.orphanJob(now, j, now)
}

// Cancel ends a job at its caller's word.
func (p *Pool) Cancel(now time.Duration, id string) {
	if tm := p.stored.recurring[id]; tm != nil {
		p.endRecurring(now, tm, fleet.JobCancelled)
	} else if j := p.jobs[id]; j != nil {
		p.endJob(now, j, fleet.Outcome{Verdict: notRun(j.mayHaveStarted), Reason: verdict.Cancelled})
	}
}

// CoordinatorLost notes that the entry that keeps callers' connections is gone.
// Its callers may be served elsewhere soon, so what runs for them is stopped
// unless the entry comes back at once.
func (p *Pool) CoordinatorLost(now time.Duration, name string) {
	for _, j := range p.jobs {
		if j.coordinator == name && !j.orphaned && !j.Stored {
			p.orphanJob(now, j, now+p.cfg.LinkGrace)
		}
	}
}

func (p *Pool) orphanJob(now time.Duration, j *job, until time.Duration) {
	j.orphaned, j.orphanUntil = true, until
	j.queueState.remove(j)
	p.log("job", "job", j.ID, "outcome", "orphan", "coordinator", j.coordinator, "begun", j.mayHaveStarted)
	p.dropOrphan(now, j)
}

// dropOrphan forgets an orphan of which nothing runs.
func (p *Pool) dropOrphan(now time.Duration, j *job) {
	if len(j.currentRuns()) == 0 {
		delete(p.jobs, j.ID)
	} else if now >= j.orphanUntil {
		for _, r := range j.currentRuns() {
			p.stopRun(now, r, "its caller is gone")
		}
	}
}

func (p *Pool) expireOrphans(now time.Duration) {
	for _, j := range p.jobs {
		if j.orphaned && now >= j.orphanUntil {
			p.dropOrphan(now, j)
		}
	}
}
