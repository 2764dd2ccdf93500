package pool

import (
	"math"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A leader starts and renews the runs of a job only on the word of the job's coordinator: the
// coordinator vouches for its jobs by answering the leader's heartbeats, and each answer
// permits the runs for VouchFor from the time of that heartbeat. So a coordinator knows until
// when a leader's runs may last, from its own last answer, whatever the leader has heard
// since; and the callers of a lost coordinator find no run of theirs when they return.

// A leader takes a run that it can't see for over at a time that it works out: the end of its
// own leases on a lost target, or of the permission of a former leader. The coordinator may have
// handed the job to yet another leader by then, which has found the run and renews it. So the
// task is started only by the answer to a heartbeat sent after that time: it proves that
// nobody else had the job until then. A run that is shown to be over by its target needs no
// such proof.

// DefaultVouchFor is how long runs may continue after the heartbeat that their coordinator
// answered last. New runs need a whole lease of that.
const DefaultVouchFor = 1100 * time.Millisecond

// forever is the end of a permission that does not expire.
const forever = time.Duration(math.MaxInt64)

// Voucher is who vouches for a job: its coordinator, or the entry for which the coordinator
// relays the job, named by Origin.
type Voucher struct {
	Coordinator string
	Origin      string // "" if the coordinator does not relay the job
}

// vouch is the last word of a voucher.
type vouch struct {
	origin  string
	heardAt time.Duration // time of the last heartbeat that it answered
	known   bool
	since   time.Duration // when its first job was submitted
	askedAt time.Duration // when it was last asked for an answer
	// wantedFrom is the latest time of a heartbeat whose answer a job has ever waited for.
	wantedFrom time.Duration
	jobs       map[string]*job // that depend on it, by ID
}

// Vouched records that a voucher has answered the heartbeat that this entry sent at the given
// time. Answers to earlier heartbeats change nothing.
func (p *Pool) Vouched(by Voucher, heartbeatAt time.Duration) {
	if v := p.vouches[by]; v != nil && (!v.known || heartbeatAt > v.heardAt) {
		v.heardAt, v.known = heartbeatAt, true
	}
}

// vouchOf returns the last word of a voucher, for jobs to share.
func (p *Pool) vouchOf(now time.Duration, by Voucher) *vouch {
	v := p.vouches[by]
	if v == nil {
		v = &vouch{since: now, origin: by.Origin, jobs: make(map[string]*job)}
		p.vouches[by] = v
	}
	return v
}

// attachVouch makes a job depend on the word of its present voucher, and on the deadline of its
// present caller.
func (p *Pool) attachVouch(now time.Duration, j *job, s *Submit) {
	p.awaitDeparture(now, j, s)
	j.detachVouch()
	if s.NeedsVouch {
		by := Voucher{s.Coordinator, s.Origin}
		j.vouch = p.vouchOf(now, by)
		j.vouch.jobs[j.ID] = j
		j.requireVouchFrom(j.vouchFrom)
		if s.HeartbeatAt > 0 {
			p.Vouched(by, s.HeartbeatAt)
		}
	}
}

// detachVouch makes a job depend on no voucher.
func (j *job) detachVouch() {
	if j.vouch != nil {
		delete(j.vouch.jobs, j.ID)
		j.vouch = nil
	}
}

// dropVouches forgets the words of a coordinator whose link is down.
func (p *Pool) dropVouches(coordinator string) {
	for by := range p.vouches {
		if by.Coordinator == coordinator {
			delete(p.vouches, by)
		}
	}
}

// permittedUntil returns until when the runs of a job may continue: by the words of its
// coordinators and the deadline of its caller. Those of stored jobs are bounded by the ownership of
// these jobs.
func (p *Pool) permittedUntil(j *job) time.Duration {
	if j.withdrawn {
		return j.withdrawnUntil
	}
	return min(p.vouchedUntil(j), p.callerPermits(j))
}

// vouchedUntil returns until when the runs of a job that is not withdrawn may continue by the words
// of its coordinators.
func (p *Pool) vouchedUntil(j *job) time.Duration {
	until := forever
	switch {
	case j.Stored || j.vouch == nil:
	case !j.vouch.known:
		return 0
	default:
		until = j.vouch.heardAt + p.cfg.VouchFor
	}
	for _, e := range j.earlier {
		until = min(until, e.permittedUntil)
	}
	return until
}

// earlierCoordinator is a coordinator of a job whose caller has submitted the job again at
// another entry. Until it has given the job up, it may hand it to another leader.
type earlierCoordinator struct {
	name           string
	permittedUntil time.Duration
}

// changeCoordinator prepares a job that is known here for a submission, which may be of another
// coordinator than the present one.
func (p *Pool) changeCoordinator(now time.Duration, j *job, s *Submit) {
	if s.Coordinator == j.coordinator {
		return
	}
	p.countCoordinator(j.coordinator, -1)
	p.countCoordinator(s.Coordinator, 1)
	if j.movedAway {
		j.mayHaveRunElsewhere = true
		j.waitForRunsUntil(now, now+p.cfg.TakeoverDelay)
	}
	until := p.vouchedUntil(j)
	if j.withdrawn {
		until = j.withdrawnUntil
	}
	if until > now && until < forever {
		j.earlier = append(j.earlier, earlierCoordinator{j.coordinator, until})
		p.resubmitted[j.ID] = j
	}
	if !j.orphaned {
		p.emit(Ended{j.coordinator, j.ID, j.number, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Resubmitted}})
	}
}

