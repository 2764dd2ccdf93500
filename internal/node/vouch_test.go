package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/pool"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// poolJobs returns the number of jobs in the pools of a node.
func poolJobs(n *Node) int {
	return n.ask(func() int {
		jobs := 0
		for _, s := range n.shards {
			jobs += s.pool.Load().Jobs
		}
		return jobs
	})
}

func patientJob(id string) fleet.Job {
	return fleet.Job{
		ID: id, Queue: fleet.Queue{Name: "q", Service: "s", Slack: time.Hour}, Timeout: time.Hour,
		Steps: []fleet.Step{{Count: 1, Needs: structs.Resources{MilliCPU: 100}}},
	}
}

// A coordinator lost its link and dialled anew, which this entry took for a replacement of the
// connection. It went on running the jobs, which the coordinator had given to another leader.
func TestGreetingOnALinkThatIsUpEndsTheJobsOfThePeer(t *testing.T) {
	n, _ := startNode(t)
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	receive(t, n, wire.Directory, directoryBody{Greeting: true})
	receive(t, n, wire.PoolSubmit, submitBody{Job: patientJob("a"), Vouches: true})
	assert.Equal(t, poolJobs(n), 1)
	receive(t, n, wire.Directory, directoryBody{})
	assert.Equal(t, poolJobs(n), 1)
	receive(t, n, wire.Directory, directoryBody{Greeting: true})
	assert.Equal(t, poolJobs(n), 0)
	assert.Equal(t, n.Linked(), 1)
}

func TestJobStartsOnceItsCoordinatorVouches(t *testing.T) {
	n, targets := startNode(t)
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	receive(t, n, wire.PoolSubmit, submitBody{Job: patientJob("a"), Vouches: true})
	receive(t, n, wire.PoolVouch, vouchBody{HeartbeatAt: 1 << 60}) // of a heartbeat that was not sent
	assert.Equal(t, poolJobs(n), 1)
	assert.Equal(t, targets.started(), 0)
	now := time.Duration(n.ask(func() int { return int(n.now()) }))
	receive(t, n, wire.PoolVouch, vouchBody{HeartbeatAt: now})
	for range 1000 {
		if targets.started() > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the job was not started")
}

func TestGivenUpLeaderIsWaitedForFromTheLastAnswer(t *testing.T) {
	v := newVouching()
	assert.Equal(t, v.answer("leader"), time.Duration(0), "no heartbeat has arrived")
	v.beats["leader"] = beat{sentAt: 7 * time.Second, receivedAt: 3 * time.Second}
	assert.Equal(t, v.answer("leader"), 7*time.Second)
	assert.Equal(t, v.vouchedAt["leader"], 3*time.Second)
	v.beats["leader"] = beat{sentAt: 8 * time.Second, receivedAt: 4 * time.Second}
	assert.Equal(t, v.vouchedAt["leader"], 3*time.Second, "a heartbeat that is not answered permits nothing")
	v.muted["leader"] = true
	assert.Equal(t, v.answer("leader"), time.Duration(0), "a leader that was not told of a withdrawal gets no answers")
	assert.Equal(t, v.vouchedAt["leader"], 3*time.Second)
}

// A leader of several pools knows in each of them only the runs that it started for that one.
func TestJobThatMovesToAnotherPoolOfItsLeaderWaitsForItsRuns(t *testing.T) {
	p := &pendingJob{pool: 0}
	p.addFormer("leader", 5*time.Second)
	f := p.formerVouches(5100*time.Millisecond, former{"leader", 1})
	assert.Assert(t, !f.hereBefore)
	assert.Equal(t, f.ago, 100*time.Millisecond)
	f = p.formerVouches(5100*time.Millisecond, former{"leader", 0})
	assert.Assert(t, f.hereBefore)
	assert.Equal(t, f.elsewhereAgo, pool.DefaultTakeoverDelay)
}
