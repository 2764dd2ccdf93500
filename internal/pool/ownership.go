package pool

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/fleet"
)

const (
	// firstBackoff is the pause before a target that was lost to another owner is
	// acquired again; it doubles up to maxBackoff.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = time.Second
	// quickAcquires is how often a fenced target is acquired again without a pause, each
	// time with a larger step of the fencing token; the last step makes up for a clock
	// that is hours behind.
	quickAcquires = 7
	fenceShift    = 4 // bits by which the step grows with each attempt
	maxFenceShift = 24
	// otherOwnerPause is the pause before the next attempt to acquire a target that
	// another owner uses.
	otherOwnerPause = time.Second
	// cutOffPause is how long a target that was cut off must have been in reach again
	// before it is acquired: links to entries near it come up meanwhile, and show whether
	// it has an owner there.
	cutOffPause = 1500 * time.Millisecond
	// timeToEnd is how long a target may take to end its runs, after a stop or once their lease
	// has expired: stop_ms of the platform's bounds.
	timeToEnd = 50 * time.Millisecond
	// contactWait is how long a hold that is not answered takes to show whether its target is silent.
	contactWait = 470 * time.Millisecond
	// maxProbeFence is the highest fencing token of probes. It is below all tokens of
	// owners.
	maxProbeFence = 1 << 20
)

// AcquirePolicy is the rule by which a target may be acquired.
type AcquirePolicy struct {
	Delay time.Duration // since the start of the leadership
	// Home targets are acquired even if another owner has runs on them.
	Home bool
	// CutOff targets are near entries none of which is in reach. They may have an owner
	// there, so they are probed first.
	CutOff bool
}

// SetAcquirePolicy sets the policy of each target by its ID.
func (p *Pool) SetAcquirePolicy(now time.Duration, policy func(id string) AcquirePolicy) {
	for _, t := range p.sortedTargets {
		c := policy(t.ID)
		if c.Delay != t.acquirePolicy.Delay && !t.owned && !t.acquiring() {
			t.nextAcquireAt = now + c.Delay
		}
		t.acquirePolicy = c
	}
}

// acquireTargets acquires the listed targets that are not owned and whose next attempt
// is due.
func (p *Pool) acquireTargets(now time.Duration) {
	for _, t := range p.sortedTargets {
		switch {
		case t.owned || t.acquiring():
		case !t.listed:
			p.askLost(now, t)
		case now < t.nextAcquireAt:
			p.askContact(now, t)
			p.askLost(now, t)
		case t.acquirePolicy.CutOff && !t.probed:
			t.askedAt = now
			p.probe(t)
		default:
			p.acquire(now, t)
		}
	}
}

// probe sends a hold whose fencing token is too low to change the ownership. The answer
// shows that the target is in reach.
func (p *Pool) probe(t *target) {
	p.probes = p.probes%maxProbeFence + 1
	t.disown()
	t.holds.probe = p.sendHold(fleet.Hold{Target: t.Target, Fence: p.probes}) // stops keep the token of the last ownership
}

// askContact asks a target that is acquired later whether it is silent, once when a leadership begins.
func (p *Pool) askContact(now time.Duration, t *target) {
	if t.contactShown || t.holds.contact != 0 || now >= p.leadingSince+contactWait {
		return
	}
	p.sendContact(t)
}

// sendContact sends a hold whose fencing token is too low to change the ownership.
func (p *Pool) sendContact(t *target) {
	p.probes = p.probes%maxProbeFence + 1
	t.holds.contact = p.sendHold(fleet.Hold{Target: t.Target, Fence: p.probes})
}

// maxLapseAsks is how often a target is asked after a lapse: the first hold may go over a connection from before.
const maxLapseAsks = 2

// askAfterLapse asks a fenced target, the leases of whose runs have expired, whether it is silent, and reports whether that is about to
// show. It may be acquired again only later, and may have stood still since it was fenced.
func (p *Pool) askAfterLapse(now time.Duration, t *target) bool {
	switch {
	case t.wasUnreachable || !t.listed || t.contactKnown || t.lapse.shown:
		return false
	case t.holds.contact == 0 && !t.acquiring() && t.lapse.asks < maxLapseAsks:
		t.lapse.asks, t.lapse.askedAt = t.lapse.asks+1, now
		p.sendContact(t)
		return true
	}
	return t.holds.contact != 0 && now < t.lapse.askedAt+contactWait
}

