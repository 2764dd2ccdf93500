package entry

import "sync/atomic"

// forwardOnly tracks whether an entry serves by forwarding all work: it started
// while the platform was unreachable, has not been a member since, and is linked
// to a member of its data centre.
type forwardOnly struct {
	active    atomic.Bool
	wasMember bool // was a member since the start; accessed by update only
}

// update takes the reason why the entry is not a member, nil if it is one, and
// whether it can forward work. It returns nil if the entry can serve either as a
// member or by forwarding, else memberErr.
func (s *forwardOnly) update(memberErr error, canForward bool) error {
	s.wasMember = s.wasMember || memberErr == nil
	active := !s.wasMember && canForward
	s.active.Store(active)
	if active {
		return nil
	}
	return memberErr
}
