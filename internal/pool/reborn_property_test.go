package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
)

// rebornSim is a faultSim whose targets restart with other rooms and earlier births. Leaders read the list of targets late.
type rebornSim struct {
	*faultSim
	first, last int64 // births
	rebornAt    map[*simTarget]time.Duration
	nextListAt  time.Duration
	lists       []lateList
}

// lateList is a list that arrives at a time.
type lateList struct {
	list []fleet.Target
	at   time.Duration
}

func newRebornSim(t *rapid.T) *rebornSim {
	const firstBirth = 1000
	s := &rebornSim{faultSim: newFaultSim(t, rapid.IntRange(1, 3).Draw(t, "targets")), first: firstBirth, last: firstBirth, rebornAt: map[*simTarget]time.Duration{}}
	s.withholds = true
	for i, x := range s.targets {
		x.info.Incarnation = firstBirth
		s.list[i] = x.info
	}
	for _, p := range s.pools {
		p.SetTargets(s.now, s.list)
	}
	return s
}

// rebirth restarts a target, but not twice within the time in which all have read the list.
func (s *rebornSim) rebirth(x *simTarget) {
	if s.now < s.rebornAt[x]+1500*ms {
		return
	}
	s.rebornAt[x] = s.now
	if s.last++; rapid.Bool().Draw(s.t, "clock set back") {
		s.last--
		s.first--
		x.info.Incarnation = s.first - 1 // crash adds 1
	} else {
		x.info.Incarnation = s.last - 1
	}
	x.info.Capacity.MilliCPU = rapid.SampledFrom([]int64{16000, 24000, 32000}).Draw(s.t, "room")
	x.rooms = []roomAt{{0, x.info.Capacity.MilliCPU}}
	s.crash(x)
}

// play advances the simulation. Both leaders read the list every 0.7 s.
func (s *rebornSim) play(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.advance(5 * ms)
		if s.now >= s.nextListAt {
			s.nextListAt = s.now + 700*ms
			s.lists = append(s.lists, lateList{slices.Clone(s.list), s.now + time.Duration(rapid.IntRange(1, 300).Draw(s.t, "list takes"))*ms})
		}
		for len(s.lists) > 0 && s.now >= s.lists[0].at {
			for _, p := range s.pools {
				p.SetTargets(s.now, s.lists[0].list)
			}
			s.lists = s.lists[1:]
		}
	}
}

// No target is started beyond the room of its present life, and no task has two runs, whichever lives follow each other; and each
// life is acquired.
func TestPropertyNextLivesOfTargetsKeepTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newRebornSim(t)
		s.pools[0].BecomeLeader(s.now, 1)
		leader := 0
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3:
				id := fmt.Sprintf("j%d", i)
				j := jobOf(id, queue("q", 0), rapid.IntRange(1, 4).Draw(t, "tasks"), int64(rapid.IntRange(8000, 20000).Draw(t, "cpu")), 100*ms)
				j.Queue.Slack = time.Second
				s.needs[id], s.jobs[id] = j.Steps[0].Needs.MilliCPU, j
				s.pools[leader].Submit(s.now, Submit{Coordinator: "e", Job: j})
			case 4:
				x.cut[0], x.cut[1] = !x.cut[0], !x.cut[1]
			case 5, 6, 7:
				s.rebirth(x)
			case 8:
				s.changeLeader(leader)
				leader = 1 - leader
			case 9:
				s.pools[leader].Abandon(s.now, "e", fmt.Sprintf("j%d", i-1))
			}
			s.play(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 5 * ms)
		}
		s.play(2 * time.Second)
		for _, x := range s.targets {
			x.cut = [2]bool{}
		}
		s.play(4 * time.Second)
		for _, x := range s.targets {
			known := s.pools[leader].targets[x.info.ID]
			assert.Assert(t, known.owned && known.Incarnation == x.info.Incarnation && known.Capacity == x.info.Capacity,
				"%s: owned %v, life %d of %d", x.info.ID, known.owned, known.Incarnation, x.info.Incarnation)
			assert.Equal(t, len(known.runs), 0, "%s keeps runs that are over", x.info.ID)
		}
	})
}