// probeDone handles the answer to a probe.
func (p *Pool) probeDone(now time.Duration, t *target, a fleet.Answer) {
	if a == fleet.Unanswered {
		t.unansweredHolds++
		p.markUnreachable(now, t)
		return
	}
	t.probed, t.nextAcquireAt = true, now+cutOffPause
	p.log("ownership", "target", t.ID, "outcome", "in reach", "answer", a.String(), "retry_ms", cutOffPause.Milliseconds())
}

// acquire sends a hold with a new fencing token. Once the target has accepted it, no
// start with a lower token can take effect. The token exceeds the last one by a step that
// grows with each fenced attempt, and is never below the bound that grows with time.
func (p *Pool) acquire(now time.Duration, t *target) {
	elapsed := uint64((now - p.leadingSince).Milliseconds()) * fenceStep
	p.lastFence = max(p.lastFence+fenceStep<<min(t.fencedInARow*fenceShift, maxFenceShift), p.fenceBase+elapsed)
	t.fence = p.lastFence
	t.disown()
	// The hold renews no lease, so that the leases of an unreachable target expire.
	t.askedAt = now
	t.holds.acquire = p.sendHold(fleet.Hold{Target: t.Target, Fence: t.fence})
}

// handleAcquired handles the first report under a new fencing token. A target that
// another active owner uses is left to it, except a home target.
func (p *Pool) handleAcquired(now time.Duration, t *target, rep fleet.HoldReply) {
	p.falls.withdraw(t.life())
	// A lease that another owner has granted before holds for the runs of this one too.
	t.unknownLeasesEnd = max(t.unknownLeasesEnd, now+withDrift(p.cfg.Lease))
	if !t.acquirePolicy.Home && (t.acquirePolicy.Delay > 0 || t.wasUnreachable) && t.runsForOther(rep.Running) {
		t.nextAcquireAt = now + otherOwnerPause
		p.log("ownership", "target", t.ID, "outcome", "left to another owner", "fence", t.fence, "running", len(rep.Running))
		return
	}
	t.owned, t.wasUnreachable, t.fencedInARow = true, false, 0
	t.lossRecorded, t.lossSettled, t.replaced = false, false, false
	p.reviewSuspicions(now, t)
	p.log("ownership", "target", t.ID, "outcome", "acquired", "life", t.Incarnation, "fence", t.fence, "running", len(rep.Running))
	listed := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		listed[runKey{row.Task, row.Run}] = true
	}
	for _, e := range rep.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	for _, r := range sortedRuns(t.runs) {
		r.weakLoss, r.open = false, false // that loss was none
		if !listed[r.key()] {
			p.releaseAndRequeue(now, r, groundNotAcquired) // its start had a lower fencing token and can't take effect
		}
	}
}

// runsForOther reports whether the target has runs that this owner did not start. It is
// asked for targets that were unreachable or are acquired after a delay: there, the
// leases of a dead owner's runs have expired, so these runs have a live owner.
func (t *target) runsForOther(rows []fleet.Running) bool {
	for _, row := range rows {
		if t.runs[runKey{row.Task, row.Run}] == nil {
			return true
		}
	}
	return false
}

// markFenced marks a target as not owned because another owner has used a higher fencing
// token.
func (p *Pool) markFenced(now time.Duration, t *target) {
	t.disown()
	backoff := min(firstBackoff<<min(t.fencedInARow, 4), maxBackoff)
	if t.acquirePolicy.Delay == 0 && t.fencedInARow < quickAcquires {
		backoff = 0 // the token may just have been too low
	}
	t.fencedInARow++
	t.nextAcquireAt = now + backoff
	p.recallLost(now, t)
	p.log("ownership", "target", t.ID, "outcome", "fenced", "fence", t.fence, "lost", t.fencedInARow, "retry_ms", backoff.Milliseconds(), "runs", len(t.runs))
}

// markUnreachable marks a target as not owned because it did not answer.
func (p *Pool) markUnreachable(now time.Duration, t *target) {
	if t.owned || t.unansweredHolds == 1 {
		p.log("ownership", "target", t.ID, "outcome", "unreachable", "misses", t.unansweredHolds, "runs", len(t.runs))
	}
	p.suspectRuns(now, t)
	t.disown()
	t.wasUnreachable, t.probed = true, false
	t.nextAcquireAt = now + reacquireBackoff
	if !t.contactKnown && !t.askedAgain {
		t.askedAgain, t.nextAcquireAt = true, now // over a new connection, since a call that is not answered closes the others
	}
	p.recallLost(now, t)
}

