package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/rapidtest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 300) }

// faultSim simulates targets that obey the orders of two owners, lose answers, carry out
// orders late and crash. It fails the test when an invariant is violated.
type faultSim struct {
	t             *rapid.T
	now           time.Duration
	pools         []*Pool
	targets       []*simTarget
	list          []fleet.Target
	delayedStarts []func()
	delayedUntil  []time.Duration
	holds         []pendingHold
	ended         []map[string]fleet.Outcome
	started       map[string]bool
	needs         map[string]int64
	rejected      map[string]int
	jobs          map[string]fleet.Job
	// coordinated is set if a coordinator decides which owner's answer counts for a job.
	coordinated  bool
	longestRunMS int
	// withholds is set if orders are sent only to the life of a target that they name.
	withholds bool
}

// pendingHold is a hold that was not answered yet.
type pendingHold struct {
	owner int
	sent  time.Duration
	hold  fleet.Hold
	due   time.Duration
}

// simTarget is a simulated target.
type simTarget struct {
	info  fleet.Target
	base  time.Duration // when its clock was 0
	fence uint64
	lease int64
	runs  map[fleet.TaskID]simRun
	dead  map[fleet.TaskID]int // highest run number that has ended or was stopped, by task
	ends  []fleet.End
	rooms []roomAt
	cut   [2]bool // whether it is unreachable, by owner
	muted [2]bool // whether it gets orders and its answers are lost, by owner
}

// simRun is a run in progress.
type simRun struct {
	n   int
	end time.Duration
}

func newFaultSim(t *rapid.T, targets int) *faultSim {
	s := &faultSim{
		t: t, now: 5 * time.Second, started: map[string]bool{}, needs: map[string]int64{}, rejected: map[string]int{}, jobs: map[string]fleet.Job{},
		ended: []map[string]fleet.Outcome{{}, {}}, longestRunMS: 600,
	}
	for i := range targets {
		info := fleet.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Addr: "a", Incarnation: 1, Capacity: structs.Resources{MilliCPU: 32000, MemoryMB: 1 << 17}}
		s.targets = append(s.targets, &simTarget{info: info, rooms: []roomAt{{0, info.Capacity.MilliCPU}}, runs: map[fleet.TaskID]simRun{}, dead: map[fleet.TaskID]int{}})
		s.list = append(s.list, info)
	}
	for range 2 {
		p := New(DefaultSettings(), nil)
		p.SetTargets(s.now, s.list)
		s.pools = append(s.pools, p)
	}
	return s
}

func (s *faultSim) target(id string) *simTarget {
	for _, t := range s.targets {
		if t.info.ID == id {
			return t
		}
	}
	return nil
}

func (x *simTarget) clock(now time.Duration) int64 { return (now - x.base).Milliseconds() }

// advance advances the simulation in steps of 5 ms.
func (s *faultSim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 5 * time.Millisecond
		s.runTargets()
		for i := 0; i < len(s.delayedStarts); {
			if s.now >= s.delayedUntil[i] {
				f := s.delayedStarts[i]
				s.delayedStarts = append(s.delayedStarts[:i:i], s.delayedStarts[i+1:]...)
				s.delayedUntil = append(s.delayedUntil[:i:i], s.delayedUntil[i+1:]...)
				f()
				continue
			}
			i++
		}
		for owner, p := range s.pools {
			p.Tick(s.now)
			s.perform(owner)
		}
		s.answerHolds()
	}
}

func (s *faultSim) runTargets() {
	for _, x := range s.targets {
		for task, r := range x.runs {
			kind := fleet.EndKind(0)
			if s.now >= r.end {
				kind = fleet.EndDone
			} else if x.clock(s.now) > x.lease {
				kind = fleet.EndInterrupted
			}
			if kind != 0 {
				x.finish(task, r.n, kind)
			}
		}
	}
}

func (x *simTarget) finish(task fleet.TaskID, n int, kind fleet.EndKind) {
	delete(x.runs, task)
	x.dead[task] = max(x.dead[task], n)
	x.ends = append(x.ends, fleet.End{Number: int64(len(x.ends) + 1), Task: task, Run: n, Kind: kind})
}

