package engine

import (
	"math"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/placement"
	"currantstall/internal/wire"
)

const (
	// The interval of load messages while nothing changes grows with the
	// number of links, so that an entry's cost does not grow as fast as that.
	// It stays below the age at which a load says nothing any more.
	minTellEvery  = 250 * time.Millisecond
	maxTellEvery  = 750 * time.Millisecond
	tellEveryLink = 40 * time.Millisecond
	// maxTrip stands for the way to a peer whose round trip is not known.
	maxTrip = 10 * time.Millisecond
)

// peerState is what is known of another entry's load.
type peerState struct {
	dc     string
	member bool // of its data centre's view
	at     time.Time
	kinds  map[string]*peerKind
}

// peerKind is the load of one kind at a peer.
type peerKind struct {
	kindLoad
	sent int // units sent there since
}

// toldLoad is what the peers were told last.
type toldLoad struct {
	at     time.Time
	member bool
	kinds  []kindLoad
}

// receiveLoad notes a peer's load and hands over what it has room for.
func (s *scheduler) receiveLoad(from string, l *load) {
	dc, ok := s.e.Links.DCOf(from)
	if !ok {
		return
	}
	p := &peerState{dc: dc, member: l.Member, at: time.Now(), kinds: make(map[string]*peerKind, len(l.Kinds))}
	for _, k := range l.Kinds {
		p.kinds[k.Kind] = &peerKind{kindLoad: k}
	}
	s.mu.Lock()
	s.peers[from] = p
	s.setPeerRoom(p.at)
	s.mu.Unlock()
	s.kick()
}

// takeHandoffs takes queued units that peers can start sooner. The caller
// holds the lock.
func (s *scheduler) takeHandoffs(now time.Time) []batch {
	queued, _ := s.queue.Len()
	if queued == 0 || len(s.peers) == 0 || s.e.Policy != admission.Shares {
		return nil
	}
	stats := s.queue.Stats()
	byPeer := make(map[string]*batch)
	for i := range stats.Kinds {
		s.handKind(now, &stats.Kinds[i], byPeer)
	}
	batches := make([]batch, 0, len(byPeer))
	for _, b := range byPeer {
		batches = append(batches, *b)
	}
	return batches
}

// handKind takes units of one kind for peers.
func (s *scheduler) handKind(now time.Time, k *admission.KindStats, byPeer map[string]*batch) {
	if k.Queued == 0 {
		return
	}
	local := placement.Local{DC: s.e.DC, Queued: k.Queued, Wait: k.Wait}
	for _, b := range placement.Handoff(local, s.peerLoads(now, k.Kind)) {
		shed := s.queue.Shed(b.N, func(a admission.Unit) bool { return a.Kind == k.Kind })
		if len(shed) == 0 {
			return
		}
		s.peers[b.Member].kinds[k.Kind].sent += len(shed)
		to := byPeer[b.Member]
		if to == nil {
			to = &batch{to: b.Member}
			byPeer[b.Member] = to
		}
		for _, a := range shed {
			to.units = append(to.units, s.handOver(a.ID, b.Member))
		}
	}
}

// handOver moves a unit to those at peers.
func (s *scheduler) handOver(id uint64, to string) *unit {
	u := s.units[id]
	delete(s.units, id)
	u.to = to
	s.handed[id] = u
	return u
}

// peerLoads returns the peers' loads for one kind.
func (s *scheduler) peerLoads(now time.Time, kind string) []placement.PeerLoad {
	loads := make([]placement.PeerLoad, 0, len(s.peers))
	for name, p := range s.peers {
		k := p.kinds[kind]
		if k == nil {
			continue
		}
		free, queued := k.Free, k.Queued
		if s.pool.index.Len() == 0 && k.Guarded > free {
			// Without a target here, a peer's next slots are the best there is.
			free, queued = k.Guarded, 0
		}
		loads = append(loads, placement.PeerLoad{
			Member: name,
			DC:     p.dc,
			Free:   free,
			Queued: queued,
			Wait:   k.Wait,
			Trip:   s.trip(name),
			Age:    now.Sub(p.at),
			Sent:   k.sent,
		})
	}
	return loads
}

// guarded returns how many more tasks of a kind could wait here for slots of its
// guarantee, for at most about one run time. The wait that is told with it says
// whether that meets a deadline.
func guarded(k *admission.KindStats) int {
	return max(0, 2*int(math.Ceil(k.Guaranteed))-k.Running-k.Queued)
}

// trip returns half the round trip to a peer.
func (s *scheduler) trip(name string) time.Duration {
	rtt, ok := s.e.Links.RTT(name)
	if !ok {
		return maxTrip
	}
	return rtt / 2
}

// setPeerRoom tells the queue what peers could start. The caller holds the
// lock.
func (s *scheduler) setPeerRoom(now time.Time) {
	for _, name := range s.queue.Kinds() {
		room, wait := placement.PeerRoom(s.peerLoads(now, name))
		s.queue.SetPeers(name, room, wait)
	}
}

// tell sends this entry's load to the others, as far as it changed or is old.
// The classes share a frame. Calls come one at a time.
func (e *Engine) tell(now time.Time) {
	every := min(max(time.Duration(e.links)*tellEveryLink, minTellEvery), maxTellEvery)
	var msgs []wire.Message
	for _, s := range []*scheduler{e.requests, e.jobs} {
		l, due := s.news(now, every)
		if !due {
			continue
		}
		m, err := wire.NewMessage(wire.Load, l)
		if err != nil {
			e.Log.Error("load not encoded", "error", err)
			continue
		}
		msgs = append(msgs, m)
	}
	if len(msgs) > 0 {
		e.links = e.Links.Broadcast(msgs...)
	}
}

// news returns the load of the class, and whether the others should be told: it
// changed, or the last one is older than every.
func (s *scheduler) news(now time.Time, every time.Duration) (l load, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.queue.Stats()
	l = load{Class: s.class, Kinds: make([]kindLoad, len(stats.Kinds))}
	for i := range stats.Kinds {
		k := &stats.Kinds[i]
		l.Kinds[i] = kindLoad{Kind: k.Kind, Free: k.Free, Queued: k.Queued, Wait: k.Wait, Guarded: guarded(k)}
	}
	if s.e.flights.draining() {
		l.Kinds = nil // no room any more
	}
	l.Member = s.e.Member() && !s.e.flights.draining()
	changed := l.Member != s.told.member || matters(s.told.kinds, l.Kinds)
	if now.Sub(s.told.at) < every && !changed {
		return l, false
	}
	s.told = toldLoad{at: now, member: l.Member, kinds: l.Kinds}
	return l, true
}

// MemberLinked reports whether a linked entry of this data centre says that it
// is a member, to which this one can pass work on.
func (e *Engine) MemberLinked() bool {
	s := e.requests
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		if p.member && p.dc == e.DC {
			return true
		}
	}
	return false
}

// matters reports whether a change of load could change what a peer does: a
// kind ran out of room, got some, or its room changed by a quarter.
func matters(old, now []kindLoad) bool {
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		a, b := &old[i], &now[i]
		if a.Kind != b.Kind || (a.Free == 0) != (b.Free == 0) || (a.Queued == 0) != (b.Queued == 0) || (a.Guarded == 0) != (b.Guarded == 0) {
			return true
		}
		if diff := a.Free - b.Free; diff*4 > a.Free || -diff*4 > a.Free {
			return true
		}
	}
	return false
}
