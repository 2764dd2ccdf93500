package pool

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A task may crash each target that starts it. When a target is lost, the pool suspects
// the tasks of its runs, except those that have proved harmless. A suspect is started
// apart from other runs that have not, so that a second crash has no other suspect. See
// docs/design/crashing-tasks.md.

const (
	// harmlessAfter is how long a run must have been at work to prove that its task does
	// not crash targets: one that does, does so at its start.
	harmlessAfter = 200 * time.Millisecond
	// apartWait is how long a suspect waits for a target on which no other run could be
	// blamed for a crash.
	apartWait = 2 * time.Second
	// judgementWait is how long a task is not started while it is not known whether the
	// targets that were lost under it have crashed. A crashed target is back within some
	// seconds.
	judgementWait = 5 * time.Second
	// keepSuspicionsFor is how long the suspicions against the tasks of a job that has
	// gone are kept, since its caller may submit it again.
	keepSuspicionsFor = 30 * time.Second
	// suspicionSweep is the time between two rounds of forgetting them.
	suspicionSweep = time.Second
	// replacedPause is the pause before a target is acquired again at whose address
	// another incarnation has answered.
	replacedPause = time.Second
)

// Suspected is an effect: it tells a job's coordinator of all suspicions against the
// tasks of the job, so that the next owner learns of them.
type Suspected struct {
	Coordinator string
	Job         string
	Suspicions  fleet.Suspicions
}

// suspectJob holds the suspicions against the tasks of one job.
type suspectJob struct {
	tasks   fleet.Suspicions
	addedAt time.Duration // when the last suspicion was added
	knownAt time.Duration // when the job was last known
	// condemned is set once the job was given up for one of its tasks.
	condemned bool
	told      map[incarnation]int64          // chances of crashes, as told by former owners
	exposures map[suspicionKey]time.Duration // how long runs can be blamed, by suspicion
}

// suspect is a task that may have crashed a target.
type suspect struct {
	run       *run
	task      *task
	suspicion fleet.Suspicion
}

// harmless reports whether the run has proved that its task does not crash targets.
func (r *run) harmless() bool {
	return r.startClockMS > 0 && r.target.seenMS-r.startClockMS >= harmlessAfter.Milliseconds()
}

// noteStarted notes the target's clock in the answer that first showed the run at work.
func (r *run) noteStarted(clock int64) {
	if r.startClockMS == 0 {
		r.startClockMS = clock
	}
}

// suspectsOn returns the tasks that may have crashed a target that is lost. A target that
// was leaving was expected to go, and a start that is still in flight was sent after the
// loss.
func suspectsOn(t *target) []suspect {
	if t.Leaving {
		return nil
	}
	var list []suspect
	jobs := make(map[string]bool)
	for _, r := range sortedRuns(t.runs) {
		if r.harmless() || r.state == runOrdered || r.incarnation != 0 && r.incarnation != t.Incarnation {
			continue
		}
		jobs[r.taskID.Job] = true
		if r.task != nil {
			weak := r.weakLoss || t.lostAt > max(r.orderedAt, r.startedAt)+promptLoss
			list = append(list, suspect{r, r.task, fleet.Suspicion{Target: t.ID, Incarnation: t.Incarnation, Weak: weak}})
		}
	}
	for i := range list {
		list[i].suspicion.Alone = len(jobs) == 1
	}
	return list
}

// suspectRuns records suspicions for the loss of a target. It does so once for each loss.
func (p *Pool) suspectRuns(now time.Duration, t *target) {
	if t.lossRecorded {
		return
	}
	t.lossRecorded, t.lostAt = true, now
	suspects := suspectsOn(t)
	p.noteLoss(now, t, suspects)
	p.suspectTasks(now, suspects, false)
}

// suspectTasks records suspicions, and gives up the jobs of the tasks that they condemn.
func (p *Pool) suspectTasks(now time.Duration, list []suspect, crashed bool) {
	for _, s := range list {
		tk := s.task
		j := tk.job
		open := p.jobs[j.ID] == j
		if tk.state == taskDone || !open && j.Stored {
			continue
		}
		s.suspicion.Crashed = crashed
		sj := p.suspectJobFor(now, j)
		if !sj.tasks.Add(tk.ordinal, s.suspicion) {
			continue
		}
		sj.addedAt, p.falls.stale = now, true
		if s.run.order != 0 {
			sj.exposures[suspicionKey{tk.ordinal, lifeOf(s.suspicion)}] = exposureOf(now - s.run.orderedAt)
		}
		p.log("suspect", "task", tk.id.String(), "run", s.run.number, "target", s.suspicion.Target, "alone", s.suspicion.Alone,
			"weak", s.suspicion.Weak, "crashed", crashed, "suspicions", len(sj.tasks[tk.ordinal]),
			"answered", s.run.startedAt > 0, "since_order_ms", (now - s.run.orderedAt).Milliseconds())
		if open {
			p.suspicionsChanged(now, j)
		}
	}
}

