package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// lostTarget is a leader that loses a target with the runs of a job, and another leader, which
// takes the target and the job.
type lostTarget struct {
	leader, other *harness
	begin         time.Duration
	job           fleet.Job
	target        string
	running       []fleet.Running
	lease         int64         // the latest that either leader has granted on the target
	recallFrom    time.Duration // the owner's row shows the recall of stored runs from then on, 0 for none
}

// loseTarget makes a leader start a job and lose its target right after it has granted a lease.
func loseTarget(t *testing.T, j fleet.Job, s Submit) *lostTarget {
	x := &lostTarget{leader: newHarness(t, 2), job: j}
	b := x.leader
	s.Job, s.NeedsVouch, s.HeartbeatAt = j, true, b.now
	b.p.Submit(b.now, s)
	b.tick(0)
	for _, o := range b.acceptStarts() {
		assert.Assert(t, x.target == "" || x.target == o.Target.ID)
		x.target, x.lease = o.Target.ID, max(x.lease, o.LeaseUntilMS)
		x.running = append(x.running, fleet.Running{Task: o.Task, Run: o.Run, PercentDone: 10})
	}
	assert.Equal(t, len(x.running), j.TaskCount())
	x.begin = b.now
	b.p.markUnreachable(b.now, b.p.targets[x.target])
	x.other = &harness{t: t, p: New(DefaultSettings(), nil), ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	x.other.p.SetTargets(b.now, targetList(2))
	return x
}

// at returns the time since the target was lost.
func (x *lostTarget) at() time.Duration { return x.leader.now - x.begin }

// lead makes the other leader lead and acquire the lost target.
func (x *lostTarget) lead() {
	x.other.p.BecomeLeader(x.other.now, x.leader.p.lastFence+1)
	x.answer(x.other, true)
}

// handOver makes a coordinator hand the job to the other leader.
func (x *lostTarget) handOver(s Submit) {
	s.Job, s.MayHaveRun, s.NeedsVouch, s.HeartbeatAt = x.job, true, true, x.other.now
	x.other.p.Submit(x.other.now, s)
}

// answer answers the holds of a leader, which reaches the lost target or does not.
func (x *lostTarget) answer(b *harness, reaches bool) {
	for _, h := range takeEffects[fleet.Hold](b) {
		switch {
		case h.Target.ID != x.target:
			b.acceptHold(h, nil, nil)
		case reaches:
			x.lease = max(x.lease, h.LeaseUntilMS)
			b.acceptHold(h, x.running, nil)
		}
	}
}

// playStore lets the other leader read the owner's row of the stored jobs, at every moment until it shows a
// recall. The writes of recalls are late.
func (x *lostTarget) playStore() {
	const writeTakes = 500 * ms
	for _, r := range takeEffects[RecallStored](x.leader) {
		if x.recallFrom = r.From; r.From != 0 {
			x.recallFrom = max(r.From, x.leader.now+writeTakes)
			x.leader.p.StoredRecalledFrom(x.recallFrom)
		}
	}
	if x.recallFrom == 0 || x.leader.now < x.recallFrom {
		x.other.p.KeepStoredUntil(x.leader.now + jobstore.KeepLease)
	}
}

// step advances both leaders, and fails the test if the first one starts a task while a lease of
// its lost run lasts. It reports whether it started one.
func (x *lostTarget) step() bool {
	x.leader.tick(5 * ms)
	x.other.now = x.leader.now - 5*ms
	x.other.tick(5 * ms)
	x.playStore()
	x.answer(x.leader, false)
	x.answer(x.other, true)
	starts := takeEffects[fleet.Start](x.leader)
	for _, o := range starts {
		assert.Assert(x.leader.t, x.leader.clock() > x.lease, "run %d of %v starts %v after the target was lost, the lease of the lost run lasts %d ms more",
			o.Run, o.Task, x.at(), x.lease-x.leader.clock())
	}
	return len(starts) > 0
}

// Guards against a second run by a word from before the end of the first one: the coordinator has
// handed the job to the owner of the lost target since, which renews the run.
func TestLostRunIsNotStartedAgainByAWordFromBeforeItsEnd(t *testing.T) {
	const (
		leads, movedAt, lastsUntil = 450 * ms, 500 * ms, 1500 * ms
		heartbeats                 = 100 * ms
	)
	gang := jobOf("j", queue("q", 0), 2, 14000, 3*time.Second)
	gang.Steps[0].Gang = true
	for name, c := range map[string]struct {
		job         fleet.Job
		by          Voucher
		withdrawnAt time.Duration // when the withdrawal arrives, 0 for never
		returnsAt   time.Duration // when the caller has submitted the job at another entry
	}{
		"not told":            {job: jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), by: Voucher{Coordinator: "e1"}},
		"told late":           {job: jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), by: Voucher{Coordinator: "e1"}, withdrawnAt: 900 * ms},
		"relayed":             {job: jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), by: Voucher{Coordinator: "relay", Origin: "e1"}},
		"gang":                {job: gang, by: Voucher{Coordinator: "e1"}},
		"another one vouches": {job: jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), by: Voucher{Coordinator: "e1"}, returnsAt: 460 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			x := loseTarget(t, c.job, Submit{Coordinator: c.by.Coordinator, Origin: c.by.Origin})
			b := x.leader
			for x.at() < lastsUntil {
				x.step()
				if x.at()%heartbeats == 0 || x.at() == leads {
					if x.at() <= movedAt {
						b.p.Vouched(c.by, b.now)
					} else {
						x.other.hear("e1")
					}
					b.hear("e2")
				}
				switch x.at() {
				case leads:
					x.lead()
				case movedAt:
					x.handOver(Submit{Coordinator: "e1"})
				case c.withdrawnAt:
					b.p.Withdraw(b.now, c.by.Coordinator, "j")
				case c.returnsAt:
					b.p.Submit(b.now, Submit{Coordinator: "e2", Job: c.job, NeedsVouch: true, HeartbeatAt: b.now})
				}
			}
			assert.Assert(t, x.lease > b.clock(), "the other leader renews the run")
		})
	}
}

