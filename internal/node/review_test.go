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
// answer to the first submission arrives only now, while the leader has the job. The next leader
// must wait for this one.
func TestLateNotReadyOfALeaderThatHasTheJob(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan time.Duration, 1)
	n.post(func(now time.Duration) {
		n.vouching.beats["other"] = beat{sentAt: 1, receivedAt: now}
		n.vouching.vouchedAt["other"] = now
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now - 2*time.Second, sentTo: "other", mayHaveRun: true, vouchedAt: now - 2*time.Second}
		n.handleOutcome(now, "other", "a", fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.NotReady})
		got <- now - n.pending["a"].vouchedAt
	})
	assert.Equal(t, <-got, time.Duration(0), "the next leader is told that the job was vouched for that long ago")
}

// The former leader completes a job while the next one waits to start it. The next one must be
// told, or it runs the job for nobody.
func TestJobThatTheFormerLeaderCompletedIsWithdrawnFromTheNext(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan bool, 1)
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "next", mayHaveRun: true, vouchedAt: now}
		n.handleOutcome(now, "former", "a", fleet.Outcome{Verdict: verdict.Completed})
		got <- n.vouching.muted["next"] // there is no link, so that a withdrawal fails
	})
	assert.Assert(t, <-got, "no withdrawal was sent")
}

// A late answer of a leader ends a job that it has got again since. The caller is told that the
// job may have run and sends it again at any entry, so that this leader must not go on with it.
func TestJobThatIsAnsweredWithMayHaveRunIsWithdrawn(t *testing.T) {
	n, _ := startNode(t)
	got := make(chan bool, 1)
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "other", mayHaveRun: true, vouchedAt: now}
		n.handleOutcome(now, "other", "a", fleet.Outcome{Verdict: verdict.NotRun, Reason: verdict.QueueFull})
		got <- n.vouching.muted["other"]
	})
	assert.Assert(t, <-got, "no withdrawal was sent")
}

// The leader that was told of a cancellation is lost. The job must not start elsewhere.
func TestCancelledJobIsNotSubmittedAgain(t *testing.T) {
	n, _ := startNode(t)
	(*peerHandler)(n).LinkUp(peer.Peer{Member: structs.Member{Name: "other"}})
	n.post(func(now time.Duration) {
		n.pending["a"] = &pendingJob{job: patientJob("a"), arrived: now, sentTo: "other", vouchedAt: now, waiters: []chan fleet.Outcome{make(chan fleet.Outcome, 1)}}
	})
	assert.Assert(t, n.Cancel(t.Context(), "a"))
	(*peerHandler)(n).LinkDown(peer.Peer{Member: structs.Member{Name: "other"}})
	for range 100 {
		assert.Equal(t, poolJobs(n), 0, "the cancelled job was submitted to the next leader")
		time.Sleep(10 * time.Millisecond)
	}
}
