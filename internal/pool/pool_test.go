package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const ms = time.Millisecond

// harness drives a pool on a simulated clock and collects its effects.
type harness struct {
	t       *testing.T
	p       *Pool
	now     time.Duration
	ended   map[string]fleet.Outcome
	pending []Effect // effects that no test took yet
	// resubmitted holds "coordinator job" of those whose job has another coordinator.
	resubmitted map[string]bool
}

// newHarness returns a harness whose pool owns its targets.
func newHarness(t *testing.T, targets int) *harness {
	t.Helper()
	b := &harness{t: t, p: New(DefaultSettings(), nil), now: 10 * time.Second, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	b.p.SetTargets(b.now, targetList(targets))
	b.p.BecomeLeader(b.now, 1)
	b.acquireTargets()
	return b
}

func targetList(n int) []fleet.Target {
	list := make([]fleet.Target, n)
	for i := range list {
		list[i] = fleet.Target{
			ID: fmt.Sprintf("t%02d", i), Service: "s", Addr: fmt.Sprintf("a%02d", i), Incarnation: 1,
			Capacity: structs.Resources{MilliCPU: 32000, MemoryMB: 1 << 17},
		}
	}
	return list
}

// acquireTargets answers the holds that acquire the targets.
func (b *harness) acquireTargets() {
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, nil, nil)
	}
}

// takeEffects removes the pending effects of one type and returns them.
func takeEffects[E any](b *harness) []E {
	b.pending = append(b.pending, b.p.Effects()...)
	var got []E
	var rest []Effect
	for _, e := range b.pending {
		if v, ok := e.(E); ok {
			got = append(got, v)
		} else {
			rest = append(rest, e)
		}
	}
	b.pending = rest
	return got
}

func (b *harness) tick(d time.Duration) {
	b.now += d
	b.p.Tick(b.now)
}

// clock returns the clock of all targets, in ms.
func (b *harness) clock() int64 { return b.now.Milliseconds() }

// acceptHold answers a hold with a report.
func (b *harness) acceptHold(h fleet.Hold, running []fleet.Running, ended []fleet.End) {
	b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: h.Target.Incarnation, Running: running, Ended: ended})
}

// replyStart answers a start.
func (b *harness) replyStart(s fleet.Start, a fleet.Answer) {
	b.p.StartDone(b.now, s, fleet.Reply{Answer: a, ClockMS: b.clock(), Incarnation: s.Target.Incarnation})
}

func queue(name string, urgency int) fleet.Queue {
	return fleet.Queue{Name: name, Service: "s", Urgency: urgency, MaxAttempts: 2, Stretch: 1.6, Slack: 60 * ms}
}

func jobOf(id string, q fleet.Queue, tasks int, cpu int64, takes time.Duration) fleet.Job {
	return fleet.Job{
		ID: id, Queue: q, Spec: "spec", Timeout: 2 * time.Second,
		Steps: []fleet.Step{{Count: tasks, Needs: structs.Resources{MilliCPU: cpu, MemoryMB: 64}, Estimate: takes}},
	}
}

func (b *harness) submit(j fleet.Job) { b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j}) }

// outcomes returns the outcomes of all jobs that have ended. It fails the test if a job
// ended twice. A coordinator that is told of another one for its job gets that answer only.
func (b *harness) outcomes() map[string]fleet.Outcome {
	for _, e := range takeEffects[Ended](b) {
		if e.Outcome.Reason == verdict.Resubmitted {
			assert.Assert(b.t, !b.resubmitted[e.Coordinator+" "+e.Job], "%s was told twice", e.Coordinator)
			b.resubmitted[e.Coordinator+" "+e.Job] = true
			continue
		}
		assert.Assert(b.t, !b.resubmitted[e.Coordinator+" "+e.Job], "%s has two answers", e.Coordinator)
		_, twice := b.ended[e.Job]
		assert.Assert(b.t, !twice, "%s ended twice", e.Job)
		b.ended[e.Job] = e.Outcome
	}
	return b.ended
}

