package admission

import "time"

// state says where a node is.
type state uint8

const (
	queued state = iota + 1
	running
	expired // removed from its flow, not yet returned by Expire
)

// node is the queue's record of a unit. It is linked into the lists of its
// flow, its group and the expiry wheel, so that removal takes constant time.
type node struct {
	unit  Unit
	state state
	kind  *kind
	flow  *flow
	class int // of job size, see sizeClass
	// lastStart is the latest useful start, in ns since the epoch.
	lastStart int64
	order     uint64 // of arrival

	flowPrev, flowNext   *node
	groupPrev, groupNext *node
	wheelPrev, wheelNext *node
	spoke                int
}

const (
	wheelSpokes   = 2048
	wheelInterval = int64(8 * time.Millisecond)
)

// wheel holds queued nodes by their latest start, in a ring of lists that is
// passed once in 16 s. A node that is due in a later round stays in its list.
type wheel struct {
	spokes [wheelSpokes]*node
	passed int64 // intervals since the epoch that were looked at
}

func (w *wheel) add(n *node) {
	// A node that is already due goes to the list that is looked at next.
	interval := max(n.lastStart/wheelInterval, w.passed+1)
	n.spoke = int(interval % wheelSpokes)
	head := w.spokes[n.spoke]
	n.wheelPrev, n.wheelNext = nil, head
	if head != nil {
		head.wheelPrev = n
	}
	w.spokes[n.spoke] = n
}

func (w *wheel) remove(n *node) {
	if n.wheelPrev != nil {
		n.wheelPrev.wheelNext = n.wheelNext
	} else {
		w.spokes[n.spoke] = n.wheelNext
	}
	if n.wheelNext != nil {
		n.wheelNext.wheelPrev = n.wheelPrev
	}
	n.wheelPrev, n.wheelNext = nil, nil
}

// due calls visit for each node whose latest start lies in an interval that
// has ended before now. visit may remove the node.
func (w *wheel) due(now int64, visit func(*node)) {
	last := now/wheelInterval - 1
	if w.passed < last-wheelSpokes {
		w.passed = last - wheelSpokes
	}
	for w.passed < last {
		w.passed++
		for n := w.spokes[w.passed%wheelSpokes]; n != nil; {
			next := n.wheelNext
			if n.lastStart < now {
				visit(n)
			}
			n = next
		}
	}
}
