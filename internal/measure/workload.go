package main

import (
	"slices"
	"strings"
	"time"

	"currantstall/internal/load"
	"currantstall/internal/manifest"
	"currantstall/internal/structs"
)

// The deployment that is measured.
const (
	numEntries         = 7
	targetsPerRole     = 50 // runners, and as many workers
	slotsPerRunner     = 8  // of a runner
	workerCores        = 32
	maxServiceTime     = time.Second
	serviceTimeSpread  = 0.35
	floodFactor        = 20
	guaranteedFraction = 0.9 // of its guarantee that each other kind offers
)

// user is one of the two first users: what differs is the kinds of requests.
type user struct {
	name  string
	kinds []manifest.Kind // most urgent first
}

// users returns both. Run times are near the upper end of theirs, so that one
// machine can send a flood of 20 times the capacity.
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

// jobKind runs on one core a task.
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

// newStream offers a kind on a number of slots.
func newStream(k *manifest.Kind, team string, slots float64) load.Stream {
	return load.Stream{
		Class: structs.Request, Kind: k.Name, Team: team, Arrivals: load.Poisson, Tasks: 1,
		Rate: slots / k.ServiceTime().Seconds(), ServiceTime: k.ServiceTime(), Spread: serviceTimeSpread, MaxServiceTime: maxServiceTime, Deadline: k.Deadline(),
	}
}

// loadByShare offers all kinds of a user by share, at a part of the capacity.
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

// jobLoad offers jobs of 1, 50 and 670 tasks, a third of the work each.
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

// flood is a stream of 20 times the capacity of one kind, on top of the other
// kinds' guaranteed load.
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

// guaranteedLoad offers each kind but one at part of its guarantee.
func guaranteedLoad(u *user, excluded *manifest.Kind) []load.Stream {
	var streams []load.Stream
	for i := range u.kinds {
		if k := &u.kinds[i]; k != excluded {
			streams = append(streams, newStream(k, "a", guaranteedFraction*k.Share*targetsPerRole*slotsPerRunner))
		}
	}
	return streams
}

// newFloodStream sends tasks of the longest usual run time, as the fewest of those
// make a flood.
func newFloodStream(k *manifest.Kind, team string) load.Stream {
	s := newStream(k, team, 0)
	s.ServiceTime, s.Spread = maxServiceTime, 0
	s.Rate = floodFactor * targetsPerRole * slotsPerRunner / maxServiceTime.Seconds()
	return s
}
