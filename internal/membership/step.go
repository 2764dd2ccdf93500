package membership

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/structs"
)

// Step applies an event and returns what to do. The caller carries out the
// actions in their order.
func (s *State) Step(now time.Time, e Event) []Action {
	s.actions = nil
	s.resetSilenceAfterPause(now)
	switch e := e.(type) {
	case PeerSeen:
		s.peerSeen(now, e.Member)
	case Received:
		s.heartbeatReceived(now, e.From, &e.Heartbeat)
	case RowRead:
		s.rowRead(now, e)
	case RowPut:
		s.rowPut(now, e)
	case HandedOver:
		s.handedOverVersion = max(s.handedOverVersion, e.Version)
	case Leave:
		s.leaving = true
		s.leaveVersion = e.Version
		s.nextRead = now
	case Quit:
		s.leaving = true
		s.endMembership()
	}
	s.advanceView(now)
	s.pollRow(now)
	s.sendHeartbeats(now, false)
	return s.actions
}

// resetSilenceAfterPause forgives the peers' silence after a pause of this process.
func (s *State) resetSilenceAfterPause(now time.Time) {
	if !s.lastStep.IsZero() && now.Sub(s.lastStep) > s.cfg.FailureTimeout/2 {
		for _, p := range s.sortedPeers {
			p.lastHeard = now
		}
	}
	s.lastStep = now
}

// leftGracefully reports whether this member left by itself, its claims handed over.
func (s *State) leftGracefully() bool {
	if !s.ended || !s.leaving {
		return false
	}
	if s.view.Has(s.self) {
		return s.leaveVersion == s.view.Version
	}
	i := slices.IndexFunc(s.view.Removed, func(r structs.Removal) bool { return r.Member.Same(s.self) })
	return i >= 0 && s.view.Removed[i].Left
}

