package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// The row of a target names a wrong address for a moment, at which another target answers. The
// target itself goes on with its runs until their lease expires.
func TestRunsOfATargetWithAWrongAddressLastUntilTheirLease(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := b.acceptStarts()[0]
	list := targetList(2)
	other := 0
	if start.Target.ID == list[0].ID {
		other = 1
	}
	list[1-other].Addr = list[other].Addr
	b.p.SetTargets(b.now, list)
	takeEffects[fleet.Hold](b)
	b.p.targets[start.Target.ID].holds = holdsInFlight{}
	for range 20 {
		b.hear("e1")
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == start.Target.ID {
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.OtherIncarnation})
			} else {
				b.acceptHold(h, nil, nil)
			}
		}
		for _, s := range takeEffects[fleet.Start](b) {
			assert.Assert(t, b.clock() > start.LeaseUntilMS, "run %d on %s starts %d ms before the lease of run %d on %s ends",
				s.Run, s.Target.ID, start.LeaseUntilMS-b.clock(), start.Run, start.Target.ID)
		}
	}
}

// runOn starts a task, and returns its start, the target that has its run and the other one.
func runOn(b *harness) (start fleet.Start, on, other fleet.Target) {
	b.submitFrom("e1", jobOf("j", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	start = b.acceptStarts()[0]
	list := targetList(2)
	if start.Target.ID == list[0].ID {
		return start, list[0], list[1]
	}
	return start, list[1], list[0]
}

// answerAll passes an answer of another target to the pending holds and stops of a target, and
// accepts the holds of all others. It returns the starts.
func (b *harness) answerAll(id string, rep fleet.Reply) []fleet.Start {
	for _, h := range takeEffects[fleet.Hold](b) {
		if h.Target.ID == id {
			b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: rep.Answer, ClockMS: rep.ClockMS, Incarnation: rep.Incarnation})
		} else {
			b.acceptHold(h, nil, nil)
		}
	}
	for _, o := range takeEffects[fleet.Stop](b) {
		if o.Target.ID == id {
			b.p.StopDone(b.now, o, rep)
		}
	}
	return takeEffects[fleet.Start](b)
}

// The answers from a wrong address carry the clock and the birth of the target that is there, which
// were taken for the target's own.
func TestAnswersFromAWrongAddressShowNothingOfTheTarget(t *testing.T) {
	for _, born := range []int64{0, 1, 2} {
		for _, clock := range []int64{0, 1 << 40} {
			for _, first := range []string{"hold", "stop", "start"} {
				b := newHarness(t, 2)
				start, on, other := runOn(b)
				list := []fleet.Target{on, other}
				list[0].Addr = other.Addr
				b.p.SetTargets(b.now, list)
				rep := fleet.Reply{Answer: fleet.OtherIncarnation, ClockMS: clock, Incarnation: born}
				switch first {
				case "stop":
					b.p.StopDone(b.now, fleet.Stop{Target: list[0], Task: start.Task, Run: start.Run}, rep)
				case "start":
					b.p.StartDone(b.now, fleet.Start{Target: list[0], Task: fleet.TaskID{Job: "other"}, Run: 1}, rep)
				}
				for range 20 {
					b.hear("e1")
					b.tick(10 * ms)
					for _, s := range b.answerAll(on.ID, rep) {
						assert.Assert(t, b.clock() > start.LeaseUntilMS, "%s, born %d, clock %d: run %d on %s starts %d ms before the lease of run %d on %s ends",
							first, born, clock, s.Run, s.Target.ID, start.LeaseUntilMS-b.clock(), start.Run, on.ID)
					}
				}
				assert.Equal(t, b.p.targets[on.ID].Incarnation, int64(1))
				assert.Assert(t, b.p.targets[on.ID].clockMS <= b.clock(), "%s, clock %d", first, clock)
			}
		}
	}
}

// A silent target gets 2 s to end its runs, also if its row names a wrong address meanwhile.
func TestAnswersFromAWrongAddressDoNotShowThatATargetIsNotSilent(t *testing.T) {
	for _, probed := range []bool{false, true} {
		b := newHarness(t, 2)
		_, on, other := runOn(b)
		b.p.targets[on.ID].silent = true
		on.Addr = other.Addr
		b.p.SetTargets(b.now, []fleet.Target{on, other})
		b.p.targets[on.ID].holds = holdsInFlight{}
		if probed {
			b.p.probe(b.p.targets[on.ID])
		} else {
			b.tick(10 * ms)
		}
		b.answerAll(on.ID, fleet.Reply{Answer: fleet.OtherIncarnation})
		assert.Assert(t, b.p.targets[on.ID].silent, "probed: %v", probed)
	}
}

// Another target answers at the address at which a target has answered before, and was born later:
// the runs are over.
func TestRunsOfATargetThatWasReplacedAtItsAddressAreOverAtOnce(t *testing.T) {
	for _, born := range []int64{0, 2} {
		b := newHarness(t, 2)
		_, on, _ := runOn(b)
		b.p.targets[on.ID].holds = holdsInFlight{}
		b.hear("e1")
		b.tick(10 * ms)
		b.answerAll(on.ID, fleet.Reply{Answer: fleet.OtherIncarnation, Incarnation: born})
		assert.Equal(t, len(b.p.targets[on.ID].runs), 0)
		b.hear("e1")
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 1, "born %d", born)
	}
}

// An older target at the address of a younger one is no successor: the address was given away.
func TestOlderTargetAtTheAddressOfATargetDoesNotReplaceIt(t *testing.T) {
	b := newHarness(t, 2)
	_, on, other := runOn(b)
	list := []fleet.Target{on, other}
	list[0].Incarnation = 5
	b.p.targets[on.ID].Incarnation = 5
	b.p.targets[on.ID].holds = holdsInFlight{}
	b.hear("e1")
	b.tick(10 * ms)
	b.answerAll(on.ID, fleet.Reply{Answer: fleet.OtherIncarnation, Incarnation: 3})
	assert.Equal(t, len(b.p.targets[on.ID].runs), 1)
	assert.Assert(t, !b.p.targets[on.ID].owned)
}

// The runs that a target has from an earlier incarnation are not over by an answer from an address at
// which the present one has never answered.
func TestNewIncarnationIsNotReplacedAtAnAddressWhereItHasNotAnswered(t *testing.T) {
	b := newHarness(t, 2)
	b.submitFrom("e1", jobOf("j", queue("q", 0), 1, 14000, 3*time.Second))
	b.tick(ms)
	start := takeEffects[fleet.Start](b)[0]
	b.replyStart(start, fleet.Unanswered)
	list := targetList(2)
	for i := range list {
		if list[i].ID == start.Target.ID {
			list[i].Incarnation, list[i].Addr = 2, list[1-i].Addr
		}
	}
	b.p.SetTargets(b.now, list)
	b.tick(10 * ms)
	b.answerAll(start.Target.ID, fleet.Reply{Answer: fleet.OtherIncarnation})
	assert.Equal(t, len(b.p.targets[start.Target.ID].runs), 1)
}
