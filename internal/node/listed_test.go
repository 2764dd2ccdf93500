package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// A peer of another release may pass on what this one turns away.
func TestOddTargetsAndMembersOfPeersAreLeftOut(t *testing.T) {
	n, _ := startNode(t)
	sound := fleet.Target{ID: "t1", Service: "s", DC: "dc-1", Addr: "10.0.0.1:80", Incarnation: 5, Capacity: structs.Resources{MilliCPU: 1000}, Labels: []string{"a", "r-1"}}
	list := []fleet.Target{sound}
	for _, change := range []func(*fleet.Target){
		func(x *fleet.Target) { x.ID = "" },
		func(x *fleet.Target) { x.ID = strings.Repeat("i", 5000) },
		func(x *fleet.Target) { x.Addr = "10.0.0.1:99999" },
		func(x *fleet.Target) { x.Addr = ":80" },
		func(x *fleet.Target) { x.Incarnation = -1 },
		func(x *fleet.Target) { x.Incarnation = 1 << 62 },
		func(x *fleet.Target) { x.Capacity.MilliCPU = 1 << 62 },
		func(x *fleet.Target) { x.Capacity.MilliCPU = 0 },
		func(x *fleet.Target) { x.Capacity.MemoryMB = -1 },
		func(x *fleet.Target) { x.Labels = make([]string, 5000) },
		func(x *fleet.Target) { x.ID = "t1" }, // listed before
	} {
		x := sound
		x.ID = "odd"
		change(&x)
		list = append(list, x)
	}
	members := []fleet.Member{
		{Name: "sound", DC: "dc-1", Addr: "10.0.0.1:80"}, {Name: "odd-1", DC: "dc-1", Addr: "10.0.0.1:99999"},
		{Name: "odd 2", DC: "dc-1", Addr: "10.0.0.1:80"}, {Name: "odd-3", Addr: "10.0.0.1:80"}, {Name: "odd-4", DC: "dc-1"},
		{Name: strings.Repeat("o", 5000), DC: "dc-1", Addr: "10.0.0.1:80"},
	}
	for _, age := range []time.Duration{-time.Hour, 0} {
		receive(t, n, wire.Directory, directoryBody{
			Self: fleet.Member{Name: "other", DC: "dc-1", Addr: "10.0.0.2:80"}, Targets: list, HasTargets: true, TargetsAge: age, Members: members,
		})
	}
	var got directoryBody
	n.ask(func() int { got = n.directorySnapshot(n.now()); return 0 })
	assert.DeepEqual(t, got.Targets, []fleet.Target{sound})
	assert.Assert(t, got.TargetsAge >= 0)
	names := map[string]bool{}
	for _, m := range got.Members {
		names[m.Name] = true
	}
	assert.DeepEqual(t, names, map[string]bool{"sound": true, "other": true})
	assert.Equal(t, panics(n), 0)
}
