package engine

import (
	"math"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/placement"
	"currantstall/internal/wire"
)

const (
	// The interval between load reports while nothing changes grows with the
	// number of links, so that the cost of an entry grows more slowly than
	// that number. It stays below the age at which package placement ignores
	// a load report.
	minLoadInterval     = 250 * time.Millisecond
	maxLoadInterval     = 750 * time.Millisecond
	loadIntervalPerLink = 40 * time.Millisecond
	// firstReportDelay is how long after the first targets of peers became known
	// the peers' load reports may not show them yet: a peer reads the VM list up
	// to a second later, and then reports its room.
	firstReportDelay = 2 * time.Second
	// defaultOneWayDelay is used for a peer whose round-trip time is unknown.
	defaultOneWayDelay = 10 * time.Millisecond
)

// peerLoad is the last load report of another entry.
type peerLoad struct {
	dc         string
	member     bool // in the view of its data centre, and not stopping
	receivedAt time.Time
	kinds      map[string]*peerKindLoad
}

// peerKindLoad is the load of one kind at a peer.
type peerKindLoad struct {
	kindLoad
	sent int // tasks offloaded to the peer since the report whose results are not back
}

// sentLoad is the last load report that was sent to the peers.
type sentLoad struct {
	sentAt time.Time
	member bool
	kinds  []kindLoad
}

// receiveLoad stores the load report of a peer and offloads tasks that the peer
// has room for.
func (s *scheduler) receiveLoad(from string, l *loadReport) {
	dc, ok := s.e.Links.DCOf(from)
	if !ok {
		return
	}
	p := &peerLoad{dc: dc, member: l.Member, receivedAt: time.Now(), kinds: make(map[string]*peerKindLoad, len(l.Kinds))}
	for _, k := range l.Kinds {
		p.kinds[k.Kind] = &peerKindLoad{kindLoad: k}
	}
	s.mu.Lock()
	s.peerLoads[from] = p
	s.setPeerCapacity(p.receivedAt)
	s.mu.Unlock()
	s.schedule()
}

// takeOffloads removes queued tasks that peers can start sooner, and returns
// them by peer. The caller holds the lock.
func (s *scheduler) takeOffloads(now time.Time) []offloadBatch {
	queued, _ := s.queue.Len()
	if queued == 0 || len(s.peerLoads) == 0 || s.e.Policy != admission.Shares {
		return nil
	}
	stats := s.queue.Stats()
	byPeer := make(map[string]*offloadBatch)
	for i := range stats.Kinds {
		s.offloadKind(now, &stats.Kinds[i], byPeer)
	}
	batches := make([]offloadBatch, 0, len(byPeer))
	for _, b := range byPeer {
		batches = append(batches, *b)
	}
	return batches
}

// offloadKind removes queued tasks of one kind and adds them to the batches of
// peers.
func (s *scheduler) offloadKind(now time.Time, k *admission.KindStats, byPeer map[string]*offloadBatch) {
	if k.Queued == 0 {
		return
	}
	local := placement.LocalLoad{DC: s.e.DC, Queued: k.Queued, Wait: k.Wait}
	for _, b := range placement.PlanOffload(local, s.placementLoads(now, k.Kind)) {
		units := s.queue.TakeForOffload(b.N, func(a admission.Unit) bool { return a.Kind == k.Kind })
		if len(units) == 0 {
			return
		}
		s.peerLoads[b.Member].kinds[k.Kind].sent += len(units)
		to := byPeer[b.Member]
		if to == nil {
			to = &offloadBatch{to: b.Member}
			byPeer[b.Member] = to
		}
		for _, a := range units {
			t := s.markOffloaded(a.ID, b.Member)
			t.countedIn = s.peerLoads[b.Member].kinds[k.Kind]
			to.tasks = append(to.tasks, t)
		}
	}
}

// noLongerAtPeer ends the count of an offloaded task in the load report of its peer. The
// caller holds the lock.
func (s *scheduler) noLongerAtPeer(t *task) {
	if t.countedIn != nil {
		t.countedIn.sent--
		t.countedIn = nil
		s.setPeerCapacity(time.Now())
	}
}

// markOffloaded moves a task from the local tasks to the offloaded ones.
func (s *scheduler) markOffloaded(id uint64, to string) *task {
	t := s.tasks[id]
	delete(s.tasks, id)
	t.to = to
	s.offloaded[id] = t
	return t
}

