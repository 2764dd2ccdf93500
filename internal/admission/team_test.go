package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/manifest"
	"currantstall/internal/verdict"
)

// While two teams of a kind have queued units, the numbers of their starts,
// divided by their weights, differ by at most one unit each, whatever other
// teams arrive and leave.
func TestTeamsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wa := rapid.Float64Range(0.1, 10).Draw(t, "weight a")
		wb := rapid.Float64Range(0.1, 10).Draw(t, "weight b")
		q := New(Config{})
		q.Configure(epoch, []manifest.Kind{{Name: "k", Share: 1, ServiceMS: 1}}, []manifest.Team{{Name: "a", Weight: wa}, {Name: "b", Weight: wb}, {Name: "c"}}, manifest.Limits{})
		q.SetCapacity(1)
		id := uint64(0)
		offer := func(team string, n int) {
			for range n {
				id++
				assert.Assert(t, q.Offer(epoch, []Unit{{ID: id, Group: id, Kind: "k", Team: team, Deadline: epoch.Add(time.Hour)}}) == nil)
			}
		}
		if rapid.Bool().Draw(t, "c before") {
			offer("c", 5)
		}
		offer("a", 60)
		offer("b", 60)
		starts := map[string]float64{}
		for range 50 {
			if rapid.IntRange(0, 9).Draw(t, "c") == 0 {
				offer("c", 1)
			}
			u, ok := q.Next(epoch, alwaysRoom)
			assert.Assert(t, ok)
			q.Finish(epoch, u.ID, time.Millisecond, true)
			starts[u.Team]++
			unfair := math.Abs(starts["a"]/wa - starts["b"]/wb)
			assert.Assert(t, unfair <= 1/wa+1/wb+1e-9, "%v", starts)
		}
	})
}

// Teams share slot time equally, regardless of how long their tasks take.
func TestTeamsShareSlotTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := map[string]time.Duration{
			"a": time.Duration(rapid.IntRange(50, 500).Draw(t, "a ms")) * time.Millisecond,
			"b": time.Duration(rapid.IntRange(50, 500).Draw(t, "b ms")) * time.Millisecond,
		}
		q := New(Config{})
		q.Configure(epoch, []manifest.Kind{{Name: "k", Share: 1, ServiceMS: 100}}, nil, manifest.Limits{})
		q.SetCapacity(1)
		id, now := uint64(0), epoch
		for range 400 {
			for _, team := range []string{"a", "b"} {
				id++
				assert.Assert(t, q.Offer(now, []Unit{{ID: id, Group: id, Kind: "k", Team: team, Deadline: epoch.Add(24 * time.Hour)}}) == nil)
			}
		}
		used := map[string]time.Duration{}
		for range 400 {
			u, ok := q.Next(now, alwaysRoom)
			assert.Assert(t, ok)
			now = now.Add(took[u.Team])
			q.Finish(now, u.ID, took[u.Team], true)
			used[u.Team] += took[u.Team]
		}
		part := float64(used["a"]) / float64(used["a"]+used["b"])
		assert.Assert(t, part > 0.4 && part < 0.6, "a with tasks of %v took %.2f, b has %v", took["a"], part, took["b"])
	})
}

