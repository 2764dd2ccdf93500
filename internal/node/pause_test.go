package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// suspend makes a clock see a suspension of the VM: the boot clock goes on, the monotonic one does not.
func (c *clock) suspend(length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootedAt -= length
}

// Callers leave, leases end and peers give up an entry while its VM is suspended.
func TestTimeOfASuspensionCounts(t *testing.T) {
	c := newClock()
	c.iterate()
	before, read := c.now(), time.Now()
	c.suspend(3 * time.Second)
	assert.Assert(t, c.iterate() >= 3*time.Second, "the pause is not noticed")
	c.iterate() // a delay between the readings of both clocks is made up for by the next iteration
	const counted = 3*time.Second - clockReadTolerance
	assert.Assert(t, c.now() >= before+counted, "the suspension does not count")
	assert.Assert(t, c.of(read) < before+time.Second, "what was read before the suspension seems to be new")
	assert.Assert(t, c.of(time.Now()) >= before+counted)
	c.iterate()
	assert.Assert(t, c.now() >= before+counted, "the clock goes back")
}

// A slow iteration of the loop after the suspension made what had come before it new again.
func TestPauseAfterASuspensionDoesNotForgetIt(t *testing.T) {
	c := newClock()
	c.suspend(time.Minute)
	c.iterate()
	at, read := c.now(), time.Now()
	c.suspend(3 * time.Second)
	c.iterate()
	c.mu.Lock()
	c.lastIteration -= 2 * processPauseLimit
	c.mu.Unlock()
	assert.Assert(t, c.iterate() > 0)
	assert.Assert(t, c.of(read) < at+time.Second)
}
