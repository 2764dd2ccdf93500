package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
)

// The longest time that a run may last after the word of its coordinator, by all that can
// delay its end, leaves time for the next leader, and that one for callers that return.
func TestTakeoverDelayCoversThePermissionOfRuns(t *testing.T) {
	const timeToStop = timeToEnd // of a target whose lease has expired
	drift := time.Duration(maxClockDrift * float64(DefaultLease+DefaultHoldWait))
	assert.Assert(t, DefaultVouchFor+drift+timeToStop < DefaultTakeoverDelay)
	assert.Assert(t, DefaultTakeoverDelay < callerReturns)
}

func TestJobWaitsForTheWordOfItsCoordinator(t *testing.T) {
	b := newHarness(t, 1)
	patient := queue("q", 0)
	patient.Slack = time.Second
	j := jobOf("j", patient, 1, 14000, 60*ms)
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, NeedsVouch: true})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "the coordinator has answered no heartbeat")
	b.p.Vouched(Voucher{Coordinator: "e1"}, b.now-(DefaultVouchFor-DefaultLease))
	b.p.Vouched(Voucher{Coordinator: "e2"}, b.now)
	b.p.Vouched(Voucher{Coordinator: "e1", Origin: "e2"}, b.now)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "other leases of the target may outlast an old answer, and those of others do not count")
	b.hear("e1")
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// The caller of a job is gone and its target out of reach for stops. The caller may return at
// another entry.
func TestRunsOfAnAbandonedJobOutlastItByOneLease(t *testing.T) {
	b := newHarness(t, 1)
	b.submitFrom("e1", jobOf("j", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Accepted)
	b.p.Abandon(b.now, "e1", "j")
	gone := b.clock()
	for range 40 {
		b.tick(20 * ms)
		b.hear("e1")
		lease := b.answerHolds([]fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}})
		assert.Assert(t, lease <= gone+DefaultLease.Milliseconds())
	}
}

// A coordinator's link to a leader is reset, and it submits its job again there. The leader knows
// what it has started; after it has stepped down meanwhile, it does not.
func TestJobThatReturnsToItsLeaderWaitsForOthersOnly(t *testing.T) {
	for _, steppedDown := range []bool{false, true} {
		b := newHarness(t, 1)
		j := jobOf("j", queue("q", 0), 2, 20000, 900*ms)
		b.submitFrom("e1", j)
		b.tick(ms)
		start := takeEffects[fleet.Start](b)[0]
		b.replyStart(start, fleet.Accepted)
		b.now += 100 * ms
		if steppedDown {
			b.p.StepDown()
			b.p.BecomeLeader(b.now, 1<<30)
			b.acquireTargets()
		}
		b.p.CoordinatorLost(b.now, "e1")
		b.p.Submit(b.now, Submit{
			Coordinator: "e1", Job: j, Waited: 101 * ms, NeedsVouch: true, HeartbeatAt: b.now,
			MayHaveRun: true, HereBefore: true, VouchedElsewhereAgo: DefaultTakeoverDelay,
		})
		if !steppedDown {
			b.endRun(start, 1, fleet.EndDone, "")
		}
		b.tick(ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)) > 0, !steppedDown)
	}
}

