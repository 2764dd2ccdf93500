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
	p := &hashedView{view: v, hashes: make([]uint64, len(v.Members))}
	for i, m := range v.Members {
		p.hashes[i] = rendezvous.Hash(m.Name)
	}
	return p
}

// homeAndBackup returns the first and second choice for a key, nil where there is none.
func (p *hashedView) homeAndBackup(id uuid.UUID) (home, backup *structs.Member) {
	k := key.Key{ID: id}
	i, j := rendezvous.TopTwoHashed(k.Hash(), p.hashes)
	if i >= 0 {
		home = &p.view.Members[i]
	}
	if j >= 0 {
		backup = &p.view.Members[j]
	}
	return home, backup
}

// recordMembers returns where the two recordMembers of a claim stand: at the home, and at
// the holder or, if that is the home or gone, at the second choice.
func (p *hashedView) recordMembers(id uuid.UUID, holder *structs.Member) (home, other *structs.Member) {
	home, backup := p.homeAndBackup(id)
	if home != nil && !home.Same(*holder) && p.view.Has(*holder) {
		return home, holder
	}
	return home, backup
}

// sameMember reports whether two members, either of them nil, are the sameMember run.
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

// isMember reports whether this run is in the newest view.
func (l *Ledger) isMember() bool {
	return !l.membershipEnded && len(l.views) > 0 && l.latestView().view.Has(*l.self)
}

// partner returns the member that keeps the other record of an own claim, or
// nil if this member is alone.
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

// actsAsHome reports whether this member may answer for a key as its home: it is
// the first choice in the view in force and in every newer one, so nobody
// else is. A claim's holder must be in all of them too, and the second choice
// must not move if that keeps the other record.
func (l *Ledger) actsAsHome(id uuid.UUID, holder *structs.Member) bool {
	if l.membershipEnded || l.leaving || len(l.views) == 0 || l.views[0].view.Version != l.inForce {
		return false
	}
	_, currentBackup := l.views[0].homeAndBackup(id)
	for _, p := range l.views {
		home, backup := p.homeAndBackup(id)
		if home == nil || !home.Same(*l.self) {
			return false
		}
		if holder == nil {
			continue
		}
		if !p.view.Has(*holder) {
			return false
		}
		if holder.Same(*l.self) && !sameMember(backup, currentBackup) {
			return false
		}
	}
	return true
}

// validGrant reports whether a grant by a member under the view in force is
// valid here: it was the home in that view and is in every newer one.
func (l *Ledger) validGrant(id uuid.UUID, from *structs.Member, version uint64) bool {
	if l.membershipEnded || version != l.inForce || len(l.views) == 0 || l.views[0].view.Version != version {
		return false
	}
	for _, p := range l.views {
		home, _ := p.homeAndBackup(id)
		if home == nil || !home.Same(*from) || !p.view.Has(*l.self) {
			return false
		}
	}
	return true
}