// A coordinator that keeps its leader answers the next heartbeat after the end of the lost run.
func TestLostRunIsStartedAgainByTheNextWord(t *testing.T) {
	const heartbeats = 300 * ms
	x := loseTarget(t, jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), Submit{Coordinator: "e1"})
	ends := time.Duration(float64(DefaultLease)*(1+maxClockDrift)) + timeToEnd
	for !x.step() {
		assert.Assert(t, x.at() < ends+heartbeats+20*ms)
		if x.at()%heartbeats == 0 {
			x.leader.hear("e1")
		}
	}
}

// Tasks that wait for nothing but the word of their coordinator ask for it, once for all of them.
func TestCoordinatorIsAskedForItsWordOnce(t *testing.T) {
	const roundTrip = 10 * ms
	x := loseTarget(t, jobOf("j", queue("q", 0), 2, 14000, 3*time.Second), Submit{Coordinator: "relay", Origin: "e1"})
	var askedAt []time.Duration
	for range 300 {
		started := x.step()
		for _, r := range takeEffects[VouchRequest](x.leader) {
			assert.Equal(t, r, VouchRequest{Coordinator: "relay", Origin: "e1"})
			askedAt = append(askedAt, x.leader.now)
		}
		if started {
			assert.Equal(t, len(askedAt), 1)
			assert.Assert(t, x.leader.now <= askedAt[0]+roundTrip+5*ms)
			return
		}
		switch {
		case len(askedAt) > 0 && x.leader.now == askedAt[0]+roundTrip:
			x.leader.p.Vouched(Voucher{"relay", "e1"}, askedAt[0])
		case len(askedAt) == 0 && x.at()%(100*ms) == 0:
			x.leader.p.Vouched(Voucher{"relay", "e1"}, x.leader.now)
		}
	}
	t.Fatal("the tasks are not started again")
}

