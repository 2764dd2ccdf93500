package entry

import "sync/atomic"

// forwardOnly follows whether an entry serves by forwardOnly work on: it started while
// the platform was out of reach, has not been a member since, and is linked to
// a member of its data centre.
type forwardOnly struct {
	active    atomic.Bool
	wasMember bool // was a member since the start; only note touches it
}

// update takes why the entry is no member, nil if it is one, and whether it can
// pass work on. It returns nil if the entry can serve either way.
func (s *forwardOnly) update(memberErr error, canForward bool) error {
	s.wasMember = s.wasMember || memberErr == nil
	on := !s.wasMember && canForward
	s.active.Store(on)
	if on {
		return nil
	}
	return memberErr
}
