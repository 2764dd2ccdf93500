package node

import (
	"cmp"
	"context"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/lostcontact"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// pendingJob is a job without an outcome yet. Its outcome goes to callers of this entry,
// or to another entry for which this one relays the job to the leader.
type pendingJob struct {
	job          fleet.Job
	arrived      time.Duration
	readAfter    time.Duration            // from then until its request was handled
	pool         int                      // the pool that the job was last submitted to, -1 before
	tried        []int                    // pools that have rejected the job
	retryAt      time.Duration            // no submission before, after a leader was not ready
	sentTo       string                   // the leader that has the job, "" while none has
	mayHaveRun   bool                     // an earlier leader had the job and may have started it
	leaderLostAt time.Duration            // when that leader was lost
	formers      map[former]time.Duration // earlier leaders, and when this entry last vouched to each for the job
	waiters      []waiter                 // the callers
	number       uint64                   // of the last submission
	cancelled    bool                     // by the caller
	relayFor     string                   // the entry for which the job is relayed, "" if none
	relayNumber  uint64                   // of that entry's submission
	vouches      bool                     // that entry vouches for the job
	origin       string                   // the coordinator, if the job is relayed
	relays       int                      // how many entries have relayed the job, this one included
	suspicions   fleet.Suspicions         // against its tasks, as the last leader has told
	home         atHome                   // what its home pool has told, if the job goes to another one
	awaitsOpen   bool                     // it has waited for runs that are open in another pool
	work         time.Duration            // declared for its longest chain of steps, 0 until it is needed
	moveTo       int                      // number (from 1) of the pool that it goes to after another has rejected it, 0 if none
}

// leaderlessTimeout is how long a job waits for a leader before it is rejected.
const leaderlessTimeout = lostcontact.SuccessorWithin

// addPending adds a job to the pending ones and submits it to a leader, or adds a waiter to
// a pending duplicate.
func (n *Node) addPending(now time.Duration, j fleet.Job, arrived time.Duration, w waiter) {
	waited := now - arrived
	n.counts.requestWait.RecordDuration(waited)
	if n.rejectLate(now, &j, arrived, w) {
		return
	}
	n.expectDeparture(w)
	if p := n.pending[j.ID]; p != nil {
		n.log.Info("job", "job", j.ID, "outcome", "joined a pending duplicate", "waited_ms", waited.Milliseconds())
		n.joinPending(now, p, &j, arrived, w)
		return
	}
	p := &pendingJob{job: j, pool: -1, arrived: arrived, readAfter: waited, waiters: []waiter{w}}
	n.pending[j.ID] = p
	views := n.poolViews()
	s, leader, chosen := n.shardFor(now, p, views), "", -1
	if s != nil {
		leader, chosen = s.decision.Leader, s.index
		n.submit(now, s, p)
	}
	n.log.Info("job", append([]any{"job", j.ID, "queue", j.Queue.Name, "tasks", j.TaskCount(), "outcome", "accepted", "pool", chosen, "leader", leader,
		"config", n.configVersion(), "waited_ms", waited.Milliseconds(), "layout", n.layout.Version}, choiceFields(chosen, views)...)...)
}

// joinPending adds a waiter to a pending job. The leader goes by the deadline of the caller that it
// knows, so it is told of a later one.
func (n *Node) joinPending(now time.Duration, p *pendingJob, j *fleet.Job, arrived time.Duration, w waiter) {
	p.waiters = append(p.waiters, w)
	if p.relayFor == "" && p.extend(now, arrived, j) {
		n.resubmit(now, p)
		n.noteHome(now, p)
	}
}

// extend makes a job wait for a caller that waits for longer than those before, and reports whether it
// does.
func (p *pendingJob) extend(now, arrived time.Duration, j *fleet.Job) bool {
	if p.cancelled || !p.job.CallerLeaves || j.CallerLeaves && arrived+j.Timeout <= p.arrived+p.job.Timeout {
		return false
	}
	p.arrived, p.readAfter, p.job.Timeout, p.job.CallerLeaves = arrived, now-arrived, j.Timeout, j.CallerLeaves
	return true
}

// resubmit submits a job again to the leader that has it. The leader may have given up the lead since,
// or have ended the job, so what it may have started counts as that of a former one.
func (n *Node) resubmit(now time.Duration, p *pendingJob) {
	if p.sentTo == "" || p.pool >= len(n.shards) || n.shards[p.pool].decision.Leader != p.sentTo {
		return
	}
	p.addFormer(p.sentTo, n.lastVouch(now, p.sentTo))
	p.mayHaveRun, p.leaderLostAt = true, now
	n.submitTo(now, n.shards[p.pool], p)
}

// Cancel cancels a pending job at the request of its caller, and reports whether
// this entry knew the job.
func (n *Node) Cancel(ctx context.Context, id string) bool {
	known := make(chan bool, 1)
	n.post(func(now time.Duration) {
		p := n.pending[id]
		if p != nil {
			p.cancelled = true
			n.sendAbandon(now, p, abandonBody{id, cancelled})
		}
		known <- p != nil
	})
	select {
	case k := <-known:
		return k
	case <-ctx.Done():
		return false
	}
}

// configVersion returns the version of the configuration in force, 0 before the
// first.
func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// sendAbandon withdraws a job from the leader that has it. A cancelled job that no
// leader has gets its outcome at once.
func (n *Node) sendAbandon(now time.Duration, p *pendingJob, b abandonBody) {
	switch {
	case p.sentTo == n.cfg.Self.Name:
		n.withdrawFromPool(now, n.cfg.Self.Name, b)
	case p.sentTo != "":
		if !n.send(p.sentTo, wire.PoolAbandon, b) {
			n.vouching.muted[p.sentTo] = true
		}
	case b.Reason == cancelled:
		n.settle(now, b.Job, fleet.Outcome{Verdict: p.cancelVerdict(), Reason: verdict.Cancelled})
	}
}

// cancelVerdict returns the verdict of a job that is cancelled while no leader has it.
func (p *pendingJob) cancelVerdict() verdict.Verdict {
	if p.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// submitPending submits the pending jobs that no leader has.
func (n *Node) submitPending(now time.Duration) {
	var views []poolView
	for _, p := range n.pending {
		if p.sentTo != "" || now < p.retryAt {
			continue
		}
		if views == nil {
			views = n.poolViews()
		}
		if n.answerLost(now, p, views) {
			continue
		}
		if s := n.shardFor(now, p, views); s != nil {
			n.submit(now, s, p)
		}
	}
}

// shardFor returns the pool for a pending job, nil if there is none to submit it to now. A
// relayed job goes to the pool that its coordinator chose, and is not sent back to the
// coordinator.
func (n *Node) shardFor(now time.Duration, p *pendingJob, views []poolView) *shard {
	if p.relayFor != "" {
		s := n.shards[p.pool]
		if leader := s.decision.Leader; leader == "" || leader != n.cfg.Self.Name && leader == p.relayFor {
			return nil
		}
		return s
	}
	at := p.choosePool(now, views)
	if at < 0 {
		return nil
	}
	return n.shards[at]
}

// choosePool returns the pool to submit a job to now, or -1 if it has to wait. A job that
// may have run stays with its pool, whose next leader finds its runs, as long as that can be.
func (p *pendingJob) choosePool(now time.Duration, views []poolView) int {
	if p.mayHaveRun && p.pool >= 0 {
		if p.served(views) {
			return p.pool
		}
		if lostcontact.Next(now, p.lostJob(now), false) == lostcontact.Wait {
			return -1
		}
	}
	if at := p.moveTo - 1; at >= 0 && views[at].led {
		return at
	}
	return choosePool(p.job.ID, views, p.tried)
}

// submitTo submits a pending job to the leader of a pool, which may be this entry.
func (n *Node) submitTo(now time.Duration, s *shard, p *pendingJob) {
	leader := s.decision.Leader
	var vouchedAt time.Duration
	n.dropWaiters(now, p, waiter.hasLeft)
	if p.relayFor == "" && leader != n.cfg.Self.Name {
		vouchedAt = n.vouchTo(now, leader)
	}
	if n.pending[p.job.ID] != p {
		return // its caller has left
	}
	p.pool, p.moveTo = s.index, 0
	f := p.formerVouches(now, former{leader, s.index})
	n.lastSubmission++
	p.number = n.lastSubmission
	if leader == n.cfg.Self.Name {
		p.sentTo = leader
		s.pool.Submit(now, pool.Submit{
			Coordinator: leader, DC: n.dcOf(cmp.Or(p.origin, leader)), Job: p.job, Number: p.number, Waited: now - p.arrived, ReadAfter: p.readAfter, MayHaveRun: p.mayHaveRun,
			VouchedAgo: f.ago, HereBefore: f.hereBefore, VouchedElsewhereAgo: f.elsewhereAgo,
			NeedsVouch: p.relayFor != "" && p.vouches, Origin: p.origin,
			Suspicions: p.suspicions,
		})
		n.passBeatOn(now, p)
		return
	}
	b := submitBody{
		Job: p.job, Number: p.number, Waited: now - p.arrived, ReadAfter: p.readAfter, MayHaveRun: p.mayHaveRun, Relayed: p.relayFor != "",
		VouchedAgo: f.ago, HereBefore: f.hereBefore, VouchedElsewhereAgo: f.elsewhereAgo,
		Pool: s.index, Layout: n.layout.Version, Vouches: p.relayFor == "" || p.vouches, Origin: p.origin, Relays: p.relays,
		Suspicions: p.suspicions, TakesSuspicions: true, HeartbeatAt: vouchedAt,
	}
	sent := n.send(leader, wire.PoolSubmit, b)
	if sent {
		p.sentTo = leader
		n.passBeatOn(now, p)
	} else {
		p.retryAt = now + resubmitPause
	}
}

// resubmitPause is the pause before a job is submitted again to a leader that was not
// ready.
const resubmitPause = 20 * time.Millisecond

// reclaimFromLeader marks the jobs that a former leader of a pool has to be submitted to
// the next one.
func (n *Node) reclaimFromLeader(now time.Duration, name string, s *shard) {
	if name == "" {
		return
	}
	for _, p := range n.pending {
		if p.sentTo == name && p.pool == s.index {
			n.reclaim(now, p)
		}
	}
}

// reclaim marks a job to be submitted again. The former leader may have started it; if it
// is still linked, the job is withdrawn from it.
func (n *Node) reclaim(now time.Duration, p *pendingJob) {
	linked, vouchedAt := n.linked[p.sentTo], n.lastVouch(now, p.sentTo)
	n.log.Info("job", "job", p.job.ID, "outcome", "leader given up", "leader", p.sentTo, "pool", p.pool, "told", linked || p.sentTo == n.cfg.Self.Name,
		"ms", (now - p.arrived).Milliseconds(), "vouched_ago_ms", (now - vouchedAt).Milliseconds())
	p.addFormer(p.sentTo, vouchedAt)
	if p.cancelled {
		n.settle(now, p.job.ID, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Cancelled})
		return
	}
	if linked {
		n.sendAbandon(now, p, abandonBody{p.job.ID, otherLeader})
	}
	p.sentTo, p.mayHaveRun, p.leaderLostAt, p.tried = "", true, now, nil
}

// deliverOutcome delivers an outcome of this entry's pool to the job's coordinator.
func (n *Node) deliverOutcome(now time.Duration, e pool.Ended) {
	if e.Coordinator == n.cfg.Self.Name {
		n.handleOutcome(now, n.cfg.Self.Name, endedBody{e.Job, e.Outcome, e.Number})
		return
	}
	n.send(e.Coordinator, wire.PoolEnded, endedBody{e.Job, e.Outcome, e.Number})
}

// handleOutcome handles the outcome of a job from a leader. A leader that no longer
// leads sends the reason NotReady; the job is then submitted to the next leader.
func (n *Node) handleOutcome(now time.Duration, from string, b endedBody) {
	id, o, p := b.Job, b.Outcome, n.pending[b.Job]
	if p == nil {
		n.counts.late.Inc(1)
		return
	}
	answered := p.sentTo == from && (b.Number == 0 || b.Number == p.number)
	switch {
	case !answered && o.Verdict != verdict.Completed && o.Verdict != verdict.Failed:
		return // of a submission that was given up
	case !answered: // a former leader has completed the job
		n.leaveLeader(now, p, otherLeader)
	case o.Reason == verdict.Resubmitted:
		n.leaveLeader(now, p, callerGone)
	}
	if o.Reason == verdict.NotReady {
		if o.Verdict == verdict.MayHaveRun { // a relay returns it
			p.mayHaveRun, p.leaderLostAt = true, now
			p.addFormer(from, n.lastVouch(now, from))
		}
		p.sentTo, p.retryAt = "", now+resubmitPause
		return
	}
	if answered && n.tryOtherPool(now, p, o) {
		return
	}
	if o.Verdict == verdict.NotRun && p.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	n.settle(now, id, o)
}

// notReady returns the outcome of a job that this entry gives up relaying. A leader that
// has the job may have started it.
func (p *pendingJob) notReady() fleet.Outcome {
	o := fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady}
	if p.mayHaveRun || p.sentTo != "" {
		o.Verdict = verdict.MayHaveRun
	}
	return o
}

