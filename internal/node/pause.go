package node

import (
	"math"
	"sync"
	"time"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

const (
	// processPauseLimit is the gap between two iterations of the loop above which
	// this entry may have missed that its peers closed their links to it, which they do
	// after silentAfter.
	processPauseLimit = 250 * time.Millisecond
	// processPauseSettle is how long no task is started after such a gap, so that the
	// closing of links in the meantime is noticed first.
	processPauseSettle = 120 * time.Millisecond
)

// clock is the clock of an entry. It counts the time for which the VM was suspended, unlike the
// monotonic clock: callers, peers and targets have counted it. It is safe for concurrent use.
type clock struct {
	startedAt time.Time     // with a monotonic reading
	bootedAt  time.Duration // the boot clock then

	mu        sync.Mutex
	suspended time.Duration // since the start, as of the last iteration of the loop
	// The last pause of the process.
	pauseBegan, pauseEnded time.Duration
	// The last suspension: when it was noticed, on the monotonic clock, and what suspended was before.
	noticedAt       time.Duration
	suspendedBefore time.Duration
	lastIteration   time.Duration // of the loop
}

const (
	// clockReadTolerance is how long the reading of both clocks may take at the start. It is missing
	// from what counts as suspended.
	clockReadTolerance = time.Millisecond
	maxClockReads      = 10
)

func newClock() *clock {
	c := new(clock)
	for range maxClockReads {
		c.startedAt, c.bootedAt = time.Now(), bootClock()
		if time.Since(c.startedAt) <= clockReadTolerance {
			break
		}
	}
	return c
}

// now returns the time since the start. It may lag by a suspension until the next iteration of the
// loop.
func (c *clock) now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.startedAt) + c.suspended
}

// of returns the time on this clock at which time.Now was t. What came between a suspension and the
// next iteration of the loop counts as from before it.
func (c *clock) of(t time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := t.Sub(c.startedAt)
	if since < c.noticedAt {
		return since + c.suspendedBefore
	}
	return since + c.suspended
}

// iterate records an iteration of the loop, and returns how long the process has stood still since
// the one before, 0 if that is below processPauseLimit. It reads the boot clock first, so that a delay
// between the readings counts too little, until the next iteration, and never too much.
func (c *clock) iterate() time.Duration {
	boot, mono := bootClock()-c.bootedAt, time.Since(c.startedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	last, before := c.lastIteration, c.suspended
	c.suspended = max(c.suspended, boot-mono)
	c.lastIteration = boot
	if last == 0 || boot-last <= processPauseLimit {
		return 0
	}
	c.pauseBegan, c.pauseEnded = last, boot
	if c.suspended > before+processPauseLimit {
		c.noticedAt, c.suspendedBefore = mono, before
	}
	return boot - last
}

// recentPause returns when a pause of the process began that is going on by the account of the loop, or
// has ended so lately that what is handled now may have come before its end.
func (c *clock) recentPause() (began time.Duration, ok bool) {
	boot := bootClock() - c.bootedAt
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastIteration > 0 && boot-c.lastIteration > processPauseLimit {
		return c.lastIteration, true
	}
	return c.pauseBegan, c.pauseEnded > 0 && boot < c.pauseEnded+processPauseSettle
}
