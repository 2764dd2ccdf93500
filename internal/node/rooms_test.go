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

// Guards against jobs that fail without a run: an entry that was started while their targets were away
// took them for jobs that no target can do, although its peers knew such targets.
func TestPeersTellOfTheRoomsOfTargetsThatAreAway(t *testing.T) {
	n, _ := startNode(t)
	room := fleet.Room{Service: "s", Label: "g", Capacity: structs.Resources{MilliCPU: 64000}}
	odd := room
	odd.Label = strings.Repeat("l", 5000)
	receive(t, n, wire.Directory, directoryBody{Self: fleet.Member{Name: "other", DC: "dc-1", Addr: "10.0.0.2:80"}, Rooms: []fleet.Room{room, odd}, RoomsKnownFor: time.Hour})

	var known map[fleet.Room]bool
	var knownFor time.Duration
	n.ask(func() int {
		known, knownFor = map[fleet.Room]bool{}, n.rooms.KnownFor(n.now())
		for _, r := range n.rooms.Known() {
			known[r] = true
		}
		return 0
	})
	assert.Assert(t, known[room], "%v", known)
	assert.Assert(t, known[fleet.Room{Service: "s", Capacity: structs.Resources{MilliCPU: 1000}}], "%v", known)
	assert.Assert(t, !known[odd])
	assert.Assert(t, knownFor >= time.Hour)
}

// Guards against an entry that keeps to itself which targets it has known.
func TestRoomsTravelWithTheGreeting(t *testing.T) {
	var log lockedBuffer
	nodes := startPair(t, &log, func(addr string) string { return addr })
	nodes[0].SetTargets([]fleet.Target{{ID: "t1", Service: "s", DC: "dc-1", Labels: []string{"g"}, Capacity: structs.Resources{MilliCPU: 1000}}}, time.Now())
	for range 1000 {
		nodes[0].ask(func() int { nodes[0].greet(nodes[0].now(), "b", false); return 0 }) // again, once it has the list
		if nodes[1].ask(func() int { return len(nodes[1].rooms.Known()) }) == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the peer does not know the rooms")
}
