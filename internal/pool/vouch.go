package pool

import (
	"math"
	"time"
)

// A leader starts and renews the runs of a job only on the word of the job's coordinator: the
// coordinator vouches for its jobs by answering the leader's heartbeats, and each answer
// permits the runs for VouchFor from the time of that heartbeat. So a coordinator knows until
// when a leader's runs may last, from its own last answer, whatever the leader has heard
// since; and the callers of a lost coordinator find no run of theirs when they return.

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
	heardAt time.Duration // time of the last heartbeat that it answered
	known   bool
}

// Vouched records that a voucher has answered the heartbeat that this entry sent at the given
// time. Answers to earlier heartbeats change nothing.
func (p *Pool) Vouched(by Voucher, heartbeatAt time.Duration) {
	if v := p.vouches[by]; v != nil && (!v.known || heartbeatAt > v.heardAt) {
		v.heardAt, v.known = heartbeatAt, true
	}
}

// vouchOf returns the last word of a voucher, for jobs to share.
func (p *Pool) vouchOf(by Voucher) *vouch {
	v := p.vouches[by]
	if v == nil {
		v = &vouch{}
		p.vouches[by] = v
	}
	return v
}

// attachVouch makes a job depend on the word of its present voucher.
func (p *Pool) attachVouch(j *job, s *Submit) {
	j.vouch = nil
	if s.NeedsVouch {
		by := Voucher{s.Coordinator, s.Origin}
		j.vouch = p.vouchOf(by)
		p.Vouched(by, s.HeartbeatAt)
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

// permittedUntil returns until when the runs of a job may continue. Those of stored jobs are
// bounded by the ownership of these jobs.
func (p *Pool) permittedUntil(j *job) time.Duration {
	switch {
	case j.withdrawn:
		return j.withdrawnUntil
	case j.Stored || j.vouch == nil:
		return forever
	case !j.vouch.known:
		return 0
	}
	return j.vouch.heardAt + p.cfg.VouchFor
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
	case r.task != nil:
		return p.permittedUntil(r.task.job)
	case r.number >= runsPerEpoch:
		return forever
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
