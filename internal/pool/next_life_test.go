package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A start was unanswered, its target crashed, and the next incarnation got the start: no target
// has crashed under the task.
func TestStartThatReachesTheNextIncarnationIsNoCrash(t *testing.T) {
	s := newCrashSim(t, 2)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	s.replyStart(o, fleet.Unanswered)
	s.crash(o.Target.ID)
	s.backAt[o.Target.ID] = s.now + 100*ms
	s.run(90 * ms)
	s.running[o.Target.ID] = []fleet.Running{{Task: o.Task, Run: o.Run, PercentDone: 1}}
	s.until[runKey{o.Task, o.Run}] = s.now + 300*ms
	s.run(100 * ms)
	assert.Assert(t, s.p.targets[o.Target.ID].Incarnation == 2)
	crashed := 0
	for _, list := range s.p.suspected["j"].tasks {
		for _, x := range list {
			if x.Crashed {
				crashed++
			}
		}
	}
	assert.Equal(t, crashed, 0)
	s.crash(o.Target.ID) // the first crash under it
	s.run(20 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Verdict, verdict.Completed)
}

// The same with a stored job: the record of its job still names the crash, for the next owner.
func TestStartThatReachesTheNextIncarnationIsNoCrashInTheRecord(t *testing.T) {
	s := newCrashSim(t, 2)
	s.ownStored()
	j := patientJob("j", 1, 20000)
	j.Stored = true
	s.submit(j)
	s.run(0)
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	s.replyStart(o, fleet.Unanswered)
	s.crash(o.Target.ID)
	s.backAt[o.Target.ID] = s.now + 100*ms
	s.run(90 * ms)
	s.running[o.Target.ID] = []fleet.Running{{Task: o.Task, Run: o.Run, PercentDone: 1}}
	s.until[runKey{o.Task, o.Run}] = s.now + 300*ms
	s.run(100 * ms)
	assert.Equal(t, s.p.targets[o.Target.ID].Incarnation, int64(2))
	assert.Equal(t, len(lastSave(s.harness).Record.Suspicions), 0)
}

// A start met the next life of its target, and was not sent. Its task kept its room there and waited until that life
// was acquired, though it had run nowhere.
func TestStartThatIsWithheldFromTheNextLifeGoesElsewhere(t *testing.T) {
	s := newCrashSim(t, 2)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	s.p.StartDone(s.now, o, fleet.Reply{Answer: fleet.Unreachable, Incarnation: 2})
	assert.Equal(t, s.p.targets[o.Target.ID].Incarnation, int64(2))
	assert.Equal(t, len(s.p.targets[o.Target.ID].runs), 0)
	s.tick(ms)
	again := takeEffects[fleet.Start](s.harness)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Target.ID != o.Target.ID)
	assert.Assert(t, s.p.suspected["j"] == nil, "a target was said to be lost under it")
}

// Starts for a life that the list tells of, while another one answers, went out again and again without a pause.
func TestWithheldStartsArePaused(t *testing.T) {
	s := newCrashSim(t, 1)
	s.submit(patientJob("j", 1, 20000))
	s.tick(ms)
	o := takeEffects[fleet.Start](s.harness)[0]
	was := o.Target.Incarnation
	s.p.targets[o.Target.ID].Incarnation = was + 5 // as if acquired in that life
	starts := 0
	for range 100 {
		s.p.StartDone(s.now, o, fleet.Reply{Answer: fleet.Unreachable, Incarnation: was})
		s.tick(ms)
		again := takeEffects[fleet.Start](s.harness)
		starts += len(again)
		if len(again) > 0 {
			o = again[0]
		}
	}
	assert.Assert(t, starts <= 3, "%d starts within 100 ms", starts)
}
