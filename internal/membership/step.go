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
	s.resume(now)
	switch e := e.(type) {
	case PeerSeen:
		s.seen(now, e.Member)
	case Received:
		s.received(now, e.From, &e.Beat)
	case RowRead:
		s.rowRead(now, e)
	case RowPut:
		s.rowPut(now, e)
	case HandedOver:
		s.handed = max(s.handed, e.Version)
	case Leave:
		s.leaving = true
		s.vacated = e.Version
		s.nextRead = now
	case Quit:
		s.leaving = true
		s.leave()
	}
	s.advance(now)
	s.poll(now)
	s.beat(now, false)
	return s.actions
}

// resume forgives the peers' silence after a pause of this process.
func (s *State) resume(now time.Time) {
	if !s.lastStep.IsZero() && now.Sub(s.lastStep) > s.cfg.FailAfter/2 {
		for _, p := range s.order {
			p.heard = now
		}
	}
	s.lastStep = now
}

// vacant reports whether this member left by itself, its claims handed over.
func (s *State) vacant() bool {
	if !s.out || !s.leaving {
		return false
	}
	if s.view.Has(s.self) {
		return s.vacated == s.view.Version
	}
	i := slices.IndexFunc(s.view.Removed, func(r structs.Removal) bool { return r.Member.Same(s.self) })
	return i >= 0 && s.view.Removed[i].Left
}

func (s *State) leave() {
	if s.out {
		return
	}
	s.out = true
	s.act(Out{Left: s.vacant()})
}

func (s *State) act(a Action) { s.actions = append(s.actions, a) }

// seen notes the newest run of an entry. A new run that answers at the same
// address proves that the earlier one is over.
func (s *State) seen(now time.Time, m structs.Member) *peer {
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
	p = &peer{member: m, heard: now}
	s.peers[m.Name] = p
	i, found := slices.BinarySearchFunc(s.order, m.Name, func(p *peer, name string) int {
		return strings.Compare(p.member.Name, name)
	})
	if found {
		s.order[i] = p
	} else {
		s.order = slices.Insert(s.order, i, p)
	}
	s.noteDead(m)
	return p
}

// noteDead marks the earlier runs of m that the view or its removals name.
func (s *State) noteDead(m structs.Member) {
	older := func(o structs.Member) bool {
		return o.Name == m.Name && o.Incarnation < m.Incarnation && o.Addr == m.Addr
	}
	for _, o := range s.view.Members {
		if older(o) {
			s.dead[runOf(o)] = true
		}
	}
	for _, r := range s.view.Removed {
		if older(r.Member) {
			s.dead[runOf(r.Member)] = true
		}
	}
}

func (s *State) received(now time.Time, from structs.Member, b *Beat) {
	p := s.seen(now, from)
	if p == nil {
		return
	}
	p.heard = now
	p.beaten = true
	p.ask = max(p.ask, b.Ask)
	p.known = max(p.known, b.Known)
	p.ready = max(p.ready, b.Ready)
	s.horizon = max(s.horizon, b.HorizonMS)
	if b.View != nil {
		s.learn(now, *b.View)
	}
	if b.Left && b.Known <= s.view.Version {
		p.left = true
	}
	if b.Promise {
		asked := s.start.Add(time.Duration(b.Answer - 1))
		if end := asked.Add(s.cfg.Lease); b.Answer > 0 && !asked.After(now) && !asked.Before(s.leasesFrom) && end.After(p.promised) {
			p.promised = end
		}
	}
	if b.InForce > s.inForce.Version && b.InForce == s.view.Version && s.view.Has(s.self) {
		s.enforce()
	}
}

// learn adopts a view that stands or stood in the row.
func (s *State) learn(now time.Time, v structs.View) {
	if v.Version <= s.view.Version {
		return
	}
	was := s.view.Has(s.self)
	s.view = v
	s.learned = now
	removed := false
	for _, r := range v.Removed {
		if _, ok := s.removed[runOf(r.Member)]; !ok {
			s.removed[runOf(r.Member)] = now
			removed = true
		}
	}
	for _, p := range s.order {
		s.noteDead(p.member)
	}
	s.forget()
	s.horizon = max(s.horizon, v.HorizonMS)
	if was && removed && mayLoseClaims(&v) {
		// The put may have taken effect late, so count again from here.
		s.horizon = max(s.horizon, now.Add(s.removalWait(&v)+s.cfg.Skew).UnixMilli())
	}
	if !v.Has(s.self) {
		if was {
			s.leave()
		}
		return
	}
	s.act(Learned{View: v, HorizonMS: s.horizon})
	s.beat(now, true)
}

