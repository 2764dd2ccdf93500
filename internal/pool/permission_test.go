package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// A lease is a time on the target's clock, reckoned from the last reading of it. An idle target
// gets no messages, so that the reading is old by the time of its next start, and its clock may
// lag by 2 % of that age. The run then outlasts the permission.
func TestLeaseOnATargetThatWasIdleEndsWithThePermission(t *testing.T) {
	b := newHarness(t, 1) // reads the clock now
	readAt, clockAtReading := b.now, b.clock()
	for range 20 {
		b.tick(time.Second)
		b.answerHolds(nil)
	}
	heartbeatAt := b.now - (DefaultVouchFor - DefaultLease)
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: jobOf("j", queue("q", 0), 1, 14000, 900*ms), NeedsVouch: true, HeartbeatAt: heartbeatAt})
	b.tick(0)
	starts := takeEffects[fleet.Start](b)
	if len(starts) == 0 {
		return // it waits for a new reading of the clock, or a longer permission
	}
	// The target's clock runs 2 % slow since it was read.
	const holdMax = 1000 // hold_max_ms: longer leases are shortened to that
	targetNow := clockAtReading + int64(float64((b.now-readAt).Milliseconds())*(1-maxClockDrift))
	onTarget := min(starts[0].LeaseUntilMS, targetNow+holdMax) - clockAtReading
	over := readAt + time.Duration(float64(time.Duration(onTarget)*ms)/(1-maxClockDrift))
	assert.Assert(t, over < heartbeatAt+DefaultTakeoverDelay, "the run may last %v longer than the next leader waits", over-(heartbeatAt+DefaultTakeoverDelay))
}

// A coordinator falls silent, and nothing tells this entry (its loop is late, its link is muted,
// or it is frozen and the link not closed yet). The runs of others on the same target must not
// end with the permission of its run: that run has to be stopped in time.
func TestRunsOfOthersOutlastTheSilenceOfOneCoordinator(t *testing.T) {
	silentCoordinatorSharesTarget(t, 0)
}

// The same, and the link is closed as silent by the latest time. The last answer was to a
// heartbeat of the longest interval before.
func TestRunsOfOthersOutlastTheLossOfOneCoordinator(t *testing.T) {
	silentCoordinatorSharesTarget(t, linkLossNoticed)
}

func silentCoordinatorSharesTarget(t *testing.T, noticed time.Duration) {
	const (
		heartbeats = 300 * ms
		stopTakes  = 50 * ms // stop_ms
		roundTrip  = 5 * ms
	)
	b := newHarness(t, 1)
	b.submitFrom("e1", jobOf("a", queue("q", 0), 1, 14000, 3*time.Second))
	b.submitFrom("e2", jobOf("b", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	running := map[string]fleet.Running{}
	var leaseEnd int64
	for _, s := range takeEffects[fleet.Start](b) {
		b.replyStart(s, fleet.Accepted)
		running[s.Task.Job] = fleet.Running{Task: s.Task, Run: s.Run, PercentDone: 10}
		leaseEnd = max(leaseEnd, s.LeaseUntilMS)
	}
	assert.Equal(t, len(running), 2)
	died := b.now + heartbeats // e1 answered a heartbeat of now, and dies before the next one
	var stopAt time.Duration
	lost := false
	var ends []fleet.End
	for b.now < died+1500*ms {
		if noticed > 0 && !lost && b.now >= died+noticed {
			lost = true
			b.p.CoordinatorLost(b.now, "e1")
		}
		b.tick(10 * ms)
		b.hear("e2")
		if len(takeEffects[fleet.Stop](b)) > 0 && stopAt == 0 {
			stopAt = b.now + roundTrip
		}
		if _, there := running["a"]; there && stopAt > 0 && b.now >= stopAt+stopTakes {
			ends = append(ends, fleet.End{Number: 1, Task: running["a"].Task, Run: running["a"].Run, Kind: fleet.EndInterrupted})
			delete(running, "a")
		}
		var rows []fleet.Running
		for _, r := range running {
			rows = append(rows, r)
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			leaseEnd = max(leaseEnd, h.LeaseUntilMS)
			b.acceptHold(h, rows, ends)
		}
		assert.Assert(t, leaseEnd > b.clock(), "the runs of e2 lapse %v after e1 fell silent", b.now-died)
	}
}

// A caller sends its job again at another entry while the first one still waits for the job
// (it has not noticed the broken connection). The job then has two coordinators. The first one
// gives this leader up and submits the job to the next leader, which waits from the first one's
// last answer; the runs here must not go on by the word of the second one.
func TestJobOfTwoCoordinatorsEndsWithTheFirstThatMovesIt(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", queue("q", 0), 1, 14000, 5*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	b.submitFrom("e2", j)
	moved := b.clock()
	b.p.Withdraw(b.now, "e1", "j") // e1 submits it to the next leader now
	for range 100 {
		b.tick(20 * ms)
		b.hear("e2")
		if len(takeEffects[fleet.Stop](b)) > 0 {
			return
		}
		lease := b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}})
		assert.Assert(t, lease <= moved+DefaultVouchFor.Milliseconds(), "the lease lasts until %d ms after e1 moved the job", lease-moved)
	}
}

// The same without a withdrawal: the link to the first coordinator is down.
func TestJobOfTwoCoordinatorsEndsWithTheLossOfTheFirst(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", queue("q", 0), 1, 14000, 5*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	b.submitFrom("e2", j)
	silentSince := b.clock()
	b.p.CoordinatorLost(b.now, "e1")
	for range 100 {
		b.tick(20 * ms)
		b.hear("e2")
		if len(takeEffects[fleet.Stop](b)) > 0 {
			return
		}
		lease := b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}})
		assert.Assert(t, lease <= silentSince+DefaultVouchFor.Milliseconds(), "the lease lasts until %d ms after the loss", lease-silentSince)
	}
}

// A job is withdrawn, and its run is being stopped. A duplicate of its caller arrives, whose
// coordinator knows of no earlier leader. The next leader of the first coordinator starts the
// task after the wait; here it must not start again at once.
func TestDuplicateOfAWithdrawnJobWaits(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 900*ms)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	b.tick(318 * ms)
	b.hear("e1")
	b.p.Withdraw(b.now, "e1", "j")
	withdrawn := b.now
	b.tick(ms)
	b.submitFrom("e2", j)
	b.tick(ms)
	b.endRun(start, 1, fleet.EndInterrupted, "")
	b.tick(20 * ms)
	for _, s := range takeEffects[fleet.Start](b) {
		t.Errorf("run %d on %s starts %v after the withdrawal", s.Run, s.Target.ID, b.now-withdrawn)
	}
}