// suspectJobFor returns the suspicions against the tasks of a job, and creates them if
// necessary.
func (p *Pool) suspectJobFor(now time.Duration, j *job) *suspectJob {
	sj := p.suspected[j.ID]
	if sj == nil {
		sj = &suspectJob{tasks: fleet.Suspicions{}, told: make(map[incarnation]int64), exposures: make(map[suspicionKey]time.Duration)}
		p.suspected[j.ID] = sj
	}
	sj.knownAt = now
	j.suspected = sj
	if open := p.jobs[j.ID]; open != nil {
		open.suspected = sj // j may have left the pool, and have been submitted again
	}
	return sj
}

// suspicionsChanged judges an open job after a change of the suspicions against its
// tasks, and passes them on to whoever may own the job next. The record of a stored job is
// not saved for the withdrawal of the last one, which the next owner finds out too.
func (p *Pool) suspicionsChanged(now time.Duration, j *job) {
	switch {
	case p.judge(now, j):
	case j.Stored:
		if len(j.suspected.tasks) > 0 {
			p.saveRecord(j, fleet.JobRunning)
		}
	case !j.orphaned:
		p.emit(Suspected{j.coordinator, j.ID, j.suspected.tasks.Clone()})
	}
}

// judge marks the suspects among the tasks of a job, and ends the job if the suspicions
// condemn one. It reports whether it has.
func (p *Pool) judge(now time.Duration, j *job) bool {
	if j.suspected.hasSeveral() {
		p.estimateChances(now, j.suspected)
	}
	for _, tasks := range j.steps {
		for _, tk := range tasks {
			list := j.suspected.tasks[tk.ordinal]
			tk.suspect = len(list) > 0
			if tk.state != taskDone && p.condemns(list) {
				p.log("suspect", "task", tk.id.String(), "outcome", "given up", "suspicions", len(list), "chances_ppm", chancesOf(list))
				j.suspected.condemned, p.falls.stale = true, true
				p.endJob(now, j, fleet.Outcome{Verdict: verdict.Failed, Reason: verdict.CrashesTargets})
				return true
			}
		}
	}
	return false
}

// learnSuspicions adds the suspicions that a former owner had against the tasks of a job
// that was just submitted or restored, and those that this one still has.
func (p *Pool) learnSuspicions(now time.Duration, j *job, known fleet.Suspicions) {
	if len(known) == 0 && p.suspected[j.ID] == nil {
		return
	}
	sj := p.suspectJobFor(now, j)
	tasks := j.TaskCount()
	for ordinal, list := range known {
		for _, s := range list {
			if ordinal < 0 || ordinal >= tasks {
				continue
			}
			if sj.tasks.Add(ordinal, s) {
				sj.addedAt = now
			}
			if s.ChancePPM > sj.told[lifeOf(s)] {
				sj.told[lifeOf(s)] = s.ChancePPM
			}
		}
	}
	for _, t := range p.sortedTargets {
		sj.review(t)
	}
	p.falls.stale = true
	if reflect.DeepEqual(sj.tasks, known) {
		p.judge(now, j)
		return
	}
	p.suspicionsChanged(now, j)
}

// review applies what is known of a target to the suspicions of its loss: another
// incarnation has taken its place, so it has crashed, or it answers as before. It reports
// whether that changed any.
func (sj *suspectJob) review(t *target) bool {
	changed := false
	for ordinal, list := range sj.tasks {
		var kept []fleet.Suspicion
		for _, s := range list {
			if s.Target == t.ID && t.owned && t.Incarnation == s.Incarnation {
				changed = true
				continue // also if an answer from another one's address seemed to show a crash
			}
			if s.Target == t.ID && !s.Crashed {
				s.Crashed = t.replaced || s.Incarnation != 0 && t.Incarnation > s.Incarnation
				changed = changed || s.Crashed
			}
			kept = append(kept, s)
		}
		if sj.tasks[ordinal] = kept; len(kept) == 0 {
			delete(sj.tasks, ordinal)
		}
	}
	return changed
}

// reviewSuspicions reviews the suspicions against all jobs after a target has answered or
// another incarnation has taken its place.
func (p *Pool) reviewSuspicions(now time.Duration, t *target) {
	if len(p.suspected) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.suspected)) {
		if !p.suspected[id].review(t) {
			continue
		}
		p.falls.stale = true
		if j := p.jobs[id]; j != nil {
			p.suspicionsChanged(now, j)
		}
	}
}

// acquit drops the suspicions against the task of a run that has proved harmless.
func (p *Pool) acquit(now time.Duration, r *run) {
	tk := r.task
	if tk == nil || !tk.suspect || !r.harmless() || p.jobs[tk.job.ID] != tk.job {
		return
	}
	p.log("suspect", "task", tk.id.String(), "run", r.number, "target", r.target.ID, "outcome", "proved harmless")
	delete(tk.job.suspected.tasks, tk.ordinal)
	p.falls.stale = true
	p.suspicionsChanged(now, tk.job)
	p.saveWithdrawal(tk.job)
}

