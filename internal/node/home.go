package node

import (
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/rendezvous"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// What protects a job that its caller submits again is known to the leader of one pool. Entries may choose
// different pools for it, so each job has a home among the pools, which depends on nothing but its ID and
// the layout. A coordinator that submits a job to another pool first claims it at the leader of its home,
// which makes earlier coordinators give it up and tells until when runs of theirs may be at work.

// homeKind is what a message about a job and its home pool means.
type homeKind uint8

const (
	homeNote       homeKind = iota + 1 // to the leader: the sender has the job in another pool
	homeClaim                          // the same, before it submits the job there; wants an answer
	homeAnswer                         // of the leader to a claim
	homeGone                           // to the leader: the sender has given the job up
	homeReturned                       // of the leader: another entry has the job from its caller
	homeLeft                           // to the leader of a pool: are runs open of jobs that had left it
	homeLeftAnswer                     // of the leader to that
)

// homeBody is the body of wire.PoolHome.
type homeBody struct {
	Kind homeKind `cbor:"1,keyasint"`
	Job  string   `cbor:"2,keyasint"`
	// Pool is the home of the job in the layout of the given version.
	Pool   int    `cbor:"3,keyasint,omitempty"`
	Layout uint64 `cbor:"4,keyasint,omitempty"`
	// For is how long the sender's runs of the job may be at work, or in an answer those of other entries.
	For time.Duration `cbor:"5,keyasint,omitempty"`
	// Left are the jobs of a homeLeft, which names no other, and of the answer. HeartbeatAt is SentAt of the receiver's last
	// heartbeat, 0 if there was none.
	Left        []leftJob     `cbor:"6,keyasint,omitempty"`
	HeartbeatAt time.Duration `cbor:"7,keyasint,omitempty"`
}

const (
	// homeAnswerTimeout is how long a coordinator waits for the answer to a claim: longer than a CPU quota
	// pauses the processes of a VM. The job goes on without one.
	homeAnswerTimeout = 100 * time.Millisecond
	// homeClaimPause is the pause between two claims of a job that waits for earlier runs: these may be
	// over sooner than the last answer has told.
	homeClaimPause = 100 * time.Millisecond
	// maxHomeFor limits the time that a message tells.
	maxHomeFor = time.Hour
)

// atHome is what a coordinator knows of a job at its home pool.
type atHome struct {
	claimed bool          // the leader was told that the job is in another pool
	cleared bool          // the job may go to another pool
	awaited string        // the leader whose answer is awaited, "" if none is
	until   time.Duration // runs of earlier attempts may be at work until then
	toldBy  string        // the leader that has told that
}

// homePool returns the home of a job: the pool that choosePool returns if all have one capacity.
func homePool(job string, pools int) int {
	best, bestWeight := 0, uint64(0)
	item := rendezvous.Hash(job)
	for i := range pools {
		if w := rendezvous.WeightHashed(item, uint64(i)) >> 11; w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// submit submits a job to a pool, unless it has to wait for the word of its home pool or for earlier runs.
func (n *Node) submit(now time.Duration, s *shard, p *pendingJob) {
	if !n.awaitsOpenRuns(now, s, p) && n.clearedByHome(now, s, p) {
		n.submitTo(now, s, p)
	}
}

// clearedByHome reports whether a job may be submitted to a pool now. If not, it is claimed at its home, and
// is to be tried again at its retryAt.
func (n *Node) clearedByHome(now time.Duration, s *shard, p *pendingJob) bool {
	h := &p.home
	at := homePool(p.job.ID, len(n.shards))
	if p.relayFor != "" || h.cleared || at == s.index {
		return true
	}
	unanswered := h.awaited != ""
	h.awaited = ""
	if unanswered && now >= h.until || !n.claim(now, n.shards[at], p) {
		n.counts.homeUnasked.Inc(1)
		n.log.Info("job", "job", p.job.ID, "outcome", "home pool does not answer", "home", at, "leader", n.shards[at].decision.Leader, "pool", s.index)
		h.cleared = now >= h.until
		p.retryAt = min(h.until, now+homeClaimPause)
	}
	return h.cleared
}

// claim claims a job at the leader of its home, and reports whether it could be told.
func (n *Node) claim(now time.Duration, home *shard, p *pendingJob) bool {
	leader := home.decision.Leader
	if !p.home.claimed {
		n.counts.homeClaims.Inc(1)
	}
	if leader == n.cfg.Self.Name && home.pool.Leading() {
		p.home.claimed = true
		until := home.pool.ClaimElsewhere(now, leader, p.job.ID, now+p.mayRunFor(now))
		n.homeAnswered(now, p, leader, until-now)
		return true
	}
	if !n.tellHome(now, home, p, homeClaim, p.mayRunFor(now)) {
		return false
	}
	p.home.claimed, p.home.awaited, p.retryAt = true, leader, now+homeAnswerTimeout
	return true
}

// homeAnswered handles the answer to a claim. Only the leader that has told of earlier runs can tell that
// they are over sooner.
func (n *Node) homeAnswered(now time.Duration, p *pendingJob, from string, runsFor time.Duration) {
	h := &p.home
	until := now + runsFor
	if from != h.toldBy {
		until = max(until, h.until)
	}
	if until > now && h.until <= now {
		n.counts.homeWaits.Inc(1)
		n.log.Info("job", "job", p.job.ID, "outcome", "waits for its runs in another pool", "home_leader", from, "safe_in_ms", (until - now).Milliseconds())
	}
	h.awaited, h.until, h.toldBy = "", until, from
	if h.cleared = until <= now; h.cleared {
		p.retryAt = now
		return
	}
	if !p.mayHaveRun {
		p.leaderLostAt = now
	}
	p.mayHaveRun, p.retryAt = true, min(until, now+homeClaimPause)
}

// mayRunFor returns how long runs of a job may be at work by the word of this entry.
func (p *pendingJob) mayRunFor(now time.Duration) time.Duration {
	return p.arrived + p.job.Timeout + pool.CoordinatorGrace + pool.DefaultTakeoverDelay - now
}

// runsLastFor returns how long runs of a job may still be at work that this entry gives up.
func (n *Node) runsLastFor(now time.Duration, p *pendingJob) time.Duration {
	ago := p.formerVouches(now, former{}).ago
	if p.sentTo != "" {
		ago = min(ago, now-n.lastVouch(now, p.sentTo))
	}
	return pool.DefaultTakeoverDelay - ago
}

// noteHome tells the leader of a job's home again until when the job may run in another pool.
func (n *Node) noteHome(now time.Duration, p *pendingJob) {
	if p.relayFor == "" && p.home.claimed {
		n.tellHome(now, n.shards[homePool(p.job.ID, len(n.shards))], p, homeNote, p.mayRunFor(now))
	}
}

// repeatHomeNotes tells the new leader of a pool which jobs that have their home there are in others, or have open runs there.
func (n *Node) repeatHomeNotes(now time.Duration, s *shard) {
	for _, q := range n.questions.all() {
		if homePool(q.job, len(n.shards)) == s.index && n.questionOverdue(now, q) == "" {
			n.noteOpenAtHome(now, q)
		}
	}
	for id, p := range n.pending {
		if p.home.claimed && homePool(id, len(n.shards)) == s.index {
			n.noteHome(now, p)
		}
	}
}

// repeatHomeNotesTo is repeatHomeNotes for the pools that a peer leads, once the link to it is up.
func (n *Node) repeatHomeNotesTo(now time.Duration, leader string) {
	for _, s := range n.shards {
		if s.decision.Leader == leader {
			n.repeatHomeNotes(now, s)
			n.tellOfOpenRuns(now, s)
		}
	}
}

// leaveHome tells the leader of a job's home that this entry has given the job up, or that its runs are open.
func (n *Node) leaveHome(now time.Duration, p *pendingJob) {
	if q := n.openElsewhere(p.job.ID); q != nil {
		n.noteOpenAtHome(now, q)
		return
	}
	if p.home.claimed {
		n.tellHome(now, n.shards[homePool(p.job.ID, len(n.shards))], p, homeGone, n.runsLastFor(now, p))
	}
}

// tellHome sends a message to the leader of a job's home, which may be this entry, and reports whether
// that succeeded.
func (n *Node) tellHome(now time.Duration, home *shard, p *pendingJob, kind homeKind, runsFor time.Duration) bool {
	return n.sendHome(now, home.decision.Leader, homeBody{Kind: kind, Job: p.job.ID, Pool: home.index, Layout: n.layout.Version, For: runsFor})
}

// sendHome sends a message about a job and its home, unless the receiver's release does not read it.
func (n *Node) sendHome(now time.Duration, to string, b homeBody) bool {
	if to == n.cfg.Self.Name {
		n.handleHome(now, to, b)
		return true
	}
	return n.takesHomeNotes[to] && n.send(to, wire.PoolHome, b)
}

// handleHome handles a message about a job and its home.
func (n *Node) handleHome(now time.Duration, from string, b homeBody) {
	b.For = min(max(b.For, 0), maxHomeFor)
	switch b.Kind {
	case homeAnswer:
		if p := n.pending[b.Job]; p != nil && p.home.awaited == from {
			n.homeAnswered(now, p, from, b.For)
		}
		return
	case homeReturned:
		n.giveUpReturned(now, from, b)
		return
	case homeLeftAnswer:
		n.questionsAnswered(now, from, b.Left)
		return
	}
	if b.Layout != n.layout.Version || b.Pool < 0 || b.Pool >= len(n.shards) || !n.shards[b.Pool].pool.Leading() {
		return
	}
	home := n.shards[b.Pool].pool
	switch b.Kind {
	case homeNote:
		home.NoteElsewhere(now, from, b.Job, now+b.For)
	case homeGone:
		home.GoneElsewhere(from, b.Job, now+b.For)
	case homeClaim:
		until := home.ClaimElsewhere(now, from, b.Job, now+b.For)
		b.Kind, b.For = homeAnswer, max(until-now, 0)
		n.sendHome(now, from, b)
	case homeLeft:
		n.answerQuestions(now, from, home, b)
	}
}

// tellReturned asks the coordinator of an earlier attempt to give a job up.
func (n *Node) tellReturned(now time.Duration, s *shard, e pool.CallerReturned) {
	n.sendHome(now, e.Coordinator, homeBody{Kind: homeReturned, Job: e.Job, Pool: s.index, Layout: n.layout.Version})
}

// giveUpReturned gives up a job whose caller is back at another entry, and tells the leader of its home how
// long its runs may last. Those of a job that is not known here were permitted by an earlier life of this
// entry, or before it gave the job up.
func (n *Node) giveUpReturned(now time.Duration, from string, b homeBody) {
	b.Kind, b.For = homeGone, pool.DefaultTakeoverDelay
	p := n.pending[b.Job]
	if p == nil || p.relayFor != "" {
		if q := n.openElsewhere(b.Job); q != nil {
			b.For = n.openFor(now, q)
		}
		n.sendHome(now, from, b)
		return
	}
	n.counts.homeReturned.Inc(1)
	n.log.Info("job", "job", b.Job, "outcome", "caller is back at another entry", "home_leader", from, "pool", p.pool)
	b.For = n.runsLastFor(now, p)
	n.leaveLeader(now, p, callerGone)
	p.home.claimed = false // told here
	n.settle(now, b.Job, fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Resubmitted})
	if q := n.openElsewhere(b.Job); q != nil {
		b.For = n.openFor(now, q)
	}
	n.sendHome(now, from, b)
}
