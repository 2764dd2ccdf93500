package node

import (
	"cmp"
	"time"

	"currantstall/internal/pool"
	"currantstall/internal/wire"
)

// A coordinator vouches for the jobs that a leader has from it by answering the leader's
// heartbeats; the leader starts and renews their runs for pool.DefaultVouchFor after the
// heartbeat that was answered last. Answers and withdrawals travel in order on one link, so an
// answer covers what was not withdrawn before it. A relay passes the leader's heartbeats on to
// the coordinator and its answers back, so that they mean the same.

// vouchBody is the body of wire.PoolVouch, and of wire.PoolBeat, with which a relay passes on a
// heartbeat.
type vouchBody struct {
	HeartbeatAt time.Duration `cbor:"1,keyasint"` // SentAt of the leader's heartbeat
	// Leader is the sender of the heartbeat, if it is not the receiver of a vouch.
	Leader string `cbor:"2,keyasint,omitempty"`
	// Origin is the coordinator that vouches, if the sender relays its jobs.
	Origin string `cbor:"3,keyasint,omitempty"`
}

// beat is the last heartbeat of a peer.
type beat struct {
	sentAt     time.Duration // on the peer's clock; 0 from a release without vouches
	receivedAt time.Duration
}

// vouching is what an entry has vouched for. It belongs to the node's loop.
type vouching struct {
	beats map[string]beat // by linked peer
	// vouchedAt is when the newest heartbeat that this entry has answered arrived, by leader or
	// relay. No run of a job that it has from this entry lasts longer than
	// pool.DefaultTakeoverDelay from then.
	vouchedAt map[string]time.Duration
	// muted holds the leaders that could not be told of a withdrawal. They get no answers until
	// they were greeted anew, or the link is lost.
	muted   map[string]bool
	greeted map[string]bool // peers whose greeting has arrived on the present link
	// checked is SentAt of the last heartbeat of a peer before whose answer this entry has looked
	// whether the callers of its jobs there have left. Once for each heartbeat is enough, as the
	// answer permits runs from then, whenever it is given. lookedAt is when, for relays.
	checked  map[string]time.Duration
	lookedAt map[string]time.Duration
	// heldUntil is until when no heartbeats are answered, 0 if they are.
	heldUntil time.Duration
}

func newVouching() vouching {
	return vouching{beats: make(map[string]beat), vouchedAt: make(map[string]time.Duration), muted: make(map[string]bool), greeted: make(map[string]bool), checked: make(map[string]time.Duration), lookedAt: make(map[string]time.Duration)}
}

// forget drops what belongs to the link to a peer.
func (v *vouching) forget(peer string) {
	delete(v.beats, peer)
	delete(v.vouchedAt, peer)
	delete(v.muted, peer)
	delete(v.greeted, peer)
	delete(v.checked, peer)
	delete(v.lookedAt, peer)
}

// answer records that the last heartbeat of a peer is answered now, and returns its time on
// the peer's clock, or 0 if it can't be answered.
func (v *vouching) answer(peer string) time.Duration {
	b := v.beats[peer]
	if b.sentAt == 0 || v.muted[peer] || v.heldUntil > 0 {
		return 0
	}
	v.vouchedAt[peer] = max(v.vouchedAt[peer], b.receivedAt)
	return b.sentAt
}

// lastVouch returns the time from which a leader's permission to run the jobs of this entry
// counts, when it is given up now.
func (n *Node) lastVouch(now time.Duration, leader string) time.Duration {
	if leader == n.cfg.Self.Name {
		// The leases of its own pools end at most pool.DefaultLease from now.
		return now - (pool.DefaultVouchFor - pool.DefaultLease)
	}
	if b, heard := n.vouching.beats[leader]; !heard || b.sentAt == 0 {
		return now // it may be of a release that needs no vouches
	}
	if at, vouched := n.vouching.vouchedAt[leader]; vouched {
		return at
	}
	return now - pool.DefaultVouchFor
}

// vouchTo returns the answer to the last heartbeat of a leader, 0 if it can't be answered, and records
// that it is answered now. An answer is for all jobs that the leader has from this entry, so it
// comes after a look at their callers.
func (n *Node) vouchTo(now time.Duration, leader string) time.Duration {
	v := &n.vouching
	if at := v.beats[leader].sentAt; v.checked[leader] != at {
		v.checked[leader] = at
		n.dropDisconnected(now, leader)
	}
	return v.answer(leader)
}

