package ledger

import (
	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/rendezvous"
	"currantstall/internal/structs"
)

// hashedView is a view together with the hashes of its members' names.
type hashedView struct {
	view   structs.View
	hashes []uint64
}

func newHashedView(v structs.View) *hashedView {
	h := &hashedView{view: v, hashes: make([]uint64, len(v.Members))}
	for i, m := range v.Members {
		h.hashes[i] = rendezvous.Hash(m.Name)
	}
	return h
}

// homeAndBackup returns the first and second choice for a key, nil where there
// is none.
func (h *hashedView) homeAndBackup(id uuid.UUID) (home, backup *structs.Member) {
	k := key.Key{ID: id}
	i, j := rendezvous.TopTwoHashed(k.Hash(), h.hashes)
	if i >= 0 {
		home = &h.view.Members[i]
	}
	if j >= 0 {
		backup = &h.view.Members[j]
	}
	return home, backup
}

// recordMembers returns the members that keep the two records of a claim: the
// home, and the holder or, if the holder is the home or not a member, the
// backup.
func (h *hashedView) recordMembers(id uuid.UUID, holder *structs.Member) (home, other *structs.Member) {
	home, backup := h.homeAndBackup(id)
	if home != nil && !home.Same(*holder) && h.view.Has(*holder) {
		return home, holder
	}
	return home, backup
}

// sameMember reports whether two members, either of which may be nil, are the
// same incarnation.
func sameMember(a, b *structs.Member) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Same(*b)
}

// latestView returns the newest known view, or nil.
func (l *Ledger) latestView() *hashedView {
	if len(l.views) == 0 {
		return nil
	}
	return l.views[len(l.views)-1]
}

// isMember reports whether this incarnation is in the newest view.
func (l *Ledger) isMember() bool {
	return !l.membershipEnded && len(l.views) > 0 && l.latestView().view.Has(*l.self)
}

// partner returns the member that keeps the other record of a claim held here,
// or nil if this is the only member.
func (l *Ledger) partner(id uuid.UUID) *structs.Member {
	if !l.isMember() {
		return nil
	}
	home, backup := l.latestView().homeAndBackup(id)
	if home.Same(*l.self) {
		return backup
	}
	return home
}

// actsAsHome reports whether this member may decide for a key as its home: it
// is the first choice in the view in force and in every newer one, so no other
// member is. The claim's holder, if given, must be in all of these views too.
// If this member is the holder, the backup must be the same in all of them,
// since it keeps the other record.
func (l *Ledger) actsAsHome(id uuid.UUID, holder *structs.Member) bool {
	if l.membershipEnded || l.leaving || len(l.views) == 0 || l.views[0].view.Version != l.inForce {
		return false
	}
	_, currentBackup := l.views[0].homeAndBackup(id)
	for _, v := range l.views {
		home, backup := v.homeAndBackup(id)
		if home == nil || !home.Same(*l.self) {
			return false
		}
		if holder == nil {
			continue
		}
		if !v.view.Has(*holder) {
			return false
		}
		if holder.Same(*l.self) && !sameMember(backup, currentBackup) {
			return false
		}
	}
	return true
}

// validGrant reports whether a grant by a member under the view in force is
// valid here: that member is the home in this view and in every newer one, and
// this member is in all of them.
func (l *Ledger) validGrant(id uuid.UUID, from *structs.Member, version uint64) bool {
	if l.membershipEnded || version != l.inForce || len(l.views) == 0 || l.views[0].view.Version != version {
		return false
	}
	for _, v := range l.views {
		home, _ := v.homeAndBackup(id)
		if home == nil || !home.Same(*from) || !v.view.Has(*l.self) {
			return false
		}
	}
	return true
}
