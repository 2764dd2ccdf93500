package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// startChain starts entries of which each is linked to the one before and the one after it
// only. The first one leads.
func startChain(t *testing.T, length int) []*Node {
	nodes, list := make([]*Node, length), make([]fleet.Member, length)
	var before *httptest.Server // of the entry before
	targets := newBusyTargets()
	for i := range nodes {
		// Other entries can't be dialled: the address that they tell is wrong, and where they
		// listen, they accept the link to the next entry only.
		self := fleet.Member{Name: fmt.Sprintf("e%d", i), DC: "dc-1", Addr: "127.0.0.1:1"}
		n, err := Start(Config{
			Self: self, Secret: []byte("a secret of the tests"), Targets: targets,
			Metrics: metrics.NewNop(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		assert.NilError(t, err)
		t.Cleanup(n.Close)
		srv := httptest.NewServer(http.HandlerFunc(n.Handler().ServeHTTP))
		t.Cleanup(srv.CloseClientConnections)
		self.Addr = strings.TrimPrefix(srv.URL, "http://")
		nodes[i], list[i] = n, self
		if i > 0 {
			n.post(func(now time.Duration) { n.shards[0].election.DelayLead(now + time.Hour) })
		}
		known := list[max(i-1, 0) : i+1]
		n.SetMembers(known, []string{self.Name})
		n.SetConfig(&fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "q", Host: "h", Prefix: "/", Service: "s"}}})
		n.SetTargets([]fleet.Target{
			{ID: "t1", Service: "s", DC: "dc-1", Capacity: structs.Resources{MilliCPU: 1000}},
			{ID: "t2", Service: "s", DC: "dc-1", Capacity: structs.Resources{MilliCPU: 1000}},
		}, time.Now())
		if i == 0 {
			awaitOwned(t, n)
		}
		awaitReady(t, n)
		if before != nil {
			assert.NilError(t, before.Listener.Close())
		}
		before = srv
	}
	return nodes
}

func awaitReady(t *testing.T, n *Node) {
	for range 1000 {
		if n.Ready() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the node is not ready")
}

// New entries are not linked to all others yet. One that followed a leader over two others
// said that it was ready, but the second of them refused its jobs, and they were rejected.
func TestJobsReachALeaderOverTwoOtherEntries(t *testing.T) {
	nodes := startChain(t, 4)
	for i, n := range nodes {
		assert.Equal(t, n.Linked(), []int{1, 2, 2, 1}[i], "entry %d", i)
		o, err := n.Submit(context.Background(), fleet.Job{
			ID: fmt.Sprint("job-", i), Queue: fleet.Queue{Name: "q", Service: "s"},
			Steps: []fleet.Step{{Count: 1, Needs: structs.Resources{MilliCPU: 5000}}},
		}, Caller{})
		assert.NilError(t, err)
		assert.Equal(t, o.Reason, verdict.NeverFits, "the leader's answer to a job of entry %d", i)
	}
}

// With a new layout, an entry that relayed a job to a leader told its coordinator that the
// job had not run. The coordinator rejected it as not run, or submitted it to a new leader
// without a word of the old one, which may have started it.
func TestRelayedJobThatALeaderHadMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		relayed pendingJob
		want    verdict.Verdict
	}{
		{pendingJob{}, verdict.NotRun},
		{pendingJob{sentTo: "leader"}, verdict.MayHaveRun},
		{pendingJob{mayHaveRun: true}, verdict.MayHaveRun},
	} {
		o := c.relayed.notReady()
		assert.Equal(t, o.Verdict, c.want)
		n, _ := startNode(t)
		got := make(chan pendingJob, 1)
		n.post(func(now time.Duration) {
			n.pending["a"] = &pendingJob{pool: 0, sentTo: "relay", arrived: now}
			n.handleOutcome(now, "relay", endedBody{Job: "a", Outcome: o})
			got <- *n.pending["a"]
			delete(n.pending, "a")
		})
		p := <-got
		assert.Equal(t, p.mayHaveRun, c.want == verdict.MayHaveRun)
		assert.Equal(t, p.sentTo, "", "the job is submitted again")
	}
}
