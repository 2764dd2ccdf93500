package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// A load report can be made between the moment at which a job is queued and the one at
// which it starts. An entry without targets took the peer for busy and refused jobs until
// the next report, though the peer's worker was free.
func TestJobThatIsAboutToStartAtAPeerLeavesRoomForOthers(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	w := startTarget(t, platform.RoleWorker, "w1")
	peer := n.newEngine(t, "e1", "a", c)
	t.Cleanup(peer.Close)
	peer.SetTargets([]platform.VM{w.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	first := newExecution(context.Background(), newWork(t, "dusk", structs.Job, 1), peer.answerMemory, func(structs.Outcome) {})
	peer.jobs.mu.Lock()
	err := peer.jobs.enqueue(newTasks(first, false))
	peer.jobs.mu.Unlock()
	assert.Assert(t, err == nil, "%v", err)
	report, due := peer.jobs.nextLoadReport(time.Now(), 0)
	assert.Assert(t, due)
	at := report.Kinds[0]
	assert.Assert(t, at.Queued == 1 && at.Free > 0, "%+v", at)
	e.jobs.receiveLoad("e1", &report)

	o := e.Do(context.Background(), newWork(t, "dusk", structs.Job, 1))

	assert.Equal(t, o.Verdict, verdict.Completed, "%s: %s", o.Reason, o.Message)
	<-first.done
	assert.Equal(t, len(w.Starts()), 2)
}

// With a task under way at the peer, a load report that was some 100 ms old counted as no
// room.
func TestEntryWithoutTargetsQueuesJobsUntilTheNextLoadReport(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	e := n.newEngine(t, "e2", "a", c)
	t.Cleanup(e.Close)
	n.newEngine(t, "e1", "a", c)
	s := e.jobs
	s.receiveLoad("e1", &loadReport{Class: structs.Job, Member: true, Kinds: []kindLoad{{Kind: "dusk", Free: 2}}})
	ex := newExecution(context.Background(), newWork(t, "dusk", structs.Job, 1), e.answerMemory, func(structs.Outcome) {})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoads["e1"].kinds["dusk"].sent = 1
	s.setPeerCapacity(s.peerLoads["e1"].receivedAt.Add(600 * time.Millisecond))
	err := s.enqueue(newTasks(ex, false))
	assert.Assert(t, err == nil, "%v", err)
}
