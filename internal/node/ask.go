package node

import (
	"context"
	"errors"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/sleep"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// requester identifies a JobQuery or JobStore message that still needs a JobReply.
type requester struct {
	entry  string // the sender
	number uint64 // of the message, chosen by the sender
}

// jobQueryBody is the body of wire.JobQuery: a query to the leader for the state
// of a stored job, or a request to cancel it.
type jobQueryBody struct {
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Cancel bool   `cbor:"3,keyasint,omitempty"`
}

// jobReplyBody is the body of wire.JobReply, which answers a wire.JobQuery or a
// wire.JobStore.
type jobReplyBody struct {
	Number uint64 `cbor:"1,keyasint"` // of the JobQuery or JobStore
	// Ready is set if the sender knows all stored jobs, Known if this is one of
	// them.
	Ready bool           `cbor:"2,keyasint,omitempty"`
	Known bool           `cbor:"3,keyasint,omitempty"`
	State fleet.JobState `cbor:"4,keyasint,omitempty"`
	// Stored answers a wire.JobStore: Completed if the job is stored, NotRun if it
	// is not, MayHaveRun if it may be.
	Stored verdict.Verdict `cbor:"5,keyasint,omitempty"`
	// StoredReason is why the job is not stored, "" if the store is at fault.
	StoredReason verdict.Reason `cbor:"6,keyasint,omitempty"`
}

// errNotYetKnown means that the store has a job which the leader does not know yet.
var errNotYetKnown = errors.New("the job is stored, but the leader does not know it yet")

// JobState returns the state of a stored job. It asks the leader, and reads the
// store if the leader does not answer or does not know the job. A job that is not known is not stored at that
// moment; after an acceptance without an outcome at this entry, it is not stored unless it is submitted again.
func (n *Node) JobState(ctx context.Context, id string) (state fleet.JobState, known bool, err error) {
	reply, answered := n.queryLeader(ctx, jobQueryBody{Job: id}, queryTimeout)
	if answered && reply.Known {
		return reply.State, true, nil
	}
	if n.stored.tables == nil {
		return 0, false, nil
	}
	state, known, err = jobstore.FinalState(ctx, n.stored.tables, id)
	if err != nil || known {
		return state, known, err
	}
	// A job that exists but has no final state has not ended. The leader will know
	// its state once it has restored all stored jobs.
	exists, err := jobstore.Exists(ctx, n.stored.tables, id)
	if err == nil && !exists && n.stored.undecided.has(id) {
		exists, err = n.rejectEarlier(ctx, id)
	}
	if err != nil || !exists {
		return 0, false, err
	}
	return fleet.JobQueued, true, nil
}

// rejectEarlier rejects the submissions of a job up to now, unless it is stored, and reports whether it is. Until it is
// submitted again, it is not stored.
func (n *Node) rejectEarlier(ctx context.Context, id string) (stored bool, err error) {
	err = n.stored.accepter.MarkRejected(ctx, id)
	if errors.Is(err, jobstore.ErrStored) {
		return true, nil
	}
	return false, err
}

// CancelJob cancels a stored job and reports whether there is one. It returns once
// the job's end is saved, or with an error after cancelTimeout. A job that is not stored is marked,
// since its acceptance may still be performed.
func (n *Node) CancelJob(ctx context.Context, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		reply, ok := n.queryLeader(ctx, jobQueryBody{Job: id, Cancel: true}, cancelTimeout)
		switch {
		case ok && reply.Known:
			return true, nil
		case n.stored.tables == nil:
			return false, nil
		case ok && reply.Ready:
			if known, err := n.cancelUnknown(ctx, id); err == nil {
				return known, nil
			}
		}
		if sleep.For(ctx, cancelRetryInterval) != nil {
			return false, ctx.Err()
		}
	}
}

