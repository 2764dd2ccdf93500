package entry

import "sync/atomic"

// passing follows whether an entry serves by passing work on: it started while
// the platform was out of reach, has not been a member since, and is linked to
// a member of its data centre.
type passing struct {
	on     atomic.Bool
	joined bool // was a member since the start; only note touches it
}

// note takes why the entry is no member, nil if it is one, and whether it can
// pass work on. It returns nil if the entry can serve either way.
func (s *passing) note(member error, can bool) error {
	s.joined = s.joined || member == nil
	on := !s.joined && can
	s.on.Store(on)
	if on {
		return nil
	}
	return member
}
