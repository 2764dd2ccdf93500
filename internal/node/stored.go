package node

import (
	"context"
	"slices"
	"time"

	"currantstall/internal/bootclock"
	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
)

const (
	// queryTimeout limits a query to the leader for the state of a stored job.
	queryTimeout = 250 * time.Millisecond
	// cancelTimeout is how long a cancellation is tried. Callers must get an answer
	// within 4 s.
	cancelTimeout = 3500 * time.Millisecond
	// cancelRetryInterval is the pause between two attempts to cancel.
	cancelRetryInterval = 150 * time.Millisecond
)

// storedJobs is a node's state for stored jobs. It belongs to the node's loop.
type storedJobs struct {
	tables          jobstore.Tables
	accepter        *jobstore.Accepter
	owner           *jobstore.Owner              // while this entry leads
	cancelOwner     context.CancelFunc           // ends owner
	existence                                    // of stored jobs
	pendingReplies  map[uint64]chan jobReplyBody // by number of the JobQuery or JobStore message
	lastQueryNumber uint64                       // number of the last JobQuery or JobStore message of this entry
	pendingCancels  map[string][]requester       // by job, until its end is saved; used while leading
	pending         map[string]int               // by queue, from the leader's last heartbeat; nil if it does not know
	storeReadAt     time.Duration                // when this entry last read the platform's store
	peerStoreReadAt map[string]time.Duration     // when each linked peer last read it
	peerClocks      map[string]int64             // each linked peer's wall clock, in Unix ms, at time 0 of this node
	pendingAt       time.Duration                // when the heartbeat with pending arrived
	room            *storeRoom
	undecided       *undecidedJobs
}

func newStoredJobs(cfg *Config) storedJobs {
	s := storedJobs{pendingReplies: make(map[uint64]chan jobReplyBody), pendingCancels: make(map[string][]requester), peerStoreReadAt: make(map[string]time.Duration), peerClocks: make(map[string]int64), undecided: newUndecidedJobs()}
	if cfg.Jobs != nil {
		s.tables, s.accepter = cfg.Jobs, jobstore.NewAccepter(cfg.Jobs, cfg.Log)
	}
	return s
}

const (
	// degradedStoreAge is the time without a read of the store after which an entry
	// counts as degraded, if other entries read the store and stored jobs exist.
	degradedStoreAge = 2 * time.Second
	// delegateStoreAge is the time without a read of the store after which an entry
	// asks a peer to store a job: two reads were due in it.
	delegateStoreAge = 1500 * time.Millisecond
	// storeViaPeerTimeout limits the wait for a peer that stores a job. It is a little
	// longer than the peer's own limit.
	storeViaPeerTimeout = 1500 * time.Millisecond
	// freshStoreAge is how recently a peer must have read the store to count as able
	// to reach it.
	freshStoreAge = 1300 * time.Millisecond
)

// storeAge returns the time since this entry last read the platform's store.
func (n *Node) storeAge(now time.Duration) time.Duration {
	if n.stored.storeReadAt == 0 {
		return unknownAge
	}
	return now - n.stored.storeReadAt
}

// storeDegraded reports whether this entry can't read the store while there are
// stored jobs and a peer can.
func (n *Node) storeDegraded(now time.Duration) bool {
	if !n.stored.expected || n.storeAge(now) < degradedStoreAge {
		return false
	}
	for _, at := range n.stored.peerStoreReadAt {
		if now < at+freshStoreAge {
			return true
		}
	}
	return false
}

// medianWallClock returns the median of the wall clocks of this entry and its linked
// peers, Unix time in ms, since the clock of a single entry may jump.
func (n *Node) medianWallClock(now time.Duration) int64 {
	all := []int64{time.Now().UnixMilli() - now.Milliseconds()}
	for _, c := range n.stored.peerClocks {
		all = append(all, c)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2] + now.Milliseconds()
}

// bootClock returns the time since boot, with all pauses.
func bootClock() time.Duration { return bootclock.Now() }