func TestJobCompletesWhenAllTasksAreDone(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 2, 14000, 60*ms))
	b.tick(ms)
	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 2)
	b.tick(ms)
	for i, h := range takeEffects[fleet.Hold](b) {
		var ends []fleet.End
		for k, s := range starts {
			if s.Target.ID == h.Target.ID {
				ends = append(ends, fleet.End{Number: int64(i*10 + k + 1), Task: s.Task, Run: s.Run, Kind: fleet.EndDone})
			}
		}
		b.acceptHold(h, nil, ends)
	}
	assert.Equal(t, b.outcomes()["j"].Verdict, verdict.Completed)
}

// Targets do not check their capacity: two tasks of 20 cores must not share a target of
// 32 cores.
func TestCapacityIsNeverExceeded(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 2, 20000, 60*ms))
	b.tick(ms)
	starts := takeEffects[fleet.Start](b)
	assert.Equal(t, len(starts), 1)

	// The capacity of an unanswered start stays in use, until a report proves that the
	// stop took effect.
	b.replyStart(starts[0], fleet.Unanswered)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	for _, h := range takeEffects[fleet.Hold](b) {
		b.now += ms
		b.acceptHold(h, nil, nil)
	}
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	stops := takeEffects[fleet.Stop](b)
	assert.Equal(t, len(stops), 1, "an unanswered start whose run is not reported must be stopped")
	b.p.StopDone(b.now, stops[0], fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	b.tick(ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	}
	b.tick(ms)
	again := takeEffects[fleet.Start](b)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Run > starts[0].Run)
}

func TestUnreachableTargetKeepsRunsUntilLeaseExpires(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	lease := start.LeaseUntilMS
	for range 60 {
		b.tick(20 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			lease = max(lease, h.LeaseUntilMS)
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered})
		}
		again := takeEffects[fleet.Start](b)
		if len(again) > 0 {
			assert.Assert(t, b.clock() > lease, "at %v, lease until %d", b.now, lease)
			assert.Assert(t, again[0].Target.ID != start.Target.ID)
			return
		}
	}
	t.Fatalf("not started elsewhere by %v, lease until %d", b.now, lease)
}

// When a network cut between data centres heals, two leaders meet, and each acquires
// targets of the other, which does not notice at once. Having received all reports does
// therefore not prove that the other leader's runs are over. Only the expiry of their
// leases does.
func TestResubmittedJobWaitsForFormerOwnersLeases(t *testing.T) {
	b := newHarness(t, 3)
	b.p.Submit(b.now, Submit{Coordinator: "e2", Job: jobOf("j", queue("q", 0), 1, 14000, 60*ms), MayHaveRun: true, VouchedAgo: 100 * ms})
	b.tick(DefaultLease - 100*ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	b.tick(DefaultTakeoverDelay - DefaultLease)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

func TestTakeoverAdoptsKnownRunsAndStopsUnclaimedRuns(t *testing.T) {
	p := New(DefaultSettings(), nil)
	b := &harness{t: t, p: p, now: time.Second, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	p.SetTargets(b.now, targetList(1))
	p.BecomeLeader(b.now, 7)
	patient := queue("patient", 1)
	patient.Slack = time.Second
	h := takeEffects[fleet.Hold](b)[0]
	b.acceptHold(h, []fleet.Running{
		{Task: fleet.TaskID{Job: "known"}, Run: 3},
		{Task: fleet.TaskID{Job: "gone"}, Run: 1},
	}, nil)
	p.Submit(b.now, Submit{Coordinator: "e2", Job: jobOf("known", queue("q", 0), 1, 14000, 60*ms), MayHaveRun: true})
	p.Submit(b.now, Submit{Coordinator: "e2", Job: jobOf("new", patient, 1, 9000, 60*ms)})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "a run of unknown size uses all capacity")
	b.tick(adoptTimeout)
	stops := takeEffects[fleet.Stop](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task.Job, "gone")
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, nil, []fleet.End{
			{Number: 1, Task: fleet.TaskID{Job: "known"}, Run: 3, Kind: fleet.EndDone},
			{Number: 2, Task: fleet.TaskID{Job: "gone"}, Run: 1, Kind: fleet.EndInterrupted},
		})
	}
	b.tick(ms)
	assert.Equal(t, b.outcomes()["known"].Verdict, verdict.Completed)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

func TestOnlyJobsNotStartedAreRejected(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("begun", queue("q", 0), 2, 20000, 60*ms))
	b.submit(jobOf("waits", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	b.replyStart(takeEffects[fleet.Start](b)[0], fleet.Accepted)
	b.tick(500 * ms)
	out := b.outcomes()
	assert.Equal(t, out["waits"].Verdict, verdict.NotRun)
	assert.Assert(t, out["waits"].RetryAfter >= time.Second)
	_, ended := out["begun"]
	assert.Assert(t, !ended)
}

func TestLeavingTargetGetsNoNewTasks(t *testing.T) {
	b := newHarness(t, 1)
	list := targetList(1)
	list[0].Leaving = true
	b.p.SetTargets(b.now, list)
	b.submit(jobOf("j", queue("q", 0), 1, 9000, 60*ms))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}

func TestRestartedTargetIsReacquiredBeforeStarts(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	list := targetList(1)
	list[0].Incarnation = 2
	b.p.SetTargets(b.now, list)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	h := takeEffects[fleet.Hold](b)[0]
	assert.Assert(t, h.Fence > start.Fence, "late orders to the earlier incarnation must be rejected")
	b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: 5, Incarnation: 2})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// A target that fails all its runs has free capacity at once, and would get the same
// task again until the task has no attempts left.
func TestFailedTaskIsRetriedOnAnotherTarget(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.submit(jobOf("other", queue("q", 0), 1, 20000, 600*ms))
	b.tick(ms)
	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 2)
	b.tick(ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		var ends []fleet.End
		var running []fleet.Running
		for _, s := range starts {
			switch {
			case s.Target.ID != h.Target.ID:
			case s.Task.Job == "j":
				ends = []fleet.End{{Number: 1, Task: s.Task, Run: 1, Kind: fleet.EndFailed}}
			default:
				running = []fleet.Running{{Task: s.Task, Run: 1, PercentDone: 1}}
			}
		}
		b.acceptHold(h, running, ends)
	}
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "only the target on which it failed has capacity")
}

