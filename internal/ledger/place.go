package ledger

import (
	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/rendezvous"
	"currantstall/internal/structs"
)

// place is a view together with the hashes of its members' names.
type place struct {
	view   structs.View
	hashes []uint64
}

func newPlace(v structs.View) *place {
	p := &place{view: v, hashes: make([]uint64, len(v.Members))}
	for i, m := range v.Members {
		p.hashes[i] = rendezvous.Hash(m.Name)
	}
	return p
}

// top returns the first and second choice for a key, nil where there is none.
func (p *place) top(id uuid.UUID) (first, second *structs.Member) {
	k := key.Key{ID: id}
	i, j := rendezvous.TopHashed(k.Hash(), p.hashes)
	if i >= 0 {
		first = &p.view.Members[i]
	}
	if j >= 0 {
		second = &p.view.Members[j]
	}
	return first, second
}

// records returns where the two records of a claim stand: at the home, and at
// the holder or, if that is the home or gone, at the second choice.
func (p *place) records(id uuid.UUID, holder *structs.Member) (home, other *structs.Member) {
	home, second := p.top(id)
	if home != nil && !home.Same(*holder) && p.view.Has(*holder) {
		return home, holder
	}
	return home, second
}

// same reports whether two members, either of them nil, are the same run.
func same(a, b *structs.Member) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Same(*b)
}

// latest returns the newest known view, or nil.
func (l *Ledger) latest() *place {
	if len(l.chain) == 0 {
		return nil
	}
	return l.chain[len(l.chain)-1]
}

// member reports whether this run is in the newest view.
func (l *Ledger) member() bool {
	return !l.out && len(l.chain) > 0 && l.latest().view.Has(*l.self)
}

// partner returns the member that keeps the other record of an own claim, or
// nil if this member is alone.
func (l *Ledger) partner(id uuid.UUID) *structs.Member {
	if !l.member() {
		return nil
	}
	home, second := l.latest().top(id)
	if home.Same(*l.self) {
		return second
	}
	return home
}

// grants reports whether this member may answer for a key as its home: it is
// the first choice in the view in force and in every newer one, so nobody
// else is. A claim's holder must be in all of them too, and the second choice
// must not move if that keeps the other record.
func (l *Ledger) grants(id uuid.UUID, holder *structs.Member) bool {
	if l.out || l.leaving || len(l.chain) == 0 || l.chain[0].view.Version != l.inForce {
		return false
	}
	_, backup := l.chain[0].top(id)
	for _, p := range l.chain {
		home, second := p.top(id)
		if home == nil || !home.Same(*l.self) {
			return false
		}
		if holder == nil {
			continue
		}
		if !p.view.Has(*holder) {
			return false
		}
		if holder.Same(*l.self) && !same(second, backup) {
			return false
		}
	}
	return true
}

// grantedBy reports whether a grant by a member under the view in force is
// valid here: it was the home in that view and is in every newer one.
func (l *Ledger) grantedBy(id uuid.UUID, from *structs.Member, version uint64) bool {
	if l.out || version != l.inForce || len(l.chain) == 0 || l.chain[0].view.Version != version {
		return false
	}
	for _, p := range l.chain {
		home, _ := p.top(id)
		if home == nil || !home.Same(*from) || !p.view.Has(*l.self) {
			return false
		}
	}
	return true
}
