package node

import (
	"time"

	"currantstall/internal/election"
	"currantstall/internal/evacuation"
	"currantstall/internal/peer"
	"currantstall/internal/pool"
	"currantstall/internal/rendezvous"
	"currantstall/internal/wire"
)

// peerHandler implements peer.Handler for a Node. It posts the events of the peers
// to the node's loop.
type peerHandler Node

// LinkUp implements peer.Handler.
func (h *peerHandler) LinkUp(p peer.Peer) {
	n := (*Node)(h)
	n.postTimed(func(now time.Duration) {
		n.noteLongWait(now, typeLinkUp, p.Name)
		n.log.Info("link", "peer", p.Name, "outcome", "up")
		n.peerLinked(now, p.Name, true)
	})
}

// LinkDown implements peer.Handler.
func (h *peerHandler) LinkDown(p peer.Peer) {
	n := (*Node)(h)
	n.postTimed(func(now time.Duration) {
		n.noteLongWait(now, typeLinkDown, p.Name)
		n.log.Info("link", "peer", p.Name, "outcome", "down")
		n.peerLost(now, p.Name)
	})
}

// peerLinked handles a new link, or one that the peer had lost, whose greeting must not be
// answered by another one.
func (n *Node) peerLinked(now time.Duration, name string, greeting bool) {
	n.linked[name], n.roster.linkedAt[name] = true, now
	n.greet(now, name, greeting)
	n.policiesDue = true
}

// peerLost handles the loss of a link.
func (n *Node) peerLost(now time.Duration, name string) {
	n.suspectLinks(now, name)
	delete(n.linked, name)
	delete(n.roster.linkedAt, name)
	delete(n.relaxed, name)
	delete(n.stored.peerStoreReadAt, name)
	delete(n.stored.peerClocks, name)
	delete(n.takesSuspicions, name)
	delete(n.takesHomeNotes, name)
	delete(n.takesLeftJobs, name)
	n.electionsDue = true
	for _, s := range n.shards {
		s.election.RemovePeer(name)
		delete(s.reports, name)
		n.reclaimFromLeader(now, name, s)
		s.pool.CoordinatorLost(now, name)
	}
	n.policiesDue = true
	n.dropRelayed(now, name)
	n.vouching.forget(name)
}

// greeted handles the greeting of a peer. A second one on a link that is up means that the
// peer had lost the link, and with it what it had submitted, while this entry took the new
// connection for a replacement.
func (n *Node) greeted(now time.Duration, from string) {
	if n.vouching.greeted[from] {
		n.log.Info("link", "peer", from, "outcome", "lost by the peer")
		for _, s := range n.shards {
			n.reclaimFromLeader(now, from, s) // with withdrawals, as the peer may have got some of these jobs since
		}
		n.peerLost(now, from)
		n.peerLinked(now, from, false)
	}
	// What came on this link before the first greeting was sent for the one before it.
	for _, s := range n.shards {
		s.pool.CoordinatorLost(now, from)
	}
	n.dropRelayed(now, from)
	n.vouching.greeted[from] = true
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
		err = decodeAndPost(n, m, func(now time.Duration, b endedBody) { n.handleOutcome(now, from.Name, b) })
	case wire.PoolSuspects:
		err = decodeAndPost(n, m, func(_ time.Duration, b suspicionsBody) { n.handleSuspicions(from.Name, b) })
	case wire.PoolHome:
		err = decodeAndPost(n, m, func(now time.Duration, b homeBody) { n.handleHome(now, from.Name, b) })
	case wire.PoolAbandon:
		err = decodeAndPost(n, m, func(now time.Duration, b abandonBody) { n.handleAbandon(now, from.Name, b) })
	case wire.PoolStart:
		err = decodeAndPost(n, m, func(now time.Duration, b startBody) { n.handleStart(now, from.Name, b) })
	case wire.PoolBeat:
		err = decodeAndPost(n, m, func(now time.Duration, b vouchBody) { n.handleRelayedBeat(now, from.Name, b) })
	case wire.PoolVouch:
		err = decodeAndPost(n, m, func(now time.Duration, b vouchBody) { n.handleVouch(now, from.Name, b) })
	case wire.PoolStarted:
		err = decodeAndPost(n, m, func(now time.Duration, b startedBody) { n.handleStarted(now, from.Name, b) })
	case wire.JobQuery:
		err = decodeAndPost(n, m, func(now time.Duration, q jobQueryBody) { n.handleJobQuery(now, from.Name, q) })
	case wire.JobStore:
		err = decodeAndPost(n, m, func(_ time.Duration, b jobStoreBody) { n.handleJobStore(from.Name, b) })
	case wire.JobReply:
		err = decodeAndPost(n, m, func(_ time.Duration, reply jobReplyBody) { n.handleJobReply(reply) })
	case wire.Directory:
		err = decodeAndPost(n, m, func(now time.Duration, b directoryBody) { n.handleDirectory(now, from.Name, b) })
	default:
		n.log.Warn("message from a peer ignored: unexpected type", "peer", from.Name, "type", m.Type.String())
	}
	if err != nil {
		n.counts.invalid.Inc(1)
		n.log.Warn("message from a peer ignored: its body can't be decoded", "peer", from.Name, "type", m.Type.String(), "err", err)
	}
}