// With a single target, a failed task has to be retried on it.
func TestFailedTaskIsRetriedOnOnlyTarget(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	s := takeEffects[fleet.Start](b)[0]
	b.replyStart(s, fleet.Accepted)
	b.tick(ms)
	b.acceptHold(takeEffects[fleet.Hold](b)[0], nil, []fleet.End{{Number: 1, Task: s.Task, Run: 1, Kind: fleet.EndFailed}})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

func TestStopIsRepeatedAfterBackoff(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 900*ms))
	b.tick(ms)
	b.replyStart(takeEffects[fleet.Start](b)[0], fleet.Accepted)
	b.p.Withdraw(b.now, "e1", "j")
	for range 5 {
		b.tick(ms)
	}
	stops := takeEffects[fleet.Stop](b)
	assert.Equal(t, len(stops), 1)
	b.p.StopDone(b.now, stops[0], fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	for range 5 {
		b.tick(ms)
	}
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0)
	b.tick(stopRetryPause)
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 1, "no report has listed the run as ended")
}

// A report that was requested before a stop may lack a run that began, on another
// connection, after the report was drawn up.
func TestReportRequestedBeforeStopProvesNothing(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 20000, 60*ms))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.tick(ms)
	earlyHolds := takeEffects[fleet.Hold](b)
	sent := b.now
	b.tick(ms)
	b.replyStart(start, fleet.Unanswered)
	b.tick(ms)
	refreshHolds := takeEffects[fleet.Hold](b)
	b.now += ms
	b.acceptHold(refreshHolds[0], nil, nil)
	b.tick(ms)
	stop := takeEffects[fleet.Stop](b)[0]
	b.p.StopDone(b.now, stop, fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	b.tick(ms)
	b.p.HoldDone(b.now, sent, earlyHolds[0], fleet.HoldReply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}

func TestLeaseExpiryAllowsForSlowClock(t *testing.T) {
	x := &target{clockMS: 1000, clockReadAt: 10 * time.Second, latestLeaseMS: 2000}
	assert.Assert(t, !x.leasesExpired(11*time.Second))
	assert.Assert(t, !x.leasesExpired(11*time.Second+20*ms), "the target's clock may be 2%% slow")
	assert.Assert(t, x.leasesExpired(11*time.Second+30*ms))
}

// A job moves to and fro between two leaders. This one is still stopping a run of it
// when the job is resubmitted, and the other one may have started another run since.
func TestReturningJobWaitsForLastOwner(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 60*ms)
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	b.p.targets["t00"].refreshDue = true
	b.tick(ms)
	b.answerHold("t00", []fleet.Running{{Task: fleet.TaskID{Job: "j"}, Run: 1}}, nil)
	b.p.Withdraw(b.now, "e1", "j")
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 1)

	b.now += 250 * ms
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	b.endRun(fleet.Start{Target: b.p.targets["t00"].Target, Task: fleet.TaskID{Job: "j"}, Run: 1}, 1, fleet.EndInterrupted, "")
	b.tick(DefaultTakeoverDelay - 100*ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "the other leader's run may continue until its lease expires")
	b.tick(200 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// A duplicate that another owner may have started attaches to a job that waits here. The
// job was then rejected as not run.
func TestAttachedDuplicateThatMayHaveRunIsNotRejectedAsNotRun(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("full", queue("q", 0), 1, 32000, 10*time.Second))
	b.tick(ms)
	j := jobOf("j", queue("q", 0), 1, 32000, 60*ms)
	j.Timeout = 2 * time.Second
	b.submit(j)
	b.tick(ms)
	b.p.Submit(b.now, Submit{Coordinator: "e2", Job: j, MayHaveRun: true})
	for range 300 {
		b.tick(10 * ms)
	}
	o, ended := b.outcomes()["j"]
	assert.Assert(t, ended)
	assert.Equal(t, o.Verdict, verdict.MayHaveRun)
}

