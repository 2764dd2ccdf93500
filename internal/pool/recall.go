package pool

import (
	"slices"
	"time"

	"currantstall/internal/jobstore"
)

// A target that the owner of the stored jobs has lost may have another leader, which keeps the runs of these
// jobs in case it becomes the next owner. It keeps them by the owner's row in the store: each read that shows
// no recall permits them for jobstore.KeepLease from the moment at which it was sent. The owner recalls the runs in its row
// before it takes them for over, and waits until all permissions from before that have ended.

// RecallStored asks for the recall of runs in the owner's row, by all writes that are sent at the given
// time or later. With 0 they show none.
type RecallStored struct{ From time.Duration }

// recall is the state of the recall in the owner's row.
type recall struct {
	wanted time.Duration // from when on it is wanted, 0 if it is not
	from   time.Duration // writes that are sent from then on show it
	since  time.Duration // the row has shown it since then at the latest; 0 if that is not known
	// The last renewal of the ownership: when it was sent, and when it was noticed.
	renewal, renewalAt time.Duration
}

// KeepStoredUntil permits a leader that does not own the stored jobs to keep their runs until the given time.
func (p *Pool) KeepStoredUntil(until time.Duration) {
	p.stored.keepUntil = max(p.stored.keepUntil, until)
}

// StoredRecalledFrom tells from when on writes of the owner's row show the recall that was asked for last.
func (p *Pool) StoredRecalledFrom(from time.Duration) {
	if rc := &p.stored.recall; rc.wanted != 0 {
		rc.from, rc.since = max(rc.from, from), 0
	}
}

// storedKeptUntil returns until when a leader that does not own the stored jobs may keep their runs. If it has
// claimed them and is about to restore them, nobody else owns them, and recalls runs, for jobstore.StartLease.
func (p *Pool) storedKeptUntil() time.Duration {
	if p.stored.renewedAt == 0 {
		return p.stored.keepUntil
	}
	return max(p.stored.keepUntil, p.stored.renewedAt+jobstore.StartLease+jobstore.KeepLease)
}

// mayNotKeep reports whether an unclaimed run of a stored job has to be stopped since the permission to keep it ends
// soon, or has not come.
func (p *Pool) mayNotKeep(now time.Duration, r *run) bool {
	return r.number >= runsPerEpoch && !p.stored.owned && now >= max(r.orderedAt+adoptTimeout, p.storedKeptUntil()-stopMargin)
}

// recallWait is how long after a recall is in the owner's row the leases that other leaders have granted last on a target, with
// the time that it may take to end the runs.
func recallWait(*target) time.Duration { return withDrift(jobstore.KeepLease) + timeToEnd }

// recalled reports whether no other leader can have kept runs of stored jobs on the target until now. A former owner that
// does not know yet that it is none reads no row, and keeps runs until its ownership was not renewed for too long.
func (p *Pool) recalled(now time.Duration, t *target) bool {
	rc := &p.stored.recall
	if p.stored.epoch > firstEpoch && now < p.stored.lastSeen+formerRunsTimeout {
		return false
	}
	return rc.since != 0 && now >= rc.since+recallWait(t)
}

// firstEpoch is the epoch of the first owner ever. Others have a former owner.
const firstEpoch = 1

// tickRecall notices whether the row shows the recall, and recalls runs where that is due.
func (p *Pool) tickRecall(now time.Duration) {
	if !p.stored.owned {
		return
	}
	rc := &p.stored.recall
	if p.stored.renewedAt != rc.renewal {
		rc.renewal, rc.renewalAt = p.stored.renewedAt, now
	}
	if rc.wanted != 0 && rc.since == 0 && rc.renewal >= rc.from {
		rc.since = max(rc.from, rc.renewalAt)
		p.log("stored", "outcome", "runs recalled")
	}
	p.lostTargets = 0
	for _, t := range p.sortedTargets {
		if !t.owned && t.wasUnreachable && t.hasStoredRuns() {
			p.lostTargets++
		}
	}
	due := p.restoredRecallDue(now)
	for _, t := range p.sortedTargets {
		due = min(due, p.recallDue(now, t))
	}
	p.wantRecall(now, due)
}

// hasStoredRuns reports whether the target has runs of known stored jobs.
func (t *target) hasStoredRuns() bool {
	for _, r := range t.runs {
		if r.task != nil && r.task.job.Stored {
			return true
		}
	}
	return false
}

// recallLost recalls the runs on a target that was just lost, if that is due earlier than planned.
func (p *Pool) recallLost(now time.Duration, t *target) {
	if due := p.recallDue(now, t); p.stored.recall.wanted == 0 || due < p.stored.recall.wanted {
		p.wantRecall(now, due)
	}
}

