package node

import (
	"context"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/wire"
)

// A start order carries the job's spec, once for each task. Where the link of a leader is
// narrow, the orders of a job with many tasks take longer on the link than the tasks run.
// The leader then shares the sending with the job's coordinator, which has the spec and a
// link of its own. The leader still decides on every start, and handles the target's answer
// as if it had sent the order itself.

const (
	// orderOverheadBytes is the size of a start order without its spec: the headers, the
	// other fields, and the packets that acknowledge it.
	orderOverheadBytes = 600
	// laneTime is how long the link may take for the orders that are sent and not answered.
	laneTime = 20 * time.Millisecond
	// delegatePenalty is how much sooner the coordinator's link must be through with an
	// order for the coordinator to send it: an order takes another hop there, and usually a
	// new connection.
	delegatePenalty = 10 * time.Millisecond
	// delegatedTimeout limits a start order that a coordinator sends.
	delegatedTimeout = orderTimeout + 100*time.Millisecond
)

// startLane holds the start orders that this entry is to send. It sends them one after
// another where the link is narrow, so that heartbeats and other messages to peers, which
// share the link, do not wait behind them. It belongs to the node's loop.
type startLane struct {
	bytesPerSecond float64 // capacity of the link; 0 if unknown, and then nothing waits
	waiting        []laneOrder
	waitingBytes   int
	sentBytes      int            // of the orders that are sent and not answered
	delegatedBytes map[string]int // of the orders that coordinators send, by coordinator
}

// laneOrder is a start order in the lane.
type laneOrder struct {
	order fleet.Start
	name  string      // in the metrics
	valid func() bool // whether the order may still be sent
	done  func(now time.Duration, rep fleet.Reply)
}

// orderBytes returns the size of a start order on the link.
func orderBytes(o *fleet.Start) int { return len(o.Spec) + orderOverheadBytes }

// delegates reports whether the coordinator is to send an order, because its link will be
// through with it sooner.
func (l *startLane) delegates(self string, o *fleet.Start) bool {
	if l.bytesPerSecond <= 0 || o.Coordinator == "" || o.Coordinator == self {
		return false
	}
	through := func(bytes int) time.Duration {
		return time.Duration(float64(bytes+orderBytes(o)) / l.bytesPerSecond * float64(time.Second))
	}
	return through(l.delegatedBytes[o.Coordinator])+delegatePenalty < through(l.waitingBytes+l.sentBytes)
}

// push adds an order.
func (l *startLane) push(o laneOrder) {
	l.waiting = append(l.waiting, o)
	l.waitingBytes += orderBytes(&o.order)
}

// next removes the next order and counts it as sent, unless the link is busy.
func (l *startLane) next() (laneOrder, bool) {
	if len(l.waiting) == 0 {
		return laneOrder{}, false
	}
	o := l.waiting[0]
	bytes := orderBytes(&o.order)
	if l.bytesPerSecond > 0 && l.sentBytes > 0 && float64(l.sentBytes+bytes) > l.bytesPerSecond*laneTime.Seconds() {
		return laneOrder{}, false
	}
	l.waiting = l.waiting[1:]
	l.waitingBytes -= bytes
	l.sentBytes += bytes
	return o, true
}

// answered ends the count of an order as sent.
func (l *startLane) answered(o *laneOrder) { l.sentBytes -= orderBytes(&o.order) }

// delegated counts the bytes of an order that a coordinator sends, until it is answered.
func (l *startLane) delegated(coordinator string, bytes int) {
	if l.delegatedBytes[coordinator] += bytes; l.delegatedBytes[coordinator] <= 0 {
		delete(l.delegatedBytes, coordinator)
	}
}

// sendStart sends a start order of one of this entry's pools, or has the job's coordinator
// send it.
func (n *Node) sendStart(now time.Duration, s *shard, o fleet.Start) {
	n.counts.starts.Inc(1)
	if n.lane.delegates(n.cfg.Self.Name, &o) && n.linked[o.Coordinator] {
		n.delegateStart(now, s, o)
		return
	}
	n.lane.push(laneOrder{
		order: o, name: "start", valid: s.pool.Leading,
		done: func(done time.Duration, rep fleet.Reply) {
			n.load.recordStart(done - now)
			s.pool.StartDone(done, o, rep)
		},
	})
	n.pumpLane(now)
}

// pumpLane sends the orders in the lane as far as the link allows.
func (n *Node) pumpLane(now time.Duration) {
	for {
		o, ok := n.lane.next()
		if !ok {
			return
		}
		if !o.valid() {
			n.lane.answered(&o)
			o.done(now, fleet.Reply{Answer: fleet.NotSent})
			continue
		}
		decided := bootClock()
		go n.order(o.name, func(ctx context.Context) fleet.Reply {
			if bootClock()-decided > processPauseLimit {
				return fleet.Reply{Answer: fleet.NotSent} // the process was paused in between
			}
			return n.cfg.Targets.Start(ctx, o.order)
		},
			func(done time.Duration, rep fleet.Reply) {
				n.lane.answered(&o)
				o.done(done, rep)
				n.pumpLane(done)
			})
	}
}

