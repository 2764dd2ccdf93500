package admission

// sizeClasses is the number of job size classes: 1 task, 2 to 15 tasks, 16 to
// 127 tasks, and 128 tasks or more.
const sizeClasses = 4

// sizeClass returns the size class of a job with the given number of tasks.
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

// flow is the queue of one team within one kind. It has one FIFO list per job
// size class and serves the non-empty classes in turn, so that a team's short
// jobs do not wait for its long jobs to finish. Each short job delays a long
// job by only as many turns as the short job has tasks.
type flow struct {
	weight float64
	// virtualStart is the virtual start time of the next unit. Each unit of the
	// flow takes 1/weight of virtual time.
	virtualStart  float64
	seq           uint64 // breaks ties of virtualStart, older first
	lists         [sizeClasses]list
	lastSizeClass int // size class served last
	length        int
	heapIndex     int // position in flowHeap, -1 while the flow is empty
}

// list is a doubly linked list of nodes.
type list struct {
	head, tail *node
	length     int
}

// pushBack appends n to the list of its size class.
func (f *flow) pushBack(n *node) {
	l := &f.lists[n.sizeClass]
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

// unlink removes n from the list of its size class.
func (f *flow) unlink(n *node) {
	l := &f.lists[n.sizeClass]
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

// peek returns the flow's next unit without removing it, or nil if the flow is
// empty.
func (f *flow) peek() *node {
	for i := range sizeClasses {
		if n := f.lists[(f.lastSizeClass+1+i)%sizeClasses].head; n != nil {
			return n
		}
	}
	return nil
}

// unitsBefore returns how many of the flow's queued units are served before the
// last of n new units of the given size class.
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

// flowHeap is a binary heap of the non-empty flows, ordered by the lowest
// virtual start. Each flow stores its position in the heap, so that any flow
// can be removed.
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
