package node

import (
	"cmp"
	"time"

	"currantstall/internal/election"
	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// submitBody is the body of wire.PoolSubmit, with which a coordinator submits a job to
// the leader.
type submitBody struct {
	Job    fleet.Job     `cbor:"1,keyasint"`
	Waited time.Duration `cbor:"2,keyasint"` // since the job's arrival
	// MayHaveRun is set if an earlier leader had the job, and VouchedAgo is the time since
	// the coordinator last vouched for the job to that leader.
	MayHaveRun bool          `cbor:"3,keyasint,omitempty"`
	VouchedAgo time.Duration `cbor:"4,keyasint,omitempty"`
	// HereBefore is set if the receiver is one of the earlier leaders. VouchedElsewhereAgo then
	// regards the others.
	HereBefore          bool          `cbor:"11,keyasint,omitempty"`
	VouchedElsewhereAgo time.Duration `cbor:"12,keyasint,omitempty"`
	// Relayed jobs come from an entry that relays them. Relays counts these entries.
	Relayed bool `cbor:"5,keyasint,omitempty"`
	// Pool is the index of the pool in the layout of the given version.
	Pool   int    `cbor:"6,keyasint,omitempty"`
	Layout uint64 `cbor:"7,keyasint,omitempty"`
	// Vouches is set if the coordinator vouches for its jobs, which those of earlier releases
	// do not. HeartbeatAt is SentAt of the receiver's last heartbeat, if there was one.
	Vouches     bool          `cbor:"8,keyasint,omitempty"`
	HeartbeatAt time.Duration `cbor:"9,keyasint,omitempty"`
	// Origin is the coordinator, if the sender relays the job.
	Origin string `cbor:"10,keyasint,omitempty"`
	// Number is repeated in the answer.
	Number uint64 `cbor:"13,keyasint,omitempty"`
	Relays int    `cbor:"14,keyasint,omitempty"`
	// Suspicions are those of earlier leaders against the job's tasks.
	Suspicions fleet.Suspicions `cbor:"20,keyasint,omitempty"`
	// TakesSuspicions is set if the sender reads wire.PoolSuspects, as earlier releases
	// do not.
	TakesSuspicions bool `cbor:"21,keyasint,omitempty"`
	// ReadAfter is the part of Waited that had passed before the request was handled.
	ReadAfter time.Duration `cbor:"22,keyasint,omitempty"`
}

// endedBody is the body of wire.PoolEnded, with which the leader sends the outcome of
// a job to its coordinator.
type endedBody struct {
	Job     string        `cbor:"1,keyasint"`
	Outcome fleet.Outcome `cbor:"2,keyasint"`
	// Number is that of the submission which this answers, 0 from earlier releases.
	Number uint64 `cbor:"3,keyasint,omitempty"`
}

// abandonBody is the body of wire.PoolAbandon, with which a coordinator withdraws a
// job from the leader.
type abandonBody struct {
	Job    string        `cbor:"1,keyasint"`
	Reason abandonReason `cbor:"2,keyasint"`
}

// abandonReason is the reason why a job is withdrawn from a leader.
type abandonReason uint8

const (
	callerGone  abandonReason = iota + 1
	cancelled                 // by the caller
	otherLeader               // the job is submitted to another leader
)

// handleSubmit handles a job from another entry. A stored job goes to this entry's pool.
// Another job goes to its pool if this entry leads it; otherwise it is relayed to the
// leader, or rejected as not ready if it was relayed too often, is pending here, has no
// leader other than the sender, or names a pool of another layout.
func (n *Node) handleSubmit(now time.Duration, from string, b submitBody) {
	if err := b.Job.Validate(); err != nil {
		n.rejectInvalid(from, err)
		n.send(from, wire.PoolEnded, endedBody{b.Job.ID, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.BadRequest}, b.Number})
		return
	}
	if b.Job.Stored {
		n.acceptStored(now, b.Job, b.Waited)
		return
	}
	b.VouchedAgo, b.VouchedElsewhereAgo, b.HeartbeatAt = max(b.VouchedAgo, 0), max(b.VouchedElsewhereAgo, 0), max(b.HeartbeatAt, 0)
	b.ReadAfter = min(max(b.ReadAfter, 0), max(b.Waited, 0))
	if b.TakesSuspicions {
		n.takesSuspicions[from] = true
	}
	known := b.Layout == n.layout.Version && b.Pool >= 0 && b.Pool < len(n.shards)
	if known && n.shards[b.Pool].pool.Leading() {
		n.shards[b.Pool].pool.Submit(now, pool.Submit{
			Coordinator: from, DC: n.dcOf(cmp.Or(b.Origin, from)), Job: b.Job, Number: b.Number, Waited: b.Waited, ReadAfter: b.ReadAfter, MayHaveRun: b.MayHaveRun,
			VouchedAgo: b.VouchedAgo, HereBefore: b.HereBefore, VouchedElsewhereAgo: b.VouchedElsewhereAgo,
			NeedsVouch: b.Vouches, Origin: b.Origin, HeartbeatAt: min(b.HeartbeatAt, now),
			Suspicions: b.Suspicions,
		})
		return
	}
	if q := n.pending[b.Job.ID]; q != nil && q.relayFor == from {
		n.extendRelayed(now, q, &b)
		return
	}
	leader := ""
	if known {
		leader = n.shards[b.Pool].decision.Leader
	}
	if b.relays() >= election.MaxRelays || leader == "" || leader == from || n.pending[b.Job.ID] != nil {
		n.send(from, wire.PoolEnded, endedBody{b.Job.ID, fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady}, b.Number})
		return
	}
	n.log.Info("job", "job", b.Job.ID, "outcome", "relayed", "for", from, "pool", b.Pool, "leader", leader)
	n.pending[b.Job.ID] = &pendingJob{
		job: b.Job, pool: b.Pool, arrived: now - b.Waited, readAfter: b.ReadAfter, mayHaveRun: b.MayHaveRun, leaderLostAt: now, relayFor: from, relayNumber: b.Number,
		vouches: b.Vouches, formers: map[former]time.Duration{{from, b.Pool}: now - b.VouchedAgo},
		origin: cmp.Or(b.Origin, from), relays: b.relays() + 1,
		suspicions: b.Suspicions,
	}
}

