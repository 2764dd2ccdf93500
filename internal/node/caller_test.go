package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// callerJob is a job that no target takes, of a caller that leaves after a time.
func callerJob(id string, timeout time.Duration) fleet.Job {
	j := patientJob(id)
	j.Timeout, j.CallerLeaves = timeout, true
	return j
}

// led makes a node follow another entry in all pools, which has the given job.
func led(t *testing.T, n *Node, p *pendingJob) {
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	n.ask(func() int {
		p.sentTo, p.number = "other", 1
		n.pending[p.job.ID] = p
		for _, w := range p.waiters {
			n.expectDeparture(w)
		}
		return 0
	})
}

func (n *Node) isPending(id string) bool {
	return n.ask(func() int {
		if n.pending[id] != nil {
			return 1
		}
		return 0
	}) == 1
}

// An entry that had stood still took the requests of that time for new ones.
func TestRequestReadAfterAPauseIsAsOldAsThePause(t *testing.T) {
	n, targets := startNode(t)
	n.ask(func() int {
		n.clock.mu.Lock()
		n.clock.lastIteration -= 2 * time.Second
		n.clock.mu.Unlock()
		n.checkProcessPause()
		n.clock.mu.Lock()
		n.clock.pauseEnded += time.Minute // the test may be slow
		n.clock.mu.Unlock()
		return 0
	})
	o, err := n.Submit(t.Context(), callerJob("a", time.Second), Caller{})
	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.DeadlinePassed)
	assert.Assert(t, o.RetryAfter > 0)
	assert.Equal(t, targets.started(), 0)
}

// The loop has not noticed the pause yet.
func TestRequestReadBeforeAPauseIsNoticedIsAsOldAsThePause(t *testing.T) {
	c := newClock()
	c.suspend(time.Minute)
	c.iterate()
	c.mu.Lock()
	c.lastIteration -= 2 * time.Second
	c.mu.Unlock()
	began, ok := c.recentPause()
	assert.Assert(t, ok)
	assert.Equal(t, began, c.lastIteration)
}

// A request waited for the loop, and its caller had the whole deadline from then.
func TestWaitForTheLoopCountsForTheDeadlineOfACaller(t *testing.T) {
	n, _ := startNode(t)
	release := make(chan struct{})
	n.post(func(time.Duration) { <-release })
	answered := make(chan fleet.Outcome, 1)
	go func() {
		o, _ := n.Submit(t.Context(), callerJob("a", 100*time.Millisecond), Caller{})
		answered <- o
	}()
	for len(n.events) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	close(release)
	o := <-answered
	assert.Equal(t, o.Verdict, verdict.NotRun)
	assert.Equal(t, o.Reason, verdict.DeadlinePassed)
}

// The deadline of a caller passed while the loop was busy. What the loop did next vouched for the job.
func TestJobIsWithdrawnAtTheDeadlineBeforeTheNextEvent(t *testing.T) {
	n, _ := startNode(t)
	done := make(chan fleet.Outcome, 1)
	p := &pendingJob{job: patientJob("a"), waiters: []waiter{{done: done}}}
	led(t, n, p)
	assert.Assert(t, n.isPending("a"))
	n.post(func(now time.Duration) {
		p.waiters[0].leavesAt = now + 50*time.Millisecond
		n.expectDeparture(p.waiters[0])
		time.Sleep(100 * time.Millisecond)
	})
	assert.Assert(t, !n.isPending("a"))
	o := <-done
	assert.Equal(t, o.Verdict, verdict.MayHaveRun, "the leader may have run the job")
}

// The second attempt of a caller reached the same entry, which had not noticed the end of the first
// one. The leader went on by the deadline of the first.
func TestDuplicateTellsTheLeaderOfItsDeadline(t *testing.T) {
	n, _ := startNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, timeout := range []time.Duration{600 * time.Millisecond, time.Hour} {
		go func() { _, _ = n.Submit(ctx, callerJob("a", timeout), Caller{}) }()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, poolJobs(n), 1, "the leader has ended the job by the deadline of the first attempt")
}

// vouchedTo reports whether a node has answered a heartbeat of its leader.
func (n *Node) vouchedTo(leader string) bool {
	return n.ask(func() int {
		if _, ok := n.vouching.vouchedAt[leader]; ok {
			return 1
		}
		return 0
	}) == 1
}

// A caller had left while the process was slow. The loop answered the heartbeats that had arrived before
// it got to the end of the connection.
func TestNoWordForAJobWhoseCallerHasClosedItsConnection(t *testing.T) {
	n, _ := startNode(t)
	led(t, n, &pendingJob{job: patientJob("a"), waiters: []waiter{{done: make(chan fleet.Outcome, 1), left: func() bool { return true }}}})
	receive(t, n, wire.PoolHeartbeat, heartbeatBody{SentAt: time.Second})
	assert.Assert(t, !n.isPending("a"))
}

