package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// gangJob returns a job whose only step is a gang.
func gangJob(id string, tasks int, cpu int64) fleet.Job {
	j := jobOf(id, queue("q", 0), tasks, cpu, 60*ms)
	j.Steps[0].Gang = true
	return j
}

// endRun reports the end of a run by its target.
func (b *harness) endRun(s fleet.Start, number int64, kind fleet.EndKind, checkpoint string) {
	t := b.p.targets[s.Target.ID]
	b.p.sendHolds(b.now)
	assert.Assert(b.t, t.holds.wait != 0, "no hold of target %s waits for ends", t.ID)
	b.p.HoldDone(b.now, b.now, fleet.Hold{Number: t.holds.wait, Target: t.Target, Fence: t.fence}, fleet.HoldReply{
		Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: t.Incarnation,
		Ended: []fleet.End{{Number: number, Task: s.Task, Run: s.Run, Kind: kind, Checkpoint: checkpoint}},
	})
}

func TestGangStartsAllOrNothing(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(jobOf("small", queue("q", 0), 1, 20000, time.Second))
	b.tick(ms)
	assert.Equal(t, len(b.acceptStarts()), 1)
	b.submit(gangJob("gang", 4, 14000))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "only two of four tasks fit")
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU+b.p.targets["t01"].used.MilliCPU, int64(20000))

	b.p.Cancel(b.now, "small")
	for _, s := range takeEffects[fleet.Stop](b) {
		b.p.StopDone(b.now, s, fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	}
	b.tick(ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		b.acceptHold(h, nil, nil)
	}
	b.tick(ms)
	starts := b.acceptStarts()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Run, starts[0].Run)
	}
}

func TestOneCompletedMemberCompletesGang(t *testing.T) {
	b := newHarness(t, 2)
	starts := b.submitAndStart(gangJob("gang", 4, 14000))
	b.tick(60 * ms)
	for i, s := range starts {
		b.endRun(s, int64(i+1), fleet.EndDone, "")
	}
	assert.Equal(t, b.outcomes()["gang"].Verdict, verdict.Completed)
	b.tick(ms)
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU, int64(0))
	assert.Equal(t, b.p.targets["t01"].used.MilliCPU, int64(0))
}

func TestGangRestartsFromCheckpointAfterLosingMember(t *testing.T) {
	b := newHarness(t, 2)
	starts := b.submitAndStart(gangJob("gang", 2, 14000))
	b.tick(10 * ms)
	b.endRun(starts[0], 1, fleet.EndInterrupted, "c-7")
	stops := takeEffects[fleet.Stop](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, starts[1].Task)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "one member is still running")
	b.endRun(starts[1], 2, fleet.EndInterrupted, "")
	b.tick(ms)
	again := b.acceptStarts()
	assert.Equal(t, len(again), 2)
	for _, s := range again {
		assert.Equal(t, s.Checkpoint, "c-7")
		assert.Assert(t, s.Run == again[0].Run && s.Run > starts[0].Run)
	}
}

func TestGangFailureCountsOncePerRun(t *testing.T) {
	b := newHarness(t, 2)
	b.submit(gangJob("gang", 2, 14000)) // two attempts
	for range 2 {
		assert.Equal(t, len(b.ended), 0)
		b.tick(ms)
		for i, s := range b.acceptStarts() {
			b.endRun(s, b.p.targets[s.Target.ID].lastEnd+int64(i)+1, fleet.EndFailed, "")
		}
		b.outcomes()
	}
	assert.Equal(t, b.ended["gang"].Verdict, verdict.Failed)
}

func TestGangPrefersOneRack(t *testing.T) {
	b := newHarness(t, 4)
	list := targetList(4)
	for i := range list {
		list[i].Labels = []string{"kind", []string{"r1", "r2", "r2", "r3"}[i]}
	}
	b.p.SetTargets(b.now, list)
	j := gangJob("gang", 4, 14000)
	j.Steps[0].SameRack = true
	for _, s := range b.submitAndStart(j) {
		assert.Equal(t, s.Target.Rack(), "r2")
	}
}

func TestNextRunStartsFromCheckpoint(t *testing.T) {
	b := newHarness(t, 1)
	s := b.submitAndStart(jobOf("j", queue("q", 0), 1, 14000, time.Second))[0]
	b.tick(100 * ms)
	b.answerHold("t00", []fleet.Running{{Task: s.Task, Run: s.Run, PercentDone: 30, Checkpoint: "c-1"}}, nil)
	b.endRun(s, 1, fleet.EndInterrupted, "")
	b.tick(ms)
	again := b.acceptStarts()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Checkpoint, "c-1")
}

func TestLongRunningTaskRestartsAfterEveryEnd(t *testing.T) {
	b := newHarness(t, 1)
	b.ownStored()
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	b.submit(j)
	for i, kind := range []fleet.EndKind{fleet.EndFailed, fleet.EndDone, fleet.EndInterrupted, fleet.EndFailed, fleet.EndFailed} {
		b.tick(ms)
		starts := b.acceptStarts()
		assert.Equal(t, len(starts), 1, "after %d ends", i)
		b.tick(5 * time.Second)
		b.endRun(starts[0], int64(i+1), kind, "")
	}
	state, known := b.p.JobState("j")
	assert.Assert(t, known)
	assert.Equal(t, state, fleet.JobRunning)
	b.p.Cancel(b.now, "j")
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}
