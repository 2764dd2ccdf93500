package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
	"currantstall/internal/sleep"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
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
	expected  bool // stored jobs exist
	asks      map[uint64]chan jobTold
	lastAsk   uint64
	cancels   map[string][]cancelAsk   // of this leader, until they are saved
	pending   map[string]int           // by queue, as the leader said last; nil if it does not know
	storeRead time.Duration            // when this entry last read the platform's store
	peers     map[string]time.Duration // when the linked peers did
	clocks    map[string]int64         // the linked peers' time of day at this one's time 0
	// pendingAt is when the leader said so.
	pendingAt time.Duration
}

type cancelAsk struct {
	from string // entry that asks
	n    uint64
}

// jobAsk is the body of wire.JobAsk.
type jobAsk struct {
	N      uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Cancel bool   `cbor:"3,keyasint,omitempty"`
}

// jobTold is the body of wire.JobTold.
type jobTold struct {
	N uint64 `cbor:"1,keyasint"`
	// Ready says that the sender knows all stored jobs; Known that this is one.
	Ready bool           `cbor:"2,keyasint,omitempty"`
	Known bool           `cbor:"3,keyasint,omitempty"`
	State fleet.JobState `cbor:"4,keyasint,omitempty"`
	// Stored answers a wire.JobStore: completed, not run, or may have run.
	Stored verdict.Verdict `cbor:"5,keyasint,omitempty"`
}

func newStoredJobs(cfg *Config) storedJobs {
	s := storedJobs{asks: make(map[uint64]chan jobTold), cancels: make(map[string][]cancelAsk), peers: make(map[string]time.Duration), clocks: make(map[string]int64)}
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
	n.pool.AwaitStored()
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
		e.n.stored.expected = true
		e.n.pool.ExpectStored()
	})
}

// None implements jobstore.Events.
func (e *ownerEvents) None() {
	e.post(func(time.Duration) { e.n.pool.NoStored() })
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

// StoreJob accepts a job by storing it, through a peer if the store turns this entry
// away. The outcome says completed if it is accepted, and else whether it may be.
func (n *Node) StoreJob(ctx context.Context, j fleet.Job) fleet.Outcome {
	if n.stored.accepter == nil {
		return fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady, RetryAfter: time.Second}
	}
	if t, asked := n.storeByPeer(ctx, j); asked {
		return storeOutcome(t.Stored)
	}
	return storeOutcome(n.storeHere(j))
}

