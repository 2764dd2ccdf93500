package node

import (
	"context"
	"errors"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

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
		n.tell(asker{from, b.N}, jobTold{Stored: verdict.NotRun})
		return
	}
	go func() {
		v := n.storeHere(b.Job)
		n.post(func(time.Duration) { n.tell(asker{from, b.N}, jobTold{Stored: v}) })
	}()
}

// handToLeader hands a job that was just accepted to the leader. If that fails, whoever
// owns the stored jobs finds it in the store.
func (n *Node) handToLeader(now time.Duration, j fleet.Job) {
	n.log.Info("job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.Tasks(), "outcome", "stored", "leader", n.decision.Leader,
		"config", n.configVersion())
	n.stored.sawSome()
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
	n.stored.sawSome()
	n.pool.ExpectStored()
	if n.stored.owner != nil {
		n.stored.owner.Expect()
	}
	n.pool.Submit(now, pool.Submit{Job: j, Waited: waited})
}
