package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// A pool takes the list for proof that no target was added before a time. A peer's list may wait long for
// an entry that stands still, so that its age counts from when it was asked for.
func TestListOfAPeerIsAsOldAsTheRequestForIt(t *testing.T) {
	n, _ := startNode(t)
	const age = 10 * ms
	list := []fleet.Target{{ID: "t9", Service: "s", DC: "dc-1", Addr: "10.0.0.1:80", Incarnation: 5, Capacity: structs.Resources{MilliCPU: 1000}}}
	self := fleet.Member{Name: "other", DC: "dc-1", Addr: "10.0.0.2:80"}
	time.Sleep(50 * time.Millisecond)
	var asked, readAt time.Duration
	n.ask(func() int {
		asked = n.now()
		n.directory.hasList = false
		return 0
	})
	time.Sleep(50 * time.Millisecond)

	receive(t, n, wire.Directory, directoryBody{Self: self, Targets: list, HasTargets: true, TargetsAge: age, AskedAt: asked})
	n.ask(func() int { readAt = n.directory.targetsReadAt; return 0 })
	assert.Equal(t, readAt, asked-age)

	receive(t, n, wire.Directory, directoryBody{Self: self, Targets: list, HasTargets: true, TargetsAge: age})
	n.ask(func() int { readAt = n.directory.targetsReadAt; return 0 })
	assert.Equal(t, readAt, -age, "it is not known when this one was asked for")
}

// Restored jobs wait for a list of targets from after the former owner's last start.
func TestListThatAPoolWaitsForIsReadSoon(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		n.directory.targetsWanted = n.now()
		n.updateTargetInterval()
		return 0
	})
	assert.Equal(t, n.TargetInterval(), wantedTargetInterval)
	n.SetTargets(nil, time.Now())
	n.ask(func() int { return 0 })
	assert.Equal(t, n.TargetInterval(), minTargetInterval)
}
