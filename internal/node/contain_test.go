package node

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// startNode starts a node without peers that leads two targets.
func startNode(tb testing.TB) (*Node, *busyTargets) {
	targets := newBusyTargets()
	n, err := Start(Config{
		Self: fleet.Member{Name: "self", DC: "dc-1", Addr: "127.0.0.1:1"}, Secret: []byte("a secret of the tests"),
		Targets: targets, Metrics: metrics.NewNop(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(tb, err)
	tb.Cleanup(n.Close)
	n.SetConfig(&fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s"}}})
	n.SetTargets([]fleet.Target{
		{ID: "t1", Service: "s", DC: "dc-1", Capacity: structs.Resources{MilliCPU: 1000}},
		{ID: "t2", Service: "s", DC: "dc-1", Capacity: structs.Resources{MilliCPU: 1000}},
	}, time.Now())
	awaitOwned(tb, n)
	return n, targets
}

func awaitOwned(tb testing.TB, n *Node) {
	for range 1000 {
		if n.Owned() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatal("the node does not own its targets")
}

// panics returns how many panics the node has contained lately.
func panics(n *Node) int { return n.ask(func() int { return len(n.containment.recent) }) }

// An unexpected error in the handling of one event ended the whole process.
func TestPanicInTheLoopIsContained(t *testing.T) {
	n, _ := startNode(t)
	n.post(func(time.Duration) { panic("a fault") })
	awaitOwned(t, n)
	assert.Equal(t, panics(n), 1)
	assert.Assert(t, n.ask(func() int {
		if n.quarantined(n.now()) {
			return 1
		}
		return 0
	}) == 1, "another entry should lead first")
}

// Jobs that peers submit are decoded, but a peer of another release may send any values.
// A negative number of tasks ended the process.
func TestInvalidJobFromPeerIsRejected(t *testing.T) {
	n, _ := startNode(t)
	valid := fleet.Job{ID: "a", Queue: fleet.Queue{Name: "q", Service: "s"}, Steps: []fleet.Step{{Count: 1}}}
	for _, change := range []func(j *fleet.Job){
		func(j *fleet.Job) { j.Steps[0].Count = -1 },
		func(j *fleet.Job) { j.Steps[0].Count = 1 << 40 },
		func(j *fleet.Job) { j.Steps[0].DependsOn = []uint16{7} },
		func(j *fleet.Job) { j.Steps[0].DependsOn = []uint16{0} },
		func(j *fleet.Job) { j.Steps[0].Needs.MilliCPU = -5 },
		func(j *fleet.Job) { j.Steps = nil },
		func(j *fleet.Job) { j.Timeout = -1 },
		func(j *fleet.Job) { j.ID = "" },
	} {
		j := valid
		j.Steps = append([]fleet.Step{}, valid.Steps...)
		change(&j)
		assert.Assert(t, j.Validate() != nil)
		receive(t, n, wire.PoolSubmit, submitBody{Job: j})
		receive(t, n, wire.JobStore, jobStoreBody{Number: 1, Job: j})
	}
	assert.Equal(t, panics(n), 0)
	assert.NilError(t, valid.Validate())
	o, err := n.Submit(context.Background(), fleet.Job{ID: "b", Queue: valid.Queue, Steps: []fleet.Step{{Count: 1, Needs: structs.Resources{MilliCPU: 5000}}}}, Caller{})
	assert.NilError(t, err)
	assert.Equal(t, o.Reason, verdict.NeverFits, "the node still decides on jobs")
}

// receive passes a message from a peer to the node and waits until it is handled.
func receive(tb testing.TB, n *Node, typ wire.Type, body any) {
	m, err := wire.NewMessage(typ, body)
	assert.NilError(tb, err)
	(*peerHandler)(n).Receive(peer.Peer{Member: structs.Member{Name: "other"}}, m)
	n.ask(func() int { return 0 })
}

// FuzzReceive checks that no body of a peer's message makes the loop panic.
func FuzzReceive(f *testing.F) {
	n, _ := startNode(f)
	n.post(func(time.Duration) { n.linked["other"] = true })
	for _, b := range []struct {
		typ  wire.Type
		body any
	}{
		{wire.PoolSubmit, submitBody{Job: fleet.Job{ID: "a", Steps: []fleet.Step{{Count: 1}}}, Pool: -1}},
		{wire.PoolHeartbeat, heartbeatBody{ConfigVersion: 1 << 40, Pools: make([]poolReport, 40), LayoutVersion: 3}},
		{wire.PoolStart, startBody{Number: 1, Job: "a", Step: -1}}, {wire.PoolStarted, startedBody{Number: 1, Answer: 255}},
		{wire.PoolEnded, endedBody{Job: "a"}}, {wire.PoolAbandon, abandonBody{Job: "a", Reason: 99}},
		{wire.JobQuery, jobQueryBody{Job: "a", Cancel: true}}, {wire.JobReply, jobReplyBody{Number: 1}},
		{wire.JobStore, jobStoreBody{Job: fleet.Job{ID: "a"}}},
		{wire.PoolVouch, vouchBody{HeartbeatAt: 1 << 62, Leader: "other"}}, {wire.PoolBeat, vouchBody{HeartbeatAt: -1 << 62}},
		{wire.PoolSubmit, submitBody{Job: fleet.Job{ID: "a", Steps: []fleet.Step{{Count: 1}}}, MayHaveRun: true, VouchedAgo: -1 << 63, Vouches: true, HeartbeatAt: -1 << 63}},
		{wire.Directory, directoryBody{Layout: &fleet.Layout{Version: 1 << 60, Pools: make([]fleet.Scope, 20)}, Targets: []fleet.Target{{}, {}}, HasTargets: true}},
	} {
		encoded, err := wire.Encode(b.body)
		assert.NilError(f, err)
		f.Add(uint8(b.typ), encoded)
	}
	f.Fuzz(func(t *testing.T, typ uint8, body []byte) {
		m := wire.Message{Type: wire.Type(typ), Body: body}
		before := panics(n)
		(*peerHandler)(n).Receive(peer.Peer{Member: structs.Member{Name: "other"}}, m)
		assert.Assert(t, panics(n) <= before, "type %s", m.Type)
	})
}

// A leader that was paused woke up with orders that it had decided on before. Meanwhile
// another entry led, and the tasks ran twice.
func TestOrdersDecidedBeforeAPauseAreNotSent(t *testing.T) {
	n, targets := startNode(t)
	var answers []fleet.Answer
	n.ask(func() int {
		n.lane.bytesPerSecond = 1 // one order at a time
		for range 3 {
			n.lane.push(laneOrder{
				name: "start", valid: func() bool { return true },
				done: func(_ time.Duration, rep fleet.Reply) { answers = append(answers, rep.Answer) },
			})
		}
		n.lane.sentBytes++ // the link is busy
		n.clock.lastIteration -= 2 * processPauseLimit
		n.checkProcessPause()
		return 0
	})
	assert.DeepEqual(t, answers, []fleet.Answer{fleet.NotSent, fleet.NotSent, fleet.NotSent})
	assert.Equal(t, targets.started(), 0)
}

// An entry that stepped down had orders in its lane, beside those of its successor.
func TestOrdersOfAFormerLeaderAreNotSent(t *testing.T) {
	n, targets := startNode(t)
	var got fleet.Answer
	n.ask(func() int {
		n.lane.push(laneOrder{
			name: "start", valid: func() bool { return false },
			done: func(_ time.Duration, rep fleet.Reply) { got = rep.Answer },
		})
		n.pumpLane(n.now())
		return 0
	})
	assert.Equal(t, got, fleet.NotSent)
	assert.Equal(t, targets.started(), 0)
}

// A coordinator whose caller has left must not send the order of a leader that does not
// know it yet, and says so truthfully.
func TestCoordinatorWithoutTheJobSendsNoOrder(t *testing.T) {
	n, targets := startNode(t)
	n.ask(func() int {
		n.handleStart(n.now(), "leader", startBody{Number: 1, Job: "unknown"})
		n.pending["known"] = &pendingJob{job: fleet.Job{ID: "known"}, sentTo: "another"}
		n.handleStart(n.now(), "leader", startBody{Number: 2, Job: "known"})
		delete(n.pending, "known")
		return 0
	})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, targets.started(), 0)
}

// Entries that lead nothing read the list of all targets as often as leaders did, which took
// a percent of a core in each.
func TestOnlyLeadersReadManyTargetsOften(t *testing.T) {
	n, _ := startNode(t)
	assert.Equal(t, n.TargetInterval(), minTargetInterval, "a leader")
	n.ask(func() int {
		n.directory.targets = make([]fleet.Target, 540)
		for _, s := range n.shards {
			s.decision.Leading = false
		}
		n.updateTargetInterval()
		return 0
	})
	assert.Assert(t, n.TargetInterval() > 5*time.Second && n.TargetInterval() <= maxTargetInterval)
	n.ask(func() int { // as in a small deployment
		n.directory.targets = make([]fleet.Target, 48)
		n.updateTargetInterval()
		return 0
	})
	assert.Equal(t, n.TargetInterval(), minTargetInterval)
	select {
	case <-n.TargetsDue():
	default:
		t.Fatal("the next read is not hurried")
	}
}
