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

type requester struct {
	entry  string // entry that asks
	number uint64
}

// jobAskBody is the body of wire.JobAsk.
type jobAskBody struct {
	Number uint64 `cbor:"1,keyasint"`
	Job    string `cbor:"2,keyasint"`
	Cancel bool   `cbor:"3,keyasint,omitempty"`
}

// jobToldBody is the body of wire.JobTold.
type jobToldBody struct {
	Number uint64 `cbor:"1,keyasint"`
	// Ready says that the sender knows all stored jobs; Known that this is one.
	Ready bool           `cbor:"2,keyasint,omitempty"`
	Known bool           `cbor:"3,keyasint,omitempty"`
	State fleet.JobState `cbor:"4,keyasint,omitempty"`
	// Stored answers a wire.JobStore: completed, not run, or may have run.
	Stored verdict.Verdict `cbor:"5,keyasint,omitempty"`
}

// errNotYetKnown says that nobody in reach knows whether there is such a job.
var errNotYetKnown = errors.New("the stored jobs are not known yet")

// JobState returns the state of a stored job, asked of the leader, else read from
// the store.
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
	// The leader would know of a job that has not ended, once it knows all.
	exists, err := jobstore.Exists(ctx, n.stored.tables, id)
	if err != nil || !exists {
		return 0, false, err
	}
	return fleet.JobQueued, true, nil
}

// CancelJob cancels a stored job and reports whether there is one. It returns once
// the end is saved.
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

// hasEnded reports whether a job that the leader does not know has ended; the
// error says that it has not.
func (n *Node) hasEnded(ctx context.Context, id string) (bool, error) {
	if _, ended, err := jobstore.FinalState(ctx, n.stored.tables, id); err != nil || ended {
		return ended, err
	}
	exists, err := jobstore.Exists(ctx, n.stored.tables, id)
	if err == nil && exists {
		err = errNotYetKnown // accepted a moment ago
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

// maxPendingAge is the age from which what the leader said of jobs that wait is not
// passed on; it may be 2 s old.
const maxPendingAge = 1500 * time.Millisecond

// askLeader asks the leader about a stored job.
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
		case leader == "" || !n.send(leader, wire.JobAsk, a):
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

// handleJobAsk answers a question about a stored job.
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

// answerCancellations answers those who asked for a job's end, once it is saved.
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

func (n *Node) sendJobTold(to requester, t jobToldBody) {
	t.Number = to.number
	if to.entry == n.cfg.Self.Name {
		n.handleJobTold(t)
		return
	}
	n.send(to.entry, wire.JobTold, t)
}

// handleJobTold takes in an answer about a stored job.
func (n *Node) handleJobTold(t jobToldBody) {
	if c := n.stored.pendingAsks[t.Number]; c != nil {
		delete(n.stored.pendingAsks, t.Number)
		c <- t
	}
}
