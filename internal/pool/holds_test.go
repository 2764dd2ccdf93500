package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// replyHolds gives each pending hold the same answer, without lists.
func (b *harness) replyHolds(a fleet.Answer) {
	for _, h := range takeEffects[fleet.Hold](b) {
		rep := fleet.HoldReply{Answer: a}
		if a == fleet.Accepted {
			rep.ClockMS, rep.Incarnation = b.clock(), h.Target.Incarnation
		}
		b.p.HoldDone(b.now, b.now, h, rep)
	}
}

// Guards against runs whose ends are never asked for: a target became unreachable while the request
// for an immediate report was in flight, and the answer to the hold that acquired the target again
// was taken for the answer to that request.
func TestTargetThatIsAcquiredAgainGetsHolds(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 14000, 60*ms))
	b.tick(ms)
	b.replyStart(takeEffects[fleet.Start](b)[0], fleet.Unanswered)
	b.tick(ms)
	inFlight := takeEffects[fleet.Hold](b)
	assert.Equal(t, len(inFlight), 2, "one hold waits for an end, the other one asks for an immediate report")
	waiting, report := inFlight[0], inFlight[1]
	if waiting.Wait == 0 {
		waiting, report = report, waiting
	}
	unanswered := fleet.HoldReply{Answer: fleet.Unanswered}
	b.p.HoldDone(b.now, b.now, waiting, unanswered)
	b.tick(ms)
	b.replyHolds(fleet.Unanswered)
	assert.Equal(t, b.p.Owned(), 0)
	b.tick(reacquireBackoff)
	b.replyHolds(fleet.Accepted)
	assert.Equal(t, b.p.Owned(), 1)
	b.p.HoldDone(b.now, b.now, report, unanswered) // much later
	assert.Equal(t, b.p.Owned(), 1)

	b.tick(ms)
	s := b.acceptStarts()[0]
	running := []fleet.Running{{Task: s.Task, Run: s.Run, PercentDone: 10}}
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, running, nil) // what was due before
	}
	b.tick(ms)

	b.answerHold("t00", nil, []fleet.End{{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndDone}})
	assert.Equal(t, b.outcomes()["j"].Verdict, verdict.Completed)
}

// Guards against a target that is never acquired: a stop was fenced while a probe was in flight, and
// the answer to the next hold, which acquires the target, was taken for the answer to the probe.
func TestAnswerToAHoldThatAcquiresIsNotTakenForThatOfAProbe(t *testing.T) {
	b := newHarness(t, 1)
	b.submit(jobOf("j", queue("q", 0), 1, 14000, 60*ms))
	b.tick(ms)
	b.acceptStarts()
	b.p.SetAcquirePolicy(b.now, func(string) AcquirePolicy { return AcquirePolicy{CutOff: true} })
	for range 3 { // three holds without an answer
		b.tick(ms)
		b.replyHolds(fleet.Unanswered)
	}
	b.p.Withdraw(b.now, "e1", "j")
	b.tick(reacquireBackoff)
	probes := takeEffects[fleet.Hold](b)
	assert.Equal(t, len(probes), 1)
	assert.Assert(t, probes[0].Fence <= maxProbeFence)
	b.tick(stopRetryPause)
	for _, s := range takeEffects[fleet.Stop](b) {
		b.p.StopDone(b.now, s, fleet.Reply{Answer: fleet.Fenced, Incarnation: 1})
	}
	b.p.SetAcquirePolicy(b.now, func(string) AcquirePolicy { return AcquirePolicy{} })
	b.tick(maxBackoff)
	b.replyHolds(fleet.Accepted)
	assert.Equal(t, b.p.Owned(), 1)
}

// Guards against ends that are never acknowledged: the hold that carried the acknowledgement was
// lost, and the target was idle from then on.
func TestLostAcknowledgementIsSentAgain(t *testing.T) {
	b := newHarness(t, 1)
	s := b.submitAndStart(jobOf("j", queue("q", 0), 1, 14000, 60*ms))[0]
	b.tick(ms)
	end := fleet.End{Number: 1, Task: s.Task, Run: s.Run, Kind: fleet.EndDone}
	b.answerHold("t00", nil, []fleet.End{end})
	b.tick(ms)
	b.replyHolds(fleet.Unanswered)
	b.tick(ms)
	b.replyHolds(fleet.Unanswered)
	assert.Equal(t, b.p.Owned(), 0)
	b.tick(reacquireBackoff)
	b.answerHold("t00", nil, []fleet.End{end})

	b.tick(ms)

	assert.Equal(t, b.answerHold("t00", nil, nil).AckedEnd, int64(1))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Hold](b)), 0, "an idle target gets no messages")
}