// dropSuspicions drops the suspicions against a task that is done, and so has not crashed its targets.
func (p *Pool) dropSuspicions(tk *task) {
	sj := tk.job.suspected
	if sj == nil || len(sj.tasks[tk.ordinal]) == 0 {
		return
	}
	delete(sj.tasks, tk.ordinal)
	tk.suspect, p.falls.stale = false, true
}

// noteLife notes that the present incarnation of the target has a run that was ordered from an
// earlier one: its start came late, and the earlier one has not crashed under it.
func (p *Pool) noteLife(now time.Duration, r *run) {
	before := r.incarnation
	if before == 0 || before == r.target.Incarnation {
		return
	}
	r.incarnation = r.target.Incarnation
	tk := r.task
	if tk == nil || !tk.suspect || p.jobs[tk.job.ID] != tk.job {
		return
	}
	tasks := tk.job.suspected.tasks
	tasks[tk.ordinal] = slices.DeleteFunc(tasks[tk.ordinal], func(s fleet.Suspicion) bool { return s.Target == r.target.ID && s.Incarnation == before })
	if len(tasks[tk.ordinal]) == 0 {
		delete(tasks, tk.ordinal)
	}
	p.falls.stale = true
	p.suspicionsChanged(now, tk.job)
	p.saveWithdrawal(tk.job)
}

// saveWithdrawal saves that no suspicions against a stored job are left, where the next owner can't
// find that out.
func (p *Pool) saveWithdrawal(j *job) {
	if j.suspicionsSaved && len(j.suspected.tasks) == 0 {
		p.saveRecord(j, fleet.JobRunning)
	}
}

// answeredByOther handles an answer of another target, born at the given time, from the listed address
// of this one. If that is its own address, this one is over, with all its runs. Else the
// list is wrong, or this one is elsewhere: its runs last until their leases have expired.
func (p *Pool) answeredByOther(now time.Duration, t *target, addr string, born int64) {
	if addr != t.Addr {
		return // it has moved
	}
	p.settleLoss(now, t)
	replaced := addr == t.ownAddr && (born == 0 || born > t.Incarnation)
	if !t.replaced && (replaced || !t.lossRecorded) {
		p.log("target", "target", t.ID, "outcome", outcomeOfOther(replaced), "addr", addr, "own_addr", t.ownAddr, "born", born, "runs", len(t.runs))
		p.suspectRuns(now, t)
	}
	p.markUnreachable(now, t)
	t.nextAcquireAt = now + replacedPause
	if !replaced {
		return
	}
	t.replaced = true
	p.noteSucceededTarget(now, t)
	if t.answered {
		t.silent = false
		for _, r := range sortedRuns(t.runs) {
			if r.state != runOrdered { // its own answer is on its way
				p.releaseAndRequeue(now, r, groundReplaced)
			}
		}
	}
	p.reviewSuspicions(now, t)
}

// outcomeOfOther returns the outcome that the log names for an answer of another target.
func outcomeOfOther(replaced bool) string {
	if replaced {
		return "replaced"
	}
	return "another one at its listed address"
}

// awaitsJudgement reports whether a task must not be started yet, because it would be
// given up if the targets that were lost under it turn out to have crashed.
func (p *Pool) awaitsJudgement(now time.Duration, tk *task) bool {
	return tk.suspect && now < tk.job.suspected.addedAt+judgementWait && fleet.MayCondemn(tk.job.suspected.tasks[tk.ordinal])
}

// apart reports whether a task may be started on the target as far as suspicions go: a
// suspect is kept apart from runs of other jobs that have not proved harmless. After
// apartWait it is kept apart from other suspects only.
func (p *Pool) apart(t *target, tk *task) bool {
	if !tk.suspect && t.suspectRuns == 0 {
		return true
	}
	if tk.suspect && tk.apartSince == 0 {
		tk.apartSince = p.lastTick
	}
	for _, r := range t.runs {
		if r.harmless() || r.taskID.Job == tk.id.Job {
			continue
		}
		if r.suspect || tk.suspect && p.lastTick < tk.apartSince+apartWait {
			return false
		}
	}
	return true
}

// tickSuspicions forgets the suspicions against jobs that have been gone for long.
func (p *Pool) tickSuspicions(now time.Duration) {
	if now < p.nextSweepAt {
		return
	}
	p.nextSweepAt = now + suspicionSweep
	p.falls.forget(now)
	p.judgeAgain(now)
	for id, sj := range p.suspected {
		if p.jobs[id] != nil && len(sj.tasks) > 0 {
			sj.knownAt = now
		} else if now > sj.knownAt+keepSuspicionsFor && (!sj.condemned || now > sj.knownAt+keepFalls) {
			delete(p.suspected, id)
			p.falls.stale = true
		}
	}
}
