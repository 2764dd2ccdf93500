package pool

import (
	"testing"
	"time"

	"currantstall/internal/fleet"
)

// startOnRenewedTargets starts a job of one task on targets that renew their rows.
func startOnRenewedTargets(t *testing.T, n int) (*harness, fleet.Start) {
	b := newHarness(t, n)
	b.p.cfg.RowsRenewed = true
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.submit(j)
	b.tick(ms)
	return b, b.acceptStarts()[0]
}

// Guards against a second run where the row of a suspended target can't be used, or a layout moves the target to another pool.
func TestTargetWhoseRowCantBeUsedIsNotTakenForGone(t *testing.T) {
	b, first := startOnRenewedTargets(t, 2)
	begin := b.now
	for b.now < begin+4*time.Second {
		b.tick(10 * ms)
		if b.now >= begin+300*ms {
			versions := map[string]uint64{"t00": 7, "t01": 7} // the row is there
			var list []fleet.Target
			for _, x := range targetList(2) {
				if x.ID != first.Target.ID {
					list = append(list, x)
				}
			}
			b.p.SetTargets(b.now, list)
			b.p.ObserveRenewals(b.now, versions)
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != first.Target.ID {
				b.acceptHold(h, nil, nil)
			} else {
				b.p.HoldDone(b.now, b.now, h, notConnected(0))
			}
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			t.Fatalf("started again %v after the loss", b.now-begin)
		}
	}
}

// Guards against a second run at the next leader, where a target that was suspended goes on with the rest of a lease of the former one.
func TestFencedAnswerOfASuspendedTargetLeavesFormerRunsOpen(t *testing.T) {
	b := newHarness(t, 1)
	b.p.StepDown()
	b.p.cfg.RowsRenewed = true
	b.p.SetTargets(b.now, targetList(2))
	b.p.BecomeLeader(b.now, 1<<40)
	b.p.SetAcquirePolicy(b.now, func(id string) AcquirePolicy {
		if id == "t01" {
			return AcquirePolicy{Delay: 5 * time.Second}
		}
		return AcquirePolicy{}
	})
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	begin := b.now
	const resume = 1300 * ms
	clockAt := func(since time.Duration) int64 { return 10000 + max(0, since-resume).Milliseconds() } // lease of the former owner: until 10650
	for b.now < begin+4*time.Second {
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID == "t00":
				b.acceptHold(h, nil, nil)
			case b.now-begin < resume:
				b.p.HoldDone(b.now, b.now, h, notConnected(0))
			default:
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Fenced, ClockMS: clockAt(b.now - begin), Incarnation: 1})
			}
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			if clockAt(b.now-begin) < 10650 {
				t.Fatalf("started %v after the takeover, clock of t01 %d", b.now-begin, clockAt(b.now-begin))
			}
			return
		}
	}
	t.Fatal("not started")
}

// Guards against a second run at the next leader, while a target stands still for longer than its row is kept.
func TestJobTakenOverWaitsForASilentTargetThatIsListedNoMore(t *testing.T) {
	b := newHarness(t, 1)
	b.p.StepDown()
	b.p.cfg.RowsRenewed = true
	b.p.SetTargets(b.now, targetList(2))
	b.p.BecomeLeader(b.now, 1<<40)
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	c := lostTargetCase{reply: connected, row: func(now time.Duration) uint64 {
		if now >= 7*time.Second {
			return 0
		}
		return 1
	}}
	b.playLost(c, "t01", 30*time.Second)
}

// Guards against a run that stays open for ever.
func TestRunEndsWhereAnotherTargetAnswersAtTheAddressOfASilentOne(t *testing.T) {
	b, first := startOnRenewedTargets(t, 2)
	begin, asked := b.now, 0
	for b.now < begin+10*time.Minute {
		b.tick(20 * ms)
		if b.now >= begin+7*time.Second && (b.now-begin)%(500*ms) == 0 {
			b.readRows(b.now, first.Target.ID, 0)
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID != first.Target.ID:
				b.acceptHold(h, nil, nil)
			case b.now < begin+8*time.Second:
				b.p.HoldDone(b.now, b.now, h, connected(0))
			default:
				asked++
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.OtherIncarnation, Incarnation: 99})
			}
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			return
		}
	}
	t.Fatalf("still open after 10 minutes, %d answers of the other target", asked)
}

