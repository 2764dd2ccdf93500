package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/manifest"
)

// The simulation runs one queue on its slots, in simulated time, with Poisson
// arrivals and log-normal run times. A task is useful if it ends before its
// deadline. Floods of 20 times the capacity last for the whole simulation.
const (
	simSlots    = 57 // 400 slots over 7 entries
	simTime     = 60 * time.Second
	simWarmUp   = 5 * time.Second
	floodFactor = 20
)

// load is one stream of arrivals.
type load struct {
	kind, team string
	slots      float64       // mean number of slots that the stream keeps busy
	on, off    time.Duration // lengths of the bursts and of the pauses, if off is not zero
	batch      int           // tasks that arrive together, 0 means 1
}

type simEvent struct {
	at   time.Duration
	load int  // index of the load that arrives, if unit is empty
	unit Unit // unit that ends, if not empty
	took time.Duration
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(e any)        { *h = append(*h, e.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// loadStats holds the results of one load.
type loadStats struct {
	sent, onTime, late, rejected, expired int
	waits                                 []time.Duration
}

func (s *loadStats) p99() time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*99/100]
}

type simulation struct {
	q       *Queue
	rngs    []*rand.Rand // one per load, so that a flood does not change the draws of the other loads
	kinds   []manifest.Kind
	loads   []load
	events  simEvents
	now     time.Duration
	next    uint64
	owner   map[uint64]int           // index of the load of each unit
	took    map[uint64]time.Duration // run time of each unit
	stats   []loadStats
	useful  time.Duration // total run time of the useful tasks
	nowTime time.Time
}

// simulate runs the loads and returns the results of each, and the fraction of
// the capacity that did useful work.
func simulate(policy Policy, headroomPercent int, kinds []manifest.Kind, teams []manifest.Team, loads []load) ([]loadStats, float64) {
	s := &simulation{
		q: New(Config{Policy: policy}), kinds: kinds, loads: loads,
		owner: map[uint64]int{}, took: map[uint64]time.Duration{}, stats: make([]loadStats, len(loads)), nowTime: epoch,
	}
	s.q.Configure(epoch, kinds, teams, manifest.Limits{HeadroomPercent: headroomPercent})
	s.q.SetCapacity(simSlots)
	for i := range loads {
		s.rngs = append(s.rngs, rand.New(rand.NewPCG(5, uint64(i))))
		s.schedule(i)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simTime {
			break
		}
		s.now, s.nowTime = e.at, epoch.Add(e.at)
		s.step(e)
	}
	return s.stats, float64(s.useful) / float64(simSlots*(simTime-simWarmUp))
}

func (s *simulation) step(e simEvent) {
	if e.unit.ID != 0 {
		s.finish(e)
	} else {
		s.arrive(e.load)
		s.schedule(e.load)
	}
	for _, u := range s.q.Expire(s.nowTime) {
		s.stats[s.owner[u.ID]].expired++
		s.forget(u.ID)
	}
	for u, ok := s.q.Next(s.nowTime, alwaysRoom); ok; u, ok = s.q.Next(s.nowTime, alwaysRoom) {
		took := s.took[u.ID]
		if s.now >= simWarmUp {
			st := &s.stats[s.owner[u.ID]]
			st.waits = append(st.waits, s.nowTime.Sub(u.QueuedAt))
		}
		heap.Push(&s.events, simEvent{at: s.now + took, unit: u, took: took})
	}
}

func (s *simulation) finish(e simEvent) {
	s.q.Finish(s.nowTime, e.unit.ID, e.took, true)
	st := &s.stats[s.owner[e.unit.ID]]
	s.forget(e.unit.ID)
	if s.now < simWarmUp {
		return
	}
	if s.nowTime.After(e.unit.Deadline) {
		st.late++
		return
	}
	st.onTime++
	s.useful += e.took
}

func (s *simulation) forget(id uint64) {
	delete(s.owner, id)
	delete(s.took, id)
}

func (s *simulation) arrive(i int) {
	l := &s.loads[i]
	k := s.kind(l.kind)
	units := make([]Unit, max(1, l.batch))
	took := make([]time.Duration, len(units))
	s.next++
	group := s.next
	for j := range units {
		s.next++
		took[j] = runTime(s.rngs[i], k)
		units[j] = Unit{ID: s.next, Group: group, Kind: l.kind, Team: l.team, Deadline: s.nowTime.Add(k.Deadline())}
	}
	if s.now >= simWarmUp {
		s.stats[i].sent += len(units)
	}
	if err := s.q.Offer(s.nowTime, units); err != nil {
		if s.now >= simWarmUp {
			s.stats[i].rejected += len(units)
		}
		return
	}
	for j, u := range units {
		s.owner[u.ID], s.took[u.ID] = i, took[j]
	}
}

// schedule adds the next arrival of a load.
func (s *simulation) schedule(i int) {
	l := &s.loads[i]
	gap := float64(s.kind(l.kind).ServiceTime()) * float64(max(1, l.batch)) / l.slots
	at := s.now + time.Duration(s.rngs[i].ExpFloat64()*gap)
	if l.off > 0 {
		period := l.on + l.off
		if at%period >= l.on {
			at = (at/period + 1) * period
		}
	}
	heap.Push(&s.events, simEvent{at: at, load: i})
}

// runTime draws a run time from a log-normal distribution with the declared
// mean, limited to the range from 50 ms to the larger of 1 s and twice the
// mean.
func runTime(rng *rand.Rand, k *manifest.Kind) time.Duration {
	const sigma = 0.5
	took := float64(k.ServiceTime()) * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	return time.Duration(max(float64(50*time.Millisecond), min(max(float64(time.Second), 2*float64(k.ServiceTime())), took)))
}

func (s *simulation) kind(name string) *manifest.Kind {
	for i := range s.kinds {
		if s.kinds[i].Name == name {
			return &s.kinds[i]
		}
	}
	return nil
}

// simKinds returns the kinds of a payment service and one kind of long tasks.
func simKinds() []manifest.Kind {
	return []manifest.Kind{
		{Name: "unlock", Urgency: 3, Share: 0.4, DeadlineMS: 2000, ServiceMS: 200},
		{Name: "reconcile", Urgency: 2, Share: 0.3, DeadlineMS: 4000, ServiceMS: 400},
		{Name: "balance", Urgency: 1, Share: 0.2, DeadlineMS: 1500, ServiceMS: 150},
		{Name: "export", Urgency: 0, Share: 0.02, DeadlineMS: 20_000, ServiceMS: 3000},
	}
}

// loadsWithinGuarantee returns a load for each kind but one and the long tasks,
// each offering part of the kind's guarantee.
func loadsWithinGuarantee(part float64, except string) []load {
	var loads []load
	for _, k := range simKinds() {
		if k.Name != except && k.Name != "export" {
			loads = append(loads, load{kind: k.Name, team: "a", slots: part * k.Share * simSlots})
		}
	}
	return loads
}

func flood(kind, team string) load {
	return load{kind: kind, team: team, slots: floodFactor * simSlots}
}

// keptFraction returns the number of useful completions with the flood as a
// fraction of those without it.
func keptFraction(with, without loadStats) float64 {
	return float64(with.onTime) / float64(without.onTime)
}

// floodCase is one flood and the loads that must be unaffected by it.
type floodCase struct {
	name  string
	loads []load
	flood load
}

func floodCases() []floodCase {
	bursts := loadsWithinGuarantee(0.9, "balance")
	for i := range bursts {
		bursts[i].on, bursts[i].off = 2*time.Second, 3*time.Second
	}
	jobs := loadsWithinGuarantee(0.7, "balance")
	for i := range jobs {
		jobs[i].batch = 10
	}
	teams := loadsWithinGuarantee(0.9, "unlock")
	teams = append(teams, load{kind: "unlock", team: "b", slots: 0.15 * simSlots}, load{kind: "unlock", team: "c", slots: 0.15 * simSlots})
	return []floodCase{
		{"bottom", loadsWithinGuarantee(0.9, "balance"), flood("balance", "x")},
		{"top", loadsWithinGuarantee(0.9, "unlock"), flood("unlock", "x")},
		{"bottom_bursts", bursts, flood("balance", "x")},
		{"bottom_batches", jobs, flood("balance", "x")},
		{"bottom_idle", nil, flood("balance", "x")},
		{"bottom_long", bursts, flood("export", "x")},
		{"team", teams, flood("unlock", "x")},
	}
}

// The default policy preserves the guaranteed loads under a flood and uses the
// capacity.
func TestFloodKeepsGuaranteedLoad(t *testing.T) {
	for _, c := range floodCases() {
		t.Run(c.name, func(t *testing.T) {
			without, _ := simulate(Shares, 0, simKinds(), nil, c.loads)
			with, used := simulate(Shares, 0, simKinds(), nil, append(slices.Clone(c.loads), c.flood))
			for i, l := range c.loads {
				part := keptFraction(with[i], without[i])
				assert.Assert(t, part >= 0.95, "%s of team %s kept %.3f", l.kind, l.team, part)
			}
			assert.Assert(t, used >= 0.95, "used %.3f", used)
		})
	}
}

// BenchmarkFlood prints the measurements of docs/design/flood.md.
func BenchmarkFlood(b *testing.B) {
	for _, p := range []struct {
		name     string
		policy   Policy
		headroom int
	}{
		{"fifo", FIFO, 0}, {"turns", TakeTurns, 0},
		{"shares_headroom_1", Shares, 1}, {"shares_headroom_2", Shares, 2}, {"shares_headroom_5", Shares, 5},
		{"shares_headroom_10", Shares, 10}, {"shares_headroom_20", Shares, 20}, {"shares_headroom_100", Shares, 100},
	} {
		for _, c := range floodCases() {
			b.Run(p.name+"/"+c.name, func(b *testing.B) {
				for b.Loop() {
					without, _ := simulate(Shares, 0, simKinds(), nil, c.loads)
					with, used := simulate(p.policy, p.headroom, simKinds(), nil, append(slices.Clone(c.loads), c.flood))
					for i, l := range c.loads {
						b.ReportMetric(keptFraction(with[i], without[i]), fmt.Sprintf("kept_%s_%s", l.kind, l.team))
						b.ReportMetric(float64(with[i].p99())/1e6, fmt.Sprintf("p99_wait_ms_%s_%s", l.kind, l.team))
					}
					last := with[len(with)-1]
					b.ReportMetric(float64(last.late)/float64(max(1, last.late+last.onTime)), "late")
					b.ReportMetric(used, "used")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}
