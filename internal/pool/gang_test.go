package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

func gangOf(id string, tasks int, cpu int64) fleet.Job {
	j := jobOf(id, queue("q", 0), tasks, cpu, 60*ms)
	j.Steps[0].Gang = true
	return j
}

// end reports the end of a run at its target.
func (b *bench) end(s fleet.Start, number int64, kind fleet.EndKind, checkpoint string) {
	t := b.p.targets[s.Target.ID]
	b.p.HoldDone(b.now, b.now, fleet.Hold{Target: t.Target, Fence: t.fence, Wait: 1}, fleet.HoldReply{
		Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: t.Incarnation,
		Ended: []fleet.End{{Number: number, Task: s.Task, Run: s.Run, Kind: kind, Checkpoint: checkpoint}},
	})
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	b := newBench(t, 2)
	b.submit(jobOf("small", queue("q", 0), 1, 20000, time.Second))
	b.tick(ms)
	assert.Equal(t, len(b.startAll()), 1)
	b.submit(gangOf("gang", 4, 14000))
	b.tick(ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0, "only two of four places are free")
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU+b.p.targets["t01"].used.MilliCPU, int64(20000))

	b.p.Cancel(b.now, "small")
	for _, s := range take[fleet.Stop](b) {
		b.p.StopDone(b.now, s, fleet.Reply{Answer: fleet.Accepted, ClockMS: b.clock(), Incarnation: 1})
	}
	b.tick(ms)
	for _, h := range take[fleet.Hold](b) {
		b.hold(h, nil, nil)
	}
	b.tick(ms)
	starts := b.startAll()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Run, starts[0].Run)
	}
}

func TestEndOfOneStandsForTheGang(t *testing.T) {
	b := newBench(t, 2)
	starts := b.run(gangOf("gang", 4, 14000))
	b.tick(60 * ms)
	for i, s := range starts {
		b.end(s, int64(i+1), fleet.EndDone, "")
	}
	assert.Equal(t, b.outcomes()["gang"].Verdict, verdict.Completed)
	b.tick(ms)
	assert.Equal(t, b.p.targets["t00"].used.MilliCPU, int64(0))
	assert.Equal(t, b.p.targets["t01"].used.MilliCPU, int64(0))
}

func TestGangWithoutAMemberIsStoppedAndStartsAgainFromACheckpoint(t *testing.T) {
	b := newBench(t, 2)
	starts := b.run(gangOf("gang", 2, 14000))
	b.tick(10 * ms)
	b.end(starts[0], 1, fleet.EndInterrupted, "c-7")
	stops := take[fleet.Stop](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, starts[1].Task)
	b.tick(ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0, "one of it still runs")
	b.end(starts[1], 2, fleet.EndInterrupted, "")
	b.tick(ms)
	again := b.startAll()
	assert.Equal(t, len(again), 2)
	for _, s := range again {
		assert.Equal(t, s.Checkpoint, "c-7")
		assert.Assert(t, s.Run == again[0].Run && s.Run > starts[0].Run)
	}
}

func TestGangFailsAsOne(t *testing.T) {
	b := newBench(t, 2)
	b.submit(gangOf("gang", 2, 14000)) // two attempts
	for range 2 {
		assert.Equal(t, len(b.ended), 0)
		b.tick(ms)
		for i, s := range b.startAll() {
			b.end(s, b.p.targets[s.Target.ID].seen+int64(i)+1, fleet.EndFailed, "")
		}
		b.outcomes()
	}
	assert.Equal(t, b.ended["gang"].Verdict, verdict.Failed)
}

func TestGangSharesARackWhereOneHasTheRoom(t *testing.T) {
	b := newBench(t, 4)
	list := targetList(4)
	for i := range list {
		list[i].Labels = []string{"kind", []string{"r1", "r2", "r2", "r3"}[i]}
	}
	b.p.SetTargets(b.now, list)
	j := gangOf("gang", 4, 14000)
	j.Steps[0].SameRack = true
	for _, s := range b.run(j) {
		assert.Equal(t, s.Target.Rack(), "r2")
	}
}

func TestCheckpointIsCarriedOver(t *testing.T) {
	b := newBench(t, 1)
	s := b.run(jobOf("j", queue("q", 0), 1, 14000, time.Second))[0]
	b.tick(100 * ms)
	b.report("t00", []fleet.Running{{Task: s.Task, Run: s.Run, PercentDone: 30, Checkpoint: "c-1"}}, nil)
	b.end(s, 1, fleet.EndInterrupted, "")
	b.tick(ms)
	again := b.startAll()
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Checkpoint, "c-1")
}

func TestLastingTaskStartsAgainHoweverItEnds(t *testing.T) {
	b := newBench(t, 1)
	b.ownStored()
	j := storedJob("j", 1)
	j.Steps[0].LongRunning = true
	b.submit(j)
	for i, kind := range []fleet.EndKind{fleet.EndFailed, fleet.EndDone, fleet.EndInterrupted, fleet.EndFailed, fleet.EndFailed} {
		b.tick(ms)
		starts := b.startAll()
		assert.Equal(t, len(starts), 1, "after %d ends", i)
		b.tick(5 * time.Second)
		b.end(starts[0], int64(i+1), kind, "")
	}
	state, known := b.p.JobState("j")
	assert.Assert(t, known)
	assert.Equal(t, state, fleet.JobRunning)
	b.p.Cancel(b.now, "j")
	b.tick(ms)
	assert.Equal(t, len(take[fleet.Start](b)), 0)
}
