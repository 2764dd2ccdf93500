package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLinesOfLongWaitsAreBoundedAndTheOthersCounted(t *testing.T) {
	var w queueWaits
	now := 10 * time.Second
	for i := range 3 * maxQueueWaitLines {
		unlogged, ok := w.line(now)
		assert.Equal(t, ok, i < maxQueueWaitLines)
		assert.Equal(t, unlogged, 0)
	}
	unlogged, ok := w.line(now + queueWaitWindow)
	assert.Assert(t, ok)
	assert.Equal(t, unlogged, 2*maxQueueWaitLines)
}

// The wait of one event must not count for the next, also if its handling has panicked.
func TestWaitOfAnEventEndsWithItsHandling(t *testing.T) {
	n, _ := startNode(t)
	n.postTimed(func(time.Duration) { panic("a fault") })
	assert.Equal(t, n.ask(func() int { return int(n.waits.current) }), 0)
	block, waited := make(chan struct{}), make(chan time.Duration, 1)
	n.post(func(time.Duration) { <-block })
	n.postTimed(func(time.Duration) { waited <- n.waits.current })
	close(block)
	assert.Assert(t, <-waited > 0)
	assert.Equal(t, n.ask(func() int { return int(n.waits.current) }), 0)
}