// placementLoads returns the peers' loads for one kind as input for package
// placement.
func (s *scheduler) placementLoads(now time.Time, kind string) []placement.PeerLoad {
	loads := make([]placement.PeerLoad, 0, len(s.peerLoads))
	for name, p := range s.peerLoads {
		k := p.kinds[kind]
		if k == nil {
			continue
		}
		free, queued := k.Free, k.Queued
		if s.pool.index.Len() == 0 {
			// This entry has no target, so waiting for the next guaranteed slots
			// of a peer is the best option, behind the tasks that wait there.
			free, queued = max(free, k.GuaranteedRoom), 0
		}
		loads = append(loads, placement.PeerLoad{
			Member: name,
			DC:     p.dc,
			Free:   free,
			Queued: queued,
			Wait:   k.Wait,
			OneWay: s.oneWayDelay(name),
			Age:    now.Sub(p.receivedAt),
			Sent:   k.sent,
		})
	}
	return loads
}

// guaranteedRoom returns how many more tasks of a kind can wait here for the
// guaranteed slots of the kind, at most for about one run time. The load report
// also holds the estimated wait, from which a peer sees whether that meets a
// deadline.
func guaranteedRoom(k *admission.KindStats) int {
	return max(0, 2*int(math.Ceil(k.Guaranteed))-k.Running-k.Queued)
}

// oneWayDelay returns half the round-trip time to a peer.
func (s *scheduler) oneWayDelay(name string) time.Duration {
	rtt, ok := s.e.Links.RTT(name)
	if !ok {
		return defaultOneWayDelay
	}
	return rtt / 2
}

// setPeerCapacity sets in the queue how many tasks of each kind the peers could
// start. Before the first load reports that show their targets, an entry without
// targets counts one task for each. The caller holds the lock.
func (s *scheduler) setPeerCapacity(now time.Time) {
	noTarget := s.pool.index.Len() == 0
	for _, name := range s.queue.Kinds() {
		units, wait := placement.PeerCapacity(s.placementLoads(now, name), noTarget)
		if units == 0 && noTarget && now.Sub(s.peerTargetsSince) < firstReportDelay {
			units = s.peerTargets
		}
		s.queue.SetPeerCapacity(name, units, wait)
	}
}

// broadcastLoad sends this entry's load reports to its peers, for the classes
// whose report changed or is due. They share a frame. It must not be called
// concurrently.
func (e *Engine) broadcastLoad(now time.Time) {
	interval := min(max(time.Duration(e.loadReceivers)*loadIntervalPerLink, minLoadInterval), maxLoadInterval)
	var msgs []wire.Message
	for _, s := range []*scheduler{e.requests, e.jobs} {
		l, due := s.nextLoadReport(now, interval)
		if !due {
			continue
		}
		m, err := wire.NewMessage(wire.Load, l)
		if err != nil {
			e.Log.Error("load report not sent to peers: encoding failed", "err", err)
			continue
		}
		msgs = append(msgs, m)
	}
	if len(msgs) > 0 {
		e.loadReceivers = e.Links.Broadcast(msgs...)
	}
}

// nextLoadReport returns the load of the class, and whether it is due to be
// sent: it changed significantly, or the last report is older than interval.
func (s *scheduler) nextLoadReport(now time.Time, interval time.Duration) (l loadReport, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.queue.Stats()
	l = loadReport{Class: s.class, Kinds: make([]kindLoad, len(stats.Kinds))}
	for i := range stats.Kinds {
		k := &stats.Kinds[i]
		l.Kinds[i] = kindLoad{Kind: k.Kind, Free: k.Free, Queued: k.Queued, Wait: k.Wait, GuaranteedRoom: guaranteedRoom(k)}
	}
	if s.e.inFlight.isDraining() {
		l.Kinds = nil // a stopping entry has no room
	}
	l.Member = s.e.Member() && !s.e.inFlight.isDraining()
	changed := l.Member != s.lastSent.member || significantChange(s.lastSent.kinds, l.Kinds)
	if now.Sub(s.lastSent.sentAt) < interval && !changed {
		return l, false
	}
	s.lastSent = sentLoad{sentAt: now, member: l.Member, kinds: l.Kinds}
	return l, true
}

// MemberLinked reports whether a linked entry of this data centre reports
// itself as a member, so that this entry can forward work to it.
func (e *Engine) MemberLinked() bool {
	s := e.requests
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peerLoads {
		if p.member && p.dc == e.DC {
			return true
		}
	}
	return false
}

// significantChange reports whether a change of load could change a decision of
// a peer: the kinds differ, a count of a kind changed from or to zero, or its
// free room changed by more than a quarter.
func significantChange(old, now []kindLoad) bool {
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		a, b := &old[i], &now[i]
		if a.Kind != b.Kind || (a.Free == 0) != (b.Free == 0) || (a.Queued == 0) != (b.Queued == 0) || (a.GuaranteedRoom == 0) != (b.GuaranteedRoom == 0) {
			return true
		}
		if diff := a.Free - b.Free; diff*4 > a.Free || -diff*4 > a.Free {
			return true
		}
	}
	return false
}
