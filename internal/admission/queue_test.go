package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/manifest"
	"currantstall/internal/rapidtest"
	"currantstall/internal/verdict"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 5, 1000) }

var epoch = time.UnixMilli(1_800_000_000_000)

func alwaysRoom(Unit) bool { return true }

// drawKinds returns 2 to 5 kinds whose shares sum to at most 1.
func drawKinds(t *rapid.T) []manifest.Kind {
	kinds := make([]manifest.Kind, rapid.IntRange(2, 5).Draw(t, "kinds"))
	left := 100
	for i := range kinds {
		share := rapid.IntRange(0, left).Draw(t, "share")
		left -= share
		kinds[i] = manifest.Kind{
			Name:      fmt.Sprintf("kind%d", i),
			Urgency:   rapid.IntRange(0, 3).Draw(t, "urgency"),
			Share:     float64(share) / 100,
			ServiceMS: 100,
		}
	}
	return kinds
}

// model tracks the units that the queue should hold.
type model struct {
	q       *Queue
	now     time.Time
	next    uint64
	queued  map[uint64]Unit
	running map[uint64]Unit
	slots   int
}

func (m *model) offer(t *rapid.T, kinds []manifest.Kind) {
	m.next++
	group := m.next
	kind := rapid.SampledFrom(kinds).Draw(t, "kind").Name
	team := rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "team")
	deadline := m.now.Add(time.Duration(rapid.IntRange(-10, 30_000).Draw(t, "deadline")) * time.Millisecond)
	offloaded := rapid.Bool().Draw(t, "offloaded")
	units := make([]Unit, rapid.IntRange(1, 8).Draw(t, "tasks"))
	size := rapid.SampledFrom([]int{0, 1, 20, 200}).Draw(t, "job size")
	for i := range units {
		m.next++
		units[i] = Unit{ID: m.next, Group: group, Kind: kind, Team: team, Deadline: deadline, Offloaded: offloaded, JobSize: size}
	}
	if err := m.q.Offer(m.now, units); err != nil {
		assert.Equal(t, err.Verdict, verdict.NotRun)
		return
	}
	for _, u := range units {
		m.queued[u.ID] = u
	}
}

func (m *model) start(t *rapid.T) {
	u, ok := m.q.Next(m.now, alwaysRoom)
	if !ok {
		return
	}
	_, known := m.queued[u.ID]
	assert.Assert(t, known, "unit %d was not queued", u.ID)
	delete(m.queued, u.ID)
	m.running[u.ID] = u
	assert.Assert(t, len(m.running) <= m.slots, "%d units run on %d slots", len(m.running), m.slots)
	assert.Assert(t, u.Deadline.After(m.now), "started after its deadline")
}

func (m *model) removeQueued(t *rapid.T, units []Unit) {
	for _, u := range units {
		_, known := m.queued[u.ID]
		assert.Assert(t, known, "unit %d was not queued", u.ID)
		delete(m.queued, u.ID)
	}
}

// pickID returns the smallest ID in units that is at least as large as a random
// one, so that the choice depends only on the draw.
func pickID(t *rapid.T, units map[uint64]Unit, upTo uint64) (uint64, bool) {
	from := rapid.Uint64Range(0, upTo).Draw(t, "id")
	best, found := uint64(math.MaxUint64), false
	for id := range units {
		if id >= from && id < best {
			best, found = id, true
		}
	}
	return best, found
}

func (m *model) check(t *rapid.T) {
	nq, nr := m.q.Len()
	assert.Equal(t, nq+len(m.q.expired), len(m.queued))
	assert.Equal(t, nr, len(m.running))
	sumQueued, sumRunning := 0, 0
	for _, k := range m.q.Stats().Kinds {
		sumQueued += k.Queued
		sumRunning += k.Running
	}
	assert.Equal(t, sumQueued, nq)
	assert.Equal(t, sumRunning, nr)
}

// assertNoResidue fails if the queue still holds any state of a past unit.
func assertNoResidue(t *rapid.T, q *Queue) {
	assert.Equal(t, len(q.units), 0)
	assert.Equal(t, len(q.groupHeads), 0)
	assert.Equal(t, len(q.expired), 0)
	for _, head := range q.wheel.buckets {
		assert.Assert(t, head == nil)
	}
	for _, k := range q.kinds {
		assert.Equal(t, len(k.active), 0)
		assert.Equal(t, k.weightSum, 0.0)
		for _, f := range k.flows {
			assert.Assert(t, f.length == 0 && f.heapIndex == -1)
			for _, l := range f.lists {
				assert.Equal(t, l, list{})
			}
		}
	}
}

