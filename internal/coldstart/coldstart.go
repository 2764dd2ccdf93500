// Package coldstart decides how many tasks a target may get that is slow for some time after its
// start: it is loaded by the pace at which it ends tasks, not at once. It is a function of the state,
// the time and the event: it holds no clock, socket or goroutine.
package coldstart

import (
	"math"
	"time"
)

// Bounds limit the load of a cold target. The zero Bounds limit nothing.
type Bounds struct {
	// Excess is the number of starts for each task that the target has ended since it was cold; at least 1.
	Excess float64
	// Slack is the number of starts before it has ended any.
	Slack float64
}

// Set reports whether the bounds limit anything.
func (b Bounds) Set() bool { return b.Slack > 0 && b.Excess >= 1 }

// Ramp is the load of one target since it was cold. The zero Ramp is that of a warm target.
type Ramp struct {
	until          time.Duration
	started, ended int
}

// Cold tells that the target stays slow for that long. The count begins anew if it was warm.
func (r *Ramp) Cold(now, left time.Duration) {
	if now >= r.until {
		r.started, r.ended = 0, 0
	}
	r.until = max(r.until, now+left)
}

// Reset tells that another life of the target has begun, which is warm until it is said to be cold.
func (r *Ramp) Reset() { *r = Ramp{} }

// IsCold reports whether the target was slow at a time since its start.
func (r *Ramp) IsCold(at time.Duration) bool { return at < r.until }

// Started and Ended count a start, and a task that was done.
func (r *Ramp) Started() { r.started++ }

// Ended counts a task that the target has done.
func (r *Ramp) Ended() { r.ended++ }

// Room returns how many tasks may start now, as far as the target is cold.
func (r *Ramp) Room(now time.Duration, b Bounds) int {
	if !b.Set() || now >= r.until {
		return math.MaxInt
	}
	return max(int(b.Slack+b.Excess*float64(r.ended))-r.started, 0)
}
