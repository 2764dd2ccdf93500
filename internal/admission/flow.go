package admission

// sizeClasses is the number of classes of job sizes: 1 task, up to 15, up to
// 127, and more.
const sizeClasses = 4

// sizeClass returns the class of a job of so many tasks.
func sizeClass(tasks int) int {
	switch {
	case tasks <= 1:
		return 0
	case tasks < 16:
		return 1
	case tasks < 128:
		return 2
	}
	return sizeClasses - 1
}

// flow is the queue of one team within one kind: a list, first in first out,
// for each class of job sizes. The classes that have work take turns, so that
// a short job of a team does not wait until its long ones are over, and a long
// one is delayed by the short ones for as many turns as they have tasks.
type flow struct {
	weight float64
	// virtualStart is the virtual virtualStart time of the next unit: each unit of the
	// flow takes 1/weight of virtual time.
	virtualStart float64
	seq          uint64 // breaks ties of start by age
	lists        [sizeClasses]list
	lastClass    int // class that was served last
	length       int
	heapIndex    int // in the heap, -1 while empty
}

// list is a doubly linked list of nodes.
type list struct {
	head, tail *node
	length     int
}

// pushBack appends n to the list of its class.
func (f *flow) pushBack(n *node) {
	l := &f.lists[n.class]
	n.flowPrev, n.flowNext = l.tail, nil
	if l.tail != nil {
		l.tail.flowNext = n
	} else {
		l.head = n
	}
	l.tail = n
	l.length++
	f.length++
}

// unlink removes n from the list of its class.
func (f *flow) unlink(n *node) {
	l := &f.lists[n.class]
	if n.flowPrev != nil {
		n.flowPrev.flowNext = n.flowNext
	} else {
		l.head = n.flowNext
	}
	if n.flowNext != nil {
		n.flowNext.flowPrev = n.flowPrev
	} else {
		l.tail = n.flowPrev
	}
	n.flowPrev, n.flowNext = nil, nil
	l.length--
	f.length--
}

// peek returns the unit that is next within the flow, or nil.
func (f *flow) peek() *node {
	for i := range sizeClasses {
		if n := f.lists[(f.lastClass+1+i)%sizeClasses].head; n != nil {
			return n
		}
	}
	return nil
}

// unitsBefore returns the number of the flow's units that are served unitsBefore the
// last of n new ones of a class.
func (f *flow) unitsBefore(class, n int) float64 {
	own := f.lists[class].length
	others := 0
	for c := range f.lists {
		if c != class && f.lists[c].length > 0 {
			others += min(f.lists[c].length, own+n)
		}
	}
	return float64(own + others)
}

// flowHeap is a binary heap of the flows that have work, least virtual start
// first. It knows the position of each, so that one can be removed.
type flowHeap []*flow

func (h flowHeap) less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].seq < h[j].seq
}

func (h flowHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) push(f *flow) {
	f.heapIndex = len(*h)
	*h = append(*h, f)
	h.siftUp(f.heapIndex)
}

func (h *flowHeap) remove(f *flow) {
	old := *h
	last := len(old) - 1
	i := f.heapIndex
	old.swap(i, last)
	old[last] = nil
	*h = old[:last]
	f.heapIndex = -1
	if i < last {
		h.fix(i)
	}
}

func (h flowHeap) fix(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h flowHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h flowHeap) siftDown(i int) bool {
	from := i
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if right := child + 1; right < len(h) && h.less(right, child) {
			child = right
		}
		if !h.less(child, i) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > from
}