// dropLane gives up the orders in the lane that are not sent. After a pause of the process
// another entry may lead, and may have started the same tasks.
func (n *Node) dropLane(now time.Duration) {
	waiting := n.lane.waiting
	n.lane.waiting, n.lane.waitingBytes = nil, 0
	for _, o := range waiting {
		o.done(now, fleet.Reply{Answer: fleet.NotSent})
	}
}

// startBody is the body of wire.PoolStart, with which a leader has a job's coordinator send
// a start order.
type startBody struct {
	Number       uint64       `cbor:"1,keyasint"` // of the order, chosen by the leader
	Target       fleet.Target `cbor:"2,keyasint"`
	Job          string       `cbor:"3,keyasint"`
	Step         int          `cbor:"4,keyasint,omitempty"`
	Index        int          `cbor:"5,keyasint,omitempty"`
	Run          int          `cbor:"6,keyasint"`
	Ticket       string       `cbor:"7,keyasint,omitempty"`
	Checkpoint   string       `cbor:"8,keyasint,omitempty"`
	LeaseUntilMS int64        `cbor:"9,keyasint"`
	Fence        uint64       `cbor:"10,keyasint"`
}

// startedBody is the body of wire.PoolStarted, which returns the target's answer.
type startedBody struct {
	Number      uint64       `cbor:"1,keyasint"`
	Answer      fleet.Answer `cbor:"2,keyasint"`
	ClockMS     int64        `cbor:"3,keyasint,omitempty"`
	Incarnation int64        `cbor:"4,keyasint,omitempty"`
}

// delegatedStart is a start order that a coordinator was told to send.
type delegatedStart struct {
	coordinator string
	shard       *shard
	order       fleet.Start
	sentAt      time.Duration
}

// delegations holds the start orders of this entry's pools that coordinators send, by
// number.
type delegations struct {
	lastNumber uint64
	open       map[uint64]delegatedStart
}

// delegateStart has the coordinator of a job send a start order.
func (n *Node) delegateStart(now time.Duration, s *shard, o fleet.Start) {
	d := &n.delegated
	d.lastNumber++
	b := startBody{
		Number: d.lastNumber, Target: o.Target, Job: o.Task.Job, Step: o.Task.Step, Index: o.Task.Index, Run: o.Run,
		Ticket: o.Ticket, Checkpoint: o.Checkpoint, LeaseUntilMS: o.LeaseUntilMS, Fence: o.Fence,
	}
	n.lane.delegated(o.Coordinator, orderBytes(&o))
	d.open[b.Number] = delegatedStart{coordinator: o.Coordinator, shard: s, order: o, sentAt: now}
	if !n.send(o.Coordinator, wire.PoolStart, b) {
		n.delegatedDone(now, b.Number, fleet.Reply{Answer: fleet.NotSent})
	}
}

// delegatedDone passes the answer to a delegated start order to its pool.
func (n *Node) delegatedDone(now time.Duration, number uint64, rep fleet.Reply) {
	d, ok := n.delegated.open[number]
	if !ok {
		return // timed out, or answered before
	}
	delete(n.delegated.open, number)
	n.lane.delegated(d.coordinator, -orderBytes(&d.order))
	n.counts.answer("start", rep.Answer)
	n.load.recordStart(now - d.sentAt)
	d.shard.pool.StartDone(now, d.order, rep)
}

// expireDelegated takes the orders for unanswered whose answer is overdue or whose
// coordinator is gone.
func (n *Node) expireDelegated(now time.Duration) {
	for number, d := range n.delegated.open {
		if now > d.sentAt+delegatedTimeout || !n.linked[d.coordinator] {
			n.delegatedDone(now, number, fleet.Reply{Answer: fleet.Unanswered})
		}
	}
}

// handleStart sends a start order for the leader that has a job of this entry.
func (n *Node) handleStart(now time.Duration, from string, b startBody) {
	p := n.pending[b.Job]
	if p == nil || p.sentTo != from {
		n.send(from, wire.PoolStarted, startedBody{Number: b.Number, Answer: fleet.NotSent})
		return
	}
	o := fleet.Start{
		Target: b.Target, Task: fleet.TaskID{Job: b.Job, Step: b.Step, Index: b.Index}, Run: b.Run, Spec: p.job.Spec,
		Ticket: b.Ticket, Checkpoint: b.Checkpoint, LeaseUntilMS: b.LeaseUntilMS, Fence: b.Fence,
	}
	n.log.Info("start", "task", o.Task.String(), "run", o.Run, "target", o.Target.ID, "fence", o.Fence, "sent_for", from)
	n.lane.push(laneOrder{
		order: o, name: "delegated_start", valid: func() bool { return n.pending[b.Job] == p && p.sentTo == from },
		done: func(_ time.Duration, rep fleet.Reply) {
			n.send(from, wire.PoolStarted, startedBody{Number: b.Number, Answer: rep.Answer, ClockMS: rep.ClockMS, Incarnation: rep.Incarnation})
		},
	})
	n.pumpLane(now)
}

// handleStarted handles the answer of a target to a start order that a coordinator sent.
func (n *Node) handleStarted(now time.Duration, from string, b startedBody) {
	if n.delegated.open[b.Number].coordinator != from {
		return
	}
	n.delegatedDone(now, b.Number, fleet.Reply{Answer: b.Answer, ClockMS: b.ClockMS, Incarnation: b.Incarnation})
}
