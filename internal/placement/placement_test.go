package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/rapidtest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 5, 1000) }

var epoch = time.UnixMilli(1_800_000_000_000)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s%d", prefix, i)
	}
	return list
}

// Every member computes the same owners, and none owns more than its even
// share. Losing one member or one target leaves most other targets with their
// owners.
func TestOwnersAreBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names(rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "members"), rapid.IntRange(1, 12).Draw(t, "m"))
		targets := names(rapid.StringMatching(`[a-z]{1,4}`).Draw(t, "targets"), rapid.IntRange(1, 200).Draw(t, "n"))
		owners := AssignOwners(members, targets)
		load := make([]int, len(members))
		for _, o := range owners {
			load[o]++
		}
		even := (len(targets) + len(members) - 1) / len(members)
		assert.Assert(t, slices.Max(load) <= even, "load %v of %d targets", load, len(targets))

		owned := map[string]string{}
		for i, o := range owners {
			owned[targets[i]] = members[o]
		}
		shuffledM := rapid.Permutation(members).Draw(t, "members shuffled")
		shuffledT := rapid.Permutation(targets).Draw(t, "targets shuffled")
		for i, o := range AssignOwners(shuffledM, shuffledT) {
			assert.Equal(t, shuffledM[o], owned[shuffledT[i]])
		}

		removed := shuffledT[0]
		moved := movedTargets(members, shuffledT[1:], owned)
		assert.Assert(t, moved <= 2*len(members), "%d of %d targets moved when %s was removed", moved, len(targets), removed)
		if len(members) == 1 {
			return
		}
		moved = movedTargets(shuffledM[1:], targets, owned) - load[slices.Index(members, shuffledM[0])]
		assert.Assert(t, moved <= len(members)+len(targets)/10, "%d of %d targets moved besides those of the removed member", moved, len(targets))
	})
}

// movedTargets counts the targets whose owner differs from the one in owned.
func movedTargets(members, targets []string, owned map[string]string) int {
	moved := 0
	for i, o := range AssignOwners(members, targets) {
		if members[o] != owned[targets[i]] {
			moved++
		}
	}
	return moved
}

// Whatever the order of starts and ends, no healthy target gets more tasks than
// it has room for, ejected and leaving targets get none, and a target on trial
// gets one at a time.
func TestTargetsAreNeverOverbooked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex(LeastLoaded, rapid.Uint64().Draw(t, "seed"))
		runners := rapid.Bool().Draw(t, "runners")
		n := rapid.IntRange(1, 8).Draw(t, "targets")
		targets, health := map[string]Target{}, map[string]Health{}
		for _, name := range names("t", n) {
			tg := Target{Name: name, Rack: name[:1], Size: structs.Resources{
				MilliCPU:     1000 * int64(rapid.IntRange(1, 8).Draw(t, "cores")),
				MemoryMB:     1024 * int64(rapid.IntRange(1, 8).Draw(t, "GB")),
				Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "accelerators")),
			}}
			if runners {
				tg = Target{Name: name, Slots: rapid.IntRange(1, 4).Draw(t, "slots")}
			}
			targets[name] = tg
			x.Add(tg)
		}
		type task struct {
			target string
			needs  structs.Resources
		}
		var tasks []task
		used := map[string]structs.Resources{}
		running := map[string]int{}
		now := epoch
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				var needs structs.Resources
				if !runners {
					needs = structs.Resources{
						MilliCPU:     int64(rapid.IntRange(1, 4000).Draw(t, "milli")),
						MemoryMB:     int64(rapid.IntRange(1, 4096).Draw(t, "MB")),
						Accelerators: int64(rapid.IntRange(0, 1).Draw(t, "accelerators")),
					}
				}
				tg, ok := x.Select(needs, nil)
				fits := func(name string) bool {
					switch {
					case health[name] == Ejected || health[name] == Leaving || health[name] == OnTrial && running[name] > 0:
						return false
					case runners:
						return running[name] < targets[name].Slots
					}
					return needs.Fits(targets[name].Size.Minus(used[name]))
				}
				if !ok {
					for name := range targets {
						assert.Assert(t, !fits(name), "%s has room", name)
					}
					return
				}
				assert.Assert(t, fits(tg.Name), "%s has no room", tg.Name)
				x.Acquire(now, tg.Name, needs)
				tasks = append(tasks, task{tg.Name, needs})
				used[tg.Name] = used[tg.Name].Plus(needs)
				running[tg.Name]++
			},
			"end": func(t *rapid.T) {
				if len(tasks) == 0 {
					return
				}
				i := rapid.IntRange(0, len(tasks)-1).Draw(t, "task")
				x.Release(now, tasks[i].target, tasks[i].needs)
				used[tasks[i].target] = used[tasks[i].target].Minus(tasks[i].needs)
				running[tasks[i].target]--
				tasks = slices.Delete(tasks, i, i+1)
			},
			"health": func(t *rapid.T) {
				name := rapid.SampledFrom(names("t", n)).Draw(t, "target")
				health[name] = rapid.SampledFrom([]Health{Healthy, OnTrial, Ejected, Leaving}).Draw(t, "health")
				x.SetHealth(name, health[name])
			},
		})
	})
}