// The admitted tasks of a team stay within this entry's fraction of the team's
// rate and burst, plus at most one job. A job larger than the burst is admitted
// eventually.
func TestQuotaBoundsRateOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 200).Draw(t, "rate")
		burst := rapid.IntRange(1, 100).Draw(t, "burst")
		fraction := rapid.SampledFrom([]float64{1, 0.5, 1.0 / 7}).Draw(t, "fraction")
		q := New(Config{})
		q.SetQuotaFraction(epoch, fraction)
		q.Configure(epoch, []manifest.Kind{{Name: "k", Share: 1}}, []manifest.Team{{Name: "a", RatePerSecond: perSecond, Burst: burst}}, manifest.Limits{})
		q.SetCapacity(1e6)
		now, id, admitted, largest := epoch, uint64(0), 0, 0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			units := make([]Unit, rapid.IntRange(1, 50).Draw(t, "tasks"))
			largest = max(largest, len(units))
			for i := range units {
				id++
				units[i] = Unit{ID: id, Group: 1, Kind: "k", Team: "a", Deadline: now.Add(time.Hour)}
			}
			err := q.Offer(now, units)
			if err == nil {
				admitted += len(units)
			} else {
				assert.Equal(t, err.Reason, verdict.QuotaExceeded)
				assert.Assert(t, err.RetryAfter > 0)
			}
			bound := perSecond*fraction*now.Sub(epoch).Seconds() + float64(burst)*fraction + 1 + float64(largest)
			assert.Assert(t, float64(admitted) <= bound, "%d admitted, bound %.1f", admitted, bound)
		}
		now = now.Add(time.Hour)
		assert.Assert(t, q.Offer(now, []Unit{{ID: id + 1, Group: 2, Kind: "k", Team: "a", Deadline: now.Add(time.Hour)}}) == nil)
	})
}

func TestOfferRejectsEarlyWithReason(t *testing.T) {
	newQueue := func(slots float64) *Queue {
		q := New(Config{MaxQueued: 200})
		q.Configure(epoch, []manifest.Kind{{Name: "k", Share: 1, ServiceMS: 100}}, nil, manifest.Limits{})
		q.SetCapacity(slots)
		return q
	}
	job := func(kind string, n int, left time.Duration) []Unit {
		units := make([]Unit, n)
		for i := range units {
			units[i] = Unit{ID: uint64(i + 1), Group: 1, Kind: kind, Team: "a", Deadline: epoch.Add(left)}
		}
		return units
	}
	for _, c := range []struct {
		name  string
		q     *Queue
		units []Unit
		want  verdict.Reason
	}{
		{"unknown kind", newQueue(1), job("x", 1, time.Minute), verdict.UnknownKind},
		{"deadline passed", newQueue(1), job("k", 1, -1), verdict.DeadlinePassed},
		{"shorter than the task", newQueue(1), job("k", 1, 50*time.Millisecond), verdict.DeadlineUnmeetable},
		{"longer queue than the deadline", newQueue(1), job("k", 20, time.Second), verdict.DeadlineUnmeetable},
		{"no capacity", newQueue(0), job("k", 1, time.Second), verdict.DeadlineUnmeetable},
		{"full", newQueue(1), job("k", 201, time.Hour), verdict.QueueFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.q.Offer(epoch, c.units)
			assert.Assert(t, err != nil)
			assert.Equal(t, err.Reason, c.want)
			assert.Equal(t, err.Verdict, verdict.NotRun)
			queued, _ := c.q.Len()
			assert.Equal(t, queued, 0)
		})
	}
	assert.Assert(t, newQueue(20).Offer(epoch, job("k", 20, time.Second)) == nil)
	peer := newQueue(0)
	peer.SetPeerCapacity("k", 3, time.Millisecond)
	assert.Equal(t, peer.Offer(epoch, job("k", 4, time.Second)).Reason, verdict.DeadlineUnmeetable)
	assert.Assert(t, peer.Offer(epoch, job("k", 3, time.Second)) == nil)
	more := job("k", 1, time.Second)
	more[0].ID = 9
	assert.Equal(t, peer.Offer(epoch, more).Reason, verdict.DeadlineUnmeetable)
}

