package admission

// maxOffloadScan bounds how many flows of a kind, and how many units of a list,
// are examined to find one unit to offload.
const maxOffloadScan = 8

// TakeForOffload removes and returns up to n queued units to offload to peers.
// It takes them from the kind with the longest wait and from the end of a
// team's queue, where they would have waited longest. It never takes a unit
// that was already offloaded to this entry, nor one that eligible rejects; a
// nil eligible accepts all units.
func (q *Queue) TakeForOffload(n int, eligible func(Unit) bool) []Unit {
	var units []Unit
	q.round++
	for len(units) < n {
		k := q.longestWaitingKind()
		if k == nil {
			break
		}
		taken := k.lastOffloadable(eligible)
		if taken == nil {
			k.skippedRound = q.round
			continue
		}
		units = append(units, taken.unit)
		q.removeQueued(taken)
	}
	return units
}

// longestWaitingKind returns the kind with the longest estimated queueing time.
// It skips the kinds without an offloadable unit in this round.
func (q *Queue) longestWaitingKind() *kind {
	var best *kind
	var bestWait float64
	for _, k := range q.kinds {
		if k.queued == 0 || k.skippedRound == q.round {
			continue
		}
		wait := float64(k.queued) * float64(k.service.MeanSlotTime()) / max(q.attainableSlots(k), 1)
		if best == nil || wait > bestWait {
			best, bestWait = k, wait
		}
	}
	return best
}

// lastOffloadable returns an offloadable unit near the end of a flow with a
// late virtual start, or nil. Large jobs go first.
func (k *kind) lastOffloadable(eligible func(Unit) bool) *node {
	for i := len(k.active) - 1; i >= max(0, len(k.active)-maxOffloadScan); i-- {
		for c := sizeClasses - 1; c >= 0; c-- {
			if n := k.active[i].lists[c].lastOffloadable(eligible); n != nil {
				return n
			}
		}
	}
	return nil
}

// lastOffloadable returns an offloadable unit near the end of the list, or nil.
func (l *list) lastOffloadable(eligible func(Unit) bool) *node {
	n := l.tail
	for scanned := 0; n != nil && scanned < maxOffloadScan; scanned++ {
		if !n.unit.Offloaded && (eligible == nil || eligible(n.unit)) {
			return n
		}
		n = n.flowPrev
	}
	return nil
}
