package admission

import (
	"math"
	"time"

	"currantstall/internal/estimate"
	"currantstall/internal/manifest"
)

// arrivalDecayTime is the time constant with which past arrivals of a kind
// decay.
const arrivalDecayTime = 30 * time.Second

// offeredLoadInterval is how often the offered load of a kind is recomputed.
const offeredLoadInterval = 100 * time.Millisecond

// kind is the queue of one kind of work and the accounting of its slots.
type kind struct {
	name           string
	urgency        int
	share          float64 // guaranteed fraction of the capacity, at least minShare
	removed        bool    // no longer in the manifest
	service        *estimate.ServiceTime
	flows          map[string]*flow
	active         flowHeap
	weightSum      float64 // sum of the weights of the active flows
	virtualTime    float64 // virtual start of the last unit served
	running        int
	queued         int
	skippedRound   uint64  // last round in which the kind was passed over, see Queue.round
	arrivals       float64 // number of arrivals, decayed as of lastArrival
	lastArrival    time.Time
	lastStartSeq   uint64 // Queue.startSeq at the kind's last start
	peerCapacity   int    // units that peers could start now
	peerWait       time.Duration
	loadComputedAt time.Time
	cachedLoad     float64
	fractionCredit float64 // unused slot time of the guarantee's fractional slot, in ns
	creditUpdated  time.Time
}

func newKind(m *manifest.Kind) *kind {
	return &kind{name: m.Name, service: estimate.NewServiceTime(m.ServiceTime()), flows: map[string]*flow{}}
}

// guaranteed returns the number of slots that the kind may use at any time.
func (k *kind) guaranteed(capacity float64) float64 { return k.share * capacity }

// unusedGuarantee returns how many of the guaranteed slots are not in use.
func (k *kind) unusedGuarantee(capacity float64) float64 {
	return max(0, k.guaranteed(capacity)-float64(k.running))
}

// entitled reports whether the kind may start a unit on its guarantee. The
// whole slots of the guarantee are available at any moment. The remaining
// fraction of a slot is granted over time as credit. Without the credit, each
// kind with a small guarantee would take a full slot whenever it has none, and
// such kinds would starve one another and the kinds with large guarantees.
func (k *kind) entitled(now time.Time, capacity float64) bool {
	whole := math.Floor(k.guaranteed(capacity))
	if float64(k.running) < whole {
		return true
	}
	if float64(k.running) > whole {
		return false
	}
	k.updateCredit(now, capacity)
	return k.fractionCredit >= 0
}

// updateCredit brings the credit up to date. It must be called before running
// changes. The credit is bounded by one run time in either direction, so that
// neither idle time nor use of spare slots has a lasting effect.
func (k *kind) updateCredit(now time.Time, capacity float64) {
	elapsed := float64(now.Sub(k.creditUpdated))
	k.creditUpdated = now
	whole := math.Floor(k.guaranteed(capacity))
	fraction := k.guaranteed(capacity) - whole
	if float64(k.running) > whole {
		fraction--
	}
	bound := float64(k.service.MeanSlotTime())
	k.fractionCredit = max(-bound, min(bound, k.fractionCredit+fraction*elapsed))
}

// recordArrivals counts n offered units.
func (k *kind) recordArrivals(now time.Time, n int) {
	k.arrivals = k.decayedArrivals(now) + float64(n)
	k.lastArrival = now
}

func (k *kind) decayedArrivals(now time.Time) float64 {
	if k.lastArrival.IsZero() {
		return 0
	}
	return k.arrivals * math.Exp(-float64(now.Sub(k.lastArrival))/float64(arrivalDecayTime))
}

// offeredLoad returns the average number of slots that the kind's arrivals keep
// busy. The value is cached for offeredLoadInterval.
func (k *kind) offeredLoad(now time.Time) float64 {
	if now.Sub(k.loadComputedAt) >= offeredLoadInterval {
		perNanosecond := k.decayedArrivals(now) / float64(arrivalDecayTime)
		k.cachedLoad = perNanosecond * float64(k.service.MeanSlotTime())
		k.loadComputedAt = now
	}
	return k.cachedLoad
}

// enqueue appends a node to the named flow and creates the flow if needed. A
// flow is named after its team.
func (k *kind) enqueue(n *node, flowName string, weight float64) {
	f := k.flows[flowName]
	if f == nil {
		f = &flow{heapIndex: -1}
		k.flows[flowName] = f
	}
	n.flow = f
	f.pushBack(n)
	k.queued++
	if f.heapIndex >= 0 {
		return
	}
	// A flow that was idle starts at the current virtual time. It gets no
	// credit for the time it was idle and does not wait for the backlog of
	// other flows.
	f.weight = weight
	f.virtualStart = max(f.virtualStart, k.virtualTime)
	f.seq = n.seq
	k.active.push(f)
	k.weightSum += weight
}

// dequeue removes a node from its flow without charging the flow.
func (k *kind) dequeue(n *node) {
	f := n.flow
	f.unlink(n)
	k.queued--
	if f.length == 0 {
		k.deactivate(f)
	}
}

// serve removes n, the next unit of its flow, from the queue, charges the flow
// for one mean run time and counts the unit as running.
func (k *kind) serve(n *node) {
	f := n.flow
	f.lastSizeClass = n.sizeClass
	k.virtualTime = max(k.virtualTime, f.virtualStart)
	f.virtualStart += 1 / f.weight
	k.dequeue(n)
	if f.heapIndex >= 0 {
		k.active.fix(f.heapIndex)
	}
	k.running++
}

// maxChargedRunTimes bounds the charge for one unit, as a multiple of the
// kind's mean run time.
const maxChargedRunTimes = 20

// adjustCharge replaces the mean run time that serve charged for a unit by the
// time it took. Teams thereby share slot time rather than starts: a team with
// long tasks gets fewer starts.
func (k *kind) adjustCharge(f *flow, took time.Duration) {
	cost := min(float64(took)/float64(k.service.MeanSlotTime()), maxChargedRunTimes)
	f.virtualStart += (cost - 1) / f.weight
	if f.heapIndex >= 0 {
		k.active.fix(f.heapIndex)
	}
}

func (k *kind) deactivate(f *flow) {
	k.active.remove(f)
	k.weightSum -= f.weight
	if len(k.active) == 0 {
		k.weightSum = 0 // discards the accumulated rounding error
	}
}

// peek returns the kind's next unit without removing it, or nil if none is
// queued.
func (k *kind) peek() *node {
	if len(k.active) == 0 {
		return nil
	}
	return k.active[0].peek()
}

// unitsAhead returns how many queued units are served before the last of n new
// units of the team in the given size class. It is the sum of the team's own
// units that are served first and the units that the other teams may start
// meanwhile, and never more than the number of queued units.
func (k *kind) unitsAhead(team string, weight float64, class, n int) float64 {
	f := k.flows[team]
	if f == nil || f.length == 0 {
		// The other active teams get turns in proportion to their weights.
		return min(float64(k.queued), float64(n)*k.weightSum/weight)
	}
	own := f.unitsBefore(class, n)
	others := (own + float64(n)) * (k.weightSum - f.weight) / f.weight
	return min(float64(k.queued), own+others)
}
