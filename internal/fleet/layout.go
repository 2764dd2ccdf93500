package fleet

import (
	"cmp"
	"fmt"
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

// MaxPools is the largest number of pools in a layout.
const MaxPools = 4096

// Validate returns an error for a layout that no entry has planned.
func (l *Layout) Validate() error {
	if len(l.Pools) == 0 || len(l.Pools) > MaxPools {
		return fmt.Errorf("layout: %d pools, want 1 to %d", len(l.Pools), MaxPools)
	}
	return nil
}

// DefaultLayout has one pool for all targets.
func DefaultLayout() Layout { return Layout{Pools: []Scope{{}}} }

const (
	// poolTargets is the number of targets that one pool should have if entries of the
	// usual size or above lead it. Its dispatch takes a tenth of a core at 400 starts per
	// second. Smaller entries lead smaller pools, of minPoolTargets at least.
	poolTargets    = 64
	minPoolTargets = 12
	// UsualMilliCPU is the size of an entry that leads a pool of poolTargets, in thousandths
	// of a core, and the assumed size of an entry that does not state its own.
	UsualMilliCPU = 400
	// splitFactor times the size of a pool is the largest number of targets in a single one.
	splitFactor = 1.5
	// replanFactor is the growth or shrinkage of the number of targets at which a layout
	// is planned again.
	replanFactor = 1.5
)

// PlanLayout divides targets into pools that the largest of the entries can lead, given the
// entries' sizes in thousandths of a core. Unless one pool is enough for all, the targets
// of each data centre have pools of their own, so that a partition between data centres
// leaves the ownership of targets as it is.
func PlanLayout(targets []Target, entries []int64) Layout {
	l := Layout{Targets: len(targets)}
	perPool := planPoolSize(len(targets), entries)
	if float64(len(targets)) <= splitFactor*float64(perPool) {
		l.Pools = []Scope{{}}
		return l
	}
	byDC := make(map[string]int)
	for i := range targets {
		byDC[targets[i].DC]++
	}
	for dc, n := range byDC {
		for range max(1, (n+perPool/2)/perPool) {
			l.Pools = append(l.Pools, Scope{DC: dc})
		}
	}
	slices.SortStableFunc(l.Pools, func(a, b Scope) int { return cmp.Compare(a.DC, b.DC) })
	return l
}

// planPoolSize returns the number of targets that a pool should have: as many as the
// smallest of the entries can lead that are needed as leaders, the largest first.
func planPoolSize(targets int, entries []int64) int {
	sizes := slices.Clone(entries)
	slices.SortFunc(sizes, func(a, b int64) int { return cmp.Compare(b, a) })
	perPool := poolTargets
	for i, size := range sizes {
		perPool = poolSizeFor(size)
		if targets <= (i+1)*perPool {
			break
		}
	}
	return perPool
}

// poolSizeFor returns the number of targets that an entry of the given size can lead.
func poolSizeFor(milliCPU int64) int {
	if milliCPU <= 0 {
		milliCPU = UsualMilliCPU
	}
	return int(min(max(milliCPU*poolTargets/UsualMilliCPU, minPoolTargets), poolTargets))
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