// Guards against a second run by a word from before the end of a wait: the job is handed back to its
// first leader while the second one waits for the runs there, and the second one is not told.
func TestNextLeaderDoesNotStartByAWordFromBeforeTheEndOfItsWait(t *testing.T) {
	first, next := newHarness(t, 1), newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	j.Queue.Slack = 2 * time.Second
	begin := first.now
	first.submitFrom("e1", j)
	first.tick(0)
	start := first.acceptStarts()[0]
	running, lease := []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}, start.LeaseUntilMS
	for first.now < begin+2*time.Second {
		first.tick(5 * ms)
		next.tick(5 * ms)
		at := first.now - begin
		switch {
		case at == 85*ms: // the link to the first leader is lost
			next.p.Submit(next.now, Submit{Coordinator: "e1", Job: j, Waited: at, NeedsVouch: true, HeartbeatAt: next.now, MayHaveRun: true, VouchedAgo: at})
		case at == 550*ms:
			first.p.CoordinatorLost(first.now, "e1")
		case at == 755*ms: // the link to the second one is lost
			next.hear("e1")
			first.p.Submit(first.now, Submit{
				Coordinator: "e1", Job: j, Waited: at, NeedsVouch: true, HeartbeatAt: first.now,
				MayHaveRun: true, HereBefore: true, VouchedElsewhereAgo: 0,
			})
		case at > 755*ms && at%(100*ms) == 0:
			first.hear("e1")
		}
		lease = max(lease, first.answerHolds(running))
		next.answerHolds(nil)
		for _, o := range takeEffects[fleet.Start](next) {
			assert.Assert(t, next.clock() > lease, "run %d starts %v after the first one, whose lease lasts %d ms more", o.Run, at, lease-next.clock())
		}
	}
	assert.Assert(t, lease > first.clock(), "the first leader renews the run")
}

// Guards against a second run by a submission from before the end of the first one: it waits in a
// queue while the run ends by the leader's account, the job is dropped, and the coordinator hands it on.
func TestJobThatIsSubmittedAgainBeforeTheEndOfItsLostRunWaits(t *testing.T) {
	const lostAt, submittedAt, leads, movedAt, arrivesAt, lastsUntil = 300 * ms, 600 * ms, 650 * ms, 700 * ms, 800 * ms, 1500 * ms
	x := loseTarget(t, jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), Submit{Coordinator: "e1"})
	b := x.leader
	for x.at() < lastsUntil {
		x.step()
		switch {
		case x.at() == lostAt:
			b.p.CoordinatorLost(b.now, "e1")
		case x.at() == leads:
			x.lead()
		case x.at() == movedAt:
			x.handOver(Submit{Coordinator: "e1", VouchedAgo: movedAt - submittedAt})
		case x.at() == arrivesAt:
			assert.Assert(t, b.p.jobs["j"] == nil, "it is dropped with its run")
			b.p.Submit(b.now, Submit{
				Coordinator: "e1", Job: x.job, Waited: arrivesAt, NeedsVouch: true, HeartbeatAt: x.begin + submittedAt,
				MayHaveRun: true, HereBefore: true, VouchedElsewhereAgo: DefaultTakeoverDelay,
			})
		case x.at() > movedAt && x.at()%(100*ms) == 0:
			x.other.hear("e1")
		}
	}
	assert.Assert(t, x.lease > b.clock(), "the other leader renews the run")
}

// loseStoredTarget makes the owner of the stored jobs start a job and lose its target. The other
// leader does not own them.
func loseStoredTarget(t *testing.T, j fleet.Job) *lostTarget { return loseStoredTargetAs(t, j, nil) }

