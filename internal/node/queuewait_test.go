package node

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
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

// The former leader logs a withdrawal once, and that it has waited in the queue of a busy loop.
func TestLateWithdrawalIsLoggedWithItsWait(t *testing.T) {
	n, _ := startNode(t)
	log := &lockedBuffer{}
	n.ask(func() int { n.log = slog.New(slog.NewTextHandler(log, nil)); return 0 })
	other := peer.Peer{Member: structs.Member{Name: "other"}}
	(*peerHandler)(n).LinkUp(other)
	receive(t, n, wire.PoolSubmit, submitBody{Job: patientJob("a"), Vouches: true})
	assert.Equal(t, poolJobs(n), 1)
	m, err := wire.NewMessage(wire.PoolAbandon, abandonBody{"a", otherLeader})
	assert.NilError(t, err)
	busy := make(chan struct{})
	n.post(func(time.Duration) { <-busy })
	(*peerHandler)(n).Receive(other, m)
	time.Sleep(2 * longQueueWait)
	close(busy)
	receive(t, n, wire.PoolAbandon, abandonBody{"a", otherLeader}) // the pool no longer has the job
	assert.Equal(t, poolJobs(n), 0)
	assert.Equal(t, log.count("outcome=withdrawn coordinator=other"), 1)
	assert.Assert(t, log.count("msg=\"message waited in the queue\" type="+wire.PoolAbandon.String()+" peer=other") > 0)
}