// Guards against a second run where the list of a new leader lacks the target of the first one for a moment.
func TestJobTakenOverWaitsForASuspendedTargetThatIsListedLater(t *testing.T) {
	b := newHarness(t, 1)
	b.p.StepDown()
	b.p.cfg.RowsRenewed = true
	b.p.SetTargets(b.now, targetList(1))
	b.p.BecomeLeader(b.now, 1<<40)
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
	begin := b.now
	for b.now < begin+4*time.Second {
		b.tick(10 * ms)
		if b.now-begin == 600*ms {
			b.p.SetTargets(b.now, targetList(2))
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == "t00" {
				b.acceptHold(h, nil, nil)
			} else {
				b.p.HoldDone(b.now, b.now, h, notConnected(0))
			}
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			t.Fatalf("started %v after the takeover", b.now-begin)
		}
	}
}

// Guards against a second run where the row has named a wrong address, at which nothing accepts connections.
func TestTargetIsAskedAtItsOwnAddressBeforeItIsTakenForGone(t *testing.T) {
	b, first := startOnRenewedTargets(t, 2)
	begin := b.now
	for b.now < begin+30*time.Second {
		b.tick(10 * ms)
		since := b.now - begin
		if since%(500*ms) == 0 {
			var list []fleet.Target
			for _, x := range targetList(2) {
				if x.ID == first.Target.ID {
					if since > 7*time.Second {
						continue
					}
					x.Addr = "wrong"
				}
				list = append(list, x)
			}
			b.p.SetTargets(b.now, list)
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID != first.Target.ID:
				b.acceptHold(h, nil, nil)
			case h.Target.Addr == "wrong":
				b.p.HoldDone(b.now, b.now, h, notConnected(0))
			default:
				b.p.HoldDone(b.now, b.now, h, connected(0))
			}
		}
		if s := takeEffects[fleet.Start](b); len(s) > 0 {
			t.Fatalf("started %v after the loss", since)
		}
	}
}

// Guards against a second run of a gang: the end of one member has completed all, and that of another one is on a target that stands still.
func TestGangThatComesAgainWaitsForAMemberOnASilentTarget(t *testing.T) {
	b := newHarness(t, 3)
	b.p.cfg.RowsRenewed = true
	j := jobOf("j", queue("q", 0), 2, 20000, 900*ms)
	j.Steps[0].Gang = true
	j.Steps = append(j.Steps, fleet.Step{Count: 1, Needs: j.Steps[0].Needs, Estimate: 900 * ms, DependsOn: []uint16{0}})
	j.Queue.Slack, j.Timeout = time.Hour, 3*time.Second
	b.submitFrom("e1", j)
	b.tick(ms)
	starts := b.acceptStarts()
	if len(starts) != 2 {
		t.Fatal(len(starts))
	}
	lost := starts[1].Target.ID
	begin, abandoned, back := b.now, false, false
	for b.now < begin+20*time.Second {
		b.tick(10 * ms)
		if (b.now-begin)%(200*ms) == 0 {
			b.hear("e1")
			b.hear("e2")
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			switch {
			case h.Target.ID == lost:
				b.p.HoldDone(b.now, b.now, h, connected(0))
			case h.Target.ID == starts[0].Target.ID:
				b.acceptHold(h, nil, []fleet.End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: fleet.EndDone}})
			default:
				b.acceptHold(h, nil, nil)
			}
		}
		if !abandoned && b.now >= begin+500*ms {
			abandoned = true
			b.p.Withdraw(b.now, "e1", "j")
		}
		if !back && b.now >= begin+2500*ms {
			back = true
			b.submitFrom("e2", j)
		}
		for _, s := range takeEffects[fleet.Stop](b) {
			b.p.StopDone(b.now, s, fleet.Reply{Answer: fleet.Unanswered})
		}
		for _, s := range takeEffects[fleet.Start](b) {
			if back && s.Task.Step == 0 {
				t.Fatalf("gang started again %v after the loss, runs still open on lost: %d", b.now-begin, len(b.p.targets[lost].runs))
			}
			b.replyStart(s, fleet.NotSent)
		}
	}
}
