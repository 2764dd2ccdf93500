package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
	"currantstall/internal/verdict"
)

// setRooms lists the harness's targets with the given CPU, in thousandths of a core.
func (b *harness) setRooms(cpu ...int64) {
	list := targetList(len(cpu))
	for i := range list {
		list[i].Capacity.MilliCPU = cpu[i]
	}
	b.p.SetTargets(b.now, list)
}

// running returns the report of a target on which the starts run.
func running(starts []fleet.Start) []fleet.Running {
	rows := make([]fleet.Running, len(starts))
	for i, s := range starts {
		rows[i] = fleet.Running{Task: s.Task, Run: s.Run, PercentDone: 1}
	}
	return rows
}

func TestShrunkRoomTakesNoStartOverIt(t *testing.T) {
	b := newHarness(t, 1)
	starts := b.submitAndStart(patientJob("a", 2, 14000))
	b.setRooms(20000)
	b.submit(patientJob("b", 1, 5000))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "28 of 20 cores are in use")
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0, "nothing is stopped for it")

	b.answerHold("t00", running(starts[1:]), []fleet.End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: fleet.EndDone}})
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1, "14 of 20 cores are in use")

	b.submit(patientJob("c", 1, 12000))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	b.setRooms(32000)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1, "it has grown again")
}

// What is being stopped still counts.
func TestShrunkRoomCountsWhatIsBeingStopped(t *testing.T) {
	b := newHarness(t, 1)
	b.submitAndStart(patientJob("a", 2, 14000))
	b.p.Cancel(b.now, "a")
	b.setRooms(16000)
	b.submit(patientJob("b", 1, 3000))
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Stop](b)), 2)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
}

func TestGangWaitsForShrunkRooms(t *testing.T) {
	b := newHarness(t, 2)
	b.submitAndStart(patientJob("a", 1, 20000))
	b.setRooms(16000, 32000)
	j := patientJob("g", 3, 12000)
	j.Steps[0].Gang = true
	b.submit(j)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0)
	b.setRooms(32000, 32000)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 3)
}

// A job that fits no target now, because rooms have shrunk, fits again when they have
// grown. It was failed for good.
func TestJobThatFitsGrownRoomsIsNotFailed(t *testing.T) {
	b := newHarness(t, 2)
	b.ownStored()
	b.setRooms(8000, 8000)
	kept := storedJob("kept", 1)
	kept.Steps[0].Needs.MilliCPU = 20000
	b.submit(kept)
	b.submit(jobOf("quick", queue("q", 0), 1, 20000, 60*ms))
	hopeless := patientJob("hopeless", 1, 40000)
	b.submit(hopeless)
	for range 50 {
		b.tick(20 * ms)
	}
	out := b.outcomes()
	assert.Equal(t, out["hopeless"].Reason, verdict.NeverFits)
	assert.Equal(t, out["quick"].Verdict, verdict.NotRun)
	assert.Assert(t, out["quick"].RetryAfter >= time.Second)
	state, _ := b.p.JobState("kept")
	assert.Equal(t, state, fleet.JobQueued)
	assert.Equal(t, len(takeEffects[jobstore.Save](b)), 0)

	b.setRooms(8000, 32000)
	b.tick(ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 1)
}

// What a target uses beyond its room is not taken from the room of another.
func TestUseOverOneRoomLeavesTheSpareOfOthers(t *testing.T) {
	b := newHarness(t, 2)
	b.submitAndStart(patientJob("a", 2, 14000))
	b.setRooms(10000, 32000)
	assert.Equal(t, b.p.Load().Spare(), int64(32000))
}

// roomAt is the room of a simulated target from a time on.
type roomAt struct {
	from time.Duration
	cpu  int64
}

// Rooms shrink and grow while targets crash, are cut off and change hands: no start brings
// a target over the room that it has. A start that arrives late counts against the largest
// room since it was sent.
func TestShrinkingRoomsAreRespectedUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFaultSim(t, rapid.IntRange(1, 4).Draw(t, "targets"))
		s.pools[0].BecomeLeader(s.now, 1)
		leader := 0
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0, 1, 2:
				id := fmt.Sprintf("j%d", i)
				j := jobOf(id, queue("q", 0), rapid.IntRange(1, 4).Draw(t, "tasks"), int64(rapid.IntRange(2000, 20000).Draw(t, "cpu")), 100*ms)
				j.Queue.Slack = time.Second
				s.needs[id], s.jobs[id] = j.Steps[0].Needs.MilliCPU, j
				s.pools[leader].Submit(s.now, Submit{Coordinator: "e", Job: j})
			case 3, 4, 5:
				s.resize(s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")], int64(rapid.IntRange(1, 40).Draw(t, "cores"))*1000)
			case 6:
				s.crash(s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")])
			case 7:
				s.changeLeader(leader)
				leader = 1 - leader
			case 8:
				x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")]
				x.cut[0], x.cut[1] = !x.cut[0], !x.cut[1]
			}
			s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 5 * time.Millisecond)
		}
	})
}

// resize changes the room of a target, of which both pools learn at once.
func (s *faultSim) resize(x *simTarget, cpu int64) {
	x.info.Capacity.MilliCPU = cpu
	x.rooms = append(x.rooms, roomAt{s.now, cpu})
	for i := range s.list {
		if s.list[i].ID == x.info.ID {
			s.list[i].Capacity = x.info.Capacity
		}
	}
	for _, p := range s.pools {
		p.SetTargets(s.now, s.list)
	}
}

// largestRoom returns the largest room of the target since a time.
func (x *simTarget) largestRoom(since time.Duration) int64 {
	largest := int64(0)
	for i, r := range x.rooms {
		if i+1 == len(x.rooms) || x.rooms[i+1].from > since {
			largest = max(largest, r.cpu)
		}
	}
	return largest
}