// Each unit leaves the queue exactly once, by start, cancel, expiry or offload.
// No more units run than there are slots, and no state is left behind.
func TestUnitAccountingIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := drawKinds(t)
		m := &model{q: New(Config{MaxQueued: 60}), now: epoch, queued: map[uint64]Unit{}, running: map[uint64]Unit{}}
		m.q.Configure(m.now, kinds, []manifest.Team{{Name: "a"}, {Name: "b", Weight: 3}, {Name: "c", RatePerSecond: 20}}, manifest.Limits{})
		m.slots = rapid.IntRange(0, 40).Draw(t, "slots")
		m.q.SetCapacity(float64(m.slots))
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) { m.offer(t, kinds) },
			"start": func(t *rapid.T) { m.start(t) },
			"finish": func(t *rapid.T) {
				if id, ok := pickID(t, m.running, m.next); ok {
					m.q.Finish(m.now, id, time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond, rapid.Bool().Draw(t, "ok"))
					delete(m.running, id)
				}
			},
			"cancel": func(t *rapid.T) {
				id, ok := pickID(t, m.queued, m.next)
				if ok && m.q.Cancel(id) {
					delete(m.queued, id)
				}
			},
			"cancel group": func(t *rapid.T) {
				group := rapid.Uint64Range(1, m.next+1).Draw(t, "group")
				n := m.q.CancelGroup(group)
				before := len(m.queued)
				expired := map[uint64]bool{}
				for _, u := range m.q.expired {
					expired[u.ID] = true
				}
				for id, u := range m.queued {
					if u.Group == group && !expired[id] {
						delete(m.queued, id)
					}
				}
				assert.Equal(t, before-len(m.queued), n)
			},
			"expire": func(t *rapid.T) { m.removeQueued(t, m.q.Expire(m.now)) },
			"shed": func(t *rapid.T) {
				units := m.q.TakeForOffload(rapid.IntRange(0, 5).Draw(t, "n"), nil)
				for _, u := range units {
					assert.Assert(t, !u.Offloaded)
				}
				m.removeQueued(t, units)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"capacity": func(t *rapid.T) { m.resize(rapid.IntRange(0, 40).Draw(t, "slots")) },
			"":         func(t *rapid.T) { m.check(t) },
		})
		for id := range m.running {
			m.q.Finish(m.now, id, time.Millisecond, true)
		}
		m.now = m.now.Add(time.Minute)
		m.removeQueued(t, m.q.Expire(m.now))
		assert.Equal(t, len(m.queued), 0)
		assertNoResidue(t, m.q)
	})
}

// resize changes the capacity, but never below the number of running units.
func (m *model) resize(slots int) {
	m.slots = max(slots, len(m.running))
	m.q.SetCapacity(float64(m.slots))
}

// While every kind has a backlog, each kind acquires the whole slots of its
// guarantee and keeps them, whichever kind held the slots before. Each kind
// starts some units, however small its share.
func TestGuaranteedSharesHoldUnderFlood(t *testing.T) {
	const run = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		kinds := drawKinds(t)
		slots := rapid.IntRange(1, 60).Draw(t, "slots")
		q := New(Config{})
		q.Configure(epoch, kinds, nil, manifest.Limits{})
		q.SetCapacity(float64(slots))
		now, id := epoch, uint64(0)
		held := []Unit{}
		started := map[string]int{}
		offer := func(kind string) {
			id++
			if err := q.Offer(now, []Unit{{ID: id, Group: id, Kind: kind, Deadline: now.Add(24 * time.Hour)}}); err != nil {
				t.Fatal(err)
			}
		}
		fill := func() {
			for u, ok := q.Next(now, alwaysRoom); ok; u, ok = q.Next(now, alwaysRoom) {
				held = append(held, u)
				started[u.Kind]++
				offer(u.Kind)
			}
		}
		flood := rapid.SampledFrom(kinds).Draw(t, "first flood").Name
		for range slots {
			offer(flood)
		}
		fill()
		for _, k := range kinds {
			offer(k.Name)
		}
		clear(started)
		// Units end in a drawn order, but every second one is the oldest, so
		// that no unit holds its slot forever.
		ends := rapid.SliceOfN(rapid.IntRange(0, slots-1), 4, 4).Draw(t, "ends")
		step := run / time.Duration(slots)
		reached := false
		for i := 0; i < 40*slots; i++ {
			now = now.Add(step)
			j := ends[i%len(ends)] % len(held)
			if i%2 == 0 {
				j = 0
			}
			q.Finish(now, held[j].ID, run, true)
			held = append(held[:j], held[j+1:]...)
			fill()
			assert.Assert(t, guaranteesHeld(q) || !reached, "a guarantee was lost: %+v", q.Stats())
			reached = guaranteesHeld(q)
		}
		assert.Assert(t, reached, "a guarantee was never reached: %+v", q.Stats())
		// 400 run times are enough for a kind with the least guarantee, a 200th
		// of the slots.
		for i := 0; i < 400*slots && len(started) < len(kinds); i++ {
			now = now.Add(step)
			q.Finish(now, held[0].ID, run, true)
			held = held[1:]
			fill()
		}
		for _, k := range kinds {
			assert.Assert(t, started[k.Name] > 0, "%s starved: %+v", k.Name, q.Stats())
		}
	})
}

// guaranteesHeld reports whether each kind holds the whole slots of its
// guarantee.
func guaranteesHeld(q *Queue) bool {
	for _, k := range q.kinds {
		if float64(k.running) < math.Floor(k.guaranteed(q.capacity)) {
			return false
		}
	}
	return true
}