// perform carries out the effects of an owner's pool.
func (s *faultSim) perform(owner int) {
	p := s.pools[owner]
	for _, e := range p.Effects() {
		switch e := e.(type) {
		case fleet.Start:
			s.start(owner, e)
		case fleet.Stop:
			x := s.target(e.Target.ID)
			rep := fleet.Reply{Answer: fleet.Unanswered}
			switch {
			case x.cut[owner]:
			case s.withheld(x, &e.Target):
				rep = fleet.Reply{Answer: fleet.Unreachable, Incarnation: x.info.Incarnation}
			default:
				rep = fleet.Reply{Answer: s.doStop(x, e), ClockMS: x.clock(s.now), Incarnation: x.info.Incarnation}
			}
			if x.muted[owner] {
				rep = fleet.Reply{Answer: fleet.Unanswered}
			}
			p.StopDone(s.now, e, rep)
		case fleet.Hold:
			s.holds = append(s.holds, pendingHold{owner, s.now, e, s.now + e.Wait})
		case Ended:
			if e.Outcome.Verdict == verdict.NotRun {
				s.rejected[e.Job]++
				assert.Assert(s.t, s.coordinated || !s.started[e.Job], "%s was rejected but had run", e.Job)
			}
			s.ended[owner][e.Job] = e.Outcome
		}
	}
}

// start carries out a start, or loses its answer, or delays it.
func (s *faultSim) start(owner int, o fleet.Start) {
	x := s.target(o.Target.ID)
	p := s.pools[owner]
	fate := rapid.IntRange(0, 19).Draw(s.t, "fate of a start")
	unanswered := fleet.Reply{Answer: fleet.Unanswered}
	switch {
	case x.cut[owner]:
		p.StartDone(s.now, o, unanswered)
	case s.withheld(x, &o.Target):
		p.StartDone(s.now, o, fleet.Reply{Answer: fleet.Unreachable, Incarnation: x.info.Incarnation})
	case fate == 0 || x.muted[owner]: // carried out, its answer lost
		s.doStart(x, o, s.now)
		p.StartDone(s.now, o, unanswered)
	case fate == 1: // carried out late
		sent := s.now
		s.delayedStarts = append(s.delayedStarts, func() {
			if o.Target.Incarnation == x.info.Incarnation { // the order names its incarnation
				s.doStart(x, o, sent)
			}
		})
		s.delayedUntil = append(s.delayedUntil, s.now+time.Duration(rapid.IntRange(50, 4000).Draw(s.t, "late by"))*time.Millisecond)
		p.StartDone(s.now, o, unanswered)
	default:
		p.StartDone(s.now, o, fleet.Reply{Answer: s.doStart(x, o, s.now), ClockMS: x.clock(s.now), Incarnation: x.info.Incarnation})
	}
}

func (s *faultSim) doStart(x *simTarget, o fleet.Start, sent time.Duration) fleet.Answer {
	if o.Fence < x.fence {
		return fleet.Fenced
	}
	x.fence = o.Fence
	if o.LeaseUntilMS <= x.clock(s.now) {
		return fleet.TooLate
	}
	x.lease = max(x.lease, min(o.LeaseUntilMS, x.clock(s.now)+1000))
	if r, ok := x.runs[o.Task]; ok && r.n == o.Run {
		return fleet.Accepted
	}
	if o.Run <= x.dead[o.Task] {
		return fleet.StaleRun
	}
	used := s.needs[o.Task.Job]
	for task := range x.runs {
		used += s.needs[task.Job]
	}
	assert.Assert(s.t, used <= x.largestRoom(sent), "%s exceeds its capacity", x.info.ID)
	for _, other := range s.targets {
		_, twice := other.runs[o.Task]
		assert.Assert(s.t, !twice, "%v runs on %s and %s at %v", o.Task, other.info.ID, x.info.ID, s.now)
	}
	s.started[o.Task.Job] = true
	takes := time.Duration(rapid.IntRange(20, s.longestRunMS).Draw(s.t, "takes")) * time.Millisecond
	x.runs[o.Task] = simRun{o.Run, s.now + takes}
	return fleet.Accepted
}

func (s *faultSim) doStop(x *simTarget, o fleet.Stop) fleet.Answer {
	if o.Fence < x.fence {
		return fleet.Fenced
	}
	x.fence = o.Fence
	x.dead[o.Task] = max(x.dead[o.Task], o.Run)
	if r, ok := x.runs[o.Task]; ok && r.n <= o.Run {
		x.finish(o.Task, r.n, fleet.EndInterrupted)
	}
	return fleet.Accepted
}

