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
	// cancelWithin is how long a cancellation is tried: the users ask for an answer
	// within 4 s.
	cancelWithin = 3500 * time.Millisecond
	// cancelPause is the pause between two tries.
	cancelPause = 150 * time.Millisecond
)

// storedJobs is a node's part in keeping stored jobs.
type storedJobs struct {
	rows      jobstore.Rows
	accepter  *jobstore.Accepter
	owner     *jobstore.Owner // while this entry leads
	stop      context.CancelFunc
	existence // of stored jobs
	asks      map[uint64]chan jobTold
	lastAsk   uint64
	cancels   map[string][]asker       // of this leader, until they are saved
	pending   map[string]int           // by queue, as the leader said last; nil if it does not know
	storeRead time.Duration            // when this entry last read the platform's store
	peers     map[string]time.Duration // when the linked peers did
	clocks    map[string]int64         // the linked peers' time of day at this one's time 0
	// pendingAt is when the leader said so.
	pendingAt time.Duration
}

func newStoredJobs(cfg *Config) storedJobs {
	s := storedJobs{asks: make(map[uint64]chan jobTold), cancels: make(map[string][]asker), peers: make(map[string]time.Duration), clocks: make(map[string]int64)}
	if cfg.Jobs != nil {
		s.rows, s.accepter = cfg.Jobs, jobstore.NewAccepter(cfg.Jobs, cfg.Log)
	}
	return s
}

const (
	// storeSilent is how long an entry may not have read the store for it to own the
	// stored jobs, if others have.
	storeSilent = 2 * time.Second
	// storeMissed is how long an entry must not have read the store for it to ask a peer
	// to store a job: two reads that were due.
	storeMissed = 1500 * time.Millisecond
	// storeByPeerTimeout bounds how long a peer may take, a little over its own bound.
	storeByPeerTimeout = 1500 * time.Millisecond
	// storeFresh is how lately another entry must have.
	storeFresh = 1300 * time.Millisecond
)

func (n *Node) storeAge(now time.Duration) time.Duration {
	if n.stored.storeRead == 0 {
		return unknownAge
	}
	return now - n.stored.storeRead
}

// outOfStore reports whether this entry can't keep the stored jobs while another one
// could.
func (n *Node) outOfStore(now time.Duration) bool {
	if !n.stored.expected || n.storeAge(now) < storeSilent {
		return false
	}
	for _, at := range n.stored.peers {
		if now < at+storeFresh {
			return true
		}
	}
	return false
}

// wallClock returns the time of day that most entries agree on, since that of single
// ones may jump.
func (n *Node) wallClock(now time.Duration) int64 {
	all := []int64{time.Now().UnixMilli() - now.Milliseconds()}
	for _, c := range n.stored.clocks {
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

// ownStored starts to take the stored jobs over, once this entry leads.
func (n *Node) ownStored() {
	if n.stored.rows == nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	owner := jobstore.NewOwner(n.stored.rows, n.cfg.Self.Name, bootClock, &ownerEvents{n: n, ctx: ctx}, n.log)
	n.stored.owner, n.stored.stop = owner, cancel
	if n.stored.mustLook() {
		n.pool.AwaitStored()
	}
	if n.stored.expected {
		n.pool.ExpectStored()
		owner.Expect()
	}
	n.owners.Go(func() { owner.Run(ctx) })
}

// disownStored gives the stored jobs up, once this entry does not lead any more.
func (n *Node) disownStored() {
	if n.stored.owner != nil {
		n.stored.stop()
		n.stored.owner, n.stored.stop = nil, nil
	}
	for id, asks := range n.stored.cancels {
		for _, a := range asks {
			n.tell(a, jobTold{})
		}
		delete(n.stored.cancels, id)
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

// steady converts a time of the boot clock to one of the loop's.
func steady(now, boot time.Duration) time.Duration { return now + boot - bootClock() }

// Expected implements jobstore.Events.
func (e *ownerEvents) Expected() {
	e.post(func(time.Duration) {
		e.n.stored.sawSome()
		e.n.pool.ExpectStored()
	})
}

// None implements jobstore.Events.
func (e *ownerEvents) None() {
	e.post(func(time.Duration) {
		e.n.stored.sawNone()
		e.n.pool.NoStored()
	})
}

// Owned implements jobstore.Events.
func (e *ownerEvents) Owned(epoch int, lastSeen time.Duration, jobs []jobstore.Stored) {
	e.post(func(now time.Duration) { e.n.pool.OwnStored(now, steady(now, lastSeen), epoch, jobs) })
}

// Renewed implements jobstore.Events.
func (e *ownerEvents) Renewed(renewed, until time.Duration) {
	e.post(func(now time.Duration) { e.n.pool.RenewStored(steady(now, renewed), steady(now, until)) })
}

// Arrived implements jobstore.Events.
func (e *ownerEvents) Arrived(a jobstore.Accepted) {
	e.post(func(now time.Duration) { e.n.pool.Submit(now, pool.Submit{Job: a.Job, Waited: a.Waited}) })
}

// Saved implements jobstore.Events.
func (e *ownerEvents) Saved(job string, seq int) {
	e.post(func(time.Duration) {
		e.n.pool.Saved(job, seq)
		e.n.answerCancels(job)
	})
}

// Lost implements jobstore.Events.
func (e *ownerEvents) Lost() {
	e.post(func(now time.Duration) { e.n.pool.DropStored(now, "another owner") })
}
