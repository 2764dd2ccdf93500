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

type asker struct {
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
	to := asker{from, a.N}
	t := jobTold{Ready: n.pool.KnowsStored()}
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

func (n *Node) tell(to asker, t jobTold) {
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
