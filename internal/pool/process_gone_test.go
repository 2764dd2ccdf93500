package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// refusingSim is a crashSim whose targets may refuse connections while they are down.
type refusingSim struct {
	*crashSim
	refuses bool
}

func newRefusingSim(t *testing.T, targets int) *refusingSim {
	return &refusingSim{crashSim: newCrashSim(t, targets)}
}

// run is crashSim.run.
func (s *refusingSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.reviveTargets()
		s.endRuns()
		s.tick(10 * ms)
		s.refuseHolds()
		s.obey()
	}
}

// refuseHolds answers the pending holds to targets that are down.
func (s *refusingSim) refuseHolds() {
	for _, h := range takeEffects[fleet.Hold](s.harness) {
		if s.refuses && s.down(h.Target.ID) && s.backAt[h.Target.ID] != time.Hour {
			s.p.HoldDone(s.now, s.now, h, fleet.HoldReply{Answer: fleet.Unanswered, ProcessGone: true})
		} else {
			s.pending = append(s.pending, h)
		}
	}
}

// crashAfterAnswers crashes each target soon after it has answered a start, until a job has ended or
// the time is up. It returns the number of crashes.
func (s *refusingSim) crashAfterAnswers(job string, d time.Duration) int {
	crashes := 0
	for end := s.now + d; s.now < end; {
		if s.run(10 * ms); len(s.outcomes()) > 0 {
			break
		}
		for id, rows := range s.running {
			if len(rows) > 0 && rows[0].Task.Job == job {
				s.run(50 * ms)
				s.crash(id)
				crashes++
			}
		}
	}
	return crashes
}

// A task crashes its targets some ms after they have answered the start. Where they refuse connections
// then it costs two of them, as before; where nothing is heard of them it costs four.
func TestTaskThatCrashesItsTargetsAfterTheyAnswerIsGivenUp(t *testing.T) {
	for _, newNames := range []bool{false, true} {
		for refuses, crashes := range map[bool]int{true: 2, false: 4} {
			t.Run(fmt.Sprintf("newNames=%v,refuses=%v", newNames, refuses), func(t *testing.T) {
				s := newRefusingSim(t, 8)
				s.refuses, s.newNames = refuses, newNames
				s.submit(patientJob("j", 1, 20000))
				assert.Equal(t, s.crashAfterAnswers("j", 60*time.Second), crashes)
				assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets)
			})
		}
	}
}

// A target that is back in another incarnation before the lease of its run is over has crashed under it.
func TestCrashUnderTheLeaseOfARunCountsInFull(t *testing.T) {
	for _, newNames := range []bool{false, true} {
		s := newCrashSim(t, 4)
		s.newNames = newNames
		s.submit(patientJob("j", 1, 20000))
		for range 2 {
			s.runUntilBusy(1)
			for id, rows := range s.running {
				if len(rows) > 0 {
					s.crash(id)
					s.backAt[id] = s.now + 500*ms
				}
			}
			s.run(600 * ms)
		}
		s.run(10 * time.Second)
		assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets, "new names: %v", newNames)
	}
}

// A target was cut off at once after a start, and its connections are refused once the lease of the run
// is over.
func TestTargetThatRefusesConnectionsAfterTheLeaseOfItsRunIsWeakEvidence(t *testing.T) {
	for _, stored := range []bool{false, true} {
		for _, within := range []bool{false, true} {
			s := newRefusingSim(t, 4)
			j := patientJob("j", 1, 20000)
			if j.Stored = stored; stored {
				s.ownStored()
			}
			s.submit(j)
			s.runUntilBusy(1)
			for id, rows := range s.running {
				if len(rows) > 0 {
					s.crash(id)
				}
			}
			s.run(300 * ms)
			s.refuses = within
			s.run(500 * ms)
			s.refuses = true
			if s.run(50 * ms); stored {
				s.run(time.Second) // a best-effort task starts elsewhere meanwhile, and proves harmless
			}
			list := s.p.suspected["j"].tasks[0]
			assert.Assert(t, len(list) == 1, "%v", list)
			assert.DeepEqual(t, list[0], fleet.Suspicion{Target: list[0].Target, Incarnation: 1, Alone: true, Weak: !within})
		}
	}
}

