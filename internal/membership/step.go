package membership

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/structs"
)

// Step applies an event and returns the actions, which the caller carries out
// in order.
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

// resetSilenceAfterPause restarts the failure timeout of all peers after a
// process pause, in which no heartbeat could be received. A gap of more than
// half the timeout between two steps counts as a pause.
func (s *State) resetSilenceAfterPause(now time.Time) {
	if !s.lastStep.IsZero() && now.Sub(s.lastStep) > s.cfg.FailureTimeout/2 {
		for _, p := range s.sortedPeers {
			p.lastHeard = now
		}
	}
	s.lastStep = now
}

// leftGracefully reports whether this member left the view with its claims
// handed over.
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

// peerSeen records the newest incarnation of an entry and returns its state, or
// nil for this entry and for outdated incarnations. A new incarnation at the
// same address proves that the earlier one has ended.
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
	s.markDeadIncarnations(m)
	return p
}

// markDeadIncarnations marks the earlier incarnations of m at the same address
// that the view or its removals contain.
func (s *State) markDeadIncarnations(m structs.Member) {
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
		sentAt := s.startedAt.Add(time.Duration(b.EchoToken - 1))
		if end := sentAt.Add(s.cfg.Lease); b.EchoToken > 0 && !sentAt.After(now) && !sentAt.Before(s.leasesNotBefore) && end.After(p.promiseEnd) {
			p.promiseEnd = end
		}
	}
	if b.InForceVersion > s.inForce.Version && b.InForceVersion == s.view.Version && s.view.Has(s.self) {
		s.markInForce()
	}
}

// learnView takes over a view that is or was in the row, if it is newer than
// the known one.
func (s *State) learnView(now time.Time, v structs.View) {
	if v.Version <= s.view.Version {
		return
	}
	wasMember := s.view.Has(s.self)
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
		s.markDeadIncarnations(p.member)
	}
	s.pruneIncarnations()
	s.horizonMS = max(s.horizonMS, v.HorizonMS)
	if wasMember && removed && mayLoseClaims(&v) {
		// The put may have taken effect late, so the wait counts from now.
		s.horizonMS = max(s.horizonMS, now.Add(s.removalWait(&v)+s.cfg.MaxClockSkew).UnixMilli())
	}
	if !v.Has(s.self) {
		if wasMember {
			s.endMembership()
		}
		return
	}
	s.emit(ViewLearned{View: v, HorizonMS: s.horizonMS})
	s.sendHeartbeats(now, true)
}

// pruneIncarnations deletes the state of incarnations that the newest view no
// longer contains.
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
		// This incarnation may have become a member and been removed again, so
		// it must not join again.
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
	// If the result is unknown, only a read shows the row's content. Until
	// then, promises are given as if the put had taken effect.
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

// advanceView makes this member ready for its view once it may act on all
// removals and the claims are handed over, and marks the view as in force once
// all members are ready.
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

// pollRow reads the row when due: at the slow interval while that is enough,
// otherwise at the fast one.
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

// onlySlowPollDue reports whether polling at the slow interval is enough: the
// view is in force, no put is pending or uncertain, the promise lease does not
// end soon and no change is wanted.
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

// sendHeartbeats sends a heartbeat to every known entry of the data centre when
// due, or at once with force.
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
