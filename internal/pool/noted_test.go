package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// nextLeader is the leader of a pool after the one that knew of a job was lost. The first of its targets has a run of the job
// and stands still until the given time.
type nextLeader struct {
	*harness
	goesOn time.Duration
}

func newNextLeader(t *testing.T, standsFor time.Duration) *nextLeader {
	b := &nextLeader{harness: &harness{t: t, p: New(DefaultSettings(), nil), now: 10 * time.Second, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}}
	b.goesOn = b.now + standsFor
	b.p.SetTargets(b.now, targetList(2))
	b.p.BecomeLeader(b.now, 1)
	return b
}

// step lets 20 ms pass, in which the targets answer, and returns the starts.
func (b *nextLeader) step() []fleet.Start {
	b.tick(20 * ms)
	b.hear("e1")
	b.hear("e2")
	for _, h := range takeEffects[fleet.Hold](b.harness) {
		if h.Target.ID == "t00" && b.now < b.goesOn {
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
		} else {
			b.acceptHold(h, nil, nil)
		}
	}
	return takeEffects[fleet.Start](b.harness)
}

// Guards against a second run at the next leader of a pool. A target stood still with a run of a job whose caller came again; the leader that
// knew of the run was lost.
func TestJobThatComesAgainAtTheNextLeaderWaitsForATargetThatStandsStill(t *testing.T) {
	for _, by := range []string{"e1", "e2"} {
		for _, noted := range []string{"before", "after", "between"} {
			t.Run(fmt.Sprintf("submitted by %s, noted %s", by, noted), func(t *testing.T) {
				b := newNextLeader(t, 8*time.Second)
				note := func() {
					b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: 1200 * ms})
				}
				j := jobOf("j", patientQueue(), 1, 20000, 900*ms)
				j.Timeout = time.Minute
				if noted == "before" {
					note()
				}
				if noted == "between" { // and many ticks before
					for range 20 {
						b.step()
					}
					note()
					for range 50 {
						b.step()
					}
				}
				b.submitFrom(by, j)
				if noted == "after" {
					note()
				}
				for b.now < b.goesOn {
					assert.Equal(t, len(b.step()), 0, "started %v before the target goes on", b.goesOn-b.now)
				}
				started := 0
				for range 50 {
					started += len(b.step())
				}
				assert.Equal(t, started, 1)
				assert.Assert(t, !b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: b.now - 9*time.Second}), "the earlier run is over")
			})
		}
	}
}

// Guards against a second run after a copy of the job was answered while it waited: the next copy waits too, and each
// caller is told that its job may have run.
func TestEachCopyOfAJobWaitsForATargetThatStandsStill(t *testing.T) {
	b := newNextLeader(t, 10*time.Second)
	b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: 300 * ms})
	j := jobOf("j", patientQueue(), 1, 20000, 900*ms)
	j.Timeout, j.CallerLeaves = 1500*ms, true
	for b.now < b.goesOn-2*time.Second {
		b.submitFrom("e2", j)
		for came := b.now; b.now < came+1700*ms; {
			assert.Equal(t, len(b.step()), 0)
		}
		assert.Equal(t, b.outcomes()["j"].Verdict, verdict.MayHaveRun)
		delete(b.ended, "j")
	}
}

// Guards against jobs that wait for runs that they do not have: one that never came before, and one that comes again where all
// targets answer.
func TestOnlyJobsThatMayHaveRunWaitForATargetThatStandsStill(t *testing.T) {
	b := newNextLeader(t, time.Minute)
	b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: time.Second})
	for range 50 {
		b.step()
	}
	b.submitFrom("e2", jobOf("other", patientQueue(), 1, 20000, 900*ms))
	assert.Equal(t, len(b.step()), 1)

	b = newNextLeader(t, 0)
	b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: DefaultTakeoverDelay})
	b.step()
	b.step()
	assert.Assert(t, !b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: DefaultTakeoverDelay + 40*ms}))
	b.submitFrom("e2", jobOf("j", patientQueue(), 1, 20000, 900*ms))
	assert.Equal(t, len(b.step()), 1)
}

// Guards against a leader that answers by what its targets had shown when it led before.
func TestLeaderThatLeadsAgainHasForgottenWhatTargetsHaveShown(t *testing.T) {
	b := newHarness(t, 2)
	b.tick(ms)
	b.p.StepDown()
	b.p.BecomeLeader(b.now+time.Second, 1<<20)
	assert.Assert(t, b.p.NoteLeft(b.now+time.Second, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: 2 * DefaultTakeoverDelay}))
}

