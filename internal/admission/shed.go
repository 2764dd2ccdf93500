package admission

// shedLook bounds how many units of a flow are looked at for one to hand on.
const shedLook = 8

// Shed removes and returns up to n queued units to hand to peers. It takes
// from the kind with the longest wait, from the end of a team's queue, where
// a unit would have waited longest; never what was handed over already. pick
// may exclude units; nil excludes none.
func (q *Queue) Shed(n int, pick func(Unit) bool) []Unit {
	var units []Unit
	q.round++
	for len(units) < n {
		k := q.longestWait()
		if k == nil {
			break
		}
		taken := k.last(pick)
		if taken == nil {
			k.refused = q.round
			continue
		}
		units = append(units, taken.unit)
		q.drop(taken)
	}
	return units
}

// longestWait returns the kind whose queue lasts longest, leaving out those
// that had nothing to give in this round.
func (q *Queue) longestWait() *kind {
	var best *kind
	var bestWait float64
	for _, k := range q.kinds {
		if k.queued == 0 || k.refused == q.round {
			continue
		}
		wait := float64(k.queued) * float64(k.service.MeanSlotTime()) / max(q.attainable(k), 1)
		if best == nil || wait > bestWait {
			best, bestWait = k, wait
		}
	}
	return best
}

// last returns a unit near the end of a late flow, of the largest jobs first,
// that may be handed on.
func (k *kind) last(pick func(Unit) bool) *node {
	for i := len(k.active) - 1; i >= max(0, len(k.active)-shedLook); i-- {
		for c := sizeClasses - 1; c >= 0; c-- {
			if n := k.active[i].lists[c].last(pick); n != nil {
				return n
			}
		}
	}
	return nil
}

// last returns a unit near the end of the list that may be handed on.
func (l *list) last(pick func(Unit) bool) *node {
	n := l.tail
	for look := 0; n != nil && look < shedLook; look++ {
		if !n.unit.Handed && (pick == nil || pick(n.unit)) {
			return n
		}
		n = n.flowPrev
	}
	return nil
}