// storeHere stores a job and hands it to the leader.
func (n *Node) storeHere(j fleet.Job) verdict.Verdict {
	fresh, err := n.stored.accepter.Accept(j)
	switch {
	case err == nil && !fresh:
		n.log.Info("job", "job", j.ID, "outcome", "stored by an earlier copy")
		return verdict.Completed
	case err == nil:
		n.post(func(now time.Duration) { n.handToLeader(now, j) })
		return verdict.Completed
	case errors.Is(err, jobstore.ErrUnknown):
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

func storeOutcome(v verdict.Verdict) fleet.Outcome {
	o := fleet.Outcome{Verdict: v}
	if v != verdict.Completed {
		o.Reason, o.RetryAfter = verdict.PlatformUnavailable, time.Second
	}
	return o
}

// jobStore is the body of wire.JobStore.
type jobStore struct {
	N   uint64    `cbor:"1,keyasint"`
	Job fleet.Job `cbor:"2,keyasint"`
}

// storeByPeer has a peer store a job while the store turns this entry away and serves
// the peer. Without an answer the job may be stored.
func (n *Node) storeByPeer(ctx context.Context, j fleet.Job) (t jobTold, asked bool) {
	answer := make(chan jobTold, 1)
	sent := make(chan uint64, 1)
	n.post(func(now time.Duration) {
		peer := n.peerWithStore(now)
		n.stored.lastAsk++
		ask := n.stored.lastAsk
		if peer == "" || !n.send(peer, wire.JobStore, jobStore{N: ask, Job: j}) {
			sent <- 0
			return
		}
		n.log.Info("job", "job", j.ID, "outcome", "to be stored by a peer", "peer", peer, "store_age_ms", n.storeAge(now).Milliseconds())
		n.stored.asks[ask] = answer
		sent <- ask
	})
	var ask uint64
	select {
	case ask = <-sent:
	case <-n.ctx.Done():
	}
	if ask == 0 {
		return jobTold{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeByPeerTimeout)
	defer cancel()
	select {
	case t = <-answer:
		return t, true
	case <-ctx.Done():
		n.post(func(time.Duration) { delete(n.stored.asks, ask) })
		return jobTold{Stored: verdict.MayHaveRun}, true
	}
}

// peerWithStore returns the linked peer that read the store last, if this entry has not
// for a while and the peer has.
func (n *Node) peerWithStore(now time.Duration) string {
	if n.storeAge(now) < storeMissed {
		return ""
	}
	best, latest := "", now-storeFresh
	for name, at := range n.stored.peers {
		if at > latest {
			best, latest = name, at
		}
	}
	return best
}

// storeFor stores a job for a peer.
func (n *Node) storeFor(from string, b jobStore) {
	if n.stored.accepter == nil {
		n.tell(cancelAsk{from, b.N}, jobTold{Stored: verdict.NotRun})
		return
	}
	go func() {
		v := n.storeHere(b.Job)
		n.post(func(time.Duration) { n.tell(cancelAsk{from, b.N}, jobTold{Stored: v}) })
	}()
}

// handToLeader hands a job that was just accepted to the leader. If that fails, whoever
// owns the stored jobs finds it in the store.
func (n *Node) handToLeader(now time.Duration, j fleet.Job) {
	n.log.Info("job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.Tasks(), "outcome", "stored", "leader", n.decision.Leader,
		"config", n.configVersion())
	n.stored.expected = true
	switch leader := n.decision.Leader; leader {
	case "":
	case n.cfg.Self.Name:
		n.storedArrived(now, j, 0)
	default:
		n.send(leader, wire.PoolSubmit, submitBody{Job: j})
	}
}

// storedArrived takes in a stored job as the leader.
func (n *Node) storedArrived(now time.Duration, j fleet.Job, waited time.Duration) {
	n.stored.expected = true
	n.pool.ExpectStored()
	if n.stored.owner != nil {
		n.stored.owner.Expect()
	}
	n.pool.Submit(now, pool.Submit{Job: j, Waited: waited})
}

// errNotKnown says that nobody in reach knows whether there is such a job.
var errNotKnown = errors.New("the stored jobs are not known yet")

// JobState returns the state of a stored job, asked of the leader, else read from
// the store.
func (n *Node) JobState(ctx context.Context, id string) (state fleet.JobState, known bool, err error) {
	t, answered := n.ask(ctx, jobAsk{Job: id}, askTimeout)
	if answered && t.Known {
		return t.State, true, nil
	}
	if n.stored.rows == nil {
		return 0, false, nil
	}
	state, known, err = jobstore.EndState(ctx, n.stored.rows, id)
	if err != nil || known {
		return state, known, err
	}
	// The leader would know of a job that has not ended, once it knows all.
	exists, err := jobstore.Exists(ctx, n.stored.rows, id)
	if err != nil || !exists {
		return 0, false, err
	}
	return fleet.JobQueued, true, nil
}

// CancelJob cancels a stored job and reports whether there is one. It returns once
// the end is saved.
func (n *Node) CancelJob(ctx context.Context, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, cancelWithin)
	defer cancel()
	for {
		t, ok := n.ask(ctx, jobAsk{Job: id, Cancel: true}, cancelWithin)
		switch {
		case ok && t.Known:
			return true, nil
		case n.stored.rows == nil:
			return false, nil
		case ok && t.Ready:
			if known, err := n.endedOrUnknown(ctx, id); err == nil {
				return known, nil
			}
		}
		if sleep.For(ctx, cancelPause) != nil {
			return false, ctx.Err()
		}
	}
}

// endedOrUnknown reports whether a job that the leader does not know has ended; the
// error says that it has not.
func (n *Node) endedOrUnknown(ctx context.Context, id string) (bool, error) {
	if _, ended, err := jobstore.EndState(ctx, n.stored.rows, id); err != nil || ended {
		return ended, err
	}
	exists, err := jobstore.Exists(ctx, n.stored.rows, id)
	if err == nil && exists {
		err = errNotKnown // accepted a moment ago
	}
	return false, err
}

// Pending returns how many stored jobs of a queue had not begun lately, if that is
// known.
func (n *Node) Pending(ctx context.Context, queue string) (int, bool) {
	got := make(chan *int, 1)
	n.post(func(now time.Duration) {
		count, known := 0, !n.stored.expected
		switch {
		case n.pool.OwnsStored():
			count, known = n.pool.Pending()[queue], true
		case n.stored.pending != nil && now < n.stored.pendingAt+stalePending:
			count, known = n.stored.pending[queue], true
		}
		if !known {
			got <- nil
			return
		}
		got <- &count
	})
	select {
	case c := <-got:
		if c == nil {
			return 0, false
		}
		return *c, true
	case <-ctx.Done():
		return 0, false
	}
}

// stalePending is the age from which what the leader said of jobs that wait is not
// passed on; it may be 2 s old.
const stalePending = 1500 * time.Millisecond

// ask asks the leader about a stored job.
func (n *Node) ask(ctx context.Context, a jobAsk, timeout time.Duration) (jobTold, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := make(chan jobTold, 1)
	n.post(func(now time.Duration) {
		n.stored.lastAsk++
		a.N = n.stored.lastAsk
		n.stored.asks[a.N] = answer
		switch leader := n.decision.Leader; {
		case leader == n.cfg.Self.Name:
			n.asked(now, leader, a)
		case leader == "" || !n.send(leader, wire.JobAsk, a):
			delete(n.stored.asks, a.N)
		}
	})
	select {
	case t := <-answer:
		return t, true
	case <-ctx.Done():
		n.post(func(time.Duration) { delete(n.stored.asks, a.N) })
		return jobTold{}, false
	}
}

// asked answers a question about a stored job.
func (n *Node) asked(now time.Duration, from string, a jobAsk) {
	to := cancelAsk{from, a.N}
	t := jobTold{Ready: n.pool.OwnsStored()}
	t.State, t.Known = n.pool.JobState(a.Job)
	if a.Cancel && t.Known && !t.State.Ended() {
		n.log.Info("job", "job", a.Job, "outcome", "cancelling", "asked_by", from)
		n.pool.Cancel(now, a.Job)
		n.stored.cancels[a.Job] = append(n.stored.cancels[a.Job], to)
		return
	}
	n.tell(to, t)
}

// answerCancels answers those who asked for a job's end, once it is saved.
func (n *Node) answerCancels(id string) {
	state, known := n.pool.JobState(id)
	if !known || !state.Ended() {
		return
	}
	for _, a := range n.stored.cancels[id] {
		n.tell(a, jobTold{Ready: true, Known: true, State: state})
	}
	delete(n.stored.cancels, id)
}

func (n *Node) tell(to cancelAsk, t jobTold) {
	t.N = to.n
	if to.from == n.cfg.Self.Name {
		n.told(t)
		return
	}
	n.send(to.from, wire.JobTold, t)
}

// told takes in an answer about a stored job.
func (n *Node) told(t jobTold) {
	if c := n.stored.asks[t.N]; c != nil {
		delete(n.stored.asks, t.N)
		c <- t
	}
}
