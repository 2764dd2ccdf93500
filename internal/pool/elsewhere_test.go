package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

func patientQueue() fleet.Queue {
	q := queue("q", 0)
	q.Slack = time.Minute
	return q
}

// A leader started a job at once that another coordinator had in another pool.
func TestJobWaitsForItsRunsInAnotherPool(t *testing.T) {
	b := newHarness(t, 1)
	j := jobOf("j", patientQueue(), 1, 14000, 60*ms)
	over := b.now + 900*ms
	b.p.NoteElsewhere(b.now, "e1", "j", over)
	b.submitFrom("e2", j)
	assert.DeepEqual(t, takeEffects[CallerReturned](b), []CallerReturned{{"e1", "j"}})
	for b.now+20*ms < over {
		b.tick(20 * ms)
		b.hear("e2")
		b.answerHolds(nil)
		assert.Equal(t, len(b.acceptStarts()), 0, "it starts %v too early", over-b.now)
	}
	b.tick(20 * ms)
	assert.Equal(t, len(b.acceptStarts()), 1)
}

// The earlier coordinator may answer long before the time that it has told is over.
func TestJobStartsOnceItsEarlierCoordinatorHasGivenItUp(t *testing.T) {
	b := newHarness(t, 1)
	b.p.NoteElsewhere(b.now, "e1", "j", b.now+time.Minute)
	b.submitFrom("e2", jobOf("j", patientQueue(), 1, 14000, 60*ms))
	b.p.GoneElsewhere("e1", "j", b.now+200*ms)
	b.p.GoneElsewhere("e1", "j", b.now+time.Hour) // an answer on its way to an earlier question
	b.tick(199 * ms)
	assert.Equal(t, len(b.acceptStarts()), 0)
	b.tick(ms)
	assert.Equal(t, len(b.acceptStarts()), 1)
}

// The earlier coordinator was lost, and its next life is linked only later.
func TestEarlierCoordinatorIsAskedAgain(t *testing.T) {
	b := newHarness(t, 1)
	b.p.NoteElsewhere(b.now, "e1", "j", b.now+time.Minute)
	b.p.NoteElsewhere(b.now, "e1", "other", b.now+time.Minute)
	b.submitFrom("e2", jobOf("j", patientQueue(), 1, 14000, 60*ms))
	assert.Equal(t, len(takeEffects[CallerReturned](b)), 1)
	b.tick(2 * forgetInterval)
	assert.DeepEqual(t, takeEffects[CallerReturned](b), []CallerReturned{{"e1", "j"}})
	b.p.GoneElsewhere("e1", "j", b.now+time.Second)
	b.tick(2 * forgetInterval)
	assert.Equal(t, len(takeEffects[CallerReturned](b)), 0)
}

// A coordinator whose job returns from another pool knows its runs there.
func TestJobDoesNotWaitForTheNoteOfItsOwnCoordinator(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		b := newHarness(t, 1)
		b.p.NoteElsewhere(b.now, "e1", "j", b.now+time.Minute)
		s := Submit{Coordinator: "e1", Job: jobOf("j", patientQueue(), 1, 14000, 60*ms), NeedsVouch: true, HeartbeatAt: b.now}
		if relayed {
			s.Coordinator, s.Origin = "relay", "e1"
		}
		b.p.Submit(b.now, s)
		assert.Equal(t, len(takeEffects[CallerReturned](b)), 0)
		b.tick(ms)
		assert.Equal(t, len(b.acceptStarts()), 1)
	}
}

// A caller came again at an entry that chose another pool. The leader of the first one went on with
// the run, and asked the later coordinator to give the job up.
func TestClaimEndsTheAttemptInTheHomePool(t *testing.T) {
	b := newHarness(t, 1)
	b.submitFrom("e1", jobOf("j", patientQueue(), 1, 14000, 3*time.Second))
	b.tick(ms)
	start := b.acceptStarts()[0]

	over := b.p.ClaimElsewhere(b.now, "e2", "j", b.now+time.Minute)
	assert.Assert(t, over > b.now)
	ended := takeEffects[Ended](b)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].Coordinator, "e1")
	assert.Equal(t, ended[0].Outcome.Reason, verdict.Resubmitted)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 1)
	assert.Equal(t, len(takeEffects[CallerReturned](b)), 0)

	b.endRun(start, 1, fleet.EndInterrupted, "")
	b.tick(ms)
	assert.Assert(t, b.p.ClaimElsewhere(b.now, "e2", "j", b.now+time.Minute) <= b.now, "the run is over")
}

