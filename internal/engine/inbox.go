package engine

import (
	"fmt"

	"currantstall/internal/wire"
)

// Receive takes a message of the engine's types from another entry. It does
// not block. An error means that the message is malformed.
func (e *Engine) Receive(from string, m wire.Message) error {
	switch m.Type {
	case wire.Run:
		return receive(m, func(b *runBatch) { e.receiveRun(from, b) })
	case wire.RunDone:
		return receive(m, func(d *runDone) { e.receiveDone(from, d) })
	case wire.RunCancel:
		return receive(m, func(c *runCancel) { e.peerTasks.cancelTasks(from, c.IDs) })
	case wire.Forward:
		return receive(m, func(q *forward) { go e.forwarder.serve(from, q) })
	case wire.ForwardDone:
		return receive(m, func(d *forwardDone) { e.forwarder.receiveResponse(from, d) })
	case wire.Load:
		return receive(m, func(l *loadReport) { e.scheduler(l.Class).receiveLoad(from, l) })
	}
	return fmt.Errorf("engine: message type %d is not mine", m.Type)
}

func receive[T any](m wire.Message, handle func(*T)) error {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	handle(&body)
	return nil
}

// receiveRun queues handed-over units by class.
func (e *Engine) receiveRun(from string, b *runBatch) {
	for _, s := range []*scheduler{e.requests, e.jobs} {
		var own runBatch
		for _, u := range b.Tasks {
			if u.Class == s.class {
				own.Tasks = append(own.Tasks, u)
			}
		}
		if len(own.Tasks) > 0 {
			s.receiveBatch(from, &own)
		}
	}
}

// receiveDone hands results to the scheduler that knows their units. Unit
// identifiers are unique within the entry.
func (e *Engine) receiveDone(from string, d *runDone) {
	e.requests.receiveResults(from, d.Results)
	e.jobs.receiveResults(from, d.Results)
}

// LinkUp tells that an entry can be reached. A new incarnation has lost what
// the earlier one was given.
func (e *Engine) LinkUp(name string, incarnation uint64) {
	if e.outbox.linkUp(name, incarnation) {
		e.peerLost(name)
	}
	for _, m := range e.outbox.takeAll(name) {
		if err := e.Links.Send(name, m); err != nil {
			e.outbox.put(name, m)
		}
	}
}

// LinkDown tells that an entry cannot be reached for now. What it runs may
// still be answered after the link is back.
func (e *Engine) LinkDown(name string) {
	e.requests.linkDown(name)
	e.jobs.linkDown(name)
	e.forwarder.failCalls(name)
}

// PeerRemoved tells that an entry is no longer in the view in force of this
// data centre. It starts nothing any more under this one's claims, and its
// process may be gone for good, so its results are not waited for.
func (e *Engine) PeerRemoved(name string) { e.peerLost(name) }

// peerLost settles what a lost entry was given.
func (e *Engine) peerLost(name string) {
	e.requests.peerLost(name)
	e.jobs.peerLost(name)
	e.forwarder.failCalls(name)
	e.outbox.discard(name)
}
