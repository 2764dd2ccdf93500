package engine

import (
	"fmt"

	"currantstall/internal/wire"
)

// Receive handles a message from another entry. It does not block. An error
// means that the message is malformed or not of a type for the engine.
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
	return fmt.Errorf("engine: unexpected message type %d", m.Type)
}

// receive decodes the body of a message and passes it to handle.
func receive[T any](m wire.Message, handle func(*T)) error {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	handle(&body)
	return nil
}

// receiveRun passes offloaded tasks to the schedulers of their classes.
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

// receiveDone passes the results of offloaded tasks to both schedulers. Task
// IDs are unique within the entry, so each ignores results of the other.
func (e *Engine) receiveDone(from string, d *runDone) {
	e.requests.receiveResults(from, d.Results)
	e.jobs.receiveResults(from, d.Results)
}

// LinkUp tells the engine that the link to an entry is up. If the entry has a
// new incarnation, the tasks and calls sent to the earlier one are lost.
// Messages kept for the entry are sent.
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

// LinkDown tells the engine that the link to an entry is down. Results of tasks
// that run there may still arrive once the link is up again.
func (e *Engine) LinkDown(name string) {
	e.requests.linkDown(name)
	e.jobs.linkDown(name)
	e.forwarder.linkDown(name)
}

// PeerRemoved tells the engine that an entry has left the view in force of this
// data centre. That entry no longer starts tasks under the claims of this one,
// and its process may never return, so the engine stops waiting for its
// results.
func (e *Engine) PeerRemoved(name string) { e.peerLost(name) }

// peerLost ends the wait for the tasks and calls that a lost entry holds, and
// drops the messages kept for it.
func (e *Engine) peerLost(name string) {
	e.requests.peerLost(name)
	e.jobs.peerLost(name)
	e.forwarder.peerLost(name)
	e.outbox.discard(name)
}
