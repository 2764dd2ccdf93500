package node

import (
	"time"

	"currantstall/internal/election"
	"currantstall/internal/peer"
	"currantstall/internal/wire"
)

// peerHandler implements peer.Handler for a Node. It posts the events of the peers
// to the node's loop.
type peerHandler Node

// LinkUp implements peer.Handler.
func (h *peerHandler) LinkUp(p peer.Peer) {
	n := (*Node)(h)
	n.post(func(now time.Duration) {
		n.linked[p.Name] = true
		n.log.Info("link", "peer", p.Name, "outcome", "up")
		n.lastHeartbeatAt = now - heartbeatInterval // so that the next step sends one
		n.sendMembers(p.Name)
	})
}

// LinkDown implements peer.Handler.
func (h *peerHandler) LinkDown(p peer.Peer) {
	n := (*Node)(h)
	n.post(func(now time.Duration) {
		delete(n.linked, p.Name)
		delete(n.stored.peerStoreReadAt, p.Name)
		delete(n.stored.peerClocks, p.Name)
		n.log.Info("link", "peer", p.Name, "outcome", "down")
		n.election.RemovePeer(p.Name)
		n.reclaimFromLeader(now, p.Name)
		n.pool.CoordinatorLost(now, p.Name)
		n.dropRelayed(now, p.Name)
		if n.pool.Leading() {
			n.updateAcquirePolicy(now)
		}
	})
}

// Receive implements peer.Handler.
func (h *peerHandler) Receive(from peer.Peer, m wire.Message) {
	n := (*Node)(h)
	var err error
	switch m.Type {
	case wire.PoolHeartbeat:
		err = decodeAndPost(n, m, func(now time.Duration, b heartbeatBody) { n.handleHeartbeat(now, from.Name, b) })
	case wire.PoolSubmit:
		err = decodeAndPost(n, m, func(now time.Duration, b submitBody) { n.handleSubmit(now, from.Name, b) })
	case wire.PoolEnded:
		err = decodeAndPost(n, m, func(now time.Duration, b endedBody) { n.handleOutcome(now, from.Name, b.Job, b.Outcome) })
	case wire.PoolAbandon:
		err = decodeAndPost(n, m, func(now time.Duration, b abandonBody) { n.handleAbandon(now, from.Name, b) })
	case wire.JobQuery:
		err = decodeAndPost(n, m, func(now time.Duration, q jobQueryBody) { n.handleJobQuery(now, from.Name, q) })
	case wire.JobStore:
		err = decodeAndPost(n, m, func(_ time.Duration, b jobStoreBody) { n.handleJobStore(from.Name, b) })
	case wire.JobReply:
		err = decodeAndPost(n, m, func(_ time.Duration, reply jobReplyBody) { n.handleJobReply(reply) })
	case wire.Directory:
		err = decodeAndPost(n, m, func(now time.Duration, b directoryBody) { n.mergeDirectory(now, b) })
	case wire.DirectoryRequest:
		err = decodeAndPost(n, m, func(now time.Duration, r directoryRequestBody) { n.handleDirectoryRequest(now, from.Name, r) })
	default:
		n.log.Warn("message from a peer ignored: unexpected type", "peer", from.Name, "type", m.Type.String())
	}
	if err != nil {
		n.log.Warn("message from a peer ignored: its body can't be decoded", "peer", from.Name, "type", m.Type.String(), "err", err)
	}
}

// decodeAndPost decodes the body of a message and posts its handling to the loop.
func decodeAndPost[T any](n *Node, m wire.Message, handle func(time.Duration, T)) error {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	n.post(func(now time.Duration) { handle(now, body) })
	return nil
}

// send queues a message to a peer and reports whether that succeeded.
func (n *Node) send(to string, t wire.Type, body any) bool {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		n.log.Error("message to a peer not sent: its body can't be encoded", "type", t.String(), "err", err)
		return false
	}
	if err := n.peers.Send(to, m); err != nil {
		n.log.Info("message to a peer not sent", "peer", to, "type", t.String(), "err", err)
		return false
	}
	return true
}