// dropEarlier forgets an earlier coordinator, which has given the job up.
func (j *job) dropEarlier(coordinator string) {
	j.earlier = slices.DeleteFunc(j.earlier, func(e earlierCoordinator) bool { return e.name == coordinator })
}

// requireVouchFrom makes the next starts of a job wait for the answer to a heartbeat of the given
// time or later, of all its coordinators.
func (j *job) requireVouchFrom(at time.Duration) {
	j.vouchFrom = max(j.vouchFrom, at)
	if j.vouch != nil {
		j.vouch.wantedFrom = max(j.vouch.wantedFrom, j.vouchFrom)
	}
}

// mayStartVouched reports whether tasks of a job that is not stored may be started now.
func (p *Pool) mayStartVouched(now time.Duration, j *job) bool {
	if j.mayHaveRunElsewhere && (p.contactsDue || !p.formerRunsShown(now, j.formerRunsEnd)) || j.hasLeftRuns() {
		return false
	}
	return now >= max(j.formerRunsEnd, j.elsewhereUntil) && p.vouchedUntil(j) >= j.vouchFrom+p.cfg.VouchFor && p.permittedUntil(j) >= now+p.cfg.Lease
}

// VouchRequest asks a voucher to answer a heartbeat of this moment.
type VouchRequest Voucher

// vouchRequestPause is the least time between two requests to one voucher.
const vouchRequestPause = 50 * time.Millisecond

// requestVouches asks for the answers that are all that tasks wait for, since the next heartbeat
// may be 0.3 s away.
func (p *Pool) requestVouches(now time.Duration) {
	for _, v := range p.vouches {
		if max(v.heardAt, v.askedAt) < v.wantedFrom && now >= v.askedAt+vouchRequestPause {
			p.requestVouch(now, v)
		}
	}
}

// requestVouch asks a voucher for an answer if a job waits for it.
func (p *Pool) requestVouch(now time.Duration, v *vouch) {
	for _, j := range v.jobs {
		p.work.jobs++
		if j.Stored || j.orphaned || j.waiting == 0 || now < j.vouchFrom || max(v.heardAt, v.askedAt) >= j.vouchFrom {
			continue
		}
		v.askedAt = now
		p.emit(VouchRequest{j.coordinator, v.origin})
		return
	}
}

// stopMargin is how long before the end of their permission runs are stopped, so that the leases
// of other runs on the same target need not end with it.
const stopMargin = 250 * time.Millisecond

// stopUnpermitted stops the runs of jobs whose permission is about to end.
func (p *Pool) stopUnpermitted(now time.Duration) {
	for _, v := range p.vouches {
		if v.known && v.heardAt+p.cfg.VouchFor > now+stopMargin {
			continue
		}
		for _, j := range v.jobs {
			p.stopIfUnpermitted(now, j)
		}
	}
	for id, j := range p.resubmitted {
		if p.stopIfUnpermitted(now, j); p.jobs[id] != j || len(j.earlier) == 0 {
			delete(p.resubmitted, id)
		}
	}
}

