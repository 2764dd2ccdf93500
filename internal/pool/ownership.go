package pool

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/fleet"
)

const (
	// firstBackoff is the pause before a target that was lost to another owner
	// is claimed again; it doubles up to maxBackoff.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = time.Second
	// quickAcquires is how often a target is claimed again at once, each time with
	// a larger step of the fence; the last step covers a clock that is hours back.
	quickAcquires = 7
	fenceShift    = 4 // bits by which the step grows with each claim
	maxFenceShift = 24
	// otherOwnerPause is how long a target is left to another owner that serves it.
	otherOwnerPause = time.Second
)

// AcquirePolicy is how soon a target may be claimed.
type AcquirePolicy struct {
	Delay time.Duration // since the start of the lead
	// Home targets are taken even from an owner that serves them.
	Home bool
}

// SetAcquirePolicy says how soon each target may be claimed, by its ID.
func (p *Pool) SetAcquirePolicy(now time.Duration, claim func(id string) AcquirePolicy) {
	for _, t := range p.sortedTargets {
		c := claim(t.ID)
		if c.Delay != t.acquirePolicy.Delay && !t.owned && !t.acquiring {
			t.nextAcquireAt = now + c.Delay
		}
		t.acquirePolicy = c
	}
}

// acquireTargets asks for the targets that are not owned and due.
func (p *Pool) acquireTargets(now time.Duration) {
	for _, t := range p.sortedTargets {
		if !t.owned && !t.acquiring && now >= t.nextAcquireAt && t.listed {
			p.acquire(now, t)
		}
	}
}

// acquire sends a hold under a new fence. Whatever was ordered before under a
// lower one can't begin once it is answered.
func (p *Pool) acquire(now time.Duration, t *target) {
	elapsed := uint64((now - p.leadingSince).Milliseconds()) * fenceStep
	p.lastFence = max(p.lastFence+fenceStep<<min(t.fencedInARow*fenceShift, maxFenceShift), p.fenceBase+elapsed)
	t.fence = p.lastFence
	t.acquiring, t.holdInFlight = true, true
	t.owned = false
	// No lease goes with it: a target that stays out of reach must lapse.
	p.emit(fleet.Hold{Target: t.Target, Fence: t.fence})
}

// handleAcquired takes in the first list under a new fence.
func (p *Pool) handleAcquired(now time.Duration, t *target, rep fleet.HoldReply) {
	t.acquiring = false
	if !t.acquirePolicy.Home && (t.acquirePolicy.Delay > 0 || t.wasUnreachable) && t.runsForOther(rep.Running) {
		t.nextAcquireAt = now + otherOwnerPause
		p.log("ownership", "target", t.ID, "outcome", "left to its owner", "fence", t.fence, "running", len(rep.Running))
		return
	}
	t.owned, t.wasUnreachable, t.fencedInARow = true, false, 0
	p.log("ownership", "target", t.ID, "outcome", "acquired", "fence", t.fence, "running", len(rep.Running))
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, e := range rep.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	for _, r := range sortedRuns(t.runs) {
		if !listed[r.key()] {
			p.releaseAndRequeue(now, r) // a lower fence can't start it any more
		}
	}
}

// runsForOther reports whether something runs that this owner did not order. On
// a target that was out of reach, or is claimed after a pause, the work of a dead
// owner has lapsed: what runs has an owner that lives.
func (t *target) runsForOther(rows []fleet.Running) bool {
	for _, row := range rows {
		if t.runs[runKey{row.Task, row.Run}] == nil {
			return true
		}
	}
	return false
}

// markFenced notes that another owner has used a higher fence.
func (p *Pool) markFenced(now time.Duration, t *target) {
	t.owned, t.acquiring = false, false
	back := min(firstBackoff<<min(t.fencedInARow, 4), maxBackoff)
	if t.acquirePolicy.Delay == 0 && t.fencedInARow < quickAcquires {
		back = 0 // the fence may have been too low
	}
	t.fencedInARow++
	t.nextAcquireAt = now + back
	p.log("ownership", "target", t.ID, "outcome", "fenced", "fence", t.fence, "lost", t.fencedInARow, "retry_ms", back.Milliseconds())
}

// markUnreachable notes that a target did not answer.
func (p *Pool) markUnreachable(now time.Duration, t *target) {
	if t.owned || t.unansweredHolds == 1 {
		p.log("ownership", "target", t.ID, "outcome", "unreachable", "misses", t.unansweredHolds, "runs", len(t.runs))
	}
	t.owned, t.acquiring, t.wasUnreachable = false, false, true
	t.nextAcquireAt = now + reacquireBackoff
}

// releaseExpired gives up the runs on targets that are out of reach once no lease
// can be in force there.
func (p *Pool) releaseExpired(now time.Duration) {
	for _, t := range p.sortedTargets {
		if t.owned {
			t.lastOwnedAt = now
			continue
		}
		if len(t.runs) == 0 || !t.leasesExpired(now) {
			continue
		}
		// A task of a stored job may have ended there, and must not run again if it
		// has: the target is given time to come back.
		left := !t.listed && t.Leaving
		mayReturn := !left && now < t.lastOwnedAt+unreachableWait
		given := 0
		for _, r := range sortedRuns(t.runs) {
			if mayReturn && r.task != nil && r.task.job.Stored {
				continue
			}
			p.releaseAndRequeue(now, r)
			given++
		}
		if given > 0 {
			p.log("ownership", "target", t.ID, "outcome", "lapsed", "runs", given)
		}
	}
}

func sortedRuns(m map[runKey]*run) []*run {
	rs := make([]*run, 0, len(m))
	for _, r := range m {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b *run) int {
		if c := strings.Compare(a.taskID.Job, b.taskID.Job); c != 0 {
			return c
		}
		if c := a.taskID.Step - b.taskID.Step; c != 0 {
			return c
		}
		if c := a.taskID.Index - b.taskID.Index; c != 0 {
			return c
		}
		return a.number - b.number
	})
	return rs
}