// A target was lost and answers again in the same incarnation. Its next loss is judged by itself.
func TestTargetThatIsBackInReachIsJudgedAnew(t *testing.T) {
	for _, refused := range []bool{false, true} {
		s := newRefusingSim(t, 1)
		s.refuses = refused
		s.submit(patientJob("j", 1, 20000))
		s.runUntilBusy(1)
		id := s.list[0].ID
		s.backAt[id], s.running[id] = s.now+time.Minute, nil
		s.run(time.Second)
		assert.Assert(t, s.p.targets[id].lossSettled)
		delete(s.backAt, id)
		s.runUntilBusy(1)
		assert.Equal(t, len(s.p.suspected["j"].tasks), 0)
		s.refuses = false
		s.crash(id)
		s.run(time.Second)
		assert.DeepEqual(t, s.p.suspected["j"].tasks[0], []fleet.Suspicion{{Target: id, Incarnation: 1, Alone: true, Weak: true}})
	}
}

// The leader stood still while the lease of a run on a lost target expired, and goes on with an answer from
// there or a new row.
func TestNewsOfALostTargetAfterTheLeaseIsWeakEvidence(t *testing.T) {
	for _, news := range []string{"row", "answer of the next incarnation", "answer of another ID", "refusal"} {
		t.Run(news, func(t *testing.T) {
			s := newCrashSim(t, 4)
			s.submit(patientJob("j", 1, 20000))
			s.runUntilBusy(1)
			at := slices.IndexFunc(s.list, func(x fleet.Target) bool { return len(s.running[x.ID]) > 0 })
			id := s.list[at].ID
			s.crash(id)
			s.run(100 * ms)
			s.p.targets[id].nextAcquireAt = s.now
			s.tick(ms)
			holds := takeEffects[fleet.Hold](s.harness)
			hold := holds[slices.IndexFunc(holds, func(h fleet.Hold) bool { return h.Target.ID == id })]
			s.now += time.Second
			switch news {
			case "row":
				s.list[at].Incarnation++
				s.p.SetTargets(s.now, s.list)
			case "answer of the next incarnation":
				s.p.HoldDone(s.now, s.now, hold, fleet.HoldReply{Answer: fleet.Accepted, ClockMS: s.clock(), Incarnation: 2})
			case "answer of another ID":
				s.p.HoldDone(s.now, s.now, hold, fleet.HoldReply{Answer: fleet.OtherIncarnation})
			case "refusal":
				s.p.HoldDone(s.now, s.now, hold, fleet.HoldReply{Answer: fleet.Unanswered, ProcessGone: true})
			}
			s.p.Tick(s.now)
			list := s.p.suspected["j"].tasks[0]
			assert.Assert(t, len(list) == 1, "%v", list)
			assert.DeepEqual(t, list[0], fleet.Suspicion{Target: id, Incarnation: 1, Alone: true, Crashed: news != "refusal", Weak: true})
		})
	}
}

// Nothing listens at the wrong address that a row names, or another target does: that shows nothing of the process.
func TestWrongAddressDoesNotShowThatAProcessIsGone(t *testing.T) {
	for _, gone := range []bool{false, true} {
		b := newHarness(t, 2)
		_, on, other := runOn(b)
		x := b.p.targets[on.ID]
		x.processGone = gone
		on.Addr = other.Addr
		b.p.SetTargets(b.now, []fleet.Target{on, other})
		answers := []fleet.HoldReply{{Answer: fleet.OtherIncarnation}}
		if !gone {
			answers = append(answers, fleet.HoldReply{Answer: fleet.Unanswered, ProcessGone: true})
		}
		for _, rep := range answers {
			b.p.probe(x)
			for _, h := range takeEffects[fleet.Hold](b) {
				b.p.HoldDone(b.now, b.now, h, rep)
			}
			assert.Equal(t, x.processGone, gone, "%v", rep)
		}
	}
}