// decodeAndPost decodes the body of a message and posts its handling to the loop.
func decodeAndPost[T any](n *Node, m wire.Message, handle func(time.Duration, T)) error {
	var body T
	if err := wire.Decode(m.Body, &body); err != nil {
		return err
	}
	n.postTimed(func(now time.Duration) { handle(now, body) })
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
	// Election describes the sender, and has its claim about the first pool.
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
	// LayoutVersion is the version of the layout that Pools refers to. Pools is empty
	// while the sender does not know the layout.
	LayoutVersion uint64       `cbor:"9,keyasint,omitempty"`
	Pools         []poolReport `cbor:"10,keyasint,omitempty"`
	// SentAt is the time on the clock of the sender's loop. Coordinators repeat it when they
	// vouch for their jobs. It is 0 in heartbeats of earlier releases, which need no vouches.
	SentAt time.Duration `cbor:"11,keyasint,omitempty"`
	// Evacuated is nil while the sender does not know the set, and in heartbeats of earlier releases.
	Evacuated *evacuation.Set `cbor:"12,keyasint,omitempty"`
	// StoredRoom is the memory that the sender has for more stored jobs, if it owns them. It is nil without a
	// bound, and in heartbeats of earlier releases.
	StoredRoom *pool.JobSize `cbor:"13,keyasint,omitempty"`
}

// leadState is the part of a heartbeat whose change is sent at once.
type leadState struct {
	stopping bool
	leads    int
	changes  uint64 // hash of the leaders of all pools, and of which of them have targets
}

// leadState returns the present one.
func (n *Node) leadState() leadState {
	st := leadState{stopping: n.stopping.Load(), leads: n.leads()}
	for _, s := range n.shards {
		c := s.election.Heartbeat().Claim
		var flags uint64
		for i, set := range []bool{c.Leading, c.Yielding, c.Owned > 0} {
			if set {
				flags |= 1 << i
			}
		}
		flags |= uint64(c.Relays) << 3
		st.changes = rendezvous.WeightHashed(st.changes, rendezvous.Hash(c.Leader)+c.Term<<8+flags)
	}
	return st
}

// sendHeartbeat sends a heartbeat to the peers: at intervals, and at once if this entry
// has started or stopped leading a pool, follows another leader, or is stopping.
func (n *Node) sendHeartbeat(now time.Duration) {
	st, interval := n.leadState(), followerHeartbeatInterval
	if st.leads > 0 {
		interval = min(heartbeatInterval+time.Duration(len(n.linked))*heartbeatIntervalPerLink, maxLeaderHeartbeatInterval)
	}
	if st == n.lastState && now < n.lastHeartbeatAt+interval {
		return
	}
	n.lastHeartbeatAt, n.lastState = now, st
	n.dropDisconnected(now, n.cfg.Self.Name) // its own pools get no answers to heartbeats
	wall := n.medianWallClock(now)
	for _, s := range n.shards {
		s.pool.SetWallClock(now, wall)
	}
	m, err := wire.NewMessage(wire.PoolHeartbeat, n.newHeartbeat(now))
	if now >= n.nextSpeedsAt {
		n.nextSpeedsAt = now + speedsInterval
	}
	if err != nil {
		n.log.Error("message to a peer not sent: its body can't be encoded", "type", wire.PoolHeartbeat.String(), "err", err)
		return
	}
	n.peers.Broadcast(m)
}

