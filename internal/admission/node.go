package admission

import "time"

// state is the position of a node in its life cycle.
type state uint8

const (
	stateQueued state = iota + 1
	stateRunning
	stateExpired // removed from its flow but not yet returned by Expire
)

// node is the queue's record of a unit. It is linked into the lists of its
// flow, its group and the timing wheel, so that removing it takes constant
// time.
type node struct {
	unit      Unit
	state     state
	kind      *kind
	flow      *flow
	sizeClass int // of the unit's job, see function sizeClass
	// latestStart is the latest start that is still useful, in nanoseconds
	// since the Unix epoch.
	latestStart int64
	seq         uint64 // order of arrival

	flowPrev, flowNext   *node
	groupPrev, groupNext *node
	wheelPrev, wheelNext *node
	bucket               int
}

const (
	wheelBuckets = 2048
	wheelTick    = int64(8 * time.Millisecond)
)

// timingWheel holds the queued nodes by their latest start, in a ring of
// buckets that is traversed once in 16 s. A node that is due in a later
// traversal stays in its bucket.
type timingWheel struct {
	buckets  [wheelBuckets]*node
	lastTick int64 // last processed tick, counted from the Unix epoch
}

func (w *timingWheel) add(n *node) {
	// A node that is already due goes into the bucket that is processed next.
	interval := max(n.latestStart/wheelTick, w.lastTick+1)
	n.bucket = int(interval % wheelBuckets)
	head := w.buckets[n.bucket]
	n.wheelPrev, n.wheelNext = nil, head
	if head != nil {
		head.wheelPrev = n
	}
	w.buckets[n.bucket] = n
}

func (w *timingWheel) remove(n *node) {
	if n.wheelPrev != nil {
		n.wheelPrev.wheelNext = n.wheelNext
	} else {
		w.buckets[n.bucket] = n.wheelNext
	}
	if n.wheelNext != nil {
		n.wheelNext.wheelPrev = n.wheelPrev
	}
	n.wheelPrev, n.wheelNext = nil, nil
}

// advance processes all ticks that ended before now and calls visit for each
// node whose latest start has passed. visit may remove the node.
func (w *timingWheel) advance(now int64, visit func(*node)) {
	last := now/wheelTick - 1
	if w.lastTick < last-wheelBuckets {
		w.lastTick = last - wheelBuckets
	}
	for w.lastTick < last {
		w.lastTick++
		for n := w.buckets[w.lastTick%wheelBuckets]; n != nil; {
			next := n.wheelNext
			if n.latestStart < now {
				visit(n)
			}
			n = next
		}
	}
}
