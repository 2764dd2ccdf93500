package membership

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/structs"
)

// change is a change of the view that a member wants to propose.
type change struct {
	add             *structs.Member
	remove          []structs.Removal // Version is not set
	rejectChallenge bool              // clear another entry's challenge
	yield           bool              // this member removes itself in favour of the challenger
}

func (c *change) empty() bool { return c.add == nil && len(c.remove) == 0 && !c.rejectChallenge }

// nextView returns the view to propose after prev, or nil if the member has to
// wait. The base advances only to a view in force that contains the proposer:
// the proposer stays, so it is in every view in between, and a member without
// its promise holds no lease.
func (s *State) nextView(now time.Time, prev structs.View, c change) *structs.View {
	v := s.applyChange(prev, c)
	if removedMayHoldLease(v) && !baseMemberRemains(v) {
		if !s.challengeWon(now, &prev) {
			return s.addChallenge(now, prev)
		}
		for i := range v.Removed {
			v.Removed[i].Dead = true
		}
	}
	if len(c.remove) > 0 && mayLoseClaims(v) {
		end := now.Add(s.removalWait(v) + s.cfg.MaxClockSkew)
		v.HorizonMS = max(v.HorizonMS, end.UnixMilli())
	}
	return v
}

// applyChange returns prev with the change; a change that adds and removes
// nothing only clears the challenge.
func (s *State) applyChange(prev structs.View, c change) *structs.View {
	if c.add == nil && len(c.remove) == 0 {
		prev.Challenger, prev.ChallengerReach = nil, 0
		return &prev
	}
	v := &structs.View{
		DC:          s.cfg.DC,
		Version:     prev.Version + 1,
		BaseVersion: prev.BaseVersion,
		Base:        prev.Base,
		HorizonMS:   max(prev.HorizonMS, s.horizonMS),
	}
	if prev.Version == 0 {
		v.BaseVersion = v.Version
		v.Base = []structs.Member{s.self}
	}
	if s.inForce.Version > prev.BaseVersion && s.inForce.Has(s.self) {
		v.BaseVersion = s.inForce.Version
		v.Base = s.inForce.Members
	}
	for _, r := range prev.Removed {
		if r.Version > v.BaseVersion {
			v.Removed = append(v.Removed, r)
		}
	}
	for _, r := range c.remove {
		r.Version = v.Version
		v.Removed = append(v.Removed, r)
	}
	for i, r := range v.Removed {
		v.Removed[i].Dead = r.Dead || s.dead[incarnationOf(r.Member)]
	}
	if c.yield {
		v.Challenger, v.ChallengerReach = prev.Challenger, prev.ChallengerReach
	}
	for _, m := range prev.Members {
		if !includesMember(c.remove, m) {
			v.Members = append(v.Members, m)
		}
	}
	if c.add != nil {
		v.Members = append(v.Members, *c.add)
	}
	slices.SortFunc(v.Members, func(a, b structs.Member) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// challengeWon reports whether this entry's challenge has been in the row for
// MaxPromiseLease. A read that shows a challenge gives no lease, so by then no
// member holds one.
func (s *State) challengeWon(now time.Time, prev *structs.View) bool {
	if prev.Challenger == nil || !prev.Challenger.Same(s.self) {
		return false
	}
	return !now.Before(s.rowVersionSince.Add(s.cfg.withClockDrift(s.cfg.MaxPromiseLease)))
}

// addChallenge returns prev with this entry as the challenger, or nil while an
// earlier challenge may still succeed or ChallengeInterval has not passed. The
// view's version stays the same: no claims move.
func (s *State) addChallenge(now time.Time, prev structs.View) *structs.View {
	if prev.Challenger != nil {
		mine := prev.Challenger.Same(s.self)
		if mine || !s.superseded(*prev.Challenger) && now.Before(s.rowVersionSince.Add(2*s.cfg.withClockDrift(s.cfg.MaxPromiseLease))) {
			return nil
		}
	}
	if now.Before(s.lastChallenge.Add(s.cfg.ChallengeInterval)) {
		return nil
	}
	s.lastChallenge = now
	prev.Challenger, prev.ChallengerReach = &s.self, s.countReachable(now)
	return &prev
}

// superseded reports whether a newer incarnation of m is known.
func (s *State) superseded(m structs.Member) bool {
	if m.Name == s.self.Name {
		return m.Incarnation < s.self.Incarnation
	}
	p := s.peers[m.Name]
	return p != nil && m.Incarnation < p.member.Incarnation
}

func includesMember(rs []structs.Removal, m structs.Member) bool {
	return slices.ContainsFunc(rs, func(r structs.Removal) bool { return r.Member.Same(m) })
}

// mayLoseClaims reports whether both records of a claim may have been lost
// since the base: two members were lost, or the only one.
func mayLoseClaims(v *structs.View) bool {
	lost, left := 0, 0
	for _, r := range v.Removed {
		if r.Left {
			left++
		} else {
			lost++
		}
	}
	return lost >= 2 || lost >= 1 && (len(v.Base)-left <= 1 || len(v.Members) == 0)
}

// baseMemberRemains reports whether a member of v was in the base. No removed
// member then holds a promise lease without that member's promise.
func baseMemberRemains(v *structs.View) bool {
	return slices.ContainsFunc(v.Base, v.Has)
}

// removedMayHoldLease reports whether a removed member may still hold a lease.
func removedMayHoldLease(v *structs.View) bool {
	return slices.ContainsFunc(v.Removed, func(r structs.Removal) bool { return !r.Left && !r.Dead })
}

// removalWait returns the longest time, counted from the proposal, for which a
// member removed by v may still start work.
func (s *State) removalWait(v *structs.View) time.Duration {
	if removedMayHoldLease(v) {
		return s.cfg.withClockDrift(s.cfg.Lease)
	}
	return 0
}

// removalWaitsOver reports whether this member may act on every removal of its
// view. Only members of the base wait for the leases of removed members.
func (s *State) removalWaitsOver(now time.Time) bool {
	inBase := slices.ContainsFunc(s.view.Base, s.self.Same)
	for _, r := range s.view.Removed {
		if r.Left || r.Version <= s.inForce.Version {
			continue
		}
		id := incarnationOf(r.Member)
		var wait time.Duration
		switch {
		case r.Dead || s.dead[id]:
			wait = s.cfg.withClockDrift(s.cfg.DeadMemberWait)
		case inBase:
			wait = s.cfg.withClockDrift(s.cfg.Lease)
		}
		if now.Before(s.removedAt[id].Add(wait)) {
			return false
		}
	}
	return true
}

// wantedChange returns the change that this entry wants to make to v.
func (s *State) wantedChange(now time.Time, v *structs.View) change {
	switch {
	case s.ended:
		return change{}
	case v.Has(s.self) && s.leaving:
		if s.leaveVersion != v.Version {
			return change{}
		}
		// The last member has no other to hand its claims to.
		last := len(v.Members) == 1
		return change{remove: []structs.Removal{{Member: s.self, Left: !last, Dead: last}}}
	case s.leaving:
		return change{}
	case v.Has(s.self) && s.shouldYield(now, v):
		return change{remove: []structs.Removal{{Member: s.self, Dead: true}}, yield: true}
	case v.Has(s.self):
		c := change{remove: s.failedMembers(now, v)}
		c.rejectChallenge = v.Challenger != nil && !v.Challenger.Same(s.self)
		return c
	}
	return s.joinChange(v, now)
}

// shouldYield reports whether this member leaves the view to a challenger that
// reaches more entries: a member that is isolated from the others must not keep
// them out. Once it has begun to yield, its own put may take effect at any
// time, so it does not stop yielding.
func (s *State) shouldYield(now time.Time, v *structs.View) bool {
	outnumbered := v.Challenger != nil && !v.Challenger.Same(s.self) && v.ChallengerReach > s.countReachable(now)
	return s.yielding || outnumbered
}

// reservedForChallenger reports whether a view without members is still
// reserved for the challenger to which its last member yielded.
func (s *State) reservedForChallenger(now time.Time, v *structs.View) bool {
	if len(v.Members) > 0 || v.Challenger == nil || v.Challenger.Same(s.self) || s.superseded(*v.Challenger) {
		return false
	}
	return v.ChallengerReach > s.countReachable(now) && now.Before(s.rowVersionSince.Add(s.cfg.ChallengeInterval))
}

// failedMembers returns the members to be removed. The more members are silent,
// the longer this member waits, since its own links are then the more likely
// cause.
func (s *State) failedMembers(now time.Time, v *structs.View) []structs.Removal {
	var sure, silent []structs.Removal
	var last time.Time
	for _, m := range v.Members {
		if m.Same(s.self) {
			continue
		}
		p := s.peers[m.Name]
		switch {
		case s.dead[incarnationOf(m)]:
			sure = append(sure, structs.Removal{Member: m, Dead: true})
		case p != nil && p.member.Same(m) && p.left:
			sure = append(sure, structs.Removal{Member: m, Left: true})
		default:
			heard := s.learnedAt
			if p != nil && p.member.Same(m) {
				heard = p.lastHeard
			}
			if now.Sub(heard) > s.cfg.FailureTimeout {
				silent = append(silent, structs.Removal{Member: m})
				if heard.After(last) {
					last = heard
				}
			}
		}
	}
	if len(silent) > 0 && now.Sub(last) > s.cfg.FailureTimeout*time.Duration(len(silent)) {
		return append(sure, silent...)
	}
	return sure
}

// joinChange returns the change by which this entry joins the view, which
// requires live links to all members. If it reaches none of them, it may take
// over the view.
func (s *State) joinChange(v *structs.View, now time.Time) change {
	if s.reservedForChallenger(now, v) {
		return change{}
	}
	c := change{add: &s.self}
	missing, live := 0, 0
	for _, m := range v.Members {
		p := s.peers[m.Name]
		current := p != nil && p.member.Same(m)
		switch {
		case m.Name == s.self.Name && m.Incarnation > s.self.Incarnation:
			return change{}
		case m.Name == s.self.Name:
			c.remove = append(c.remove, structs.Removal{Member: m, Dead: m.Addr == s.self.Addr})
		case s.dead[incarnationOf(m)]:
			c.remove = append(c.remove, structs.Removal{Member: m, Dead: true})
		case current && p.left:
			c.remove = append(c.remove, structs.Removal{Member: m, Left: true})
		case current && p.heartbeatSeen && now.Sub(p.lastHeard) <= s.cfg.FailureTimeout:
			live++
		default:
			missing++
			c.remove = append(c.remove, structs.Removal{Member: m})
		}
	}
	if missing > 0 && (live > 0 || now.Sub(s.startedAt) <= s.cfg.FailureTimeout) {
		return change{}
	}
	return c
}