// dropRelayed abandons the jobs that are relayed for a peer whose link is down.
func (n *Node) dropRelayed(now time.Duration, peer string) {
	for id, p := range n.pending {
		if p.relayFor == peer {
			n.sendAbandon(now, p, abandonBody{id, callerGone})
			delete(n.pending, id)
		}
	}
}

// heartbeatBody is the body of wire.PoolHeartbeat.
type heartbeatBody struct {
	Election      election.Heartbeat `cbor:"1,keyasint"`
	ConfigVersion int64              `cbor:"2,keyasint"` // in force at the sender
	// TargetsAge is the age of the sender's list of targets.
	TargetsAge time.Duration `cbor:"3,keyasint"`
	// WallMS is the sender's wall clock, Unix time in ms.
	WallMS int64 `cbor:"7,keyasint"`
	// StoreAge is the time since the sender last read the platform's store.
	StoreAge time.Duration `cbor:"6,keyasint"`
	// HasStored is set if the sender knows that stored jobs exist or did.
	HasStored bool `cbor:"4,keyasint,omitempty"`
	// NoStored is set if the sender leads, has scanned the store for jobs and found
	// none.
	NoStored bool `cbor:"8,keyasint,omitempty"`
	// Pending counts the stored jobs of each queue that wait to be started, if the
	// sender owns the stored jobs.
	Pending map[string]int `cbor:"5,keyasint"`
}

// sendHeartbeat sends a heartbeat to the peers: at intervals, and at once if this entry
// has started or stopped leading, follows another leader, or is stopping.
func (n *Node) sendHeartbeat(now time.Duration) {
	own := n.election.Heartbeat()
	urgent := own.Leading != n.lastHeartbeat.Leading || own.Leader != n.lastHeartbeat.Leader || own.Stopping != n.lastHeartbeat.Stopping
	if !urgent && now < n.lastHeartbeatAt+heartbeatInterval {
		return
	}
	n.lastHeartbeatAt, n.lastHeartbeat = now, own
	n.pool.SetWallClock(now, n.medianWallClock(now))
	m, err := wire.NewMessage(wire.PoolHeartbeat, n.newHeartbeat(now, own))
	if err != nil {
		n.log.Error("message to a peer not sent: its body can't be encoded", "type", wire.PoolHeartbeat.String(), "err", err)
		return
	}
	n.peers.Broadcast(m)
}

// newHeartbeat returns the heartbeat to send now.
func (n *Node) newHeartbeat(now time.Duration, own election.Heartbeat) heartbeatBody {
	b := heartbeatBody{Election: own, ConfigVersion: n.configVersion(), TargetsAge: n.directory.targetsAge(now), HasStored: n.stored.expected, StoreAge: n.storeAge(now), WallMS: time.Now().UnixMilli()}
	b.NoStored = n.pool.KnowsAllStored() && !n.stored.expected
	if n.pool.OwnsStored() {
		b.Pending = n.pool.Pending()
	}
	return b
}

// handleHeartbeat handles a peer's heartbeat, and requests the peer's directory if this
// entry's is out of date.
func (n *Node) handleHeartbeat(now time.Duration, from string, b heartbeatBody) {
	if !n.linked[from] {
		return
	}
	n.election.Observe(from, b.Election)
	n.stored.peerStoreReadAt[from] = now - b.StoreAge
	n.stored.peerClocks[from] = b.WallMS - now.Milliseconds()
	if b.NoStored {
		n.stored.foundNone()
	}
	if b.HasStored && !n.stored.expected {
		n.stored.foundJobs()
		n.pool.ExpectStored()
	}
	if from == n.decision.Leader {
		n.stored.pending, n.stored.pendingAt = b.Pending, now
	}
	if want, ok := n.directory.requestFrom(now, from, b, n.configVersion()); ok {
		n.send(from, wire.DirectoryRequest, want)
	}
}