// A new leader with an old list of targets does not know which of them are leaving.
func TestNewLeaderWaitsForACurrentListOfTargets(t *testing.T) {
	await := func() *harness {
		b := newHarness(t, 2)
		b.p.AwaitTargets(b.now + 300*ms)
		b.submit(jobOf("a", queue("q", 0), 1, 1000, time.Second))
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
		return b
	}
	b := await()
	b.p.TargetsCurrent()
	b.tick(10 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)

	b = await() // it does not wait for ever
	b.tick(291 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// A coordinator that did not send a start says so: the task starts elsewhere at once, and
// the target is not blamed.
func TestStartThatWasNotSentIsPlacedAgain(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("a", queue("q", 0), 1, 1000, time.Second))
	b.tick(10 * ms)
	first := takeEffects[fleet.Start](b)[0]
	assert.Equal(t, first.Coordinator, "e1")
	for range 2 * failuresToEject {
		b.replyStart(first, fleet.NotSent)
		b.tick(ms)
		next := takeEffects[fleet.Start](b)[0]
		assert.Assert(t, next.Run > first.Run)
		first = next
	}
}

// A target that is slow to report keeps its runs: they are neither started elsewhere nor
// stopped. Tasks that wait go to other targets meanwhile.
func TestTargetThatIsSlowToReportKeepsItsRuns(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("a", queue("q", 0), 1, 1000, 3*time.Second))
	b.tick(10 * ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	for range 5 { // each second report of the target is late
		b.tick(10 * ms)
		holds := takeEffects[fleet.Hold](b)
		assert.Equal(t, len(holds), 1)
		b.now += 450 * ms
		b.p.HoldDone(b.now, b.now-450*ms, holds[0], fleet.HoldReply{Answer: fleet.Unanswered})
		b.submit(jobOf("b", queue("q", 0), 1, 1000, 3*time.Second))
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "no task is placed on it")
		refresh := takeEffects[fleet.Hold](b)
		assert.Assert(t, len(refresh) > 0 && refresh[0].LeaseUntilMS > b.clock()+500, "the leases are renewed")
		b.now += 440 * ms
		for _, h := range refresh {
			b.acceptHold(h, []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}, nil)
		}
		b.p.Abandon(b.now, "e1", "b")
		b.tick(600 * ms)
		takeEffects[fleet.Start](b)
		takeEffects[fleet.Stop](b)
		for _, h := range takeEffects[fleet.Hold](b) {
			b.acceptHold(h, []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}, nil)
		}
		assert.Equal(t, b.p.Owned(), 1)
	}
	assert.Equal(t, len(b.outcomes()), 0)
}
