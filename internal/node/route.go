package node

import (
	"math"
	"slices"

	"currantstall/internal/fleet"
	"currantstall/internal/rendezvous"
	"currantstall/internal/verdict"
)

// poolView is what a coordinator knows about a pool when it chooses one for a job.
type poolView struct {
	led      bool  // there is a leader to submit to
	empty    bool  // the leader owns no target, as on the far side of a partition
	capacity int64 // of the targets that the leader owns, in thousandths of a core
	spare    int64 // of that, what neither runs nor waiting jobs need
}

// choosePool returns the pool for a job by weighted rendezvous hashing, so that pools get
// jobs in proportion to their capacity, and all entries choose the same pool for a job
// that is submitted again. It returns -1 if no pool is left that is led and untried.
func choosePool(job string, pools []poolView, tried []int) int {
	best, bestKey := -1, 0.0
	item := rendezvous.Hash(job)
	for i, p := range pools {
		if !p.led || slices.Contains(tried, i) {
			continue
		}
		// -ln(u)/w is exponentially distributed with rate w, so each pool has the lowest
		// key with a probability proportional to its weight.
		u := (float64(rendezvous.WeightHashed(item, uint64(i))>>11) + 0.5) / (1 << 53)
		key := -math.Log(u) / float64(max(p.capacity, 1))
		if best < 0 || key < bestKey {
			best, bestKey = i, key
		}
	}
	return best
}

// choiceFields returns the log fields that tell why a pool was chosen for a job, if there are several: how many of them
// are led, and the capacity of the chosen one and of all, in cores, as known to this entry.
func choiceFields(chosen int, pools []poolView) []any {
	if len(pools) < 2 || chosen < 0 {
		return nil
	}
	led, all := 0, int64(0)
	for _, p := range pools {
		if p.led {
			led++
			all += p.capacity
		}
	}
	const milli = 1000
	return []any{"led", led, "pools", len(pools), "cores", pools[chosen].capacity / milli, "of_cores", all / milli}
}

// chooseNextPool returns the pool for a job that one pool has rejected, or -1 if none is
// left. After it was rejected to shed load, that is the pool with the most spare capacity,
// at least what the job needs.
func chooseNextPool(j *fleet.Job, reason verdict.Reason, pools []poolView, tried []int) int {
	if reason == verdict.NeverFits || reason == verdict.Evacuated {
		return choosePool(j.ID, pools, tried)
	}
	best, needs := -1, j.MilliCPU()
	for i, p := range pools {
		if p.led && p.spare >= needs && !slices.Contains(tried, i) && (best < 0 || p.spare > pools[best].spare) {
			best = i
		}
	}
	return best
}

// poolViews returns the view of each pool.
func (n *Node) poolViews() []poolView {
	views := make([]poolView, len(n.shards))
	for i, s := range n.shards {
		v := &views[i]
		v.led = s.decision.Leader != ""
		switch {
		case s.decision.Leading:
			l := s.pool.Load()
			v.capacity, v.spare, v.empty = l.Capacity.MilliCPU, l.Spare(), l.Owned == 0
		case v.led:
			r := s.reports[s.decision.Leader]
			v.capacity, v.spare, v.empty = r.Capacity, r.Spare, r.Claim.Leading && r.Claim.Owned == 0
		}
	}
	return views
}
