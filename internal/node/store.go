package node

import (
	"cmp"
	"context"
	"errors"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// StoreJob accepts a job by storing it, through a peer if this entry can't read the
// store and the peer can. The verdict is Completed if the job is accepted, MayHaveRun
// if it may be, and NotRun if it is not.
func (n *Node) StoreJob(ctx context.Context, j fleet.Job) fleet.Outcome {
	if n.stored.accepter == nil {
		return fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady, RetryAfter: time.Second}
	}
	if size := pool.SizeOf(&j); !n.stored.room.take(n.now(), size) {
		return n.rejectForRoom(ctx, j.ID)
	}
	var o fleet.Outcome
	if t, asked := n.storeViaPeer(ctx, j); asked {
		o = storeOutcome(t.Stored, t.StoredReason)
	} else {
		o = storeOutcome(n.storeLocally(j))
	}
	switch {
	case o.Verdict == verdict.MayHaveRun:
		n.stored.undecided.add(j.ID)
	case o.Verdict == verdict.NotRun && o.Reason == verdict.PlatformUnavailable && n.stored.undecided.has(j.ID):
		o.Verdict = verdict.MayHaveRun // an earlier submission may be stored
	}
	return o
}

// storeLocally stores a job from this entry and submits it to the leader. The reason is that of a
// job that is not stored, "" if the store is at fault.
func (n *Node) storeLocally(j fleet.Job) (verdict.Verdict, verdict.Reason) {
	fresh, err := n.stored.accepter.Accept(j)
	switch {
	case err == nil && !fresh:
		n.log.Info("job", "job", j.ID, "outcome", "stored by an earlier duplicate")
		return verdict.Completed, ""
	case err == nil:
		n.post(func(now time.Duration) { n.submitStored(now, j) })
		return verdict.Completed, ""
	case errors.Is(err, jobstore.ErrTooLarge):
		return verdict.NotRun, verdict.TooLarge
	case errors.Is(err, jobstore.ErrCancelled):
		n.log.Info("job", "job", j.ID, "outcome", "cancelled before it was stored")
		return verdict.NotRun, verdict.Cancelled
	case errors.Is(err, jobstore.ErrOutcomeUnknown):
		return verdict.MayHaveRun, ""
	}
	return verdict.NotRun, ""
}

// storeOutcome returns the outcome for the verdict of an attempt to store a job, with the reason if
// the store is not at fault.
func storeOutcome(v verdict.Verdict, reason verdict.Reason) fleet.Outcome {
	switch {
	case v == verdict.Completed:
		return fleet.Outcome{Verdict: v}
	case reason == verdict.TooLarge, reason == verdict.Cancelled:
		return fleet.Outcome{Verdict: v, Reason: reason}
	}
	return fleet.Outcome{Verdict: v, Reason: cmp.Or(reason, verdict.PlatformUnavailable), RetryAfter: time.Second}
}

// jobStoreBody is the body of wire.JobStore: a request to a peer to store a job.
type jobStoreBody struct {
	Number uint64    `cbor:"1,keyasint"`
	Job    fleet.Job `cbor:"2,keyasint"`
}

// storeViaPeer requests a peer to store a job, if this entry can't read the store and
// the peer can. It reports whether a peer was asked; without a reply the job may be
// stored.
func (n *Node) storeViaPeer(ctx context.Context, j fleet.Job) (reply jobReplyBody, asked bool) {
	got := make(chan jobReplyBody, 1)
	sent := make(chan uint64, 1) // the number of the JobStore message, 0 if none was sent
	n.post(func(now time.Duration) {
		peer := n.peerWithStore(now)
		n.stored.lastQueryNumber++
		number := n.stored.lastQueryNumber
		if peer == "" || !n.send(peer, wire.JobStore, jobStoreBody{Number: number, Job: j}) {
			sent <- 0
			return
		}
		n.log.Info("job", "job", j.ID, "outcome", "storing through a peer", "peer", peer, "store_age_ms", n.storeAge(now).Milliseconds())
		n.stored.pendingReplies[number] = got
		sent <- number
	})
	var number uint64
	select {
	case number = <-sent:
	case <-n.ctx.Done():
	}
	if number == 0 {
		return jobReplyBody{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, storeViaPeerTimeout)
	defer cancel()
	select {
	case reply = <-got:
		return reply, true
	case <-ctx.Done():
		n.post(func(time.Duration) { delete(n.stored.pendingReplies, number) })
		return jobReplyBody{Stored: verdict.MayHaveRun}, true
	}
}

// peerWithStore returns the linked peer that read the store last. It returns "" if
// this entry has read the store within delegateStoreAge, or no peer has within
// freshStoreAge.
func (n *Node) peerWithStore(now time.Duration) string {
	if n.storeAge(now) < delegateStoreAge {
		return ""
	}
	best, latest := "", now-freshStoreAge
	for name, at := range n.stored.peerStoreReadAt {
		if at > latest {
			best, latest = name, at
		}
	}
	return best
}

// handleJobStore stores a job for a peer and sends it the result.
func (n *Node) handleJobStore(from string, b jobStoreBody) {
	if err := b.Job.Validate(); err != nil {
		n.rejectInvalid(from, err)
		n.sendJobReply(requester{from, b.Number}, jobReplyBody{Stored: verdict.NotRun})
		return
	}
	if n.stored.accepter == nil {
		n.sendJobReply(requester{from, b.Number}, jobReplyBody{Stored: verdict.NotRun})
		return
	}
	go func() {
		v, reason := n.storeLocally(b.Job)
		n.post(func(time.Duration) {
			n.sendJobReply(requester{from, b.Number}, jobReplyBody{Stored: v, StoredReason: reason})
		})
	}()
}

// submitStored submits a newly stored job to the leader. If that fails, the owner of
// the stored jobs finds the job in the store.
func (n *Node) submitStored(now time.Duration, j fleet.Job) {
	n.log.Info("job", "job", j.ID, "queue", j.Queue.Name, "tasks", j.TaskCount(), "outcome", "stored", "leader", n.storedLeader(),
		"config", n.configVersion())
	n.stored.foundJobs()
	switch leader := n.storedLeader(); leader {
	case "":
	case n.cfg.Self.Name:
		n.acceptStored(now, j, 0)
	default:
		n.send(leader, wire.PoolSubmit, submitBody{Job: j})
	}
}

// acceptStored submits a stored job to this entry's pool and to the owner of the stored jobs,
// if it is this entry: the owner renews the ownership for the jobs that the pool may run.
func (n *Node) acceptStored(now time.Duration, j fleet.Job, waited time.Duration) {
	n.stored.foundJobs()
	n.storedPool().ExpectStored()
	if n.stored.owner != nil {
		n.stored.owner.AddJob(j.ID)
	}
	n.storedPool().Submit(now, pool.Submit{Job: j, Waited: waited})
}