// recallDue returns from when on the runs of stored jobs on a target have to be recalled so that they are over, by all
// accounts, when their tasks need not wait for the target any more. A target with another owner, or many that are out
// of reach, may be on their way to the next leader, which then owns the jobs as well: their runs are recalled only
// if this one still leads some time after its leases have ended.
func (p *Pool) recallDue(now time.Duration, t *target) time.Duration {
	due := forever
	if t.owned || !p.stored.owned {
		return due
	}
	t.noteReturn(now)
	waits := t.namedOpen || t.lapse.open && now >= t.lastOwnedAt+unreachableWait
	if waits && !p.runsOverSince(t, max(t.leasesEnd()+timeToEnd, t.lapse.recallEnded)) {
		return due // once there is evidence, which may be long in coming
	}
	for _, r := range t.runs {
		switch {
		case r.task == nil || !r.task.job.Stored:
		case p.mayHaveCompleted(now, t, r):
			due = min(due, t.returnsUntil()-recallWait(t))
		case t.namedOpen: // other leaders may be about to leave their targets to this one
			due = min(due, p.stored.lastSeen+formerRunsTimeout-recallWait(t))
		case t.wasUnreachable && p.lostTargets <= fewLostTargets:
			return now
		default: // not by leasesEnd, which other owners put off
			due = min(due, t.lastOwnedAt+withDrift(p.cfg.Lease)+timeToEnd+stepDownWait)
		}
	}
	return due
}

// restoredRecallDue returns the present time if runs of former owners have to be recalled by now, since restored jobs wait
// for their end, or forever. Targets that have shown nothing put the start of these jobs off, and do not bring the recall forward: other leaders may be about
// to leave their targets to this one.
func (p *Pool) restoredRecallDue(now time.Duration) time.Duration {
	for longRunningOnly, jobs := range p.stored.awaiting {
		due := now >= p.stored.runsOver(longRunningOnly)-withDrift(jobstore.KeepLease)-timeToEnd
		if due && (p.stored.recall.wanted != 0 || !p.seesFormerTargets(now)) && slices.ContainsFunc(jobs, func(j *job) bool { return j.queued }) {
			return now
		}
	}
	return forever
}

// recalledEverywhere reports whether no other leader can have kept runs of former owners on any target until now.
func (p *Pool) recalledEverywhere(now time.Duration) bool {
	rc := &p.stored.recall
	return rc.since != 0 && now >= rc.since+recallWait(nil)
}

const (
	// fewLostTargets is the largest number of targets that are lost at a time for other reasons than that
	// this leader is cut off.
	fewLostTargets = 2
	// stepDownWait is how long a leader that was replaced may take to step down, counted from the end of its leases.
	stepDownWait = 500 * time.Millisecond
)

// wantRecall recalls runs from the given time on, or no more if that is forever. A recall that is in
// force and still due goes on.
func (p *Pool) wantRecall(now, due time.Duration) {
	rc := &p.stored.recall
	switch {
	case due == forever && rc.wanted == 0, due <= now && rc.wanted != 0 && rc.wanted <= now, due == rc.wanted:
		return
	case due == forever:
		due = 0
		p.log("stored", "outcome", "recall over", "shown", rc.since != 0)
	default:
		due = max(due, now)
	}
	rc.wanted, rc.from, rc.since = due, due, 0
	p.emit(RecallStored{due})
}

// mayHaveCompleted reports whether a run on a target that is not owned may have completed its task there, which then must
// not run again: the target gets time to come back. A long-running task never completes.
func (p *Pool) mayHaveCompleted(now time.Duration, t *target, r *run) bool {
	left := !t.listed && t.Leaving
	return !left && now < t.returnsUntil() && r.task != nil && r.task.job.Stored && !r.task.step.LongRunning
}

// returnWait is how long a target has to come back once its process is known to have gone on: to write its row, and to be acquired. The end of a
// run that it has found done is read then.
const returnWait = 5 * time.Second

// returnsUntil returns until when a target that is not owned has time to come back.
func (t *target) returnsUntil() time.Duration {
	until := t.lastOwnedAt + unreachableWait
	if t.lapse.returnedAt != 0 {
		until = max(until, t.lapse.returnedAt+returnWait)
	}
	return until
}

// noteReturn notes when the process of a lost target is first known to have run since its leases have expired.
func (t *target) noteReturn(now time.Duration) {
	if t.lapse.returnedAt == 0 && !t.signs.refused && t.endedRuns(t.leasesEnd()+timeToEnd) {
		t.lapse.returnedAt = now
	}
}