// A relayed job finds its run at the next leader before the word of its origin has come.
func TestAdoptedRunWaitsForTheFirstWordOfItsCoordinator(t *testing.T) {
	for _, comes := range []bool{true, false} {
		b := &harness{t: t, p: New(DefaultSettings(), nil), now: time.Second, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
		b.p.SetTargets(b.now, targetList(1))
		b.p.BecomeLeader(b.now, 7)
		running := []fleet.Running{{Task: fleet.TaskID{Job: "j"}, Run: 3, PercentDone: 10}}
		b.answerHolds(running)
		b.p.Submit(b.now, Submit{Coordinator: "relay", Origin: "e1", Job: jobOf("j", queue("q", 0), 1, 14000, 3*time.Second), NeedsVouch: true, MayHaveRun: true})
		b.tick(20 * ms)
		assert.Equal(t, b.answerHolds(running), int64(0))
		if comes {
			b.p.Vouched(Voucher{Coordinator: "relay", Origin: "e1"}, b.now)
		}
		b.tick(adoptTimeout)
		assert.Equal(t, len(takeEffects[fleet.Stop](b)) == 0, comes)
		assert.Equal(t, b.answerHolds(running) > 0, comes)
	}
}

func TestRelayedJobNeedsTheWordOfItsOrigin(t *testing.T) {
	b := newHarness(t, 1)
	b.p.Submit(b.now, Submit{Coordinator: "relay", Origin: "e1", Job: jobOf("j", queue("q", 0), 1, 14000, 60*ms), NeedsVouch: true})
	b.hear("relay")
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	b.p.Vouched(Voucher{Coordinator: "relay", Origin: "e1"}, b.now)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// A lease holds for all runs of a target, so that one silent coordinator limits it.
func TestLeaseEndsWithTheLeastPermissionOnTheTarget(t *testing.T) {
	b := newHarness(t, 1)
	b.submitFrom("e1", jobOf("a", queue("q", 0), 1, 14000, 3*time.Second))
	b.submitFrom("e2", jobOf("b", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	var running []fleet.Running
	for _, s := range takeEffects[fleet.Start](b) {
		b.replyStart(s, fleet.Accepted)
		running = append(running, fleet.Running{Task: s.Task, Run: s.Run, PercentDone: 10})
	}
	assert.Equal(t, len(running), 2)
	silentSince := b.clock()
	for range 40 {
		b.tick(20 * ms)
		b.hear("e2")
		assert.Assert(t, b.answerHolds(running) <= silentSince+DefaultVouchFor.Milliseconds())
	}
	b.hear("e1")
	b.tick(ms)
	assert.Assert(t, b.answerHolds(running) >= b.clock()+DefaultLease.Milliseconds()-1, "a whole lease, less the drift of the clock")
}

// handoverSim adds a coordinator to faultSim, which moves its jobs between two leaders. Both may
// lead at the same time. The coordinator may lose its link to a leader without that one
// noticing, and its messages to a busy leader wait in order while that one goes on.
type handoverSim struct {
	*faultSim
	has      [2]map[string]bool // jobs that the coordinator has with each leader
	linked   [2]bool
	lostAt   [2]time.Duration // when the link was lost, if the leader has not noticed
	noticed  [2]bool
	vouched  [2]time.Duration // time of the last heartbeat that was answered
	beat     [2]time.Duration // time of the last heartbeat that arrived
	beatDue  [2]time.Duration
	oldVouch [2]map[string]time.Duration // when each leader that was given up was last permitted to run a job
	arrived  map[string]time.Duration

	inbox     [2][]func() // messages that wait, by leader
	busyUntil [2]time.Duration
}

func newHandoverSim(t *rapid.T) *handoverSim {
	s := &handoverSim{faultSim: newFaultSim(t, rapid.IntRange(2, 4).Draw(t, "targets")), arrived: map[string]time.Duration{}}
	s.coordinated, s.longestRunMS = true, 3000
	for _, x := range s.targets {
		if side := rapid.IntRange(-1, 1).Draw(t, "unreachable for"); side >= 0 {
			x.cut[side] = true
		}
	}
	for i := range 2 {
		s.has[i], s.linked[i], s.noticed[i], s.oldVouch[i] = map[string]bool{}, true, true, map[string]time.Duration{}
		s.pools[i].BecomeLeader(s.now, uint64(1+i))
	}
	return s
}

// deliver makes a leader handle a message after all earlier ones, once it is not busy.
func (s *handoverSim) deliver(to int, message func()) {
	s.inbox[to] = append(s.inbox[to], message)
	s.handleInbox(to)
}

func (s *handoverSim) handleInbox(of int) {
	if s.now < s.busyUntil[of] {
		return
	}
	for _, message := range s.inbox[of] {
		message()
	}
	s.inbox[of] = nil
}

// run advances the simulation and exchanges heartbeats and answers.
func (s *handoverSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance(5 * ms)
		for i, p := range s.pools {
			s.handleInbox(i)
			if !s.linked[i] {
				if !s.noticed[i] && s.now >= s.lostAt[i]+linkLossNoticed {
					s.noticed[i] = true
					s.deliver(i, func() { p.CoordinatorLost(s.now, "e") })
				}
				continue
			}
			if s.now >= s.beatDue[i] && p.Leading() {
				s.beatDue[i], s.beat[i] = s.now+200*ms, s.now
				if len(s.has[i]) > 0 {
					s.vouched[i] = s.now
					heartbeatAt := s.now
					s.deliver(i, func() { p.Vouched(Voucher{Coordinator: "e"}, heartbeatAt) })
				}
			}
		}
	}
}

// submit submits a job to a leader.
func (s *handoverSim) submit(to int, id string) {
	if !s.linked[to] || !s.pools[to].Leading() {
		return
	}
	s.vouched[to] = max(s.vouched[to], s.beat[to])
	s.has[to][id] = true
	ago := [2]time.Duration{DefaultTakeoverDelay, DefaultTakeoverDelay}
	var before [2]bool
	for i := range 2 {
		var at time.Duration
		if at, before[i] = s.oldVouch[i][id]; before[i] {
			ago[i] = s.now - at
		}
	}
	submission := Submit{
		Coordinator: "e", Job: s.jobs[id], Waited: s.now - s.arrived[id], NeedsVouch: true, HeartbeatAt: s.beat[to],
		MayHaveRun: before[0] || before[1], VouchedAgo: min(ago[0], ago[1]), HereBefore: before[to], VouchedElsewhereAgo: ago[1-to],
	}
	s.deliver(to, func() { s.pools[to].Submit(s.now, submission) })
}

// giveUp moves the jobs of a leader to another one, or back to it.
func (s *handoverSim) giveUp(leader, to int, tell bool) {
	for id := range s.has[leader] {
		s.oldVouch[leader][id] = max(s.oldVouch[leader][id], s.vouched[leader])
		if tell && s.linked[leader] {
			s.deliver(leader, func() { s.pools[leader].Withdraw(s.now, "e", id) })
		}
	}
	moved := s.has[leader]
	s.has[leader] = map[string]bool{}
	for i := range 60 { // in a fixed order
		id := fmt.Sprintf("j%d", i)
		if _, over := s.ended[leader][id]; moved[id] && !over {
			s.submit(to, id)
		}
	}
}

// loseLink loses the link to a leader, which notices later, and gives it up.
func (s *handoverSim) loseLink(leader int) {
	if s.linked[leader] {
		s.linked[leader], s.noticed[leader], s.lostAt[leader] = false, false, s.now
		s.giveUp(leader, 1-leader, false)
	}
}

// resetLink breaks and restores the link to a leader, which gets its jobs again.
func (s *handoverSim) resetLink(leader int) {
	if s.linked[leader] {
		s.deliver(leader, func() { s.pools[leader].CoordinatorLost(s.now, "e") })
		s.giveUp(leader, leader, false)
	}
}

// relink restores the link to a leader, which learns from the greeting that it was lost.
func (s *handoverSim) relink(leader int) {
	if !s.linked[leader] {
		s.deliver(leader, func() { s.pools[leader].CoordinatorLost(s.now, "e") })
		s.linked[leader], s.noticed[leader] = true, true
	}
}

// toggleTarget cuts the link of a leader to a target, or restores it.
func (s *handoverSim) toggleTarget(leader int) {
	x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "target")]
	x.cut[leader] = !x.cut[leader]
}

// lead makes an entry lead.
func (s *handoverSim) lead(leader int) {
	s.pools[leader].BecomeLeader(s.now, s.pools[1-leader].lastFence/fenceStep*fenceStep+uint64(1+leader))
}

// restore makes an entry lead, with a link to the coordinator.
func (s *handoverSim) restore(leader int) {
	s.lead(leader)
	s.relink(leader)
}

// submitNew submits a new job to a leader.
func (s *handoverSim) submitNew(to, number int) {
	id := fmt.Sprintf("j%d", number)
	j := jobOf(id, queue("q", 0), rapid.IntRange(1, 4).Draw(s.t, "tasks"), int64(rapid.IntRange(8000, 20000).Draw(s.t, "cpu")), 300*ms)
	j.Queue.Slack = 2 * time.Second
	s.needs[id], s.jobs[id], s.arrived[id] = j.Steps[0].Needs.MilliCPU, j, s.now
	s.submit(to, id)
}

// loseTargetAndLink makes a leader lose a target, whose answers no longer arrive, and then its
// coordinator. The other leader takes the target as one of its home.
func (s *handoverSim) loseTargetAndLink(leader, number int) {
	x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(s.t, "target")]
	home := func(id string) AcquirePolicy { return AcquirePolicy{Home: id == x.info.ID} }
	s.pools[1-leader].SetAcquirePolicy(s.now, home)
	x.cut[leader], x.cut[1-leader], x.muted = false, true, [2]bool{}
	s.runBetween(500*ms, 1000*ms)
	s.submitNew(leader, number)
	s.runBetween(5*ms, 300*ms)
	x.muted[leader] = true
	s.runBetween(300*ms, 1000*ms)
	x.cut[1-leader] = false
	s.runBetween(5*ms, 300*ms)
	s.loseLink(leader)
	s.runBetween(300*ms, 1000*ms)
	x.muted[leader] = false
}