func (s *State) endMembership() {
	if s.ended {
		return
	}
	s.ended = true
	s.emit(MembershipEnded{Left: s.leftGracefully()})
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// peerSeen notes the newest run of an entry. A new run that answers at the same
// address proves that the earlier one is over.
func (s *State) peerSeen(now time.Time, m structs.Member) *peer {
	if m.Name == s.self.Name {
		return nil
	}
	p := s.peers[m.Name]
	if p != nil && p.member.Incarnation > m.Incarnation {
		return nil
	}
	if p != nil && p.member.Same(m) {
		return p
	}
	p = &peer{member: m, lastHeard: now}
	s.peers[m.Name] = p
	i, found := slices.BinarySearchFunc(s.sortedPeers, m.Name, func(p *peer, name string) int {
		return strings.Compare(p.member.Name, name)
	})
	if found {
		s.sortedPeers[i] = p
	} else {
		s.sortedPeers = slices.Insert(s.sortedPeers, i, p)
	}
	s.markDeadRuns(m)
	return p
}

// markDeadRuns marks the earlier runs of m that the view or its removals name.
func (s *State) markDeadRuns(m structs.Member) {
	older := func(o structs.Member) bool {
		return o.Name == m.Name && o.Incarnation < m.Incarnation && o.Addr == m.Addr
	}
	for _, o := range s.view.Members {
		if older(o) {
			s.dead[incarnationOf(o)] = true
		}
	}
	for _, r := range s.view.Removed {
		if older(r.Member) {
			s.dead[incarnationOf(r.Member)] = true
		}
	}
}

func (s *State) heartbeatReceived(now time.Time, from structs.Member, b *Heartbeat) {
	p := s.peerSeen(now, from)
	if p == nil {
		return
	}
	p.lastHeard = now
	p.heartbeatSeen = true
	p.token = max(p.token, b.Token)
	p.knownVersion = max(p.knownVersion, b.KnownVersion)
	p.readyVersion = max(p.readyVersion, b.ReadyVersion)
	s.horizonMS = max(s.horizonMS, b.HorizonMS)
	if b.View != nil {
		s.learnView(now, *b.View)
	}
	if b.Left && b.KnownVersion <= s.view.Version {
		p.left = true
	}
	if b.Promise {
		asked := s.startedAt.Add(time.Duration(b.EchoToken - 1))
		if end := asked.Add(s.cfg.Lease); b.EchoToken > 0 && !asked.After(now) && !asked.Before(s.leasesNotBefore) && end.After(p.promiseEnd) {
			p.promiseEnd = end
		}
	}
	if b.InForceVersion > s.inForce.Version && b.InForceVersion == s.view.Version && s.view.Has(s.self) {
		s.markInForce()
	}
}

// learnView adopts a view that stands or stood in the row.
func (s *State) learnView(now time.Time, v structs.View) {
	if v.Version <= s.view.Version {
		return
	}
	was := s.view.Has(s.self)
	s.view = v
	s.learnedAt = now
	removed := false
	for _, r := range v.Removed {
		if _, ok := s.removedAt[incarnationOf(r.Member)]; !ok {
			s.removedAt[incarnationOf(r.Member)] = now
			removed = true
		}
	}
	for _, p := range s.sortedPeers {
		s.markDeadRuns(p.member)
	}
	s.pruneIncarnations()
	s.horizonMS = max(s.horizonMS, v.HorizonMS)
	if was && removed && mayLoseClaims(&v) {
		// The put may have taken effect late, so count again from here.
		s.horizonMS = max(s.horizonMS, now.Add(s.removalWait(&v)+s.cfg.MaxClockSkew).UnixMilli())
	}
	if !v.Has(s.self) {
		if was {
			s.endMembership()
		}
		return
	}
	s.emit(ViewLearned{View: v, HorizonMS: s.horizonMS})
	s.sendHeartbeats(now, true)
}

// pruneIncarnations drops what is known of runs that no view names any more.
func (s *State) pruneIncarnations() {
	named := make(map[incarnationID]bool)
	for _, m := range s.view.Members {
		named[incarnationOf(m)] = true
	}
	for _, r := range s.view.Removed {
		named[incarnationOf(r.Member)] = true
	}
	for id := range s.removedAt {
		if !named[id] {
			delete(s.removedAt, id)
		}
	}
	for id := range s.dead {
		if !named[id] {
			delete(s.dead, id)
		}
	}
}

func (s *State) rowRead(now time.Time, e RowRead) {
	s.tableBusy = false
	if !e.OK {
		return
	}
	s.proposed = nil
	if e.RowVersion > s.rowVersion {
		s.rowVersion = e.RowVersion
		s.rowVersionSince = now
	}
	if e.RowVersion > 0 {
		s.learnView(now, e.View)
	}
	if s.joinUncertain && !s.view.Has(s.self) {
		// This run may have been a member and removed again, so it must not
		// enter once more.
		s.endMembership()
	}
	s.joinUncertain = false
	if s.ended {
		return
	}
	challenged := e.View.Challenger != nil && !e.View.Challenger.Same(s.self)
	if e.View.Has(s.self) && s.view.Has(s.self) && !challenged && !e.StartedAt.Before(s.leasesNotBefore) {
		if end := e.StartedAt.Add(s.cfg.Lease); end.After(s.tableLeaseEnd) {
			s.tableLeaseEnd = end
		}
		s.lastRead = e.StartedAt
	}
	c := s.wantedChange(now, &e.View)
	if c.empty() || e.View.Version < s.view.Version {
		return
	}
	v := s.nextView(now, e.View, c)
	if v == nil {
		return
	}
	if c.yield && !s.yielding {
		s.yielding = true
		s.DropLeases(now)
	}
	s.proposed = v
	s.tableBusy = true
	s.emit(PutRow{RowVersion: e.RowVersion, View: *v})
}

func (s *State) rowPut(now time.Time, e RowPut) {
	s.tableBusy = false
	// Without a clear answer only a read tells what stands in the row;
	// until then the promises stay as if the put had taken effect.
	s.nextRead = now
	if e.Result == PutUnknown {
		s.fastPollUntil = now.Add(s.cfg.LatePutWindow)
		s.joinUncertain = s.joinUncertain || !s.view.Has(s.self)
	}
	if e.Result == PutNotApplied {
		s.proposed = nil
		s.yielding = s.yielding && now.Before(s.fastPollUntil)
		s.nextRead = now.Add(s.cfg.HeartbeatInterval)
	}
	if e.Result == PutApplied && s.proposed != nil {
		v := *s.proposed
		s.proposed = nil
		s.learnView(now, v)
	}
}

// advanceView makes this member ready for its view and the view come in force.
func (s *State) advanceView(now time.Time) {
	v := &s.view
	if s.ended || v.Version == s.inForce.Version || !v.Has(s.self) {
		return
	}
	if s.readyVersion < v.Version && s.handedOverVersion >= v.Version && s.removalWaitsOver(now) {
		s.readyVersion = v.Version
		s.sendHeartbeats(now, true)
	}
	if s.readyVersion != v.Version {
		return
	}
	for _, m := range v.Members {
		if m.Same(s.self) {
			continue
		}
		p := s.peers[m.Name]
		if p == nil || !p.member.Same(m) || p.readyVersion != v.Version {
			return
		}
	}
	s.markInForce()
}

func (s *State) markInForce() {
	s.inForce = s.view
	s.emit(ViewInForce{Version: s.view.Version, HorizonMS: s.horizonMS})
}

// pollRow reads the row when due: seldom while the promises carry the lease.
func (s *State) pollRow(now time.Time) {
	if s.tableBusy || s.ended || now.Before(s.nextRead) {
		return
	}
	if now.Before(s.lastRead.Add(s.cfg.SlowPollInterval)) && s.onlySlowPollDue(now) {
		return
	}
	s.tableBusy = true
	s.nextRead = now.Add(s.cfg.FastPollInterval)
	s.emit(ReadRow{})
}

// onlySlowPollDue reports whether nothing but a slow poll is due.
func (s *State) onlySlowPollDue(now time.Time) bool {
	if s.inForce.Version != s.view.Version || s.proposed != nil || now.Before(s.fastPollUntil) {
		return false
	}
	if !s.promiseLeaseEnd().After(now.Add(s.cfg.Lease / 3)) {
		return false
	}
	c := s.wantedChange(now, &s.view)
	return c.empty()
}

// sendHeartbeats sends a heartbeat to every entry of the data centre.
func (s *State) sendHeartbeats(now time.Time, force bool) {
	if !force && now.Before(s.nextHeartbeat) {
		return
	}
	s.nextHeartbeat = now.Add(s.cfg.HeartbeatInterval)
	for _, p := range s.sortedPeers {
		b := Heartbeat{
			Token:          uint64(now.Sub(s.startedAt)) + 1,
			EchoToken:      p.token,
			Promise:        s.mayPromise(p.member),
			KnownVersion:   s.view.Version,
			ReadyVersion:   s.readyVersion,
			InForceVersion: s.inForce.Version,
			Left:           s.leftGracefully(),
		}
		if s.horizonMS > s.view.HorizonMS {
			b.HorizonMS = s.horizonMS
		}
		if p.knownVersion < s.view.Version {
			v := s.view
			b.View = &v
		}
		s.emit(Send{To: p.member, Heartbeat: b})
	}
}
