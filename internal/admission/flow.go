package admission

// flow is the queue of one team within one kind, first in first out.
type flow struct {
	weight float64
	// start is the virtual start time of the head: each unit of the flow
	// takes 1/weight of virtual time.
	start  float64
	order  uint64 // breaks ties of start by age
	head   *node
	tail   *node
	length int
	pos    int // in the heap, -1 while empty
}

// flowHeap is a binary heap of the flows that have work, least virtual start
// first. It knows the position of each, so that one can be removed.
type flowHeap []*flow

func (h flowHeap) less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h flowHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *flowHeap) push(f *flow) {
	f.pos = len(*h)
	*h = append(*h, f)
	h.up(f.pos)
}

func (h *flowHeap) remove(f *flow) {
	old := *h
	last := len(old) - 1
	i := f.pos
	old.swap(i, last)
	old[last] = nil
	*h = old[:last]
	f.pos = -1
	if i < last {
		h.fix(i)
	}
}

func (h flowHeap) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h flowHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h flowHeap) down(i int) bool {
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
