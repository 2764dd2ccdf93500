package node

import (
	"context"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// pendingJob is a job whose outcome this entry owes: to a caller, or to another
// entry for which it relays.
type pendingJob struct {
	job          fleet.Job
	arrived      time.Duration
	sentTo       string // the leader that has the job, "" while none has
	mayHaveRun   bool   // an earlier leader had it
	leaderLostAt time.Duration
	waiters      []chan fleet.Outcome
	relayFor     string
}

// leaderlessTimeout is how long a job waits for a leader before it is refused.
const leaderlessTimeout = 800 * time.Millisecond

type submitBody struct {
	Job        fleet.Job     `cbor:"1,keyasint"`
	Waited     time.Duration `cbor:"2,keyasint"`
	MayHaveRun bool          `cbor:"3,keyasint,omitempty"`
	LostAgo    time.Duration `cbor:"4,keyasint,omitempty"`
	Relayed    bool          `cbor:"5,keyasint,omitempty"`
}

type endedBody struct {
	Job     string        `cbor:"1,keyasint"`
	Outcome fleet.Outcome `cbor:"2,keyasint"`
}

// abandonBody takes a job back from the leader that has it.
type abandonBody struct {
	Job    string        `cbor:"1,keyasint"`
	Reason abandonReason `cbor:"2,keyasint"`
}

// abandonReason says abandonReason a job is taken back.
type abandonReason uint8

const (
	callerGone  abandonReason = iota + 1
	cancelled                 // by the caller
	otherLeader               // it goes to another leader
)

// Submit hands a job in and returns its outcome. If the context ends first, the
// caller is taken to be gone.
func (n *Node) Submit(ctx context.Context, j fleet.Job) (fleet.Outcome, error) {
	done := make(chan fleet.Outcome, 1)
	n.post(func(now time.Duration) { n.addPending(now, j, done) })
	select {
	case o := <-done:
		return o, nil
	case <-ctx.Done():
		n.post(func(now time.Duration) { n.dropWaiter(now, j.ID, done) })
		return fleet.Outcome{}, ctx.Err()
	case <-n.ctx.Done():
		return fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Draining}, nil
	}
}

func (n *Node) addPending(now time.Duration, j fleet.Job, done chan fleet.Outcome) {
	if p := n.pending[j.ID]; p != nil {
		p.waiters = append(p.waiters, done)
		n.log.Info("job", "job", j.ID, "outcome", "joined the copy that is pending")
		return
	}
	n.log.Info("job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.TaskCount(), "outcome", "accepted", "leader", n.decision.Leader,
		"config", n.configVersion())
	n.pending[j.ID] = &pendingJob{job: j, arrived: now, waiters: []chan fleet.Outcome{done}}
}

