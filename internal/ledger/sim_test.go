package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"currantstall/internal/key"
	"currantstall/internal/membership"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// world simulates a few members with a network, a table and clocks that fail.
// It is deterministic: all time and randomness come from the world.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	events   eventHeap
	seq      int
	nodes    []*node
	cut      map[[2]int]bool
	loss     float64 // rate at which messages are lost or duplicated, and at which they are delayed
	table    table
	keys     []key.Key
	hist     history
	disabled disabledSafeguards
	// shortPromiseLease makes promise leases end 2 s after the last read, and
	// lets entries restart at other addresses: it is then uncertain whether
	// their earlier incarnations have ended.
	shortPromiseLease bool
	// noReadBack treats a put without a response as applied.
	noReadBack bool
	failure    string
	faultsOver bool
}

const (
	simDC        = "rennes"
	tickInterval = 25 * time.Millisecond
)

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (w *world) config() membership.Config {
	c := membership.DefaultConfig(simDC)
	if w.shortPromiseLease {
		c.MaxPromiseLease = 2 * time.Second
		c.SlowPollInterval = time.Second
		c.ChallengeInterval = 3 * time.Second
	}
	return c
}

func newWorld(seed uint64, members int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]int]bool)}
	w.hist.init()
	for i := range members {
		n := &node{w: w, index: i, name: fmt.Sprintf("vm%d", i)}
		n.clockOffset = time.Duration(w.rng.IntN(1000)-500) * time.Millisecond
		n.clockRate = 0.98 + 0.04*w.rng.Float64()
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, run})
}

// advance advances the simulated time by d, or until a property fails.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end && w.failure == "" {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) newKey() key.Key {
	var id uuid.UUID
	ms := simEpoch.Add(w.now).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	for i := 6; i < 16; i++ {
		id[i] = byte(w.rng.Uint32())
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return key.Key{DC: simDC, ID: id}
}

// deliver delivers a message to an incarnation of an entry, or loses,
// duplicates or delays it.
func (w *world) deliver(from *node, to structs.Member, receive func(*node)) {
	target := w.nodes[int(to.Name[2]-'0')]
	copies := 1
	if w.rng.Float64() < w.loss {
		copies = w.rng.IntN(3)
	}
	for range copies {
		delay := 200*time.Microsecond + w.upTo(time.Millisecond)
		if w.rng.Float64() < w.loss {
			delay += w.upTo(2 * time.Second)
		}
		w.after(delay, func() {
			if w.cut[[2]int{from.index, target.index}] {
				return
			}
			target.inIncarnation(to.Incarnation, func() { receive(target) })
		})
	}
}

// table simulates the table with the view's row, including its faults.
type table struct {
	mode    tableMode
	version uint64
	view    structs.View
}

type tableMode uint8

const (
	tableUp tableMode = iota
	tableDown
	tableSlow
	tableLossy // responses are lost; writes take effect now, later or not at all
	tableModes
)

func (w *world) tableDelay() time.Duration {
	if w.table.mode == tableSlow {
		return w.upTo(1500 * time.Millisecond)
	}
	return time.Millisecond + w.upTo(3*time.Millisecond)
}

func (w *world) read(n *node, answer func(ok bool, version uint64, v structs.View)) {
	w.after(w.tableDelay(), func() {
		ok := !n.tableCut && w.table.mode != tableDown && (w.table.mode != tableLossy || w.rng.IntN(2) == 0)
		version, v := w.table.version, w.table.view
		w.after(w.tableDelay(), func() { answer(ok, version, v) })
	})
}

func (w *world) put(n *node, p membership.PutRow, answer func(membership.PutResult)) {
	apply := func() bool {
		if w.table.version != p.RowVersion {
			return false
		}
		w.table.version++
		w.table.view = p.View
		return true
	}
	w.after(w.tableDelay(), func() {
		result := membership.PutNotApplied
		switch {
		case n.tableCut || w.table.mode == tableDown:
		case w.table.mode == tableLossy:
			result = membership.PutUnknown
			if w.rng.IntN(3) > 0 {
				w.after(w.upTo(time.Second), func() { apply() })
			}
		default:
			if apply() {
				result = membership.PutApplied
			}
		}
		if result == membership.PutUnknown && w.noReadBack {
			result = membership.PutApplied
		}
		w.after(w.tableDelay(), func() { answer(result) })
	})
}

// history records what callers and targets observed.
type history struct {
	started  map[uuid.UUID]bool
	refused  map[uuid.UUID]time.Duration // last not_run
	grantors map[grantID]structs.Member
	served   map[uuid.UUID]bool
	starts   int
	refusals int
}

type grantID struct {
	id   uuid.UUID
	view uint64
}

func (h *history) init() {
	h.started = make(map[uuid.UUID]bool)
	h.refused = make(map[uuid.UUID]time.Duration)
	h.grantors = make(map[grantID]structs.Member)
	h.served = make(map[uuid.UUID]bool)
}

// start records the start of work and checks it against earlier starts and
// refusals.
func (w *world) start(req *request) {
	id := req.key.ID
	if w.hist.started[id] {
		w.fail("started twice: key %s at %s", id, req.ledger.self.Name)
	}
	if t, ok := w.hist.refused[id]; ok && req.received < t {
		w.fail("not_run at %v, then started: key %s received at %s at %v", t, id, req.ledger.self.Name, req.received)
	}
	w.hist.started[id] = true
	w.hist.starts++
}

func (w *world) notRun(k key.Key, who, why string) {
	if w.hist.started[k.ID] {
		w.fail("not_run after a start: key %s at %s (%s)", k.ID, who, why)
	}
	w.hist.refused[k.ID] = w.now
	w.hist.refusals++
}

func (w *world) grant(id uuid.UUID, view uint64, by structs.Member) {
	g := grantID{id, view}
	if other, ok := w.hist.grantors[g]; ok && !other.Same(by) {
		w.fail("view %d grants key %s at %s and %s", view, id, other.Name, by.Name)
	}
	w.hist.grantors[g] = by
}

// request is one copy of a request at one entry.
type request struct {
	key      key.Key
	received time.Duration
	ledger   *Ledger
	refuse   bool
	digest   uint64
}

func completed() structs.Outcome {
	return structs.Outcome{Verdict: verdict.Completed, Answers: [][]byte{[]byte("answer")}}
}
