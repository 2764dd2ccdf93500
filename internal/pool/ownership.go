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
	// quickClaims is how often a target is claimed again at once, each time with
	// a larger step of the fence; the last step covers a clock that is hours back.
	quickClaims   = 7
	fenceShift    = 4 // bits by which the step grows with each claim
	maxFenceShift = 24
	// leaveFor is how long a target is left to another owner that serves it.
	leaveFor = time.Second
)

// Claim is how soon a target may be claimed.
type Claim struct {
	Pause time.Duration // since the start of the lead
	// Home targets are taken even from an owner that serves them.
	Home bool
}

// SetClaim says how soon each target may be claimed, by its ID.
func (p *Pool) SetClaim(now time.Duration, claim func(id string) Claim) {
	for _, t := range p.order {
		c := claim(t.ID)
		if c.Pause != t.claim.Pause && !t.owned && !t.asking {
			t.askAt = now + c.Pause
		}
		t.claim = c
	}
}

// acquireDue asks for the targets that are not owned and due.
func (p *Pool) acquireDue(now time.Duration) {
	for _, t := range p.order {
		if !t.owned && !t.asking && now >= t.askAt && t.listed {
			p.acquire(now, t)
		}
	}
}

// acquire sends a hold under a new fence. Whatever was ordered before under a
// lower one can't begin once it is answered.
func (p *Pool) acquire(now time.Duration, t *target) {
	elapsed := uint64((now - p.ledAt).Milliseconds()) * fenceStep
	p.fence = max(p.fence+fenceStep<<min(t.lostTo*fenceShift, maxFenceShift), p.base+elapsed)
	t.fence = p.fence
	t.asking, t.holding = true, true
	t.owned = false
	// No lease goes with it: a target that stays out of reach must lapse.
	p.emit(fleet.Hold{Target: t.Target, Fence: t.fence})
}

// acquired takes in the first list under a new fence.
func (p *Pool) acquired(now time.Duration, t *target, rep fleet.HoldReply) {
	t.asking = false
	if !t.claim.Home && (t.claim.Pause > 0 || t.wasOut) && t.servesOther(rep.Running) {
		t.askAt = now + leaveFor
		p.log("ownership", "target", t.ID, "outcome", "left to its owner", "fence", t.fence, "running", len(rep.Running))
		return
	}
	t.owned, t.wasOut, t.lostTo = true, false, 0
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
			p.runGone(now, r) // a lower fence can't start it any more
		}
	}
}

// servesOther reports whether something runs that this owner did not order. On
// a target that was out of reach, or is claimed after a pause, the work of a dead
// owner has lapsed: what runs has an owner that lives.
func (t *target) servesOther(rows []fleet.Running) bool {
	for _, row := range rows {
		if t.runs[runKey{row.Task, row.Run}] == nil {
			return true
		}
	}
	return false
}

// lose notes that another owner has used a higher fence.
func (p *Pool) lose(now time.Duration, t *target) {
	t.owned, t.asking = false, false
	back := min(firstBackoff<<min(t.lostTo, 4), maxBackoff)
	if t.claim.Pause == 0 && t.lostTo < quickClaims {
		back = 0 // the fence may have been too low
	}
	t.lostTo++
	t.askAt = now + back
	p.log("ownership", "target", t.ID, "outcome", "fenced", "fence", t.fence, "lost", t.lostTo, "retry_ms", back.Milliseconds())
}

// unreachable notes that a target did not answer.
func (p *Pool) unreachable(now time.Duration, t *target) {
	if t.owned || t.misses == 1 {
		p.log("ownership", "target", t.ID, "outcome", "unreachable", "misses", t.misses, "runs", len(t.runs))
	}
	t.owned, t.asking, t.wasOut = false, false, true
	t.askAt = now + reacquireAfter
}

// expireLeases gives up the runs on targets that are out of reach once no lease
// can be in force there.
func (p *Pool) expireLeases(now time.Duration) {
	for _, t := range p.order {
		if t.owned {
			t.ownedAt = now
			continue
		}
		if len(t.runs) == 0 || !t.lapsed(now) {
			continue
		}
		// A task of a stored job may have ended there, and must not run again if it
		// has: the target is given time to come back.
		left := !t.listed && t.Leaving
		mayReturn := !left && now < t.ownedAt+unreachableWait
		given := 0
		for _, r := range sortedRuns(t.runs) {
			if mayReturn && r.owner != nil && r.owner.job.Stored {
				continue
			}
			p.runGone(now, r)
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
		if c := strings.Compare(a.task.Job, b.task.Job); c != 0 {
			return c
		}
		if c := a.task.Step - b.task.Step; c != 0 {
			return c
		}
		if c := a.task.Index - b.task.Index; c != 0 {
			return c
		}
		return a.n - b.n
	})
	return rs
}