// recallStored makes the owner's row recall runs from a time on.
func (n *Node) recallStored(from time.Duration) {
	if n.stored.owner == nil {
		return
	}
	if from == 0 {
		n.stored.owner.RecallFrom(0)
		return
	}
	boot := n.stored.owner.RecallFrom(bootClock() + from - n.now())
	read := bootClock() // before the clock of the loop, so that no write from before counts as one that recalls
	n.storedPool().StoredRecalledFrom(n.now() + boot - read)
}

// startOwner starts to claim the ownership of the stored jobs when this entry becomes
// the leader.
func (n *Node) startOwner() {
	if n.stored.tables == nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	owner := jobstore.NewOwner(n.stored.tables, n.cfg.Self.Name, bootClock, &ownerEvents{n: n, ctx: ctx}, n.log)
	n.stored.owner, n.stored.cancelOwner = owner, cancel
	if n.stored.mustScan() {
		n.storedPool().AwaitStored()
	}
	if n.stored.expected {
		n.storedPool().ExpectStored()
		owner.ExpectJobs()
	}
	n.owners.Go(func() { owner.Run(ctx) })
}

// stopOwner releases the ownership of the stored jobs when this entry no longer leads.
// It replies to the pending cancellations that the job is unknown, so that their entries
// ask the next leader.
func (n *Node) stopOwner() {
	if n.stored.owner != nil {
		n.stored.cancelOwner()
		n.stored.owner, n.stored.cancelOwner = nil, nil
	}
	for id, requesters := range n.stored.pendingCancels {
		for _, r := range requesters {
			n.sendJobReply(r, jobReplyBody{})
		}
		delete(n.stored.pendingCancels, id)
	}
}

// ownerEvents implements jobstore.Events. It posts the events of one owner to the
// node's loop.
type ownerEvents struct {
	n   *Node
	ctx context.Context
}

// post runs f in the loop, unless the owner has been stopped by then.
func (e *ownerEvents) post(f func(now time.Duration)) {
	e.n.post(func(now time.Duration) {
		if e.ctx.Err() == nil {
			f(now)
		}
	})
}

// loopTime converts a time of the boot clock to the node's clock, which reads now.
func loopTime(now, boot time.Duration) time.Duration { return now + boot - bootClock() }

// JobsExist implements jobstore.Events.
func (e *ownerEvents) JobsExist() {
	e.post(func(time.Duration) {
		e.n.stored.foundJobs()
		e.n.storedPool().ExpectStored()
	})
}

// NoJobs implements jobstore.Events.
func (e *ownerEvents) NoJobs() {
	e.post(func(time.Duration) {
		e.n.stored.foundNone()
		e.n.storedPool().NoStored()
	})
}

// Acquired implements jobstore.Events.
func (e *ownerEvents) Acquired(epoch int, lastSeen time.Duration, jobs []jobstore.StoredJob) {
	e.post(func(now time.Duration) { e.n.storedPool().TakeOverStored(now, loopTime(now, lastSeen), epoch, jobs) })
}

// MayKeepRuns implements jobstore.Events.
func (e *ownerEvents) MayKeepRuns(until time.Duration) {
	e.post(func(now time.Duration) { e.n.storedPool().KeepStoredUntil(loopTime(now, until)) })
}

// Renewed implements jobstore.Events.
func (e *ownerEvents) Renewed(renewed, until time.Duration) {
	e.post(func(now time.Duration) { e.n.storedPool().RenewStored(loopTime(now, renewed), loopTime(now, until)) })
}

// JobAccepted implements jobstore.Events.
func (e *ownerEvents) JobAccepted(a jobstore.AcceptedJob) {
	e.post(func(now time.Duration) { e.n.storedPool().Submit(now, pool.Submit{Job: a.Job, Waited: a.Waited}) })
}

// RecordSaved implements jobstore.Events.
func (e *ownerEvents) RecordSaved(job string, seq int) {
	e.post(func(time.Duration) {
		e.n.storedPool().RecordSaved(job, seq)
		e.n.answerCancellations(job)
	})
}

// OwnershipLost implements jobstore.Events.
func (e *ownerEvents) OwnershipLost() {
	e.post(func(now time.Duration) { e.n.storedPool().ReleaseStored(now, "another owner") })
}