// extendRelayed handles a job that this entry relays for the sender already. A later caller has joined
// it there.
func (n *Node) extendRelayed(now time.Duration, p *pendingJob, b *submitBody) {
	p.relayNumber, p.vouches = b.Number, b.Vouches
	if p.extend(now, now-b.Waited, &b.Job) {
		p.readAfter = b.ReadAfter
		n.resubmit(now, p)
	}
}

// relays returns how many entries have relayed the job. Entries of earlier releases do not
// count them.
func (b *submitBody) relays() int {
	if b.Relayed {
		return max(b.Relays, 1)
	}
	return 0
}

// rejectInvalid counts and logs an invalid job from a peer.
func (n *Node) rejectInvalid(from string, err error) {
	n.counts.invalid.Inc(1)
	n.log.Warn("job from a peer rejected: it is invalid", "peer", from, "err", err)
}

// handleAbandon handles the withdrawal of a job by another entry, which is its
// coordinator or the entry for which this one relays it.
func (n *Node) handleAbandon(now time.Duration, from string, b abandonBody) {
	n.noteLateAbandon(now, from, b)
	if p := n.pending[b.Job]; p != nil && p.relayFor == from {
		p.cancelled = p.cancelled || b.Reason == cancelled
		n.sendAbandon(now, p, b)
		if b.Reason != cancelled {
			delete(n.pending, b.Job)
		}
		return
	}
	n.withdrawFromPool(now, from, b)
}

// withdrawFromPool withdraws a job from the pool of this entry that has it.
func (n *Node) withdrawFromPool(now time.Duration, coordinator string, b abandonBody) {
	for _, s := range n.shards {
		switch b.Reason {
		case cancelled:
			s.pool.Cancel(now, b.Job)
		case otherLeader:
			if s.pool.Withdraw(now, coordinator, b.Job) {
				n.log.Info("job", "job", b.Job, "outcome", "withdrawn", "coordinator", coordinator, "waited_ms", n.waits.current.Milliseconds())
			}
		default:
			s.pool.Abandon(now, coordinator, b.Job)
		}
	}
}