// Guards against answers of a leader that has had the job itself, and knows its runs: other targets that stand still do not count.
func TestLeaderThatHasHadAJobGoesByItsOwnMemory(t *testing.T) {
	b := newHarness(t, 3)
	arrived := b.now
	j := jobOf("j", patientQueue(), 1, 20000, 900*ms)
	j.Timeout, j.CallerLeaves = time.Second, true
	b.submitFrom("e1", j)
	b.tick(ms)
	start := b.acceptStarts()[0]
	still, other := b.p.targets[start.Target.ID], b.p.sortedTargets[0]
	if other == still {
		other = b.p.sortedTargets[1]
	}
	b.p.markUnreachable(b.now, other)
	stands := map[string]bool{other.ID: true, still.ID: true}
	run := func(d time.Duration) {
		for until := b.now + d; b.now < until; {
			b.tick(20 * ms)
			for _, h := range takeEffects[fleet.Hold](b) {
				if stands[h.Target.ID] {
					b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
				} else {
					b.acceptHold(h, nil, nil)
				}
			}
		}
	}
	note := func() bool {
		return b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: b.now - arrived, HereOnly: true, ArrivedAt: arrived})
	}
	run(5 * time.Second)
	assert.Assert(t, note(), "its run is open")
	delete(stands, still.ID)
	run(2 * time.Second)
	assert.Assert(t, !note(), "only another target stands still")
}

// Guards against a memory without bounds.
func TestNotesOfJobsThatHaveLeftAreBounded(t *testing.T) {
	b := newNextLeader(t, time.Second)
	for i := range maxNotedLeft + 10 {
		assert.Assert(t, b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: fmt.Sprint(i)}))
	}
	assert.Equal(t, len(b.p.leftRuns), maxNotedLeft)
	for range 100 {
		b.step()
	}
	assert.Equal(t, len(b.p.leftRuns), 0)
}

// Guards against a claim that a new leader of the home clears while a run is open that only its targets have shown: the leader has stopped
// it, and the target stands still since.
func TestClaimAtANewLeaderCountsOpenRunsThatTargetsHaveReported(t *testing.T) {
	b := newNextLeader(t, 0)
	run := fleet.Running{Task: fleet.TaskID{Job: "j"}, Run: 1}
	for _, h := range takeEffects[fleet.Hold](b.harness) {
		if h.Target.ID == "t00" {
			b.acceptHold(h, []fleet.Running{run}, nil)
		} else {
			b.acceptHold(h, nil, nil)
		}
	}
	b.goesOn = b.now + 10*time.Second
	claim := func() time.Duration { return b.p.ClaimElsewhere(b.now, "e2", "j", b.now+time.Minute) - b.now }
	for b.now < b.goesOn-100*ms {
		b.step()
		assert.Assert(t, claim() > 0, "cleared %v before the target goes on", b.goesOn-b.now)
	}
	for range 50 {
		b.step()
	}
	assert.Assert(t, claim() <= 0, "the run is over")
}

// Guards against a claim that a new leader of the home clears while a target stands still that may have a run of the job.
func TestClaimAtANewLeaderCountsTheRunsOfWhichACoordinatorHasTold(t *testing.T) {
	b := newNextLeader(t, 8*time.Second)
	b.p.NoteLeft(b.now, LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: time.Second})
	claim := func() time.Duration { return b.p.ClaimElsewhere(b.now, "e2", "j", b.now+time.Minute) - b.now }
	for b.now < b.goesOn-100*ms {
		b.step()
		assert.Assert(t, claim() >= OpenFor, "%v before the target goes on", b.goesOn-b.now)
	}
	for range 50 {
		b.step()
	}
	assert.Assert(t, claim() <= 0, "the run is over")
}

// Guards against a question that is closed though the run is open: a copy of the job has been attached to it, and its coordinator
// may be lost together with the leader.
func TestQuestionStaysOpenWhileACopyOfItsJobWaitsForTheRun(t *testing.T) {
	b := newHarness(t, 2)
	b.p.cfg.RowsRenewed = true
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Timeout, j.CallerLeaves = 1500*ms, true
	b.submitFrom("e1", j)
	b.tick(ms)
	lost := b.acceptStarts()[0].Target.ID
	begin, back := b.now, false
	question := LeftNote{Coordinator: "e1", Job: "j", VouchedAgo: 3 * time.Second, HereOnly: true, ArrivedAt: begin}
	for b.now < begin+8*time.Second {
		b.tick(10 * ms)
		if (b.now-begin)%(200*ms) == 0 {
			b.hear("e1")
			b.hear("e2")
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != lost {
				b.acceptHold(h, nil, nil)
			} else {
				b.p.HoldDone(b.now, b.now, h, connected(0))
			}
		}
		if !back && b.now >= begin+2800*ms {
			back = true
			b.submitFrom("e2", j)
		}
		if b.now >= begin+2*time.Second {
			assert.Assert(t, b.p.NoteLeft(b.now, question), "closed after %v", b.now-begin)
		}
	}
}