// Usage by tasks of a former owner is subtracted from a target's room and
// restored as those tasks end. Own tasks that have ended since the report do
// not count as foreign.
func TestForeignWorkIsCountedFromLaggingReports(t *testing.T) {
	x := NewIndex(LeastLoaded, 1)
	size := structs.Resources{MilliCPU: 4000, MemoryMB: 4096}
	one := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	x.Add(Target{Name: "w", Size: size})
	x.ReportUsage("w", epoch, Usage{Running: 3, Used: structs.Resources{MilliCPU: 3000, MemoryMB: 3072}})
	assert.Equal(t, x.TotalSlots(one), 1)
	now := epoch.Add(2 * time.Second)
	x.Acquire(now, "w", one)
	_, ok := x.Select(one, nil)
	assert.Assert(t, !ok)

	// Two of the three foreign tasks have ended.
	x.ReportUsage("w", now.Add(100*time.Millisecond), Usage{Running: 2, Used: one.Plus(one)})

	assert.Equal(t, x.TotalSlots(one), 3)
	_, ok = x.Select(one, nil)
	assert.Assert(t, ok)

	// The own task and one more foreign task have ended; the report shows only
	// the latter.
	x.Release(now.Add(200*time.Millisecond), "w", one)
	x.ReportUsage("w", now.Add(150*time.Millisecond), Usage{Running: 1, Used: one})
	assert.Equal(t, x.TotalSlots(one), 4)
}

// Whatever the order of own starts, ends and reports, and even if a report is
// up to one second older than its timestamp, own tasks never count as foreign.
func TestOwnWorkIsNeverForeign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewIndex(LeastLoaded, 1)
		x.Add(Target{Name: "r", Slots: 8})
		now, running := epoch, 0
		type past struct {
			at      time.Time
			running int
		}
		log := []past{{now, 0}}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op < 2 && running < 8:
				x.Acquire(now, "r", structs.Resources{})
				running++
			case op == 2 && running > 0:
				x.Release(now, "r", structs.Resources{})
				running--
			}
			log = append(log, past{now, running})
			lag := time.Duration(rapid.IntRange(0, 2000).Draw(t, "lag")) * time.Millisecond
			wrong := time.Duration(rapid.IntRange(0, 1000).Draw(t, "wrong")) * time.Millisecond
			reported := 0
			for _, p := range log {
				if !p.at.After(now.Add(-lag - wrong)) {
					reported = p.running
				}
			}
			x.ReportUsage("r", now.Add(-lag), Usage{Running: reported})
			assert.Equal(t, x.TotalSlots(structs.Resources{}), 8)
		}
	})
}

func TestNeverFitsNamesTheResource(t *testing.T) {
	sizes := []structs.Resources{{MilliCPU: 16_000, MemoryMB: 65_536}, {MilliCPU: 8000, MemoryMB: 65_536, Accelerators: 2}}
	assert.Assert(t, NeverFits(sizes, sizes[1]) == nil)
	assert.Assert(t, NeverFits(nil, sizes[1]) == nil)
	for want, needs := range map[string]structs.Resources{
		"needs 16001 milli_cpu":    {MilliCPU: 16_001},
		"needs 65537 memory_mb":    {MilliCPU: 1, MemoryMB: 65_537},
		"needs 3 accelerators":     {Accelerators: 3},
		"none has 16000 milli_cpu": {MilliCPU: 16_000, Accelerators: 1},
	} {
		err := NeverFits(sizes, needs)
		assert.ErrorContains(t, err, want)
		assert.Equal(t, err.Verdict, verdict.NotRun)
		assert.Equal(t, err.Reason, verdict.NeverFits)
	}
}