// cancelUnknown cancels a job that the leader does not know, and reports whether the store has its final state. It
// returns errNotYetKnown if the job is stored without one.
func (n *Node) cancelUnknown(ctx context.Context, id string) (ended bool, err error) {
	err = n.stored.accepter.MarkCancelled(ctx, id)
	if err == nil {
		n.log.Info("job", "job", id, "outcome", "not stored, marked as cancelled")
		return false, nil
	}
	if !errors.Is(err, jobstore.ErrStored) {
		return false, err
	}
	_, ended, err = jobstore.FinalState(ctx, n.stored.tables, id)
	if err == nil && !ended {
		err = errNotYetKnown // just accepted
	}
	return ended, err
}

// Pending returns how many stored jobs of a queue wait to be started, if that is
// known. The number may be up to 2 s old.
func (n *Node) Pending(ctx context.Context, queue string) (int, bool) {
	got := make(chan *int, 1)
	n.post(func(now time.Duration) {
		count, known := 0, !n.stored.expected
		switch {
		case n.storedPool().OwnsStored():
			count, known = n.storedPool().Pending()[queue], true
		case n.stored.pending != nil && now < n.stored.pendingAt+maxPendingAge:
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

// maxPendingAge is the age from which the number of pending jobs that the leader
// last sent is not used. What is returned to callers may be 2 s old.
const maxPendingAge = 1500 * time.Millisecond

// queryLeader sends a query about a stored job to the leader and reports whether a
// reply arrived within the timeout.
func (n *Node) queryLeader(ctx context.Context, q jobQueryBody, timeout time.Duration) (jobReplyBody, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got := make(chan jobReplyBody, 1)
	n.post(func(now time.Duration) {
		n.stored.lastQueryNumber++
		q.Number = n.stored.lastQueryNumber
		n.stored.pendingReplies[q.Number] = got
		switch leader := n.storedLeader(); {
		case leader == n.cfg.Self.Name:
			n.handleJobQuery(now, leader, q)
		case leader == "" || !n.send(leader, wire.JobQuery, q):
			delete(n.stored.pendingReplies, q.Number)
		}
	})
	select {
	case reply := <-got:
		return reply, true
	case <-ctx.Done():
		n.post(func(time.Duration) { delete(n.stored.pendingReplies, q.Number) })
		return jobReplyBody{}, false
	}
}

// handleJobQuery replies to a query about a stored job. The reply to a cancellation
// is deferred until the job's end is saved.
func (n *Node) handleJobQuery(now time.Duration, from string, q jobQueryBody) {
	to := requester{from, q.Number}
	reply := jobReplyBody{Ready: n.storedPool().KnowsAllStored()}
	reply.State, reply.Known = n.storedPool().JobState(q.Job)
	if q.Cancel && reply.Known && !reply.State.Ended() {
		n.log.Info("job", "job", q.Job, "outcome", "cancelling", "asked_by", from)
		n.storedPool().Cancel(now, q.Job)
		n.stored.pendingCancels[q.Job] = append(n.stored.pendingCancels[q.Job], to)
		return
	}
	n.sendJobReply(to, reply)
}

// answerCancellations replies to the pending cancellations of a job once its end is
// saved.
func (n *Node) answerCancellations(id string) {
	state, known := n.storedPool().JobState(id)
	if !known || !state.Ended() {
		return
	}
	for _, r := range n.stored.pendingCancels[id] {
		n.sendJobReply(r, jobReplyBody{Ready: true, Known: true, State: state})
	}
	delete(n.stored.pendingCancels, id)
}

// sendJobReply sends a reply to a requester, which may be this entry.
func (n *Node) sendJobReply(to requester, reply jobReplyBody) {
	reply.Number = to.number
	if to.entry == n.cfg.Self.Name {
		n.handleJobReply(reply)
		return
	}
	n.send(to.entry, wire.JobReply, reply)
}

// handleJobReply passes a reply to the goroutine that waits for it.
func (n *Node) handleJobReply(reply jobReplyBody) {
	if c := n.stored.pendingReplies[reply.Number]; c != nil {
		delete(n.stored.pendingReplies, reply.Number)
		c <- reply
	}
}
