package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/structs"
)

// TestSuspensionEndsLeases guards against leases that outlive a VM suspension:
// reads and promises requested before it give none, since the clock was
// stopped.
func TestSuspensionEndsLeases(t *testing.T) {
	now := time.Now()
	cfg := DefaultConfig("vannes")
	self := structs.Member{Name: "vm0", Incarnation: 1}
	other := structs.Member{Name: "vm1", Incarnation: 1}
	view := structs.View{DC: cfg.DC, Version: 1, Members: []structs.Member{self, other}}
	s := New(cfg, self, now)
	read := RowRead{StartedAt: now, OK: true, RowVersion: 1, View: view}
	promise := Received{From: other, Heartbeat: Heartbeat{Token: 1, EchoToken: 1, Promise: true, KnownVersion: 1}}

	s.Step(now, read)
	s.Step(now, promise)
	assert.Assert(t, s.LeaseEnd().Equal(now.Add(cfg.Lease)))

	now = now.Add(time.Millisecond)
	s.DropLeases(now)
	s.Step(now, read)
	s.Step(now, promise)
	assert.Assert(t, s.LeaseEnd().IsZero())

	s.Step(now, RowRead{StartedAt: now, OK: true, RowVersion: 1, View: view})
	assert.Assert(t, s.LeaseEnd().Equal(now.Add(cfg.Lease)))
}
