package pool

import (
	"math"
	"time"
)

// Package coldstart decides how many tasks a cold target may get. A row that says again what the last
// one said may be as old as that, so only a change tells how long the target stays cold from now on.

// noteCold records how much longer the target is slow, as its row tells.
func (p *Pool) noteCold(now time.Duration, t *target, left time.Duration) {
	if left == t.ColdFor {
		return
	}
	if left > 0 && p.cfg.ColdStart.Set() {
		cold := t.coldRoom != math.MaxInt
		t.ramp.Cold(now, left)
		if t.coldRoom = t.ramp.Room(now, p.cfg.ColdStart); !cold {
			p.log("target", "target", t.ID, "outcome", "cold, loaded by its pace", "for_ms", left.Milliseconds(), "room", t.coldRoom)
		}
	}
}

// countColdStart counts a start on the target.
func (t *target) countColdStart() {
	t.ramp.Started()
	if t.coldRoom != math.MaxInt {
		t.coldRoom--
	}
}