// loseStoredTargetAs is loseStoredTarget for a target that is lost in the given way, nil for one that does not answer.
func loseStoredTargetAs(t *testing.T, j fleet.Job, lose func(*Pool, time.Duration, *target)) *lostTarget {
	if lose == nil {
		lose = (*Pool).markUnreachable
	}
	x := &lostTarget{leader: newHarness(t, 2), job: j}
	b := x.leader
	b.ownStored()
	start := b.submitAndStart(x.job)[0]
	x.begin, x.target, x.lease = b.now, start.Target.ID, start.LeaseUntilMS
	x.running = []fleet.Running{{Task: start.Task, Run: start.Run}}
	lose(b.p, b.now, b.p.targets[x.target])
	x.other = &harness{t: t, p: New(DefaultSettings(), nil), ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	x.other.p.SetTargets(b.now, targetList(2))
	x.other.p.ExpectStored()
	return x
}

// answerStops ends the lost run if the other leader has ordered it.
func (x *lostTarget) answerStops() {
	for _, o := range takeEffects[fleet.Stop](x.other) {
		x.running = nil
		x.other.p.StopDone(x.other.now, o, fleet.Reply{Answer: fleet.Accepted, ClockMS: x.other.clock(), Incarnation: o.Target.Incarnation})
	}
}

// Guards against a second run of a long-running stored task: another leader that does not own the
// stored jobs keeps the run, in case it has to restore the job, until the owner recalls it. The target answers
// no stop, so that nothing but the end of the leases ends the run.
func TestLostLongRunningTaskIsNotStartedWhileAnotherLeaderKeepsItsRun(t *testing.T) {
	for name, lose := range map[string]func(*Pool, time.Duration, *target){"unreachable": nil, "fenced": (*Pool).markFenced} {
		t.Run(name, func(t *testing.T) {
			j := storedJob("j", 1)
			j.Steps[0].LongRunning = true
			x := loseStoredTargetAs(t, j, lose)
			ownLease, startedAt, leaseAtStart := x.lease, time.Duration(0), int64(0)
			for x.at() < 3*time.Second {
				if x.step() {
					startedAt, leaseAtStart = x.at(), x.lease
					assert.Equal(t, len(x.running), 0, "the lost run is at work")
				}
				if x.at() == 450*ms {
					x.lead()
				}
				if x.lease+timeToEnd.Milliseconds() < x.leader.clock() {
					x.running = nil // the target ends it
				}
			}
			assert.Assert(t, startedAt > 0 && startedAt < 2400*ms, "started after %v", startedAt)
			assert.Assert(t, leaseAtStart > ownLease+100, "the other leader has kept the run")
		})
	}
}

// A stored task that may complete waits longer for its lost target than another leader keeps its run.
func TestLostStoredTaskIsNotStartedWhileAnotherLeaderKeepsItsRun(t *testing.T) {
	x := loseStoredTarget(t, storedJob("j", 1))
	keptUntil := time.Duration(0)
	for !x.step() {
		assert.Assert(t, x.at() < unreachableWait+DefaultLease)
		if x.at() == 450*ms {
			x.lead()
		}
		x.answerStops()
		if x.lease > x.leader.clock() {
			keptUntil = x.at()
		}
	}
	assert.Assert(t, keptUntil >= restoreTimeout, "the other leader keeps the run")
	assert.Assert(t, x.at() >= unreachableWait)
}

// Guards against a second run of a stored task where several leaders keep the first one in turn, each
// for restoreTimeout, until its owner no longer waits for the lost target.
func TestLostStoredTaskIsNotStartedWhileLeadersKeepItsRunInTurn(t *testing.T) {
	const firstLeads, changes = 450 * ms, 4450 * ms
	x := loseStoredTarget(t, storedJob("j", 1))
	for !x.step() {
		assert.Assert(t, x.at() < 2*unreachableWait, "the task is never started again")
		if x.at() < unreachableWait && (x.at()-firstLeads)%changes == 0 {
			x.other.p.StepDown()
			x.lead()
		}
		x.answerStops()
	}
}