// holdVouches makes this entry answer no heartbeats after a pause until the ends of its callers'
// connections have arrived, as far as they were under way.
func (n *Node) holdVouches(now time.Duration) {
	n.vouching.heldUntil = now + processPauseSettle
}

// releaseVouches answers the last heartbeats of the leaders once they are no longer held back.
func (n *Node) releaseVouches(now time.Duration) {
	v := &n.vouching
	if v.heldUntil == 0 || now < v.heldUntil {
		return
	}
	v.heldUntil = 0
	clear(v.checked)
	for leader := range v.beats {
		n.answerBeat(now, leader)
	}
}

// noteBeat answers a heartbeat if the sender has jobs of this entry, and passes it on to the
// entries for which this one relays jobs to the sender.
func (n *Node) noteBeat(now time.Duration, from string, b *heartbeatBody) {
	n.vouching.beats[from] = beat{sentAt: b.SentAt, receivedAt: now}
	n.answerBeat(now, from)
}

// answerBeat is noteBeat for the last heartbeat of a peer.
func (n *Node) answerBeat(now time.Duration, from string) {
	v := &n.vouching
	sentAt := v.beats[from].sentAt
	if sentAt == 0 || v.muted[from] && !n.unmute(now, from) {
		return
	}
	own, relayed := false, make(map[relayedFor]bool)
	for _, p := range n.pending {
		switch {
		case p.sentTo != from:
		case p.relayFor == "":
			own = true
		case p.vouches:
			relayed[relayedFor{p.relayFor, p.origin}] = true
		}
	}
	if own {
		if at := n.vouchTo(now, from); at > 0 {
			n.send(from, wire.PoolVouch, vouchBody{HeartbeatAt: at})
		}
	}
	for r := range relayed {
		n.send(r.entry, wire.PoolBeat, vouchBody{HeartbeatAt: sentAt, Leader: from, Origin: r.origin})
	}
}

// requestVouch sends a heartbeat ahead of time to a coordinator or relay. That of a job which
// this entry has relayed to its own pool is the job's origin.
func (n *Node) requestVouch(now time.Duration, r pool.VouchRequest) {
	to := r.Coordinator
	if to == n.cfg.Self.Name {
		to = r.Origin
	}
	n.send(to, wire.PoolHeartbeat, n.newHeartbeat(now))
}

// relayedFor is an entry for which this one relays jobs, and the coordinator of these.
type relayedFor struct{ entry, origin string }

// passBeatOn passes the last heartbeat of the leader that has just got a relayed job on to the
// job's coordinator.
func (n *Node) passBeatOn(now time.Duration, p *pendingJob) {
	if p.relayFor == "" || !p.vouches {
		return
	}
	at := n.vouching.beats[p.sentTo].sentAt
	if p.sentTo == n.cfg.Self.Name {
		at = max(now, 1)
	}
	if at > 0 {
		n.send(p.relayFor, wire.PoolBeat, vouchBody{HeartbeatAt: at, Leader: p.sentTo, Origin: p.origin})
	}
}

// relayLookInterval is the least time between two looks at the callers whose jobs a relay has. It passes
// on a heartbeat for each submission.
const relayLookInterval = 20 * time.Millisecond

// handleRelayedBeat answers a heartbeat that a relay has passed on, if the relay has jobs of
// this entry. One for the jobs of another coordinator is passed on to that one.
func (n *Node) handleRelayedBeat(now time.Duration, relay string, b vouchBody) {
	own := b.Origin == n.cfg.Self.Name
	if n.vouching.muted[relay] || own && n.vouching.heldUntil > 0 {
		return
	}
	if own && now >= n.vouching.lookedAt[relay]+relayLookInterval {
		n.vouching.lookedAt[relay] = now
		n.dropDisconnected(now, relay)
	}
	for _, p := range n.pending {
		switch {
		case p.sentTo != relay:
		case p.relayFor == "" && own:
			n.vouching.vouchedAt[relay] = now
			n.send(relay, wire.PoolVouch, b)
			return
		case p.relayFor != "" && b.Origin == p.origin:
			n.send(p.relayFor, wire.PoolBeat, b)
			return
		}
	}
}