// A job's tasks spread over the racks while loads are equal.
func TestSpreadOverRacks(t *testing.T) {
	x := NewIndex(LeastLoaded, 1)
	for _, name := range names("w", 16) {
		x.Add(Target{Name: name, Rack: name[len(name)-1:], Size: structs.Resources{MilliCPU: 32_000, MemoryMB: 131_072}})
	}
	needs := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	var spread Spread
	for range 80 {
		tg, ok := x.Select(needs, &spread)
		assert.Assert(t, ok)
		x.Acquire(epoch, tg.Name, needs)
		spread.Add(tg.Rack, 1)
	}
	for rack, n := range spread.racks {
		assert.Assert(t, n <= 16, "rack %s has %d of 80 tasks", rack, n)
	}
}

// No peer gets more units than it had free capacity for. Units sent since the
// load was measured count, stale loads are ignored, and units stay if the
// latency exceeds the wait.
func TestOffloadStaysWithinPeerCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := LocalLoad{DC: "a", Queued: rapid.IntRange(0, 100).Draw(t, "queued"), Wait: time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond}
		peers := map[string]PeerLoad{}
		var list []PeerLoad
		for _, name := range names("p", rapid.IntRange(0, 6).Draw(t, "peers")) {
			p := PeerLoad{
				Member: name,
				DC:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
				Free:   rapid.IntRange(0, 60).Draw(t, "free"),
				Queued: max(0, rapid.IntRange(-3, 3).Draw(t, "peer queued")),
				OneWay: time.Duration(rapid.IntRange(0, 20).Draw(t, "trip")) * time.Millisecond,
				Age:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond,
				Sent:   rapid.IntRange(0, 30).Draw(t, "sent"),
			}
			peers[name] = p
			list = append(list, p)
		}

		batches := PlanOffload(local, list)

		total := 0
		for _, b := range batches {
			p := peers[b.Member]
			assert.Assert(t, b.N > 0 && b.N+p.Sent <= p.Free, "%d to %+v", b.N, p)
			assert.Assert(t, p.Age < loadStaleAfter && p.Queued == 0)
			assert.Assert(t, p.DC == local.DC || local.Wait > 2*p.OneWay)
			total += b.N
		}
		assert.Assert(t, total <= local.Queued)
	})
}

func BenchmarkSelectOfThousands(b *testing.B) {
	for _, class := range []string{"runner", "worker"} {
		for _, n := range []int{50, 2000, 19_000} {
			b.Run(fmt.Sprintf("%s/%d", class, n), func(b *testing.B) {
				x := NewIndex(LeastLoaded, 1)
				needs := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
				for _, name := range names("t", n) {
					tg := Target{Name: name, Slots: 8}
					if strings.HasPrefix(class, "w") {
						tg = Target{Name: name, Size: structs.Resources{MilliCPU: 8000, MemoryMB: 65_536}}
					}
					x.Add(tg)
				}
				ring := make([]string, n*6)
				now := epoch
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now = now.Add(time.Microsecond)
					if old := ring[i%len(ring)]; old != "" {
						x.Release(now, old, needs)
					}
					tg, ok := x.Select(needs, nil)
					if !ok {
						b.Fatal("no room")
					}
					x.Acquire(now, tg.Name, needs)
					ring[i%len(ring)] = tg.Name
				}
			})
		}
	}
}

func BenchmarkOwners(b *testing.B) {
	members, targets := names("entry", 10), names("worker", 800)
	for b.Loop() {
		AssignOwners(members, targets)
	}
}

// An entry without targets refused jobs while a peer had room: with a task under way there,
// a load report that was some 100 ms old counted as no room.
func TestEntryWithoutTargetsCountsThePeersRoomUntilTheLoadIsStale(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		age                time.Duration
		noTarget, atTarget int
	}{{0, 2, 2}, {400 * ms, 2, 0}, {loadStaleAfter - ms, 2, 0}, {loadStaleAfter, 0, 0}} {
		peers := []PeerLoad{{Member: "e1", Free: 3, Sent: 1, Age: c.age}}
		units, _ := PeerCapacity(peers, true)
		assert.Equal(t, units, c.noTarget, "%v", c.age)
		units, _ = PeerCapacity(peers, false)
		assert.Equal(t, units, c.atTarget, "%v", c.age)
	}
}