// Runs that a former leader may have of a job ended with the memory of the job.
func TestClaimCountsTheRunsOfFormerLeaders(t *testing.T) {
	b := newHarness(t, 1)
	b.tick(0) // all targets are owned, and so have shown the runs of former leaders
	over := b.now + DefaultTakeoverDelay - 100*ms
	b.p.Submit(b.now, Submit{
		Coordinator: "e1", Job: jobOf("j", patientQueue(), 1, 14000, 60*ms), NeedsVouch: true, HeartbeatAt: b.now,
		MayHaveRun: true, VouchedAgo: 100 * ms,
	})
	for range 2 {
		assert.Equal(t, b.p.ClaimElsewhere(b.now, "e2", "j", b.now+time.Minute), over)
	}
}

// Whatever a leader has heard of a job and done with it: no lease that it grants outlasts what it
// answers to a claim, and no start of its own overlaps what it was told.
func TestClaimsCoverAllRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(t, 2)
		j := jobOf("j", patientQueue(), 2, 14000, 30*time.Second)
		j.Timeout = time.Minute
		claimedUntil, claimant := time.Duration(0), ""
		told := map[string]time.Duration{}
		running := map[string][]fleet.Running{}
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			by := fmt.Sprint("e", rapid.IntRange(1, 3).Draw(rt, "entry"))
			switch rapid.SampledFrom([]string{"submit", "claim", "gone", "note", "lost", "step", "step", "step", "step"}).Draw(rt, "what") {
			case "submit":
				delete(told, by) // the coordinator itself knows of these
				b.submitFrom(by, j)
				claimant = ""
			case "claim":
				b.p.Withdraw(b.now, by, "j")
				told[by] = b.now + 2*time.Second
				claimedUntil, claimant = b.p.ClaimElsewhere(b.now, by, "j", told[by]), by
			case "note":
				if claimant == by {
					told[by] = b.now + 2*time.Second
					b.p.NoteElsewhere(b.now, by, "j", told[by])
				}
			case "gone":
				if told[by] > b.now+100*ms {
					told[by] = b.now + 100*ms
					b.p.GoneElsewhere(by, "j", told[by])
				}
			case "lost":
				b.p.CoordinatorLost(b.now, by)
				delete(told, by)
				b.p.GoneElsewhere(by, "j", 0)
			}
			b.tick(time.Duration(rapid.IntRange(1, 200).Draw(rt, "ms")) * ms)
			for _, e := range []string{"e1", "e2", "e3"} {
				b.hear(e)
			}
			for _, s := range b.acceptStarts() {
				current := b.p.jobs["j"].coordinator
				for e, until := range told {
					assert.Assert(rt, e == current || until <= b.now, "%s starts %v before the runs of %s are over", current, until-b.now, e)
				}
				assert.Assert(rt, claimant == "", "a start after the claim of %s", claimant)
				running[s.Target.ID] = append(running[s.Target.ID], fleet.Running{Task: s.Task, Run: s.Run})
			}
			for _, h := range takeEffects[fleet.Hold](b) {
				if len(running[h.Target.ID]) > 0 && claimant != "" {
					assert.Assert(rt, h.LeaseUntilMS <= claimedUntil.Milliseconds(), "a lease outlasts the answer to the claim by %d ms", h.LeaseUntilMS-claimedUntil.Milliseconds())
				}
				b.acceptHold(h, running[h.Target.ID], nil)
			}
			takeEffects[fleet.Stop](b)
		}
	})
}

func TestNotesOfJobsInOtherPoolsAreBounded(t *testing.T) {
	b := newHarness(t, 1)
	for i := range maxElsewhere + 10 {
		b.p.NoteElsewhere(b.now, "e1", fmt.Sprint(i), b.now+time.Second)
		b.p.NoteElsewhere(b.now, "e1", fmt.Sprint(i), b.now+time.Second)
	}
	assert.Equal(t, len(b.p.elsewhere), maxElsewhere)
	assert.Equal(t, b.p.keptElsewhere, maxElsewhere)
	b.tick(time.Second + forgetInterval)
	assert.Equal(t, len(b.p.elsewhere), 0)
	assert.Equal(t, b.p.keptElsewhere, 0)
}