// handleVouch handles an answer to a heartbeat of this entry, or passes on one to a leader to
// which this entry relays jobs of the sender.
func (n *Node) handleVouch(now time.Duration, from string, b vouchBody) {
	n.noteLongWait(now, wire.PoolVouch.String(), from)
	if b.Leader != "" && b.Leader != n.cfg.Self.Name {
		n.relayVouch(now, from, b)
		return
	}
	if b.HeartbeatAt > now {
		n.counts.invalid.Inc(1)
		n.log.Warn("vouch ignored: it answers a heartbeat that was not sent", "peer", from, "heartbeat_at", b.HeartbeatAt, "now", now)
		return
	}
	origin := cmp.Or(b.Origin, from)
	for _, s := range n.shards {
		s.pool.Vouched(pool.Voucher{Coordinator: from, Origin: b.Origin}, b.HeartbeatAt)
		// Jobs that this entry relayed may have come to its own pool.
		s.pool.Vouched(pool.Voucher{Coordinator: n.cfg.Self.Name, Origin: origin}, b.HeartbeatAt)
	}
}

// relayVouch passes a vouch on to the leader that has jobs of its origin, or to the next relays
// on the way there.
func (n *Node) relayVouch(now time.Duration, from string, b vouchBody) {
	passed := make(map[string]bool)
	for _, p := range n.pending {
		to := p.sentTo
		if p.relayFor != from || p.origin != b.Origin || to == "" || to == n.cfg.Self.Name || passed[to] || n.vouching.muted[to] {
			continue
		}
		passed[to] = true
		n.vouching.vouchedAt[to] = now
		next := b
		if to == b.Leader {
			next.Leader = ""
		}
		n.send(to, wire.PoolVouch, next)
	}
}

// returnRelayed gives a relayed job back to its coordinator, which submits it again.
func (n *Node) returnRelayed(now time.Duration, id string, p *pendingJob) {
	n.send(p.relayFor, wire.PoolEnded, endedBody{id, p.notReady(), p.relayNumber})
	n.leaveLeader(now, p, otherLeader)
	delete(n.pending, id)
}

// leaveLeader withdraws a job that is answered by another leader, or another entry, from the
// leader that has it.
func (n *Node) leaveLeader(now time.Duration, p *pendingJob, reason abandonReason) {
	if p.sentTo != "" {
		n.sendAbandon(now, p, abandonBody{p.job.ID, reason})
	}
}

// unmute greets a leader again that could not be told of a withdrawal, which voids all that it
// has from this entry, and submits the jobs anew. It reports whether that succeeded.
func (n *Node) unmute(now time.Duration, leader string) bool {
	if !n.send(leader, wire.Directory, directoryBody{Self: n.cfg.Self, Greeting: true}) {
		return false
	}
	for _, p := range n.pending {
		if p.sentTo == leader {
			n.reclaim(now, p)
		}
	}
	delete(n.vouching.muted, leader)
	return true
}

// former is an earlier leader of a job, or a relay, and the pool for which it had the job.
type former struct {
	leader string
	pool   int
}

// addFormer records that a leader or relay is given up, and when this entry last vouched for
// the job to it.
func (p *pendingJob) addFormer(leader string, vouchedAt time.Duration) {
	if p.formers == nil {
		p.formers = make(map[former]time.Duration)
	}
	f := former{leader, p.pool}
	if at, known := p.formers[f]; !known || vouchedAt > at {
		p.formers[f] = vouchedAt
	}
}

// formerVouches tells how long ago an entry last vouched for a job to its earlier leaders.
type formerVouches struct {
	ago          time.Duration // to any of them
	hereBefore   bool          // the next leader is one of them, for the same pool
	elsewhereAgo time.Duration // to the others
}

// formerVouches returns what the next leader of a job needs to know of the earlier ones. A leader
// knows the runs of each of its pools apart.
func (p *pendingJob) formerVouches(now time.Duration, next former) formerVouches {
	f := formerVouches{ago: pool.DefaultTakeoverDelay, elsewhereAgo: pool.DefaultTakeoverDelay}
	for before, at := range p.formers {
		f.ago = min(f.ago, now-at)
		if before == next {
			f.hereBefore = true
		} else {
			f.elsewhereAgo = min(f.elsewhereAgo, now-at)
		}
	}
	return f
}
