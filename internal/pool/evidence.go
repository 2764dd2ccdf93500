package pool

import (
	"time"

	"currantstall/internal/fleet"
)

// A lease ends on the clock of its target, and only a process that runs ends what it covers. A target that
// stands still, or whose VM is suspended, ends nothing, and may find its runs done when it goes on. So no time on the clock
// of an entry shows that runs on a target out of reach are over. They stay open until there is evidence:
//
//   - the target's own report, or another life that answers at its address,
//   - a connection that the kernel of its VM refuses, since nothing listens there,
//   - an answer, or renewals of its row in the platform's list, from after the end of the leases by its own clock: its process has run since,
//   - its row is gone from the list and its VM accepts no connection: the platform says that it is to be taken for gone.

// OpenFor is how long open runs are said to last at least, to those who ask or are told again before that. It is longer than
// the callers of best-effort jobs wait for an answer, so that one who hears nothing more starts no other run for them.
const OpenFor = 5 * time.Second

// lifeSigns is what shows until when the process of a target has run at least.
type lifeSigns struct {
	answeredAt time.Duration // when the last hold was sent that this incarnation has answered
	answeredMS int64         // the latest clock in such an answer, 0 if unknown
	firstMS    int64         // the first one in this leadership
	refused    bool          // since its last answer, the kernel of its VM has refused a connection
	row        renewals
	// otherAnswered is set if another target has answered last at the address at which this one is listed.
	otherAnswered bool
}

// renewals follows the versions of a target's row.
type renewals struct {
	version uint64
	readAt  time.Duration // when the last read that shows the version was sent, 0 before the first
	// unseenAt is when the last read was sent that does not show the version yet, so that it arrived after that; before is
	// unseenAt of the version before.
	unseenAt, before time.Duration
	// aliveAt is a time after which the target has run for longer than any lease, by its own clock: the first write that arrived after that may have
	// been on its way, the next one was sent when that was done, and the third one a heartbeat later.
	aliveAt time.Duration
	present bool // the last read has the row, whether it can be used or not
}

// observe records the version of the row that a read shows which was sent at the given time.
func (r *renewals) observe(version uint64, readAt time.Duration) {
	if version != r.version {
		r.aliveAt, r.before, r.unseenAt, r.version = max(r.aliveAt, r.before), r.unseenAt, r.readAt, version
	}
	r.readAt = max(r.readAt, readAt)
}

// ObserveRenewals records the versions of the targets' rows, by ID, as a read of the platform's list shows them that was
// sent at the given time. The version of a row that can't be used is 0.
func (p *Pool) ObserveRenewals(readAt time.Duration, versions map[string]uint64) {
	for _, t := range p.sortedTargets {
		v, present := versions[t.ID]
		t.signs.row.present = present
		if v != 0 {
			t.signs.row.observe(v, readAt)
		}
	}
}

// goneAfter is how long a target has to be without any sign of its VM to be gone: as long as it takes until its row is out of the list.
const goneAfter = 7 * time.Second

// hasNoRow reports whether the platform's list shows that the target is gone.
func (t *target) hasNoRow() bool { return !t.listed && !t.signs.row.present }

// isGone reports whether the target is gone: by the platform's list, and unless its VM has accepted a connection lately.
func (p *Pool) isGone(t *target) bool {
	return t.hasNoRow() && (t.silentAt == 0 || t.signs.otherAnswered || p.lastTick >= t.silentAt+goneAfter)
}

// note records what the answer to a hold that was sent to an address at the given time shows.
func (s *lifeSigns) note(sent time.Duration, t *target, addr string, rep *fleet.HoldReply) {
	switch {
	case rep.Answer == fleet.OtherIncarnation:
		s.otherAnswered = true
	case rep.Refused && addr == t.ownAddr:
		s.refused = true
	case rep.Answer == fleet.Unanswered, rep.Incarnation != 0 && rep.Incarnation != t.Incarnation:
	default:
		s.answeredAt, s.answeredMS, s.refused = max(s.answeredAt, sent), max(s.answeredMS, rep.ClockMS), false
		s.otherAnswered = false
		if s.firstMS == 0 {
			s.firstMS = rep.ClockMS
		}
	}
}

// outlivedLeases returns a time until which the leases of former leaders have been granted that are over by the target's own clock.
func (t *target) outlivedLeases(lease time.Duration) time.Duration {
	s := &t.signs
	if s.firstMS != 0 && s.answeredMS < s.firstMS+(lease+timeToEnd).Milliseconds() {
		return s.row.aliveAt // the clock of a suspended VM stood still
	}
	return max(s.answeredAt, s.row.aliveAt)
}

