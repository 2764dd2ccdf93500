package pool

import (
	"slices"
	"time"
)

// placeGang starts all tasks of a gang or none, and returns how many. The runs of all
// members have the same number.
func (p *Pool) placeGang(now time.Duration, j *job, step int) int {
	tasks := j.steps[step]
	if slices.ContainsFunc(tasks, func(tk *task) bool { return tk.state != taskWaiting || p.awaitsJudgement(now, tk) }) {
		return 0
	}
	picks := p.pickGang(tasks)
	if picks == nil {
		p.requestAdvice(now, tasks[0])
		return 0
	}
	last := 0
	for _, tk := range tasks {
		last = max(last, tk.lastRun)
	}
	checkpoint := gangCheckpoint(tasks)
	for i, tk := range tasks {
		tk.lastRun, tk.checkpoint = last, checkpoint
		p.startTask(now, picks[i], tk)
	}
	return len(tasks)
}

// gangCheckpoint returns the checkpoint from which all members continue: that of any
// member is valid for all.
func gangCheckpoint(tasks []*task) string {
	for _, tk := range tasks {
		if tk.checkpoint != "" {
			return tk.checkpoint
		}
	}
	return ""
}

// pickGang returns a target for each task, or nil if there is no capacity for all. Tasks
// that prefer to share a rack get one if a single rack has the capacity.
func (p *Pool) pickGang(tasks []*task) []*target {
	if tasks[0].step.SameRack {
		for _, rack := range p.racks() {
			if picks := p.pickWithinRack(tasks, rack); picks != nil {
				return picks
			}
		}
	}
	return p.pickWithinRack(tasks, "")
}

// pickWithinRack is pickGang restricted to the targets of a rack; "" permits all
// targets.
func (p *Pool) pickWithinRack(tasks []*task, rack string) []*target {
	picks := make([]*target, 0, len(tasks))
	defer func() {
		for i, t := range picks {
			t.used = t.used.Minus(tasks[i].needs)
			t.gangPicked = 0
		}
	}()
	for _, tk := range tasks {
		t := p.chooseTarget(tk, rack)
		if t == nil {
			return nil
		}
		t.used = t.used.Plus(tk.needs)
		t.gangPicked++
		picks = append(picks, t)
	}
	return slices.Clone(picks)
}

// racks returns the known racks of all targets, sorted.
func (p *Pool) racks() []string {
	var racks []string
	for _, t := range p.sortedTargets {
		if r := t.Rack(); r != "" {
			racks = append(racks, r)
		}
	}
	slices.Sort(racks)
	return slices.Compact(racks)
}

// stopGang stops the remaining runs of a gang after the run of one member ended early,
// since the others cannot complete without it.
func (p *Pool) stopGang(now time.Duration, ended *task) {
	for _, tk := range ended.job.steps[ended.id.Step] {
		if tk != ended && tk.currentRun != nil {
			p.stopRun(now, tk.currentRun, "another task of the gang ended")
		}
	}
}

// finishGang marks the other tasks of a gang as done: one completed member completes the
// gang.
func (p *Pool) finishGang(done *task) {
	j := done.job
	for _, tk := range j.steps[done.id.Step] {
		if tk == done || tk.state == taskDone {
			continue
		}
		if tk.state == taskWaiting {
			j.waiting--
		}
		if tk.currentRun != nil {
			j.passedOver = append(j.passedOver, tk.currentRun)
		}
		tk.currentRun, tk.state = nil, taskDone
		j.remaining[tk.id.Step]--
	}
}
