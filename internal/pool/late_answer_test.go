package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// An order of a leadership that is over is answered late, while the same run number of the task
// is at work under the present one: each leadership numbers the runs of a task from 1.
func TestLateAnswerToAnOrderOfAnEarlierLeadershipReleasesNoRun(t *testing.T) {
	for _, late := range []fleet.Answer{fleet.Fenced, fleet.NotSent, fleet.TooLate, fleet.Refused} {
		b := newHarness(t, 2)
		j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
		j.Queue.Slack, j.Timeout = 3*time.Second, 10*time.Second
		b.submitFrom("e1", j)
		b.tick(ms)
		first := takeEffects[fleet.Start](b)
		assert.Equal(t, len(first), 1)

		b.p.StepDown()
		b.p.BecomeLeader(b.now, 1<<40)
		b.acquireTargets()
		b.p.Submit(b.now, Submit{
			Coordinator: "e1", Job: j, NeedsVouch: true, HeartbeatAt: b.now, MayHaveRun: true, VouchedAgo: DefaultTakeoverDelay,
			HereBefore: true, VouchedElsewhereAgo: DefaultTakeoverDelay,
		})
		b.tick(ms)
		again := takeEffects[fleet.Start](b)
		assert.Equal(t, len(again), 1)
		assert.Equal(t, again[0].Run, first[0].Run)
		assert.Equal(t, again[0].Target.ID, first[0].Target.ID)
		b.replyStart(again[0], fleet.Accepted)
		b.tick(ms)

		b.replyStart(first[0], late)
		for range 12 {
			b.hear("e1")
			b.tick(10 * ms)
			assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "%v: the task starts again while run %d is at work on %s", late, again[0].Run, again[0].Target.ID)
		}
	}
}

// The same within one leadership: the job was dropped with its lapsed run and has come back. The
// first order waited in the lane (node.startLane) until then.
func TestLateAnswerToAnOrderOfADroppedJobReleasesNoRun(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	j.Queue.Slack, j.Timeout = 5*time.Second, 10*time.Second
	b.submitFrom("e1", j)
	b.tick(ms)
	first := takeEffects[fleet.Start](b)
	assert.Equal(t, len(first), 1)
	b.p.markUnreachable(b.now, b.p.targets[first[0].Target.ID])
	b.p.CoordinatorLost(b.now, "e1")
	b.tick(time.Second) // the lease expires, and the job goes with its run
	assert.Equal(t, len(b.p.jobs), 0)
	b.tick(time.Second)
	b.acquireTargets()
	b.p.Submit(b.now, Submit{
		Coordinator: "e1", Job: j, NeedsVouch: true, HeartbeatAt: b.now, MayHaveRun: true, VouchedAgo: DefaultTakeoverDelay,
		HereBefore: true, VouchedElsewhereAgo: DefaultTakeoverDelay,
	})
	b.tick(ms)
	again := b.acceptStarts()
	assert.Equal(t, len(again), 1)
	b.replyStart(first[0], fleet.TooLate)
	for range 12 {
		b.hear("e1")
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "the task starts again while run %d is at work", again[0].Run)
	}
}