func TestNoWordsRightAfterAPause(t *testing.T) {
	n, _ := startNode(t)
	led(t, n, &pendingJob{job: patientJob("a"), waiters: []waiter{{done: make(chan fleet.Outcome, 1)}}})
	n.ask(func() int {
		n.clock.lastIteration -= 2 * processPauseLimit
		n.checkProcessPause()
		n.vouching.heldUntil = never // until the test lets it end
		return 0
	})
	receive(t, n, wire.PoolHeartbeat, heartbeatBody{SentAt: time.Second})
	assert.Assert(t, !n.vouchedTo("other"))
	n.ask(func() int {
		n.releaseVouches(never)
		return 0
	})
	assert.Assert(t, n.vouchedTo("other"), "the heartbeat is not answered later")
}

// A late duplicate was told that the job had not run, while the leader had it.
func TestLateDuplicateOfAJobThatALeaderHasMayHaveRun(t *testing.T) {
	n, _ := startNode(t)
	led(t, n, &pendingJob{job: patientJob("a"), waiters: []waiter{{done: make(chan fleet.Outcome, 1)}}})
	o, err := n.Submit(t.Context(), callerJob("a", time.Second), Caller{Waited: 2 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
}

// A duplicate joined a job that was relayed. The relay refused the submission that told of it, and both
// callers were told that the job had not run, while the leader had it.
func TestDuplicateOfARelayedJobJoinsIt(t *testing.T) {
	nodes := startChain(t, 3)
	answers := make(chan fleet.Outcome, 2)
	submit := func(timeout time.Duration) {
		o, _ := nodes[2].Submit(t.Context(), callerJob("a", timeout), Caller{})
		answers <- o
	}
	go submit(4 * time.Second)
	for poolJobs(nodes[0]) == 0 {
		time.Sleep(time.Millisecond)
	}
	go submit(time.Hour)
	o := <-answers
	assert.Equal(t, o.Verdict, verdict.MayHaveRun, "the answer to the caller that has left")
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, poolJobs(nodes[0]), 1, "the leader has ended the job by the first deadline")
	assert.Assert(t, nodes[1].isPending("a"))
	assert.Assert(t, nodes[2].isPending("a"))
}

// The request that was read last set the deadline of the job, also where its caller left first.
func TestDuplicateWithAnEarlierDeadlineEndsNothing(t *testing.T) {
	n, _ := startNode(t)
	go func() { _, _ = n.Submit(t.Context(), callerJob("a", time.Hour), Caller{}) }()
	for !n.isPending("a") {
		time.Sleep(time.Millisecond)
	}
	o, err := n.Submit(t.Context(), callerJob("a", 300*time.Millisecond), Caller{})
	assert.NilError(t, err)
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, poolJobs(n), 1, "the job of the first caller")
}

// A caller that leaves was told that the job had not run, which another one still waits for.
func TestCallerThatLeavesAJobToOthersIsNotToldThatItHasNotRun(t *testing.T) {
	n, _ := startNode(t)
	leaves, stays := make(chan fleet.Outcome, 1), make(chan fleet.Outcome, 1)
	n.ask(func() int {
		now := n.now()
		p := &pendingJob{job: patientJob("a"), pool: -1, arrived: now, retryAt: never, waiters: []waiter{{done: leaves, leavesAt: now + 10*time.Millisecond}, {done: stays}}}
		n.pending["a"] = p
		n.expectDeparture(p.waiters[0])
		return 0
	})
	assert.Equal(t, (<-leaves).Verdict, verdict.MayHaveRun)
}

// A job was submitted, with a word, after its caller had closed the connection.
func TestJobOfACallerThatHasLeftIsNotSubmitted(t *testing.T) {
	n, _ := startNode(t)
	n.ask(func() int {
		now := n.now()
		n.addPending(now, patientJob("a"), now, waiter{done: make(chan fleet.Outcome, 1), left: func() bool { return true }})
		return 0
	})
	assert.Equal(t, poolJobs(n), 0)
	assert.Assert(t, !n.isPending("a"))
}

// The VM was suspended while the loop handled a batch of events, and the next one of the batch
// was a heartbeat.
func TestNoWordAfterASuspensionWithinABatch(t *testing.T) {
	n, _ := startNode(t)
	led(t, n, &pendingJob{job: patientJob("a"), waiters: []waiter{{done: make(chan fleet.Outcome, 1), leavesAt: n.now() + 1500*time.Millisecond}}})
	n.post(func(time.Duration) {
		time.Sleep(100 * time.Millisecond) // the next event arrives
		n.clock.suspend(3 * time.Second)
	})
	receive(t, n, wire.PoolHeartbeat, heartbeatBody{SentAt: time.Second})
	assert.Assert(t, !n.vouchedTo("other"))
	assert.Assert(t, !n.isPending("a"))
}

// A relay passes on a heartbeat for each job that it gets, and the callers of all jobs were looked at each time.
func TestRelayedBeatsDoNotLookAtAllCallersEachTime(t *testing.T) {
	n, _ := startNode(t)
	var looks int
	led(t, n, &pendingJob{job: patientJob("a"), waiters: []waiter{{done: make(chan fleet.Outcome, 1), left: func() bool { looks++; return false }}}})
	n.ask(func() int {
		now := n.now()
		for i := range 100 {
			n.handleRelayedBeat(now, "other", vouchBody{HeartbeatAt: time.Duration(i + 1), Leader: "l", Origin: n.cfg.Self.Name})
		}
		assert.Check(t, looks <= 1, "%d looks", looks)
		return 0
	})
}
