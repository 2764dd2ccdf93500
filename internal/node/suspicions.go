package node

import (
	"currantstall/internal/fleet"
	"currantstall/internal/pool"
	"currantstall/internal/wire"
)

// A leader tells a job's coordinator which of the job's tasks may crash their targets, and
// the coordinator passes that on with the job to the next leader: otherwise each new leader
// would lose targets to the same task.

// suspicionsBody is the body of wire.PoolSuspects, with which a leader sends all
// suspicions against the tasks of a job to its coordinator.
type suspicionsBody struct {
	Job        string           `cbor:"1,keyasint"`
	Suspicions fleet.Suspicions `cbor:"2,keyasint,omitempty"`
}

// tellSuspicions passes the suspicions against the tasks of a job of this entry's pool to
// the job's coordinator.
func (n *Node) tellSuspicions(e pool.Suspected) {
	if e.Coordinator == n.cfg.Self.Name {
		n.handleSuspicions(n.cfg.Self.Name, suspicionsBody{e.Job, e.Suspicions})
		return
	}
	n.sendSuspicions(e.Coordinator, suspicionsBody{e.Job, e.Suspicions})
}

// handleSuspicions keeps the suspicions against the tasks of a pending job for the next
// submission, and passes them on to the entry for which the job is relayed. A former leader
// may know only a part of them.
func (n *Node) handleSuspicions(from string, b suspicionsBody) {
	p := n.pending[b.Job]
	if p == nil || p.sentTo != from {
		return
	}
	p.suspicions = b.Suspicions
	if p.relayFor != "" {
		n.sendSuspicions(p.relayFor, b)
	}
}

// sendSuspicions sends suspicions to a peer, unless its release does not read them.
func (n *Node) sendSuspicions(to string, b suspicionsBody) {
	if n.takesSuspicions[to] {
		n.send(to, wire.PoolSuspects, b)
	}
}
