package pool

import (
	"time"

	"currantstall/internal/fleet"
)

// The record of a stored job names its runs on lost targets that are open after their leases have expired. The next owner restores them as the
// current runs of their tasks, so that these wait for evidence from their targets as at the owner that has lost them, and
// no other task does. It asks a target that is not listed at the address that the record names.

// recordOpenRuns saves the records of the stored jobs that have runs on a target whose runs are open, once for each loss.
func (p *Pool) recordOpenRuns(t *target) {
	if t.lapse.saved || !p.stored.owned {
		return
	}
	t.lapse.saved = true
	var jobs []*job
	for _, r := range sortedRuns(t.runs) {
		tk := r.task
		if r.open || tk == nil || tk.currentRun != r || !tk.job.Stored || p.jobs[tk.job.ID] != tk.job {
			continue
		}
		r.open = true
		if len(jobs) == 0 || jobs[len(jobs)-1] != tk.job {
			jobs = append(jobs, tk.job)
		}
	}
	for _, j := range jobs {
		p.saveRecord(j, fleet.JobRunning)
	}
}

// openOnLostTargets returns the open runs of the job, on at most the given number of targets.
func (j *job) openOnLostTargets(targets int) []fleet.OpenRuns {
	var list []fleet.OpenRuns
	var at map[*target]int
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			r := tk.currentRun
			if r == nil || !r.open || r.target.owned || !r.isOpen() {
				continue
			}
			t := r.target
			i, named := at[t]
			switch {
			case !named && len(list) >= targets:
				continue
			case !named:
				if at == nil {
					at = make(map[*target]int)
				}
				i = len(list)
				at[t] = i
				list = append(list, fleet.OpenRuns{
					Target: t.ID, Addr: t.ownAddr, Incarnation: t.Incarnation, LeaseMS: max(t.latestLeaseMS, t.namedLeaseMS), Runs: make(map[int]int),
				})
			}
			list[i].Runs[tk.ordinal] = r.number
		}
	}
	return list
}

// restoreOpenRuns makes the runs that a record names the current ones of their tasks, unless they are known to be over.
func (p *Pool) restoreOpenRuns(now time.Duration, j *job, list []fleet.OpenRuns) {
	if len(list) == 0 {
		return
	}
	tasks := j.byOrdinal()
	for i := range list {
		o := &list[i]
		t := p.targetOfOpenRuns(now, o)
		if t == nil {
			continue
		}
		restored := 0
		for ordinal, number := range o.Runs {
			if ordinal < 0 || ordinal >= len(tasks) || tasks[ordinal].state != taskWaiting || t.runs[runKey{tasks[ordinal].id, number}] != nil {
				continue // done, or known by a report
			}
			p.restoreOpenRun(now, t, tasks[ordinal], number)
			restored++
		}
		p.log("stored", "job", j.ID, "target", t.ID, "outcome", "runs open", "runs", restored, "listed", t.listed)
	}
}

// byOrdinal returns the tasks of all steps.
func (j *job) byOrdinal() []*task {
	var all []*task
	for _, tasks := range j.steps {
		all = append(all, tasks...)
	}
	return all
}

// targetOfOpenRuns returns the target on which a record names open runs. It is nil if they are over, by what is known of the target: it is owned, so
// that its reports show its runs, or a later life has followed.
func (p *Pool) targetOfOpenRuns(now time.Duration, o *fleet.OpenRuns) *target {
	if o.Target == "" || o.Addr == "" {
		return nil
	}
	t := p.targets[o.Target]
	switch {
	case t == nil:
		t = p.insertTarget(fleet.Target{ID: o.Target, Addr: o.Addr, Incarnation: o.Incarnation}, now)
		t.neverListed = true
	case o.Incarnation != 0 && t.Incarnation != o.Incarnation && o.Incarnation <= max(t.Incarnation, t.lastBirth):
		return nil
	case o.Incarnation > t.Incarnation && t.Incarnation != 0:
		p.newIncarnation(now, t, o.Incarnation) // its row is that of an earlier life
	case t.owned || t.replaced && t.ownAddr == o.Addr:
		return nil
	}
	if t.Incarnation == 0 {
		t.Incarnation = o.Incarnation
	}
	if !t.answered {
		t.ownAddr, t.answered, t.replaced = o.Addr, true, false // another one has answered at another address, if any
	}
	t.namedOpen, t.namedLeaseMS = true, max(t.namedLeaseMS, o.LeaseMS)
	// Signs of life from before the takeover may be from before the runs.
	t.unknownLeasesEnd = max(t.unknownLeasesEnd, now)
	t.lastOwnedAt = max(t.lastOwnedAt, p.stored.lastSeen)
	return t
}

// restoreOpenRun makes an open run the current one of a waiting task.
func (p *Pool) restoreOpenRun(now time.Duration, t *target, tk *task, number int) {
	r := &run{
		taskID: tk.id, number: number, target: t, needs: tk.needs, task: tk, state: runRunning, orderedAt: now, startedAt: now,
		expected: tk.expected, incarnation: t.Incarnation, open: true,
	}
	t.runs[r.key()] = r
	t.used = t.used.Plus(r.needs)
	tk.job.queueState.Used += r.needs.MilliCPU
	tk.lastRun = max(tk.lastRun, number)
	p.markPlaced(tk, r)
}

// supersedeOpenRuns releases the open runs of a task, or of its gang, that are older than another run that was found. The owner that has
// started that one knew that they were over.
func (p *Pool) supersedeOpenRuns(now time.Duration, tk *task, number int) {
	tasks := []*task{tk}
	if tk.step.Gang {
		tasks = tk.job.steps[tk.id.Step]
	}
	var over []*task
	for _, tk := range tasks {
		if r := tk.currentRun; r != nil && r.open && !r.target.owned && r.number < number {
			p.releaseRun(r)
			tk.currentRun = nil
			tk.noteRelease(now, r, groundSuperseded)
			over = append(over, tk)
		}
	}
	for _, tk := range over {
		p.requeue(now, tk)
	}
}