// stopIfUnpermitted stops the runs of a job if its permission is about to end.
func (p *Pool) stopIfUnpermitted(now time.Duration, j *job) {
	p.work.jobs++
	if p.jobs[j.ID] != j || j.orphaned || p.permittedUntil(j) > now+stopMargin {
		return
	}
	if j.vouch != nil && !j.vouch.known && now < j.vouch.since+adoptTimeout {
		return // the first word is on its way; until then adopted runs are not renewed
	}
	for _, r := range j.currentRuns() {
		p.stopRun(now, r, "coordinator silent")
	}
	j.earlier = slices.DeleteFunc(j.earlier, func(e earlierCoordinator) bool { return e.permittedUntil <= now })
}

// limitRuns ends the permission of a job that is orphaned or has ended: its runs may outlast
// the present by one lease at most, if they can't be stopped.
func (p *Pool) limitRuns(now time.Duration, j *job) {
	j.withdrawnUntil, j.withdrawn = min(p.permittedUntil(j), now+p.cfg.Lease), true
}

// runPermittedUntil returns until when a run may continue. A run of an unknown job may belong
// to a leader or a coordinator that has given it up, so it is not renewed; runs of stored
// jobs are kept until these are restored.
func (p *Pool) runPermittedUntil(r *run) time.Duration {
	switch {
	case r.task != nil && r.task.job.Stored:
		return min(p.permittedUntil(r.task.job), p.stored.ownRunsEnd(p.cfg.Lease))
	case r.task != nil:
		return p.permittedUntil(r.task.job)
	case r.number >= runsPerEpoch && p.stored.owned:
		return forever
	case r.number >= runsPerEpoch:
		return p.storedKeptUntil()
	}
	return 0
}

// grantLease grants the next lease of a target and returns its end in ms of the target's clock,
// or 0 if there is none to grant. A lease holds for all runs of a target, so that the least
// permission limits it.
func (p *Pool) grantLease(now time.Duration, t *target) int64 {
	until := now + p.cfg.Lease
	for _, r := range t.runs {
		until = min(until, p.runPermittedUntil(r))
	}
	if until <= now {
		return 0
	}
	return t.leaseUntil(now, until-now)
}

// waitForFormerOwners delays the start of a job that other owners may have started, until all
// their runs are over. Its own runs an owner knows.
func (p *Pool) waitForFormerOwners(now time.Duration, j *job, s *Submit) {
	if !s.MayHaveRun {
		return
	}
	j.mayHaveRunElsewhere = true
	vouchedAgo := s.VouchedAgo
	if s.HereBefore && p.knowsOwnRuns(now, s) {
		vouchedAgo = s.VouchedElsewhereAgo
		j.requireVouchFrom(p.lapsedAt) // the submission may be from before that
	}
	j.waitForRunsUntil(now, now+p.cfg.TakeoverDelay-vouchedAgo)
}

// waitForRunsUntil delays the start of a job until the runs of former owners are over.
func (j *job) waitForRunsUntil(now, end time.Duration) {
	j.formerRunsEnd = max(j.formerRunsEnd, end)
	if end > now { // otherwise the submission itself is from after the end
		j.requireVouchFrom(end)
	}
}

// knowsOwnRuns reports whether this owner knows all runs that it has started of a submitted
// job: it has led all the while since the job arrived, and still has the job or has no runs of
// it left.
func (p *Pool) knowsOwnRuns(now time.Duration, s *Submit) bool {
	arrived := now - s.Waited
	if s.NeedsVouch {
		arrived = s.HeartbeatAt - s.Waited // at the latest: the submission was sent after that heartbeat
	}
	if p.leadingSince > arrived {
		return false
	}
	if p.jobs[s.Job.ID] != nil {
		return true
	}
	for _, t := range p.sortedTargets {
		for k := range t.runs {
			if k.taskID.Job == s.Job.ID {
				return false
			}
		}
	}
	return true
}