// tryOtherPool submits a job to another pool after one has rejected it, and reports
// whether there is such a pool. A job that does not fit the targets of one pool may fit
// those of another, and one that is rejected to shed load goes to a pool with spare
// capacity. One whose targets are evacuated goes to another pool unless all targets of its
// service are.
func (n *Node) tryOtherPool(now time.Duration, p *pendingJob, o fleet.Outcome) bool {
	if p.mayHaveRun || p.relayFor != "" || o.Reason != verdict.NeverFits && o.Reason != verdict.QueueFull && o.Reason != verdict.Evacuated || o.Verdict == verdict.MayHaveRun {
		return false
	}
	if o.Reason == verdict.Evacuated && n.evacuation.closedServices[p.job.Queue.Service] {
		return false
	}
	p.tried = append(p.tried, p.pool)
	next := chooseNextPool(&p.job, o.Reason, n.poolViews(), p.tried)
	if next < 0 {
		return false
	}
	n.log.Info("job", "job", p.job.ID, "outcome", "submitted to another pool", "reason", o.Reason, "pool", p.pool, "next", next)
	n.counts.otherPool.Inc(1)
	p.sentTo, p.moveTo = "", next+1
	n.submit(now, n.shards[next], p)
	return true
}

// settle ends a pending job: it sends the outcome to all waiters, and to the entry for
// which the job was relayed.
func (n *Node) settle(now time.Duration, id string, o fleet.Outcome) {
	p := n.pending[id]
	if p == nil {
		return
	}
	delete(n.pending, id)
	if o.Verdict == verdict.MayHaveRun {
		n.keepQuestion(now, p)
	}
	n.leaveHome(now, p)
	n.log.Info("answer", "job", id, "queue", p.job.Queue.Name, "verdict", o.Verdict.String(), "reason", o.Reason,
		"from", p.sentTo, "ms", (now - p.arrived).Milliseconds(), "retry_after_ms", o.RetryAfter.Milliseconds())
	n.counts.outcome(o, now-p.arrived)
	n.counts.overload(&p.job, o, now-p.arrived)
	for _, w := range p.waiters {
		w.done <- o
	}
	if p.relayFor != "" {
		n.send(p.relayFor, wire.PoolEnded, endedBody{id, o, p.relayNumber})
	}
}

// rejectLeaderless rejects the jobs that have waited for a leader longer than
// leaderlessTimeout and that no earlier leader can have started.
func (n *Node) rejectLeaderless(now time.Duration) {
	for id, p := range n.pending {
		if p.sentTo == "" && p.home.awaited == "" && now > p.arrived+p.readAfter+leaderlessTimeout && !p.mayHaveRun {
			n.settle(now, id, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NoTarget, RetryAfter: time.Second})
		}
	}
}
