package fleet

import (
	"cmp"
	"slices"

	"currantstall/internal/rendezvous"
)

// Scope is the set of targets that one of several pools of a data centre divides up. An
// empty DC stands for all data centres.
type Scope struct {
	DC string `cbor:"1,keyasint,omitempty" json:"dc,omitempty"`
}

// Layout divides the targets of a deployment among pools, each of which is dispatched by
// one entry. All entries use the layout in the platform's store, since pools of different
// layouts compete for targets.
type Layout struct {
	// Version is the version of its row in the store, 0 for the default layout.
	Version uint64 `cbor:"1,keyasint,omitempty" json:"-"`
	// Targets is the number of targets for which it was planned.
	Targets int `cbor:"2,keyasint,omitempty" json:"targets"`
	// Pools holds the scope of each pool.
	Pools []Scope `cbor:"3,keyasint" json:"pools"`
}

// DefaultLayout has one pool for all targets.
func DefaultLayout() Layout { return Layout{Pools: []Scope{{}}} }

const (
	// poolTargets is the number of targets that one pool should have. Its dispatch takes
	// a tenth of a core at a thousand starts per second.
	poolTargets = 64
	// splitFactor times poolTargets is the largest number of targets in a single pool.
	splitFactor = 1.5
	// replanFactor is the growth or shrinkage of the number of targets at which a layout
	// is planned again.
	replanFactor = 1.5
)

// PlanLayout divides targets into pools of about poolTargets targets each. Unless one
// pool is enough for all, the targets of each data centre have pools of their own, so
// that a partition between data centres leaves the ownership of targets as it is.
func PlanLayout(targets []Target) Layout {
	l := Layout{Targets: len(targets)}
	if float64(len(targets)) <= splitFactor*poolTargets {
		l.Pools = []Scope{{}}
		return l
	}
	byDC := make(map[string]int)
	for i := range targets {
		byDC[targets[i].DC]++
	}
	for dc, n := range byDC {
		for range max(1, (n+poolTargets/2)/poolTargets) {
			l.Pools = append(l.Pools, Scope{DC: dc})
		}
	}
	slices.SortStableFunc(l.Pools, func(a, b Scope) int { return cmp.Compare(a.DC, b.DC) })
	return l
}

// Outgrown reports whether the number of targets differs so much from the planned one
// that a new layout is due.
func (l *Layout) Outgrown(targets int) bool {
	n, planned := float64(targets), float64(l.Targets)
	return n > planned*replanFactor || n*replanFactor < planned
}

// PoolOf returns the index of the pool that a target belongs to: by its ID, one of the
// pools of its data centre, or of all pools if its data centre has none.
func (l *Layout) PoolOf(t *Target) int {
	best, bestWeight := -1, uint64(0)
	item := rendezvous.Hash(t.ID)
	choose := func(matches func(Scope) bool) {
		for i, s := range l.Pools {
			if w := rendezvous.WeightHashed(item, uint64(i)); matches(s) && (best < 0 || w > bestWeight) {
				best, bestWeight = i, w
			}
		}
	}
	choose(func(s Scope) bool { return s.DC == "" || s.DC == t.DC })
	if best < 0 {
		choose(func(Scope) bool { return true })
	}
	return best
}