// forget drops what is known of runs that no view names any more.
func (s *State) forget() {
	named := make(map[run]bool)
	for _, m := range s.view.Members {
		named[runOf(m)] = true
	}
	for _, r := range s.view.Removed {
		named[runOf(r.Member)] = true
	}
	for id := range s.removed {
		if !named[id] {
			delete(s.removed, id)
		}
	}
	for id := range s.dead {
		if !named[id] {
			delete(s.dead, id)
		}
	}
}

func (s *State) rowRead(now time.Time, e RowRead) {
	s.busy = false
	if !e.OK {
		return
	}
	s.proposed = nil
	if e.RowVersion > s.row {
		s.row = e.RowVersion
		s.rowSince = now
	}
	if e.RowVersion > 0 {
		s.learn(now, e.View)
	}
	if s.entering && !s.view.Has(s.self) {
		// This run may have been a member and removed again, so it must not
		// enter once more.
		s.leave()
	}
	s.entering = false
	if s.out {
		return
	}
	challenged := e.View.Challenge != nil && !e.View.Challenge.Same(s.self)
	if e.View.Has(s.self) && s.view.Has(s.self) && !challenged && !e.AskedAt.Before(s.leasesFrom) {
		if end := e.AskedAt.Add(s.cfg.Lease); end.After(s.tableEnd) {
			s.tableEnd = end
		}
		s.lastRead = e.AskedAt
	}
	c := s.wanted(now, &e.View)
	if c.empty() || e.View.Version < s.view.Version {
		return
	}
	v := s.next(now, e.View, c)
	if v == nil {
		return
	}
	if c.yield && !s.yielding {
		s.yielding = true
		s.DropLeases(now)
	}
	s.proposed = v
	s.busy = true
	s.act(PutRow{RowVersion: e.RowVersion, View: *v})
}

func (s *State) rowPut(now time.Time, e RowPut) {
	s.busy = false
	// Without a clear answer only a read tells what stands in the row;
	// until then the promises stay as if the put had taken effect.
	s.nextRead = now
	if e.Result == PutUnknown {
		s.unclear = now.Add(s.cfg.LatePut)
		s.entering = s.entering || !s.view.Has(s.self)
	}
	if e.Result == PutRefused {
		s.proposed = nil
		s.yielding = s.yielding && now.Before(s.unclear)
		s.nextRead = now.Add(s.cfg.Beat)
	}
	if e.Result == PutDone && s.proposed != nil {
		v := *s.proposed
		s.proposed = nil
		s.learn(now, v)
	}
}

// advance makes this member ready for its view and the view come in force.
func (s *State) advance(now time.Time) {
	v := &s.view
	if s.out || v.Version == s.inForce.Version || !v.Has(s.self) {
		return
	}
	if s.ready < v.Version && s.handed >= v.Version && s.waitOver(now) {
		s.ready = v.Version
		s.beat(now, true)
	}
	if s.ready != v.Version {
		return
	}
	for _, m := range v.Members {
		if m.Same(s.self) {
			continue
		}
		p := s.peers[m.Name]
		if p == nil || !p.member.Same(m) || p.ready != v.Version {
			return
		}
	}
	s.enforce()
}

func (s *State) enforce() {
	s.inForce = s.view
	s.act(InForce{Version: s.view.Version, HorizonMS: s.horizon})
}

// poll reads the row when due: seldom while the promises carry the lease.
func (s *State) poll(now time.Time) {
	if s.busy || s.out || now.Before(s.nextRead) {
		return
	}
	if now.Before(s.lastRead.Add(s.cfg.SlowPoll)) && s.quiet(now) {
		return
	}
	s.busy = true
	s.nextRead = now.Add(s.cfg.FastPoll)
	s.act(ReadRow{})
}

// quiet reports whether nothing but a slow poll is due.
func (s *State) quiet(now time.Time) bool {
	if s.inForce.Version != s.view.Version || s.proposed != nil || now.Before(s.unclear) {
		return false
	}
	if !s.promiseEnd().After(now.Add(s.cfg.Lease / 3)) {
		return false
	}
	c := s.wanted(now, &s.view)
	return c.empty()
}

// beat sends a heartbeat to every entry of the data centre.
func (s *State) beat(now time.Time, force bool) {
	if !force && now.Before(s.nextBeat) {
		return
	}
	s.nextBeat = now.Add(s.cfg.Beat)
	for _, p := range s.order {
		b := Beat{
			Ask:     uint64(now.Sub(s.start)) + 1,
			Answer:  p.ask,
			Promise: s.promises(p.member),
			Known:   s.view.Version,
			Ready:   s.ready,
			InForce: s.inForce.Version,
			Left:    s.vacant(),
		}
		if s.horizon > s.view.HorizonMS {
			b.HorizonMS = s.horizon
		}
		if p.known < s.view.Version {
			v := s.view
			b.View = &v
		}
		s.act(Send{To: p.member, Beat: b})
	}
}
