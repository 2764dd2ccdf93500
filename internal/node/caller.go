package node

import (
	"context"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/verdict"
)

// A caller that has left may submit its job again at any entry, 1.3 s later. Until then all runs have
// to be over that its first coordinator answers for. So what counts is when its request arrived and
// when it left, not when this entry got to that.

// Caller is what is known of the caller of a job when its request has been read.
type Caller struct {
	// Waited is how long the request had been on this VM before it was read, 0 if not known. Time
	// for which the VM was suspended need not be part of it.
	Waited time.Duration
	// Left reports whether the caller has closed its connection, also if the connection's reader has
	// not got to it yet. It does not block. It is nil if that can't be known.
	Left func() bool
}

// waiter is a caller that waits for the outcome of a pending job.
type waiter struct {
	done     chan fleet.Outcome // with room for it
	leavesAt time.Duration      // with pool.CoordinatorGrace; 0 if the caller has stated no deadline
	left     func() bool        // may be nil
}

// hasLeft reports whether the caller has closed its connection, if that can be known.
func (w waiter) hasLeft() bool { return w.left != nil && w.left() }

// arrivalOf returns when the request of a caller arrived. A request that is read right after a pause
// may be as old as the pause, whatever the kernel says: a VM that stood still has received nothing.
func (n *Node) arrivalOf(c Caller) time.Duration {
	arrived := n.clock.of(time.Now().Add(-c.Waited))
	if began, ok := n.clock.recentPause(); ok {
		arrived = min(arrived, began)
	}
	return arrived
}

// Submit submits a job for a caller and returns its outcome. If the context ends
// first, the caller counts as gone and the job is abandoned, unless other callers
// wait for it. A job whose caller has stated a deadline that has passed is rejected.
func (n *Node) Submit(ctx context.Context, j fleet.Job, c Caller) (fleet.Outcome, error) {
	arrived := n.arrivalOf(c)
	w := waiter{done: make(chan fleet.Outcome, 1), left: c.Left}
	if j.CallerLeaves {
		w.leavesAt = arrived + j.Timeout + pool.CoordinatorGrace
	}
	n.post(func(now time.Duration) { n.addPending(now, j, arrived, w) })
	select {
	case o := <-w.done:
		return o, nil
	case <-ctx.Done():
		n.post(func(now time.Duration) { n.dropWaiter(now, j.ID, w) })
		return fleet.Outcome{}, ctx.Err()
	case <-n.ctx.Done():
		return fleet.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.Draining}, nil
	}
}

// rejectLate rejects a job whose caller's deadline had passed before its request was handled, and
// reports whether it did.
func (n *Node) rejectLate(now time.Duration, j *fleet.Job, arrived time.Duration, w waiter) bool {
	if !j.CallerLeaves || now < arrived+j.Timeout {
		return false
	}
	o := fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.DeadlinePassed, RetryAfter: time.Second}
	if p := n.pending[j.ID]; p != nil {
		o.Verdict = p.unansweredVerdict()
	}
	n.log.Info("answer", "job", j.ID, "queue", j.Queue.Name, "verdict", o.Verdict.String(), "reason", o.Reason,
		"waited_ms", (now - arrived).Milliseconds(), "deadline_ms", j.Timeout.Milliseconds())
	n.counts.outcome(o, now-arrived)
	w.done <- o
	return true
}

// dropWaiter drops a waiter whose caller has disconnected, and abandons the job with
// the last waiter.
func (n *Node) dropWaiter(now time.Duration, id string, w waiter) {
	if p := n.pending[id]; p != nil {
		n.dropWaiters(now, p, func(other waiter) bool { return other.done == w.done })
	}
}

// dropOverdue drops the callers whose deadlines have passed. It comes before whatever the loop does
// next, so that this entry vouches for no job of theirs.
func (n *Node) dropOverdue(now time.Duration) {
	if now < n.nextDeparture {
		return
	}
	n.nextDeparture = never
	for _, p := range n.pending {
		n.dropWaiters(now, p, func(w waiter) bool { return w.leavesAt > 0 && w.leavesAt <= now })
		for _, w := range p.waiters {
			n.expectDeparture(w)
		}
	}
}

// expectDeparture makes dropOverdue look at a waiter in time.
func (n *Node) expectDeparture(w waiter) {
	if w.leavesAt > 0 {
		n.nextDeparture = min(n.nextDeparture, w.leavesAt)
	}
}

// dropDisconnected looks whether the callers are still there whose jobs a leader has, and drops those
// that are not.
func (n *Node) dropDisconnected(now time.Duration, leader string) {
	for _, p := range n.pending {
		if p.sentTo == leader {
			n.dropWaiters(now, p, waiter.hasLeft)
		}
	}
}

// dropWaiters drops the waiters that are gone, and abandons the job with the last one.
func (n *Node) dropWaiters(now time.Duration, p *pendingJob, gone func(waiter) bool) {
	if !slices.ContainsFunc(p.waiters, gone) {
		return
	}
	var kept, dropped []waiter
	for _, w := range p.waiters {
		if gone(w) {
			dropped = append(dropped, w)
		} else {
			kept = append(kept, w)
		}
	}
	o := fleet.Outcome{Verdict: p.unansweredVerdict(), Reason: verdict.DeadlinePassed, RetryAfter: time.Second}
	if len(kept) > 0 {
		o.Verdict = verdict.MayHaveRun // for those that stay
	}
	for _, w := range dropped {
		w.done <- o
	}
	p.waiters = kept
	if len(kept) > 0 || p.relayFor != "" {
		return
	}
	id := p.job.ID
	n.log.Info("job", "job", id, "outcome", "caller gone", "sent_to", p.sentTo, "ms", (now - p.arrived).Milliseconds(),
		"deadline_ms", p.job.Timeout.Milliseconds())
	n.counts.abandoned.Inc(1)
	n.sendAbandon(now, p, abandonBody{id, callerGone})
	n.keepQuestion(now, p)
	n.leaveHome(now, p)
	delete(n.pending, id)
}

// unansweredVerdict returns the verdict of a job for which no leader has an answer.
func (p *pendingJob) unansweredVerdict() verdict.Verdict {
	if p.mayHaveRun || p.sentTo != "" {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
