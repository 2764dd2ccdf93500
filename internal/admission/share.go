package admission

import (
	"math"
	"time"
)

// chooseKind returns the kind whose next unit starts next, or nil. Kinds below
// their guarantee go first: the kind with the lowest use relative to its
// guarantee, then the kind that was started least recently. Spare slots go to
// the most urgent kind, as long as the headroom stays free.
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

// chooseGuaranteed returns the kind to serve on its guarantee, or nil. Whole
// slots go before fractional ones: the whole slots of all kinds fit in the
// capacity and cannot fill it if any kind is entitled to a fractional slot.
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
			use = 1 // the kind is entitled to a fractional slot only
		}
		if best == nil || use < bestUse || use == bestUse && k.lastStartSeq < best.lastStartSeq {
			best, bestUse = k, use
		}
	}
	return best
}

// chooseSpare returns the kind to serve on a spare slot: of the most urgent kinds
// with work the one with the fewest running units. It returns nil if no kind has
// work or the slot must stay free as headroom.
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

// reservedSlots returns the number of whole slots that must stay free when kind
// k uses spare slots. Tasks are not preempted, so without this reserve a kind
// that is idle now would have to wait for a task to end first. A kind with
// queued work needs no reserve, because it is served before any spare work. A
// kind whose work fits on no target keeps its reserve.
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

// chooseOldest returns the kind of the unit that arrived first.
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

// chooseLeastRecent returns the kind that was started least recently.
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
