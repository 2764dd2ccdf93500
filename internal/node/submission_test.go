package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/peer"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// A coordinator's loop is late: it submits a job over the new connection to a leader before it
// handles the loss of the former one, and then gives the leader up without a withdrawal. Its
// greeting follows on the same connection. What came before the greeting is void.
func TestWhatComesBeforeTheGreetingIsVoid(t *testing.T) {
	n, _ := startNode(t)
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	receive(t, n, wire.PoolSubmit, submitBody{Job: patientJob("a"), Vouches: true})
	receive(t, n, wire.Directory, directoryBody{Greeting: true})
	assert.Equal(t, poolJobs(n), 0, "the sender has given the job to another leader")
}

// A job was submitted to a leader that was not ready, given up and submitted there again. The
// answer to the first submission arrives only now, while the leader has the job.
func TestLateNotReadyOfALeaderThatHasTheJob(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan string, 1)
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now - 2*time.Second, sentTo: "other", number: 2, mayHaveRun: true}
		n.handleOutcome(now, "other", endedBody{"a", fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady}, 1})
		got <- n.pending["a"].sentTo
	})
	assert.Equal(t, <-got, "other", "the job goes to another leader without a withdrawal")
}

// The former leader completes a job while the next one waits to start it. The next one must be
// told, or it runs the job for nobody.
func TestJobThatTheFormerLeaderCompletedIsWithdrawnFromTheNext(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan bool, 1)
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "next", number: 2, mayHaveRun: true}
		n.handleOutcome(now, "former", endedBody{"a", fleet.Outcome{Verdict: verdict.Completed}, 1})
		got <- n.vouching.muted["next"] // there is no link, so that a withdrawal fails
	})
	assert.Assert(t, <-got, "no withdrawal was sent")
}

// A late answer of a leader ended a job that it has got again since. The caller was told that the
// job may have run and sent it again at another entry, while this leader went on with it.
func TestLateRefusalOfALeaderThatHasTheJobEndsNothing(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan bool, 1)
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "other", number: 2, mayHaveRun: true}
		n.handleOutcome(now, "other", endedBody{"a", fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull}, 1})
		got <- n.pending["a"] != nil && n.pending["a"].sentTo == "other"
	})
	assert.Assert(t, <-got, "the job has ended")
}

// The leader that was told of a cancellation is lost. The job must not start elsewhere.
func TestCancelledJobIsNotSubmittedAgain(t *testing.T) {
	n, _ := startNode(t)
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "other", waiters: []waiter{{done: make(chan fleet.Outcome, 1)}}}
	})
	assert.Assert(t, n.Cancel(t.Context(), "a"))
	(*peerHandler)(n).LinkDown(peer.Peer{Member: structs.Member{Name: "other"}})
	for range 100 {
		assert.Equal(t, poolJobs(n), 0, "the cancelled job was submitted to the next leader")
		time.Sleep(10 * time.Millisecond)
	}
}
