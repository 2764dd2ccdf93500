package overload

import "time"

const (
	// rateWindow is the time over which starts are counted, and rateDecay the weight of earlier windows in the mean.
	rateWindow = 100 * time.Millisecond
	rateDecay  = 0.6
	// packingEfficiency is the share of the targets' capacity that tasks of mixed sizes can fill.
	packingEfficiency = 0.8
	// minWaiting is the number of waiting jobs below which the expected wait is not reliable.
	minWaiting = 4
	// unknownWait is the wait for work of which nothing is known.
	unknownWait = time.Hour
)

// Rate measures the tasks of a kind that are started per second and the room that they take, as exponentially
// weighted means.
type Rate struct {
	perSecond   float64
	milliCPU    float64 // a second
	windowStart time.Duration
	count       int
	taken       int64
}

// Add counts n started tasks that take a number of thousandths of a core together, and updates the means at the end
// of a window.
func (r *Rate) Add(now time.Duration, n int, milliCPU int64) {
	r.count += n
	r.taken += milliCPU
	if now < r.windowStart+rateWindow {
		return
	}
	window := (now - r.windowStart).Seconds()
	r.perSecond = rateDecay*r.perSecond + (1-rateDecay)*float64(r.count)/window
	r.milliCPU = rateDecay*r.milliCPU + (1-rateDecay)*float64(r.taken)/window
	r.windowStart, r.count, r.taken = now, 0, 0
}

// MilliCPU returns the room that the started tasks take a second, in thousandths of a core. With full targets it is what
// comes free.
func (r *Rate) MilliCPU() float64 { return r.milliCPU }

// Ahead is the waiting work of a kind that gets its room before a job ends its wait, with the job's own.
type Ahead struct {
	Tasks int
	Room  float64 // in thousandths of a core
	Work  float64 // in thousandths of a core times seconds
}

// Add adds n tasks that need a number of thousandths of a core each for the expected time.
func (a *Ahead) Add(n int, milliCPU int64, expected time.Duration) {
	a.Tasks += n
	a.Room += float64(n) * float64(milliCPU)
	a.Work += float64(n) * float64(milliCPU) * expected.Seconds()
}

// Guaranteed returns the part of the capacity that a kind gets at least, from its weight and the sum of the
// weights of all kinds that have work.
func Guaranteed(capacity, weight, weights float64) float64 {
	return capacity * packingEfficiency * weight / weights
}

// Room is the room that a kind finds.
type Room struct {
	Guaranteed float64 // to the kind among those that have work, in thousandths of a core
	Used       float64 // by the kind
	Freed      float64 // a second, by all kinds
	// Places is the number of the job's tasks that free room holds.
	Places int
}

// Wait returns how long work is likely to wait. It does not while its tasks have places. A kind that uses less than
// it is guaranteed gets all room that comes free until it does. Further work is served at the recent rate of the
// kind, but at least at the rate that the guaranteed room permits.
func (a Ahead) Wait(room Room, r *Rate) time.Duration {
	if a.Tasks <= room.Places {
		return 0
	}
	wait := unknownWait.Seconds()
	if room.Guaranteed > 0 {
		wait = a.Work / room.Guaranteed
	}
	if r.perSecond > 1 {
		wait = min(wait, float64(a.Tasks)/r.perSecond)
	}
	if below := min(room.Guaranteed-room.Used, a.Room); below > 0 && room.Freed > 0 {
		wait = min(wait, below/room.Freed+wait*(1-below/a.Room))
	}
	return time.Duration(wait * float64(time.Second))
}

// Predictable reports whether a kind has so many waiting jobs that a wait can be predicted. A job of a shorter
// queue is never refused, since there may be room for it.
func Predictable(waiting int) bool { return waiting >= minWaiting }

// RetryAfter returns the advised wait before a refused job is submitted again: the time that the waiting work takes
// on all targets, at least one second.
func RetryAfter(work, capacity float64) time.Duration {
	if capacity == 0 {
		return time.Second
	}
	return time.Second + time.Duration(work/capacity*float64(time.Second)).Truncate(time.Second)
}