// runBetween advances the simulation by a drawn time.
func (s *handoverSim) runBetween(from, to time.Duration) {
	const step = 5 * ms
	s.run(time.Duration(rapid.IntRange(int(from/step), int(to/step)).Draw(s.t, "pause")) * step)
}

// Under lost links that a leader notices late, leaders that step down with runs, two leaders
// that compete for targets, targets that one leader loses, jobs that are handed back, and lost or
// late messages: no task has two runs at one time.
func TestNoTaskRunsTwiceWhileItsCoordinatorMovesIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newHandoverSim(t)
		for i := range rapid.IntRange(5, 50).Draw(t, "events") {
			leader := rapid.IntRange(0, 1).Draw(t, "leader")
			switch rapid.IntRange(0, 18).Draw(t, "event") {
			case 0, 1, 2, 3:
				s.submitNew(leader, i)
			case 4, 12:
				s.toggleTarget(leader)
			case 13, 14:
				s.busyUntil[leader] = s.now + time.Duration(rapid.IntRange(10, 160).Draw(t, "busy"))*5*ms
			case 15, 16: // a target and then the coordinator are lost to one leader
				s.restore(0)
				s.restore(1)
				s.loseTargetAndLink(leader, i)
			case 17, 18: // a job is handed back while the other leader may wait
				s.restore(0)
				s.restore(1)
				s.submitNew(leader, i)
				s.runBetween(5*ms, 300*ms)
				s.loseLink(leader)
				s.runBetween(700*ms, 1200*ms)
				s.relink(leader)
				s.loseLink(1 - leader)
			case 5:
				s.giveUp(leader, 1-leader, true)
			case 6:
				s.resetLink(leader)
			case 7, 8:
				s.loseLink(leader)
			case 9:
				s.relink(leader)
			case 10, 11:
				if p := s.pools[leader]; p.Leading() {
					p.StepDown()
					s.giveUp(leader, 1-leader, true)
				} else {
					s.lead(leader)
				}
			}
			s.runBetween(5*ms, 300*ms)
		}
		s.run(2 * time.Second)
	})
}