// releaseExpired releases the runs on targets that are not owned once all their leases
// have expired, the targets have had time to end them, and there is evidence that they have.
func (p *Pool) releaseExpired(now time.Duration) {
	p.formerShown, p.contactsDue = p.formerRunsShownByAll(now), false
	for _, t := range p.sortedTargets {
		p.contactsDue = p.contactsDue || now < p.leadingSince+contactWait && t.listed && !t.owned && !t.contactShown
		if t.owned {
			t.lastOwnedAt, t.lapse = now, lapseContact{}
			continue
		}
		p.settleLoss(now, t)
		if len(t.runs) == 0 || !t.leasesExpired(now-timeToEnd) {
			continue
		}
		if t.contactDue(now) || p.askAfterLapse(now, t) {
			continue
		}
		if !p.lostRunsOver(t) {
			p.noteOpenRuns(now, t)
			p.recordOpenRuns(t)
			continue
		}
		t.noteReturn(now)
		released, kept := 0, false
		for _, r := range sortedRuns(t.runs) {
			if p.mayHaveCompleted(now, t, r) {
				continue
			}
			if r.task != nil && r.task.job.Stored && !p.recalled(now, t) {
				continue // another leader may keep it
			}
			if r.task != nil && r.task.job.Stored && !p.keptRunsOver(t) {
				kept = true
				continue
			}
			if p.lapsedAt = now; r.task != nil {
				r.task.job.requireVouchFrom(now)
				r.task.job.lostRun = true
			}
			p.releaseAndRequeue(now, r, groundLapsed)
			released++
		}
		if kept {
			p.noteOpenRuns(now, t)
			p.recordOpenRuns(t)
			if now >= p.stored.recall.since+recallWait(t)+unreachableWait {
				t.lapse.recallEnded = now
			}
		}
		if released > 0 {
			p.log("ownership", "target", t.ID, "outcome", "lapsed", "runs", released, "lease_over_ms", (now - t.leasesEnd()).Milliseconds(), "contact", t.lastContact)
		}
	}
}

// noteOpenRuns logs once for each loss of a target that its runs are open though their leases have expired.
func (p *Pool) noteOpenRuns(now time.Duration, t *target) {
	if !t.lapse.open {
		t.lapse.open = true
		p.log("ownership", "target", t.ID, "outcome", "runs open", "runs", len(t.runs), "contact", t.lastContact, "listed", t.listed,
			"lease_over_ms", (now - t.leasesEnd()).Milliseconds())
	}
}

// contactDue reports whether a hold that is under way, or that follows at once on one that has shown nothing, is about to show
// whether the target is silent.
func (t *target) contactDue(now time.Duration) bool {
	switch {
	case t.contactKnown:
		return false
	case t.acquiring():
		return now < t.askedAt+contactWait
	}
	return t.askedAgain && t.listed && now >= t.nextAcquireAt && now < t.nextAcquireAt+contactWait
}

// noteContact records what the answer to a hold, sent to an address at the given time, shows: a sign of life, or whether the target
// is silent, or may be. An order over a connection from before tells nothing of the latter.
func (t *target) noteContact(sent time.Duration, addr string, rep *fleet.HoldReply) {
	t.lastContact = contactName(rep)
	t.signs.note(sent, t, addr, rep)
	if t.silent && rep.Answer != fleet.Unanswered {
		t.stoodStillUntil = sent + standstillMemory
	}
	if rep.Answer != fleet.Unanswered || rep.Contact != fleet.ContactUnknown {
		t.contactKnown = rep.Answer == fleet.Unanswered
		t.askedAgain, t.contactShown = false, true
		t.silent = rep.Answer == fleet.Unanswered && (rep.Contact == fleet.Connected || rep.Contact == fleet.ContactMissed)
		if t.silent {
			t.silentAt = sent
		}
	}
}

// contactName returns what a hold has shown of its target, for the log.
func contactName(rep *fleet.HoldReply) string {
	switch {
	case rep.Answer != fleet.Unanswered:
		return rep.Answer.String()
	case rep.Refused:
		return "refused"
	}
	return rep.Contact.String()
}

// sortedRuns returns the runs sorted by task and number, for a deterministic order.
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