// newHeartbeat returns the heartbeat to send now.
func (n *Node) newHeartbeat(now time.Duration) heartbeatBody {
	b := heartbeatBody{
		Election:      election.Heartbeat{Entry: n.entryState(now), Claim: n.shards[0].election.Heartbeat().Claim},
		ConfigVersion: n.configVersion(), TargetsAge: n.directory.targetsAge(now),
		HasStored: n.stored.expected, StoreAge: n.storeAge(now), WallMS: time.Now().UnixMilli(), SentAt: max(now, 1),
	}
	n.stored.room.sharedBy(len(n.linked) + 1)
	b.NoStored = n.storedPool().KnowsAllStored() && !n.stored.expected
	b.Evacuated = n.evacuation.state.Set()
	if n.storedPool().OwnsStored() {
		b.Pending, b.StoredRoom = n.storedPool().Pending(), n.memory.Room()
		n.stored.room.told(now, b.StoredRoom)
	}
	if !n.layoutKnown {
		return b
	}
	b.LayoutVersion, b.Pools = n.layout.Version, make([]poolReport, len(n.shards))
	for i, s := range n.shards {
		r := &b.Pools[i]
		r.Claim = s.election.Heartbeat().Claim
		if s.pool.Leading() {
			l := s.pool.Load()
			r.Capacity, r.Spare = l.Capacity.MilliCPU, l.Spare()
			if now >= n.nextSpeedsAt {
				r.Speeds = s.pool.SpeedNotes(now)
			}
		}
	}
	return b
}

// handleHeartbeat handles a peer's heartbeat, and requests the peer's directory if this
// entry's is out of date.
func (n *Node) handleHeartbeat(now time.Duration, from string, b heartbeatBody) {
	if !n.linked[from] {
		return
	}
	if !n.layoutKnown && b.LayoutVersion == 0 && len(b.Pools) > 0 {
		n.layoutKnown = true // the peer uses the default layout, as this entry does
	}
	n.mergeEvacuated(now, b.Evacuated, from)
	if n.observe(now, from, &b) {
		n.electionsDue = true
	}
	n.dialNamedLeaders(now, &b)
	n.noteBeat(now, from, &b)
	n.stored.peerStoreReadAt[from] = now - b.StoreAge
	n.stored.peerClocks[from] = b.WallMS - now.Milliseconds()
	if b.NoStored {
		n.stored.foundNone()
	}
	if b.HasStored && !n.stored.expected {
		n.stored.foundJobs()
		n.storedPool().ExpectStored()
	}
	if from == n.storedLeader() {
		n.stored.pending, n.stored.pendingAt = b.Pending, now
		if b.Pending != nil {
			n.stored.room.told(now, b.StoredRoom)
		}
	}
	if want, ok := n.directory.requestFrom(now, from, b, n.configVersion(), n.layout.Version); ok {
		want.SentAt = now
		n.send(from, wire.Directory, directoryBody{Self: n.cfg.Self, Request: &want})
	}
}

// greet tells a new peer what it needs to know of this entry at once.
func (n *Node) greet(now time.Duration, to string, greeting bool) {
	hello := directoryBody{Self: n.cfg.Self, Greeting: greeting, Rooms: n.rooms.Known(), RoomsKnownFor: n.rooms.KnownFor(now), TakesHomeNotes: true, TakesLeftJobs: true}
	if n.layoutKnown {
		l := n.layout
		hello.Layout = &l
	}
	n.send(to, wire.Directory, hello)
	n.send(to, wire.PoolHeartbeat, n.newHeartbeat(now)) // after the layout that it refers to
}

// observe passes a peer's claims to the elections, if the peer uses the same layout, and
// reports whether any has changed. A peer that does not know the layout claims nothing.
func (n *Node) observe(now time.Duration, from string, b *heartbeatBody) bool {
	if !n.layoutKnown || b.LayoutVersion != n.layout.Version {
		return false
	}
	changed := false
	for i, s := range n.shards {
		hb := b.Election
		if i < len(b.Pools) {
			hb.Claim = b.Pools[i].Claim
			before := s.reports[from].Claim
			n.suspectLost(now, s, &before, &hb.Claim)
			if hb.Leading {
				s.pool.LearnSpeeds(now, b.Pools[i].Speeds)
			}
			b.Pools[i].Speeds = nil
			s.reports[from] = b.Pools[i]
		} else if i > 0 {
			hb.Claim = election.Claim{}
		}
		changed = s.election.Observe(from, hb) || changed
	}
	return changed
}
