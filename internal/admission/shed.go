package admission

// maxOffloadScan bounds how many units of a flow are looked at for one to hand on.
const maxOffloadScan = 8

// TakeForOffload removes and returns up to n queued units to hand to peers. It takes
// from the kind with the longest wait, from the end of a team's queue, where
// a unit would have waited longest; never what was handed over already. pick
// may exclude units; nil excludes none.
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

// longestWaitingKind returns the kind whose queue lasts longest, leaving out those
// that had nothing to give in this round.
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

// lastOffloadable returns a unit near the end of a late flow, of the largest jobs first,
// that may be handed on.
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

// lastOffloadable returns a unit near the end of the list that may be handed on.
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
