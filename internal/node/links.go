package node

import (
	"time"

	"currantstall/internal/election"
	"currantstall/internal/peer"
	"currantstall/internal/wire"
)

// links takes what arrives from the peers.
type links Node

// LinkUp implements peer.Handler.
func (l *links) LinkUp(p peer.Peer) {
	n := (*Node)(l)
	n.post(func(now time.Duration) {
		n.linked[p.Name] = true
		n.log.Info("link", "peer", p.Name, "outcome", "up")
		n.lastBeat = now - beatEvery
		n.share(p.Name)
	})
}

// LinkDown implements peer.Handler.
func (l *links) LinkDown(p peer.Peer) {
	n := (*Node)(l)
	n.post(func(now time.Duration) {
		delete(n.linked, p.Name)
		delete(n.stored.peers, p.Name)
		delete(n.stored.clocks, p.Name)
		n.log.Info("link", "peer", p.Name, "outcome", "down")
		n.election.Lost(p.Name)
		n.leaderLost(now, p.Name)
		n.pool.CoordinatorLost(now, p.Name)
		n.dropRelayed(now, p.Name)
		if n.pool.Leading() {
			n.claim(now)
		}
	})
}

// Receive implements peer.Handler.
func (l *links) Receive(from peer.Peer, m wire.Message) {
	n := (*Node)(l)
	var err error
	switch m.Type {
	case wire.PoolBeat:
		err = receive(n, m, func(now time.Duration, b beatBody) { n.heard(now, from.Name, b) })
	case wire.PoolSubmit:
		err = receive(n, m, func(now time.Duration, b submitBody) { n.submitted(now, from.Name, b) })
	case wire.PoolEnded:
		err = receive(n, m, func(now time.Duration, b endedBody) { n.outcome(now, from.Name, b.Job, b.Outcome) })
	case wire.PoolAbandon:
		err = receive(n, m, func(now time.Duration, b abandonBody) { n.abandoned(now, from.Name, b) })
	case wire.JobAsk:
		err = receive(n, m, func(now time.Duration, a jobAsk) { n.asked(now, from.Name, a) })
	case wire.JobStore:
		err = receive(n, m, func(_ time.Duration, b jobStore) { n.storeFor(from.Name, b) })
	case wire.JobTold:
		err = receive(n, m, func(_ time.Duration, t jobTold) { n.told(t) })
	case wire.Directory:
		err = receive(n, m, func(now time.Duration, b directoryBody) { n.learn(now, b) })
	default:
		n.log.Warn("message of an unexpected type", "peer", from.Name, "type", m.Type.String())
	}
	if err != nil {
		n.log.Warn("message that can't be read", "peer", from.Name, "type", m.Type.String(), "err", err)
	}
}

// receive decodes a body and posts what is to be done with it.
func receive[T any](n *Node, m wire.Message, take func(time.Duration, T)) error {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	n.post(func(now time.Duration) { take(now, body) })
	return nil
}

// send queues a message to a peer and reports whether it could.
func (n *Node) send(to string, t wire.Type, body any) bool {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		n.log.Error("message that can't be encoded", "type", t.String(), "err", err)
		return false
	}
	if err := n.peers.Send(to, m); err != nil {
		n.log.Info("message not sent", "peer", to, "type", t.String(), "err", err)
		return false
	}
	return true
}

// dropRelayed forgets the jobs that were relayed for a peer.
func (n *Node) dropRelayed(now time.Duration, peer string) {
	for id, p := range n.pending {
		if p.relayFor == peer {
			n.tellLeader(now, p, abandonBody{id, callerGone})
			delete(n.pending, id)
		}
	}
}

// beatBody is the body of wire.PoolBeat.
type beatBody struct {
	Beat   election.Beat `cbor:"1,keyasint"`
	Config int64         `cbor:"2,keyasint"` // version in force at the sender
	// TargetsAge is the age of the sender's list of targets.
	TargetsAge time.Duration `cbor:"3,keyasint"`
	// WallMS is the sender's time of day, Unix time in ms.
	WallMS int64 `cbor:"7,keyasint"`
	// StoreAge is the time since the sender last read the platform's store.
	StoreAge time.Duration `cbor:"6,keyasint"`
	// Stored says that stored jobs exist.
	Stored bool `cbor:"4,keyasint,omitempty"`
	// NoStored says that the sender leads, has looked for stored jobs and found none.
	NoStored bool `cbor:"8,keyasint,omitempty"`
	// Pending counts the stored jobs of each queue that have not begun, if the sender
	// owns them.
	Pending map[string]int `cbor:"5,keyasint"`
}

// beat tells the peers what this entry thinks, at intervals and on a change.
func (n *Node) beat(now time.Duration) {
	own := n.election.Own()
	urgent := own.Leading != n.lastSaid.Leading || own.Leader != n.lastSaid.Leader || own.Stopping != n.lastSaid.Stopping
	if !urgent && now < n.lastBeat+beatEvery {
		return
	}
	n.lastBeat, n.lastSaid = now, own
	n.pool.SetWall(now, n.wallClock(now))
	m, err := wire.NewMessage(wire.PoolBeat, n.beatNow(now, own))
	if err != nil {
		n.log.Error("message that can't be encoded", "type", wire.PoolBeat.String(), "err", err)
		return
	}
	n.peers.Broadcast(m)
}

func (n *Node) beatNow(now time.Duration, own election.Beat) beatBody {
	b := beatBody{Beat: own, Config: n.configVersion(), TargetsAge: n.dir.targetsAge(now), Stored: n.stored.expected, StoreAge: n.storeAge(now), WallMS: time.Now().UnixMilli()}
	b.NoStored = n.pool.KnowsStored() && !n.stored.expected
	if n.pool.OwnsStored() {
		b.Pending = n.pool.Pending()
	}
	return b
}

// heard takes in a peer's beat, and tells it what it lacks.
func (n *Node) heard(now time.Duration, from string, b beatBody) {
	if !n.linked[from] {
		return
	}
	n.election.Hear(from, b.Beat)
	n.stored.peers[from] = now - b.StoreAge
	n.stored.clocks[from] = b.WallMS - now.Milliseconds()
	if b.NoStored {
		n.stored.sawNone()
	}
	if b.Stored && !n.stored.expected {
		n.stored.sawSome()
		n.pool.ExpectStored()
	}
	if from == n.decision.Leader {
		n.stored.pending, n.stored.pendingAt = b.Pending, now
	}
	if n.dir.lacks(now, from, b, n.configVersion()) {
		n.share(from)
	}
}