// loadedQueue returns a queue with 30 kinds and 770 teams, where each team has
// units of each kind.
func loadedQueue(b *testing.B, units int) *Queue {
	var kinds []manifest.Kind
	for i := range 30 {
		kinds = append(kinds, manifest.Kind{Name: fmt.Sprintf("kind%d", i), Share: 1.0 / 30, Urgency: i % 5, ServiceMS: 100})
	}
	var teams []manifest.Team
	for i := range 770 {
		teams = append(teams, manifest.Team{Name: fmt.Sprintf("team%d", i), Weight: float64(1 + i%3)})
	}
	q := New(Config{MaxQueued: 10_000_000})
	q.Configure(epoch, kinds, teams, manifest.Limits{})
	q.SetCapacity(1000)
	for i := range units {
		u := Unit{ID: uint64(i + 1), Group: uint64(i / 10), Kind: kinds[i%30].Name, Team: teams[i%770].Name, Deadline: epoch.Add(1000 * time.Hour)}
		if err := q.Offer(epoch, []Unit{u}); err != nil {
			b.Fatal(err)
		}
	}
	return q
}

// BenchmarkStart measures one offer, start and finish with 100,000 queued
// units.
func BenchmarkStart(b *testing.B) {
	q := loadedQueue(b, 100_000)
	id := uint64(1_000_000)
	units := make([]Unit, 1)
	b.ReportAllocs()
	for b.Loop() {
		u, ok := q.Next(epoch, alwaysRoom)
		if !ok {
			b.Fatal("nothing to start")
		}
		q.Finish(epoch, u.ID, 100*time.Millisecond, true)
		id++
		units[0] = Unit{ID: id, Group: id, Kind: u.Kind, Team: u.Team, Deadline: u.Deadline}
		if err := q.Offer(epoch, units); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRefuse measures one offer that is rejected for its deadline.
func BenchmarkRefuse(b *testing.B) {
	q := loadedQueue(b, 100_000)
	units := []Unit{{ID: 1 << 40, Kind: "kind1", Team: "team1", Deadline: epoch.Add(time.Second)}}
	b.ReportAllocs()
	for b.Loop() {
		if q.Offer(epoch, units) == nil {
			b.Fatal("admitted")
		}
	}
}

// BenchmarkCancelWave cancels 100,000 queued units; the result is the time for
// all of them.
func BenchmarkCancelWave(b *testing.B) {
	for range b.N {
		b.StopTimer()
		q := loadedQueue(b, 100_000)
		b.StartTimer()
		for group := range 10_000 {
			q.CancelGroup(uint64(group))
		}
		if queued, _ := q.Len(); queued != 0 {
			b.Fatal("units are left")
		}
	}
}

func TestSizeClasses(t *testing.T) {
	for tasks, want := range map[int]int{1: 0, 2: 1, 7: 1, 15: 1, 16: 2, 50: 2, 127: 2, 128: 3, 670: 3} {
		assert.Equal(t, sizeClass(tasks), want, "%d tasks", tasks)
	}
}

// A team's short jobs do not wait for its long jobs to finish, and the long
// jobs are not delayed indefinitely.
func TestShortJobsOvertakeLongJobs(t *testing.T) {
	q := New(Config{})
	q.Configure(epoch, []manifest.Kind{{Name: "k", Share: 1, ServiceMS: 100}}, nil, manifest.Limits{})
	q.SetCapacity(1)
	offer := func(group uint64, tasks int) {
		units := make([]Unit, tasks)
		for i := range units {
			units[i] = Unit{ID: group*1000 + uint64(i), Group: group, Kind: "k", Team: "a", Deadline: epoch.Add(time.Hour)}
		}
		assert.Assert(t, q.Offer(epoch, units) == nil)
	}
	offer(1, 600)
	offer(2, 1)
	for group := uint64(3); group < 103; group++ {
		offer(group, 1)
	}
	position := map[uint64]int{}
	for i := 1; ; i++ {
		u, ok := q.Next(epoch, alwaysRoom)
		if !ok {
			break
		}
		q.Finish(epoch, u.ID, 100*time.Millisecond, true)
		position[u.Group] = i
	}
	assert.Assert(t, position[2] <= 2, "started as number %d", position[2])
	assert.Equal(t, position[102], 202)
	assert.Equal(t, position[1], 701)
}
