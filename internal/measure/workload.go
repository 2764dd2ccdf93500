package main

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/load"
	"currantstall/internal/manifest"
	"currantstall/internal/structs"
)

// The measured deployment and its load.
const (
	numEntries         = 7
	targetsPerRole     = 50 // runners, and as many workers
	slotsPerRunner     = 8
	workerCores        = 32
	maxServiceTime     = time.Second
	serviceTimeSpread  = 0.35
	floodFactor        = 20
	guaranteedFraction = 0.9 // offered load of each other kind, as a fraction of its guarantee
)

// user is one of the first two users. They differ in their kinds of requests.
type user struct {
	name  string
	kinds []manifest.Kind // most urgent first
}

// users returns both users. The run times are near the upper end of their real
// ones, so that one machine can send a flood of 20 times the capacity.
func users() []user {
	return []user{
		{"kelpfire", []manifest.Kind{
			requestKind("unlock", 90, 0.45, 2500, 500, false),
			requestKind("reconcile", 50, 0.25, 4000, 600, false),
			requestKind("balance", 10, 0.2, 2500, 500, true),
		}},
		{"office", []manifest.Kind{
			requestKind("order", 90, 0.4, 2500, 500, true),
			requestKind("reservation", 60, 0.3, 2500, 600, false),
			requestKind("stock", 10, 0.2, 2500, 500, true),
		}},
	}
}

func requestKind(name string, urgency int, share float64, deadlineMS, serviceMS int64, repeatable bool) manifest.Kind {
	return manifest.Kind{
		Name: name, Class: structs.Request.String(), Urgency: urgency, Share: share,
		DeadlineMS: deadlineMS, ServiceMS: serviceMS, Repeatable: repeatable,
	}
}

// jobKind returns the kind of the jobs, whose tasks need one core each.
func jobKind() manifest.Kind {
	return manifest.Kind{
		Name: "batch", Class: structs.Job.String(), Urgency: 50, Share: 0.9, DeadlineMS: 20_000, ServiceMS: 500,
		Needs: structs.Resources{MilliCPU: 1000, MemoryMB: 512},
	}
}

// newManifest returns the manifest for one user's kinds.
func newManifest(u *user) *manifest.Manifest {
	m := &manifest.Manifest{Kinds: append([]manifest.Kind{jobKind()}, u.kinds...)}
	for _, name := range []string{"a", "b", "x"} {
		m.Teams = append(m.Teams, manifest.Team{Name: name, Weight: 1})
	}
	slices.SortFunc(m.Kinds, func(a, b manifest.Kind) int { return strings.Compare(a.Name, b.Name) })
	return m
}

// newStream returns a stream of a kind that keeps a number of slots busy.
func newStream(k *manifest.Kind, team string, slots float64) load.Stream {
	return load.Stream{
		Class: structs.Request, Kind: k.Name, Team: team, Arrivals: load.Poisson, Tasks: 1,
		Rate: slots / k.ServiceTime().Seconds(), ServiceTime: k.ServiceTime(), Spread: serviceTimeSpread, MaxServiceTime: maxServiceTime, Deadline: k.Deadline(),
	}
}

// loadByShare returns streams of all kinds of a user in proportion to their
// shares, which offer a fraction of the capacity of the runners.
func loadByShare(u *user, loadFraction float64) []load.Stream {
	sum := 0.0
	for i := range u.kinds {
		sum += u.kinds[i].Share
	}
	var streams []load.Stream
	for i := range u.kinds {
		k := &u.kinds[i]
		streams = append(streams, newStream(k, "a", loadFraction*targetsPerRole*slotsPerRunner*k.Share/sum))
	}
	return streams
}

// jobLoad returns streams of jobs of 1, 50 and 670 tasks, each with a third of
// the work. Together they offer a fraction of the capacity of the workers.
func jobLoad(loadFraction float64) []load.Stream {
	k := jobKind()
	capacity := float64(targetsPerRole * workerCores)
	var streams []load.Stream
	for _, tasks := range []int{1, 50, structs.MaxTasks} {
		s := newStream(&k, "a", 0)
		s.Class, s.Tasks = structs.Job, tasks
		s.Rate = loadFraction * capacity / 3 / float64(tasks) / k.ServiceTime().Seconds()
		streams = append(streams, s)
	}
	return streams
}

// flood is a stream of 20 times the capacity of one kind, and the guaranteed
// load of the other kinds.
type flood struct {
	name        string
	others      []load.Stream
	floodStream load.Stream
}

func floods(u *user) []flood {
	top, bottom := &u.kinds[0], &u.kinds[len(u.kinds)-1]
	return []flood{
		{"bottom", guaranteedLoad(u, bottom), newFloodStream(bottom, "x")},
		{"top", guaranteedLoad(u, top), newFloodStream(top, "x")},
		{"team", append(guaranteedLoad(u, top), newStream(top, "b", 0.4*guaranteedFraction*top.Share*targetsPerRole*slotsPerRunner)), newFloodStream(top, "x")},
	}
}

// guaranteedLoad returns streams of each kind except one, which offer
// guaranteedFraction of its guarantee.
func guaranteedLoad(u *user, excluded *manifest.Kind) []load.Stream {
	var streams []load.Stream
	for i := range u.kinds {
		if k := &u.kinds[i]; k != excluded {
			streams = append(streams, newStream(k, "a", guaranteedFraction*k.Share*targetsPerRole*slotsPerRunner))
		}
	}
	return streams
}

// newFloodStream returns a flood of tasks with the maximum run time, as these
// need the fewest requests.
func newFloodStream(k *manifest.Kind, team string) load.Stream {
	s := newStream(k, team, 0)
	s.ServiceTime, s.Spread = maxServiceTime, 0
	s.Rate = floodFactor * targetsPerRole * slotsPerRunner / maxServiceTime.Seconds()
	return s
}
