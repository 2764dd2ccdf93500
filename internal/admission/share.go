package admission

import (
	"math"
	"time"
)

// chooseKind returns the kind whose first unit starts next, or nil. Kinds below
// their guarantee go first, the least served in relation to it before others, then
// the one that was not served for longest; the spare goes by urgency, as long as the headroom stays free.
func (q *Queue) chooseKind(now time.Time) *kind {
	switch q.cfg.Policy {
	case FIFO:
		return q.chooseOldest()
	case TakeTurns:
		return q.chooseLeastRecent()
	}
	if k := q.chooseGuaranteed(now); k != nil {
		return k
	}
	return q.chooseSpare()
}

// chooseGuaranteed returns the kind that is to be served on its guarantee.
// Whole slots go before fractions: the whole ones of all kinds fit in the
// capacity, and if any kind is entitled to a fraction then they do not fill it.
func (q *Queue) chooseGuaranteed(now time.Time) *kind {
	var best *kind
	var bestUse float64
	for _, k := range q.kinds {
		if k.queued == 0 || k.skippedRound == q.round || !k.entitled(now, q.capacity) {
			continue
		}
		whole := math.Floor(k.guaranteed(q.capacity))
		use := float64(k.running) / max(whole, float64(k.running))
		if whole == 0 {
			use = 1
		}
		if best == nil || use < bestUse || use == bestUse && k.lastStartSeq < best.lastStartSeq {
			best, bestUse = k, use
		}
	}
	return best
}

func (q *Queue) chooseSpare() *kind {
	var best *kind
	for _, k := range q.kinds {
		if k.queued == 0 || k.skippedRound == q.round {
			continue
		}
		if best == nil || k.urgency > best.urgency || k.urgency == best.urgency && k.running < best.running {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	free := q.capacity - float64(q.running)
	if free-1 < q.reservedSlots(best) {
		return nil
	}
	return best
}

// reservedSlots returns the whole slots that spare work of kind k must leave free. Tasks
// are not preempted, so without it a kind that is idle now would have to wait
// for a completion first. A kind with queued work needs no reservedSlots: it is
// served before any spare work. One that found no room keeps its reservedSlots.
func (q *Queue) reservedSlots(k *kind) float64 {
	sum := 0.0
	for _, o := range q.kinds {
		if o == k || o.queued > 0 && o.skippedRound != q.round {
			continue
		}
		sum += min(o.unusedGuarantee(q.capacity), q.headroomFraction*o.guaranteed(q.capacity))
	}
	return math.Round(sum)
}

// chooseOldest returns the kind of the unit that came first.
func (q *Queue) chooseOldest() *kind {
	var best *kind
	for _, k := range q.kinds {
		if k.queued == 0 || k.skippedRound == q.round {
			continue
		}
		if best == nil || k.peek().seq < best.peek().seq {
			best = k
		}
	}
	return best
}

// chooseLeastRecent returns the kind that was not served for longest.
func (q *Queue) chooseLeastRecent() *kind {
	var best *kind
	for _, k := range q.kinds {
		if k.queued == 0 || k.skippedRound == q.round {
			continue
		}
		if best == nil || k.lastStartSeq < best.lastStartSeq {
			best = k
		}
	}
	return best
}
