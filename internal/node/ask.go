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

// requester identifies a question of an entry about a stored job, to which an answer
// is owed.
type requester struct {
	entry  string
	number uint64 // of the question, chosen by the entry
}

// jobAskBody is the body of wire.JobQuery: a question to the leader about a stored
// job, or a request to cancel it.
type jobAskBody struct {
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Cancel bool   `cbor:"3,keyasint,omitempty"`
}

// jobToldBody is the body of wire.JobReply, which answers a wire.JobQuery or a
// wire.JobStore.
type jobToldBody struct {
	Number uint64 `cbor:"1,keyasint"` // of the question
	// Ready is set if the sender knows all stored jobs, Known if this is one of
	// them.
	Ready bool           `cbor:"2,keyasint,omitempty"`
	Known bool           `cbor:"3,keyasint,omitempty"`
	State fleet.JobState `cbor:"4,keyasint,omitempty"`
	// Stored answers a wire.JobStore: Completed if the job is stored, NotRun if it
	// is not, MayHaveRun if it may be.
	Stored verdict.Verdict `cbor:"5,keyasint,omitempty"`
}

// errNotYetKnown means that the store has a job which the leader does not know yet.
var errNotYetKnown = errors.New("the job is stored, but the leader does not know it yet")

// JobState returns the state of a stored job. It asks the leader, and reads the
// store if the leader does not answer or does not know the job.
func (n *Node) JobState(ctx context.Context, id string) (state fleet.JobState, known bool, err error) {
	t, answered := n.askLeader(ctx, jobAskBody{Job: id}, askTimeout)
	if answered && t.Known {
		return t.State, true, nil
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
	if err != nil || !exists {
		return 0, false, err
	}
	return fleet.JobQueued, true, nil
}

// CancelJob cancels a stored job and reports whether there is one. It returns once
// the job's end is saved, or with an error after cancelTimeout.
func (n *Node) CancelJob(ctx context.Context, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	for {
		t, ok := n.askLeader(ctx, jobAskBody{Job: id, Cancel: true}, cancelTimeout)
		switch {
		case ok && t.Known:
			return true, nil
		case n.stored.tables == nil:
			return false, nil
		case ok && t.Ready:
			if known, err := n.hasEnded(ctx, id); err == nil {
				return known, nil
			}
		}
		if sleep.For(ctx, cancelRetryInterval) != nil {
			return false, ctx.Err()
		}
	}
}

// hasEnded reports whether the store has the final state of a job that the leader
// does not know. It returns errNotYetKnown if the job exists without one.
func (n *Node) hasEnded(ctx context.Context, id string) (bool, error) {
	if _, ended, err := jobstore.FinalState(ctx, n.stored.tables, id); err != nil || ended {
		return ended, err
	}
	exists, err := jobstore.Exists(ctx, n.stored.tables, id)
	if err == nil && exists {
		err = errNotYetKnown // just accepted
	}
	return false, err
}

// Pending returns how many stored jobs of a queue wait to be started, if that is
// known. The number may be up to 2 s old.
func (n *Node) Pending(ctx context.Context, queue string) (int, bool) {
	got := make(chan *int, 1)
	n.post(func(now time.Duration) {
		count, known := 0, !n.stored.expected
		switch {
		case n.pool.OwnsStored():
			count, known = n.pool.Pending()[queue], true
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

// askLeader asks the leader about a stored job. It reports whether an answer arrived
// within the timeout.
func (n *Node) askLeader(ctx context.Context, a jobAskBody, timeout time.Duration) (jobToldBody, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer := make(chan jobToldBody, 1)
	n.post(func(now time.Duration) {
		n.stored.lastAskNumber++
		a.Number = n.stored.lastAskNumber
		n.stored.pendingAsks[a.Number] = answer
		switch leader := n.decision.Leader; {
		case leader == n.cfg.Self.Name:
			n.handleJobAsk(now, leader, a)
		case leader == "" || !n.send(leader, wire.JobQuery, a):
			delete(n.stored.pendingAsks, a.Number)
		}
	})
	select {
	case t := <-answer:
		return t, true
	case <-ctx.Done():
		n.post(func(time.Duration) { delete(n.stored.pendingAsks, a.Number) })
		return jobToldBody{}, false
	}
}

// handleJobAsk answers a question about a stored job. The answer to a cancellation
// is deferred until the job's end is saved.
func (n *Node) handleJobAsk(now time.Duration, from string, a jobAskBody) {
	to := requester{from, a.Number}
	t := jobToldBody{Ready: n.pool.KnowsAllStored()}
	t.State, t.Known = n.pool.JobState(a.Job)
	if a.Cancel && t.Known && !t.State.Ended() {
		n.log.Info("job", "job", a.Job, "outcome", "cancelling", "asked_by", from)
		n.pool.Cancel(now, a.Job)
		n.stored.pendingCancels[a.Job] = append(n.stored.pendingCancels[a.Job], to)
		return
	}
	n.sendJobTold(to, t)
}

// answerCancellations answers the pending cancellations of a job once its end is
// saved.
func (n *Node) answerCancellations(id string) {
	state, known := n.pool.JobState(id)
	if !known || !state.Ended() {
		return
	}
	for _, a := range n.stored.pendingCancels[id] {
		n.sendJobTold(a, jobToldBody{Ready: true, Known: true, State: state})
	}
	delete(n.stored.pendingCancels, id)
}

// sendJobTold answers a requester, which may be this entry.
func (n *Node) sendJobTold(to requester, t jobToldBody) {
	t.Number = to.number
	if to.entry == n.cfg.Self.Name {
		n.handleJobTold(t)
		return
	}
	n.send(to.entry, wire.JobReply, t)
}

// handleJobTold passes an answer about a stored job to the goroutine that waits for
// it.
func (n *Node) handleJobTold(t jobToldBody) {
	if c := n.stored.pendingAsks[t.Number]; c != nil {
		delete(n.stored.pendingAsks, t.Number)
		c <- t
	}
}