// answerHolds answers the holds that are due.
func (s *faultSim) answerHolds() {
	var rest []pendingHold
	for _, h := range s.holds {
		x := s.target(h.hold.Target.ID)
		p := s.pools[h.owner]
		unread := len(x.ends) > int(h.hold.AckedEnd)
		switch {
		case !x.cut[h.owner] && (h.hold.LeaseUntilMS != 0 || h.hold.AckedEnd != 0) && s.withheld(x, &h.hold.Target):
			p.HoldDone(s.now, h.sent, h.hold, fleet.HoldReply{Answer: fleet.Unanswered, Incarnation: x.info.Incarnation})
		case x.cut[h.owner] || x.muted[h.owner]:
			if !x.cut[h.owner] && h.hold.Fence >= x.fence {
				x.fence = h.hold.Fence
				x.lease = max(x.lease, min(h.hold.LeaseUntilMS, x.clock(s.now)+1000))
			}
			if s.now < h.due+200*time.Millisecond {
				rest = append(rest, h)
				continue
			}
			p.HoldDone(s.now, h.sent, h.hold, fleet.HoldReply{Answer: fleet.Unanswered})
		case h.hold.Fence < x.fence:
			p.HoldDone(s.now, h.sent, h.hold, fleet.HoldReply{Answer: fleet.Fenced, ClockMS: x.clock(s.now), Incarnation: x.info.Incarnation})
		default:
			x.fence = h.hold.Fence
			x.lease = max(x.lease, min(h.hold.LeaseUntilMS, x.clock(s.now)+1000))
			if !unread && s.now < h.due {
				rest = append(rest, h)
				continue
			}
			rep := fleet.HoldReply{Answer: fleet.Accepted, ClockMS: x.clock(s.now), Incarnation: x.info.Incarnation}
			for task, r := range x.runs {
				rep.Running = append(rep.Running, fleet.Running{Task: task, Run: r.n, PercentDone: 50})
			}
			if unread {
				rep.Ended = x.ends[h.hold.AckedEnd:]
			}
			p.HoldDone(s.now, h.sent, h.hold, rep)
		}
	}
	s.holds = rest
}

// withheld reports whether an order for a life of a target is not sent to the present one.
func (s *faultSim) withheld(x *simTarget, to *fleet.Target) bool {
	return s.withholds && to.Incarnation != x.info.Incarnation
}

// crash restarts a target as a new incarnation without runs.
func (s *faultSim) crash(x *simTarget) {
	x.info.Incarnation++
	x.base, x.fence, x.lease, x.ends = s.now, 0, 0, nil
	x.runs, x.dead = map[fleet.TaskID]simRun{}, map[fleet.TaskID]int{}
	for i := range s.list {
		if s.list[i].ID == x.info.ID {
			s.list[i] = x.info
		}
	}
}

// Under lost and late messages, network cuts and takeovers: no target exceeds its
// capacity, no task has two runs at the same time, and no rejected job has run.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFaultSim(t, rapid.IntRange(1, 4).Draw(t, "targets"))
		s.pools[0].BecomeLeader(s.now, 1)
		leader := 0
		for i := range rapid.IntRange(5, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				id := fmt.Sprintf("j%d", i)
				j := jobOf(id, queue("q", 0), rapid.IntRange(1, 4).Draw(t, "tasks"), int64(rapid.IntRange(8000, 20000).Draw(t, "cpu")), 100*ms)
				j.Queue.Slack = time.Second
				s.needs[id], s.jobs[id] = j.Steps[0].Needs.MilliCPU, j
				s.pools[leader].Submit(s.now, Submit{Coordinator: "e", Job: j})
			case 5:
				x := s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")]
				x.cut[0], x.cut[1] = !x.cut[0], !x.cut[1]
			case 6:
				s.crash(s.targets[rapid.IntRange(0, len(s.targets)-1).Draw(t, "target")])
			case 7:
				s.changeLeader(leader)
				leader = 1 - leader
			case 8:
				for _, p := range s.pools {
					p.SetTargets(s.now, s.list)
				}
			case 9:
				s.pools[leader].Abandon(s.now, "e", fmt.Sprintf("j%d", i-1))
			}
			s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "pause")) * 5 * time.Millisecond)
		}
		s.advance(2 * time.Second)
	})
}

// changeLeader makes the other owner the leader and resubmits to it the jobs that have
// not ended.
func (s *faultSim) changeLeader(from int) {
	to := 1 - from
	s.pools[from].StepDown()
	s.pools[to].BecomeLeader(s.now, s.pools[from].lastFence)
	for i := range 50 {
		id := fmt.Sprintf("j%d", i)
		j, known := s.jobs[id]
		if _, over := s.ended[from][id]; !known || over {
			continue
		}
		delete(s.ended[to], id)
		s.pools[to].Submit(s.now, Submit{Coordinator: "e", Job: j, MayHaveRun: true})
	}
}