// endedRuns reports whether the target has run since its leases have expired, at the given time, and so has ended the runs.
func (t *target) endedRuns(end time.Duration) bool {
	if t.signs.row.aliveAt >= end {
		return true
	}
	// The clock of a suspended VM stands still, so that its leases last longer than this owner counts.
	byItsClock := t.signs.answeredMS == 0 || t.signs.answeredMS >= max(t.latestLeaseMS, t.namedLeaseMS)+timeToEnd.Milliseconds()
	return t.signs.answeredAt >= end && byItsClock
}

// lostRunsOver reports whether there is evidence that the runs on a target that is not owned, all of whose leases have
// expired by the account of this owner, are over.
func (p *Pool) lostRunsOver(t *target) bool { return p.runsOverSince(t, t.leasesEnd()+timeToEnd) }

// keptRunsOver is lostRunsOver for runs of stored jobs, whose leases other leaders have put off until the recall was over.
func (p *Pool) keptRunsOver(t *target) bool {
	return p.runsOverSince(t, max(t.leasesEnd()+timeToEnd, p.stored.recall.since+recallWait(t)))
}

// runsOverSince is lostRunsOver for runs whose leases have expired, and that their target has had time to end, by the given time.
func (p *Pool) runsOverSince(t *target, end time.Duration) bool {
	switch {
	case t.signs.refused || t.replaced && t.answered || t.endedRuns(end):
		return true
	case t.silent || t.namedOpen && !t.contactShown && !t.signs.otherAnswered:
		return false
	case !p.cfg.RowsRenewed:
		return true
	}
	return p.isGone(t) && (t.contactKnown || t.signs.otherAnswered)
}

// formerRunsShownOn returns the latest time for which a target has shown the runs that former owners had there until then,
// or that they are over.
func (p *Pool) formerRunsShownOn(now time.Duration, t *target) time.Duration {
	asked := t.contactShown || now >= p.leadingSince+contactWait
	switch {
	case t.owned || t.replaced || t.signs.refused || p.isGone(t) && !t.silent:
		return forever
	case t.silent || !asked:
	case !p.cfg.RowsRenewed:
		return forever
	}
	return max(t.lastOwnedAt, t.outlivedLeases(p.cfg.Lease))
}

// formerRunsShownByListed is formerRunsShownByAll but for targets that are gone by the platform's list. The record of a stored job names the open
// runs that are known there.
func (p *Pool) formerRunsShownByListed(now time.Duration) time.Duration {
	shown := forever
	for _, t := range p.sortedTargets {
		if !t.hasNoRow() {
			shown = min(shown, p.formerRunsShownOn(now, t))
		}
	}
	return shown
}

// formerRunsShownByAll returns the latest time for which all targets have shown that.
func (p *Pool) formerRunsShownByAll(now time.Duration) time.Duration {
	shown := forever
	for _, t := range p.sortedTargets {
		shown = min(shown, p.formerRunsShownOn(now, t))
	}
	return shown
}

// formerRunsShown reports whether all targets have shown the runs that former owners had until the given time, or that they are over. If not, the
// targets are asked.
func (p *Pool) formerRunsShown(now, until time.Duration) bool {
	if p.formerShown >= until {
		return true
	}
	p.formerWanted, p.formerWantedAt = max(p.formerWanted, until), now
	return false
}

// askLost asks a target that is not about to be acquired for a sign of life, if runs on it are open or jobs wait for the runs of
// former owners there.
func (p *Pool) askLost(now time.Duration, t *target) {
	if t.holds.contact != 0 || now < t.signsAskedAt+reacquireBackoff {
		return
	}
	waitedFor := p.cfg.RowsRenewed && p.formerWanted > 0 && now < p.formerWantedAt+reacquireBackoff
	wanted := waitedFor && now >= p.formerWanted && p.formerRunsShownOn(now, t) < p.formerWanted
	if wanted || !t.listed && len(t.runs) > 0 {
		if !t.listed {
			t.Addr = t.ownAddr // its last row may have named another one
		}
		t.signsAskedAt = now
		p.sendContact(t)
	}
}

// followedUnlisted handles an answer that another life, or another target, has given to a hold for a target that is not listed: no hold to
// acquire it will show that. It reports whether it was one.
func (p *Pool) followedUnlisted(now time.Duration, t *target, addr string, rep *fleet.HoldReply) bool {
	if rep.Answer == fleet.OtherIncarnation {
		t.signs.otherAnswered, t.silent = true, false
		p.answeredByOther(now, t, addr, rep.Incarnation)
		return true
	}
	return p.otherIncarnation(now, t, rep.Incarnation)
}

// awaitsSigns reports whether jobs wait, or have waited lately, for what the target shows.
func (p *Pool) awaitsSigns(now time.Duration, t *target) bool {
	return p.formerWanted > 0 && now < p.formerWantedAt+OpenFor && p.formerRunsShownOn(now, t) < p.formerWanted
}
