// Package placement decides where work runs: which entry owns a target, which
// targets can take a task, which of them gets it, and which queued units are
// offloaded to peers. It has no clock, socket or goroutine. Each step has its
// own file: owner, feasible, rank, select, handoff and reconcile.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantstall/internal/rendezvous"
)

// AssignOwners returns, for each target, the index in members of its owner, or
// -1 if there are no members. The names within each list must be unique. The
// result depends only on the two sets of names, so every member computes the
// same assignment. No member owns more than its even share, rounded up: an
// entry with more targets would have free slots while others queue.
//
// Source: Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded
// loads", SODA 2018, with highest random weight in place of a ring.
func AssignOwners(members, targets []string) []int {
	owners := make([]int, len(targets))
	if len(members) == 0 {
		for i := range owners {
			owners[i] = -1
		}
		return owners
	}
	bound := (len(targets) + len(members) - 1) / len(members)
	load := make([]int, len(members))
	for _, i := range hashOrder(targets) {
		best := highestBelowBound(xxhash.Sum64String(targets[i]), members, load, bound)
		owners[i] = best
		load[best]++
	}
	return owners
}

// hashOrder returns the indexes of the targets in an order that is independent
// of the order of the list.
func hashOrder(targets []string) []int {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(targets[a]), xxhash.Sum64String(targets[b])),
			cmp.Compare(targets[a], targets[b]),
		)
	})
	return order
}

// highestBelowBound returns the member with the highest weight for the item
// among the members whose load is below the bound. There is always one, because
// bound times the number of members is at least the number of targets.
func highestBelowBound(item uint64, members []string, load []int, bound int) int {
	best := -1
	var bestWeight uint64
	for i, name := range members {
		if load[i] >= bound {
			continue
		}
		w := rendezvous.Weight(item, name)
		if best < 0 || w > bestWeight || w == bestWeight && name < members[best] {
			best, bestWeight = i, w
		}
	}
	return best
}
