package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// Failure: the leader that has a job is cut off, with all targets of its pool. Callers of long jobs heard nothing until their deadlines.
func TestCallerIsToldOfALostJobBeforeItsDeadline(t *testing.T) {
	n, _ := startNode(t)
	done := make(chan fleet.Outcome, 1)
	n.ask(func() int {
		now := n.now()
		p := &pendingJob{
			job: callerJob("a", 3*time.Second), arrived: now - 2*time.Second, mayHaveRun: true, leaderLostAt: now - leaderlessTimeout,
			formers: map[former]time.Duration{{"gone", 0}: now - 2*time.Second}, waiters: []waiter{{done: done}},
		}
		n.pending["a"] = p
		served, lost := []poolView{{led: true}}, []poolView{{led: true, empty: true}}
		p.job.Steps[0].Estimate, p.work = 4*time.Second, 0 // worked out anew
		assert.Check(t, !n.answerLost(now, p, served), "the next leader may find the runs")
		assert.Check(t, !n.answerLost(now-1, p, lost), "a next leader may come")
		p.relayFor = "b"
		assert.Check(t, !n.answerLost(now, p, lost), "its coordinator decides")
		p.relayFor, p.mayHaveRun = "", false
		assert.Check(t, !n.answerLost(now, p, lost), "it has not run, and may go to any pool")
		p.mayHaveRun = true
		p.job.Steps[0].Estimate, p.work = time.Second, 0
		assert.Check(t, !n.answerLost(now, p, lost), "another pool may answer it in time")
		p.job.Steps[0].Estimate, p.work = 4*time.Second, 0
		assert.Check(t, n.answerLost(now, p, lost))
		assert.Check(t, n.pending["a"] == nil)
		assert.Check(t, n.questions.of("a") != nil, "its runs may be open")
		return 0
	})
	o := <-done
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	assert.Equal(t, o.Reason, verdict.ContactLost)
}

// Failure: the same, and the job's home tells of runs that may be at work for long. Each such word put the loss off to that moment.
func TestWordOfTheHomeDoesNotPutALossOff(t *testing.T) {
	n, _ := startNode(t)
	done := make(chan fleet.Outcome, 1)
	n.ask(func() int {
		now := n.now()
		lostAt := now - leaderlessTimeout
		p := &pendingJob{
			job: callerJob("a", 3*time.Second), arrived: now - 2*time.Second, mayHaveRun: true, leaderLostAt: lostAt,
			formers: map[former]time.Duration{{"gone", 0}: now - 2*time.Second}, waiters: []waiter{{done: done}},
		}
		n.pending["a"] = p
		lost := []poolView{{led: true, empty: true}}
		p.job.Steps[0].Estimate = time.Second
		for range 3 {
			n.homeAnswered(now, p, "home", 10*time.Second)
			assert.Check(t, p.leaderLostAt == lostAt)
			assert.Check(t, !n.answerLost(now, p, lost), "another pool may answer it in time")
			assert.Check(t, p.retryAt == now+homeClaimPause)
		}
		p.job.Steps[0].Estimate, p.work = 4*time.Second, 0 // worked out anew
		assert.Check(t, n.answerLost(now, p, lost))

		first := &pendingJob{job: callerJob("b", 3*time.Second), arrived: now, pool: -1}
		n.homeAnswered(now, first, "home", 10*time.Second)
		assert.Check(t, first.mayHaveRun && first.leaderLostAt == now)
		return 0
	})
	o := <-done
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
	assert.Equal(t, o.Reason, verdict.ContactLost)
}

func TestLongestChain(t *testing.T) {
	j := fleet.Job{Steps: []fleet.Step{
		{Estimate: time.Second}, {Estimate: 5 * time.Second}, {Estimate: 2 * time.Second, DependsOn: []uint16{0}}, {Estimate: 3 * time.Second, DependsOn: []uint16{0, 2}},
	}}
	assert.Equal(t, longestChain(&j), 6*time.Second)
	assert.Equal(t, longestChain(&fleet.Job{}), time.Duration(0))
}
