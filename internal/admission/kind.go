package admission

import (
	"math"
	"time"

	"currantstall/internal/estimate"
	"currantstall/internal/manifest"
)

// arrivalDecayTime is the time over which the usual arrival rate of a kind is
// remembered.
const arrivalDecayTime = 30 * time.Second

// offeredLoadInterval is how often the usual use of a kind is computed.
const offeredLoadInterval = 100 * time.Millisecond

// kind is the queue and the accounts of one kind.
type kind struct {
	name           string
	urgency        int
	share          float64 // guaranteed part of the capacity, at least minShare
	removed        bool    // no longer in the manifest
	service        *estimate.ServiceTime
	flows          map[string]*flow
	active         flowHeap
	weightSum      float64 // sum of the weights of the active flows
	virtualTime    float64 // virtual time: start of the last unit served
	running        int
	queued         int
	skippedRound   uint64  // the round of Next in which there was no room
	arrivals       float64 // decayed number of arrivals
	lastArrival    time.Time
	lastStartSeq   uint64 // of the last start, in starts of the queue
	peerCapacity   int    // units that peers could start
	peerWait       time.Duration
	loadComputedAt time.Time
	cachedLoad     float64
	fractionCredit float64 // slot time not used of the guarantee's fraction, ns
	creditUpdated  time.Time
}

func newKind(m *manifest.Kind) *kind {
	return &kind{name: m.Name, service: estimate.NewServiceTime(m.Service()), flows: map[string]*flow{}}
}

// guaranteed returns the slots that the kind may always use.
func (k *kind) guaranteed(capacity float64) float64 { return k.share * capacity }

// unusedGuarantee returns the part of the guarantee that is not in use, in slots.
func (k *kind) unusedGuarantee(capacity float64) float64 {
	return max(0, k.guaranteed(capacity)-float64(k.running))
}

// entitled reports whether the kind may start a unit on its guarantee. The
// whole slots of it hold at any moment. The fraction of a slot that remains is
// granted over time, by credit: without that, kinds with small guarantees would
// take a slot each whenever they have none, and starve one another and the
// kinds with large ones.
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

// updateCredit brings the credit up to date; call it before running changes. The
// credit is bounded by one run time either way, so that neither idleness nor
// use of spare slots is remembered for long.
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

// offeredLoad returns the slots that the kind's offeredLoad arrivals keep busy, as of the
// last usualInterval.
func (k *kind) offeredLoad(now time.Time) float64 {
	if now.Sub(k.loadComputedAt) >= offeredLoadInterval {
		perNanosecond := k.decayedArrivals(now) / float64(arrivalDecayTime)
		k.cachedLoad = perNanosecond * float64(k.service.MeanSlotTime())
		k.loadComputedAt = now
	}
	return k.cachedLoad
}

// enqueue appends a node to the flow of that name, its team's.
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
	// A flow that was idle starts at the present virtual time: it gains
	// nothing from the past, and waits for nobody's backlog.
	f.weight = weight
	f.virtualStart = max(f.virtualStart, k.virtualTime)
	f.seq = n.seq
	k.active.push(f)
	k.weightSum += weight
}

// dequeue removes a node from its flow without serving it.
func (k *kind) dequeue(n *node) {
	f := n.flow
	f.unlink(n)
	k.queued--
	if f.length == 0 {
		k.deactivate(f)
	}
}

// serve removes the head of the first flow and charges the flow for it.
func (k *kind) serve(n *node) {
	f := n.flow
	f.lastClass = n.class
	k.virtualTime = max(k.virtualTime, f.virtualStart)
	f.virtualStart += 1 / f.weight
	k.dequeue(n)
	if f.heapIndex >= 0 {
		k.active.fix(f.heapIndex)
	}
	k.running++
}

// maxChargedRunTimes bounds what one unit is charged, in mean run times.
const maxChargedRunTimes = 20

// adjustCharge corrects what serve charged for a unit, one mean run time, to what it
// took: teams share the slots' time, so that one with long tasks gets fewer.
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
		k.weightSum = 0 // drops what rounding left
	}
}

// peek returns the unit that is next within the kind, or nil.
func (k *kind) peek() *node {
	if len(k.active) == 0 {
		return nil
	}
	return k.active[0].peek()
}

// unitsAhead returns the number of units that are served before the last of n new
// ones of the team: at most all that are queued, and at most the team's own
// that go first and what the others may have served meanwhile.
func (k *kind) unitsAhead(team string, weight float64, class, n int) float64 {
	f := k.flows[team]
	if f == nil || f.length == 0 {
		// Each other team, by weight, has its turns meanwhile.
		return min(float64(k.queued), float64(n)*k.weightSum/weight)
	}
	own := f.unitsBefore(class, n)
	others := (own + float64(n)) * (k.weightSum - f.weight) / f.weight
	return min(float64(k.queued), own+others)
}
