package node

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
)

const (
	// askTimeout bounds a question to the leader about a stored job.
	askTimeout = 250 * time.Millisecond
	// cancelTimeout is how long a cancellation is tried: the users ask for an answer
	// within 4 s.
	cancelTimeout = 3500 * time.Millisecond
	// cancelRetryInterval is the pause between two tries.
	cancelRetryInterval = 150 * time.Millisecond
)

// storedJobs is a node's part in keeping stored jobs.
type storedJobs struct {
	tables          jobstore.Tables
	accepter        *jobstore.Accepter
	owner           *jobstore.Owner // while this entry leads
	cancelOwner     context.CancelFunc
	existence       // of stored jobs
	pendingAsks     map[uint64]chan jobToldBody
	lastAskNumber   uint64
	pendingCancels  map[string][]requester   // of this leader, until they are saved
	pending         map[string]int           // by queue, as the leader said last; nil if it does not know
	storeReadAt     time.Duration            // when this entry last read the platform's store
	peerStoreReadAt map[string]time.Duration // when the linked peers did
	peerClocks      map[string]int64         // the linked peers' time of day at this one's time 0
	// pendingAt is when the leader said so.
	pendingAt time.Duration
}

func newStoredJobs(cfg *Config) storedJobs {
	s := storedJobs{pendingAsks: make(map[uint64]chan jobToldBody), pendingCancels: make(map[string][]requester), peerStoreReadAt: make(map[string]time.Duration), peerClocks: make(map[string]int64)}
	if cfg.Jobs != nil {
		s.tables, s.accepter = cfg.Jobs, jobstore.NewAccepter(cfg.Jobs, cfg.Log)
	}
	return s
}

const (
	// degradedStoreAge is how long an entry may not have read the store for it to own the
	// stored jobs, if others have.
	degradedStoreAge = 2 * time.Second
	// delegateStoreAge is how long an entry must not have read the store for it to ask a peer
	// to store a job: two reads that were due.
	delegateStoreAge = 1500 * time.Millisecond
	// storeViaPeerTimeout bounds how long a peer may take, a little over its own bound.
	storeViaPeerTimeout = 1500 * time.Millisecond
	// freshStoreAge is how lately another entry must have.
	freshStoreAge = 1300 * time.Millisecond
)

func (n *Node) storeAge(now time.Duration) time.Duration {
	if n.stored.storeReadAt == 0 {
		return unknownAge
	}
	return now - n.stored.storeReadAt
}

// peersReadStore reports whether this entry can't keep the stored jobs while another one
// could.
func (n *Node) peersReadStore(now time.Duration) bool {
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

// medianWallClock returns the time of day that most entries agree on, since that of single
// ones may jump.
func (n *Node) medianWallClock(now time.Duration) int64 {
	all := []int64{time.Now().UnixMilli() - now.Milliseconds()}
	for _, c := range n.stored.peerClocks {
		all = append(all, c)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2] + now.Milliseconds()
}

// bootClock goes on while the VM is suspended, unlike the steady clock.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}

// startOwner starts to take the stored jobs over, once this entry leads.
func (n *Node) startOwner() {
	if n.stored.tables == nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	owner := jobstore.NewOwner(n.stored.tables, n.cfg.Self.Name, bootClock, &ownerEvents{n: n, ctx: ctx}, n.log)
	n.stored.owner, n.stored.cancelOwner = owner, cancel
	if n.stored.mustScan() {
		n.pool.AwaitStored()
	}
	if n.stored.expected {
		n.pool.ExpectStored()
		owner.NotifyAccepted()
	}
	n.owners.Go(func() { owner.Run(ctx) })
}

// stopOwner gives the stored jobs up, once this entry does not lead any more.
func (n *Node) stopOwner() {
	if n.stored.owner != nil {
		n.stored.cancelOwner()
		n.stored.owner, n.stored.cancelOwner = nil, nil
	}
	for id, asks := range n.stored.pendingCancels {
		for _, a := range asks {
			n.sendJobTold(a, jobToldBody{})
		}
		delete(n.stored.pendingCancels, id)
	}
}

// ownerEvents passes the events of one ownership on to the loop.
type ownerEvents struct {
	n   *Node
	ctx context.Context
}

// post runs f in the loop, unless the ownership is over by then.
func (e *ownerEvents) post(f func(now time.Duration)) {
	e.n.post(func(now time.Duration) {
		if e.ctx.Err() == nil {
			f(now)
		}
	})
}

// loopTime converts a time of the boot clock to one of the loop's.
func loopTime(now, boot time.Duration) time.Duration { return now + boot - bootClock() }

// JobsExist implements jobstore.Events.
func (e *ownerEvents) JobsExist() {
	e.post(func(time.Duration) {
		e.n.stored.foundJobs()
		e.n.pool.ExpectStored()
	})
}

// NoJobs implements jobstore.Events.
func (e *ownerEvents) NoJobs() {
	e.post(func(time.Duration) {
		e.n.stored.foundNone()
		e.n.pool.NoStored()
	})
}

// Acquired implements jobstore.Events.
func (e *ownerEvents) Acquired(epoch int, lastSeen time.Duration, jobs []jobstore.StoredJob) {
	e.post(func(now time.Duration) { e.n.pool.TakeOverStored(now, loopTime(now, lastSeen), epoch, jobs) })
}

// Renewed implements jobstore.Events.
func (e *ownerEvents) Renewed(renewed, until time.Duration) {
	e.post(func(now time.Duration) { e.n.pool.RenewStored(loopTime(now, renewed), loopTime(now, until)) })
}

// JobAccepted implements jobstore.Events.
func (e *ownerEvents) JobAccepted(a jobstore.AcceptedJob) {
	e.post(func(now time.Duration) { e.n.pool.Submit(now, pool.Submit{Job: a.Job, Waited: a.Waited}) })
}

// RecordSaved implements jobstore.Events.
func (e *ownerEvents) RecordSaved(job string, seq int) {
	e.post(func(time.Duration) {
		e.n.pool.RecordSaved(job, seq)
		e.n.answerCancellations(job)
	})
}

// OwnershipLost implements jobstore.Events.
func (e *ownerEvents) OwnershipLost() {
	e.post(func(now time.Duration) { e.n.pool.ReleaseStored(now, "another owner") })
}