// Cancel ends a job at its caller's word, and reports whether it was known.
func (n *Node) Cancel(ctx context.Context, id string) bool {
	known := make(chan bool, 1)
	n.post(func(now time.Duration) {
		p := n.pending[id]
		if p != nil {
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

func (n *Node) configVersion() int64 {
	if c := n.config.Load(); c != nil {
		return c.Version
	}
	return 0
}

// dropWaiter drops a waiter whose connection is gone, and the job with the last.
func (n *Node) dropWaiter(now time.Duration, id string, done chan fleet.Outcome) {
	p := n.pending[id]
	if p == nil {
		return
	}
	for i, w := range p.waiters {
		if w == done {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	if len(p.waiters) > 0 || p.relayFor != "" {
		return
	}
	n.log.Info("job", "job", id, "outcome", "caller gone", "sent_to", p.sentTo, "ms", (now - p.arrived).Milliseconds())
	n.counts.abandoned.Inc(1)
	n.sendAbandon(now, p, abandonBody{id, callerGone})
	delete(n.pending, id)
}

// sendAbandon passes a word of the caller on to whoever has the job.
func (n *Node) sendAbandon(now time.Duration, p *pendingJob, b abandonBody) {
	switch {
	case p.sentTo == n.cfg.Self.Name:
		n.withdrawFromPool(now, n.cfg.Self.Name, b)
	case p.sentTo != "":
		n.send(p.sentTo, wire.PoolAbandon, b)
	case b.Reason == cancelled:
		n.settle(now, b.Job, fleet.Outcome{Verdict: p.cancelVerdict(), Reason: verdict.Cancelled})
	}
}

func (p *pendingJob) cancelVerdict() verdict.Verdict {
	if p.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// submitPending hands the jobs that no leader has to the leader.
func (n *Node) submitPending(now time.Duration) {
	leader := n.decision.Leader
	if leader == "" {
		return
	}
	for _, p := range n.pending {
		if p.sentTo == "" && !(p.relayFor != "" && leader != n.cfg.Self.Name && p.relayFor == leader) {
			n.submitTo(now, leader, p)
		}
	}
}

func (n *Node) submitTo(now time.Duration, leader string, p *pendingJob) {
	lostAgo := now - p.leaderLostAt
	if leader == n.cfg.Self.Name {
		p.sentTo = leader
		n.pool.Submit(now, pool.Submit{
			Coordinator: leader, Job: p.job, Waited: now - p.arrived, MayHaveRun: p.mayHaveRun, LostAgo: lostAgo,
		})
		return
	}
	sent := n.send(leader, wire.PoolSubmit, submitBody{
		Job: p.job, Waited: now - p.arrived, MayHaveRun: p.mayHaveRun, LostAgo: lostAgo, Relayed: p.relayFor != "",
	})
	if sent {
		p.sentTo = leader
	}
}

// reclaimFromLeader notes that whoever had the jobs may have started them.
func (n *Node) reclaimFromLeader(now time.Duration, name string) {
	for _, p := range n.pending {
		if p.sentTo == name && name != "" {
			if n.linked[name] {
				n.sendAbandon(now, p, abandonBody{p.job.ID, otherLeader})
			}
			p.sentTo, p.mayHaveRun, p.leaderLostAt = "", true, now
		}
	}
}

// deliverOutcome delivers an outcome of the own pool.
func (n *Node) deliverOutcome(now time.Duration, e pool.Ended) {
	if e.Coordinator == n.cfg.Self.Name {
		n.handleOutcome(now, n.cfg.Self.Name, e.Job, e.Outcome)
		return
	}
	n.send(e.Coordinator, wire.PoolEnded, endedBody{Job: e.Job, Outcome: e.Outcome})
}

// handleOutcome takes in what a leader says of a job. A leader that has stopped
// leading says that it is not ready; the job then goes to the next.
func (n *Node) handleOutcome(now time.Duration, from, id string, o fleet.Outcome) {
	p := n.pending[id]
	if p == nil {
		n.counts.late.Inc(1)
		return
	}
	if p.sentTo != from && o.Verdict != verdict.Completed && o.Verdict != verdict.Failed {
		return // of a leader that no longer has it
	}
	if o.Reason == verdict.NotReady {
		p.sentTo = ""
		return
	}
	if o.Verdict == verdict.NotRun && p.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	n.settle(now, id, o)
}

// settle answers all who wait for a job.
func (n *Node) settle(now time.Duration, id string, o fleet.Outcome) {
	p := n.pending[id]
	if p == nil {
		return
	}
	delete(n.pending, id)
	n.log.Info("answer", "job", id, "queue", p.job.Queue.Name, "verdict", o.Verdict.String(), "reason", o.Reason,
		"from", p.sentTo, "ms", (now - p.arrived).Milliseconds(), "retry_after_ms", o.RetryAfter.Milliseconds())
	n.counts.outcome(o, now-p.arrived)
	for _, w := range p.waiters {
		w <- o
	}
	if p.relayFor != "" {
		n.send(p.relayFor, wire.PoolEnded, endedBody{Job: id, Outcome: o})
	}
}

// rejectLeaderless refuses the jobs that wait too long for a leader.
func (n *Node) rejectLeaderless(now time.Duration) {
	for id, p := range n.pending {
		if p.sentTo == "" && now > p.arrived+leaderlessTimeout && !p.mayHaveRun {
			n.settle(now, id, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NoTarget, RetryAfter: time.Second})
		}
	}
}

// handleSubmit takes in a job of another entry.
func (n *Node) handleSubmit(now time.Duration, from string, b submitBody) {
	if b.Job.Stored {
		n.acceptStored(now, b.Job, b.Waited)
		return
	}
	if n.pool.Leading() {
		n.pool.Submit(now, pool.Submit{
			Coordinator: from, Job: b.Job, Waited: b.Waited, MayHaveRun: b.MayHaveRun, LostAgo: b.LostAgo,
		})
		return
	}
	if b.Relayed || n.decision.Leader == "" || n.decision.Leader == from || n.pending[b.Job.ID] != nil {
		n.send(from, wire.PoolEnded, endedBody{b.Job.ID, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady}})
		return
	}
	n.log.Info("job", "job", b.Job.ID, "outcome", "relayed", "for", from, "leader", n.decision.Leader)
	n.pending[b.Job.ID] = &pendingJob{
		job: b.Job, arrived: now - b.Waited, mayHaveRun: b.MayHaveRun, leaderLostAt: now - b.LostAgo, relayFor: from,
	}
}

// handleAbandon takes in that another entry's caller is gone.
func (n *Node) handleAbandon(now time.Duration, from string, b abandonBody) {
	if p := n.pending[b.Job]; p != nil && p.relayFor == from {
		n.sendAbandon(now, p, b)
		if b.Reason != cancelled {
			delete(n.pending, b.Job)
		}
		return
	}
	n.withdrawFromPool(now, from, b)
}

// withdrawFromPool takes a job back from the own pool.
func (n *Node) withdrawFromPool(now time.Duration, coordinator string, b abandonBody) {
	switch b.Reason {
	case cancelled:
		n.pool.Cancel(now, b.Job)
	case otherLeader:
		n.pool.Withdraw(now, coordinator, b.Job)
	default:
		n.pool.Abandon(now, coordinator, b.Job)
	}
}
