package pool

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// recallSim simulates an owner of the stored jobs that has lost a target, the leaders that take it in turn, its row in the
// store, and the target, whose clock is slow and which ends runs with their leases only. Calls are slow or lost.
type recallSim struct {
	t        *rapid.T
	now      time.Duration
	owner    *Pool
	next     *Pool // the leader that has the target now
	lost     string
	running  []fleet.Running
	lease    int64 // on the target, in ms of its clock
	fence    uint64
	rate     float64 // of the target's clock
	endedAt  time.Duration
	longest  time.Duration // of a call to the store or the target, one way
	slowest  time.Duration // of a write of the owner's row, one way
	slowRead time.Duration // of a read of it, one way
	lossRate int           // percent of calls that are lost
	calls    []simCall
	holds    map[*Pool]int // granted leases that arrived, by leader

	recallFrom     time.Duration // writes that the owner sends from then on show the recall
	row            bool          // whether the owner's row shows the recall
	writing        bool
	lastRecall     bool // the last write that the owner has sent shows the recall
	nextWriteAt    time.Duration
	lastWriteAt    time.Duration
	nextReadAt     time.Duration
	reading        bool
	startedAt      time.Duration
	startWhileRuns bool
}

// simCall is a part of a call that takes effect at a time.
type simCall struct {
	at time.Duration
	do func()
}

// after carries out a part of a call after the time that one way takes.
func (s *recallSim) after(do func()) { s.within(s.longest, do) }

func (s *recallSim) within(longest time.Duration, do func()) {
	ms := rapid.IntRange(1, int(longest.Milliseconds())).Draw(s.t, "takes")
	s.calls = append(s.calls, simCall{s.now + time.Duration(ms)*time.Millisecond, do})
}

func (s *recallSim) lostCall() bool { return rapid.IntRange(1, 100).Draw(s.t, "lost") <= s.lossRate }

func (s *recallSim) clock() int64 {
	return 10_000 + int64(float64(s.now.Milliseconds()-10_000)*s.rate)
}

func (s *recallSim) runCalls() {
	for i := 0; i < len(s.calls); {
		if c := s.calls[i]; c.at <= s.now {
			s.calls = append(s.calls[:i:i], s.calls[i+1:]...)
			c.do()
			continue
		}
		i++
	}
}

// write renews the ownership, as jobstore.Owner does.
func (s *recallSim) write() {
	sent, recall := s.now, s.recallFrom != 0 && s.now >= s.recallFrom
	due := s.now >= s.nextWriteAt || recall && s.lastWriteAt < s.recallFrom || !recall && s.lastRecall
	if s.writing || !due {
		return
	}
	s.writing, s.lastRecall = true, recall
	s.lastWriteAt, s.nextWriteAt = sent, sent+300*ms
	var attempt func()
	attempt = func() {
		if s.lostCall() {
			s.within(s.slowest, attempt)
			return
		}
		s.row = recall
		s.after(func() {
			s.writing = false
			s.owner.RenewStored(sent, sent+jobstore.StartLease)
		})
	}
	s.within(s.slowest, attempt)
}

// read reads the row for the leader that has the target.
func (s *recallSim) read() {
	if s.reading || s.now < s.nextReadAt {
		return
	}
	s.reading = true
	sent, reader, lost := s.now, s.next, s.lostCall()
	s.within(s.slowRead, func() {
		recall := s.row
		s.within(s.slowRead, func() {
			s.reading, s.nextReadAt = false, s.now+150*ms
			if !lost && !recall {
				reader.KeepStoredUntil(sent + jobstore.KeepLease)
			}
		})
	})
}

// perform carries out the effects of a pool. The owner does not reach the lost target.
func (s *recallSim) perform(p *Pool) {
	for _, e := range p.Effects() {
		switch e := e.(type) {
		case fleet.Hold:
			s.hold(p, e)
		case RecallStored:
			if s.recallFrom = e.From; e.From != 0 {
				s.recallFrom = max(e.From, s.now+1)
				p.StoredRecalledFrom(s.recallFrom)
			}
		case fleet.Start:
			if e.Target.ID != s.lost && s.startedAt == 0 {
				s.startedAt, s.startWhileRuns = s.now, s.running != nil
			}
		}
	}
}

func (s *recallSim) hold(p *Pool, h fleet.Hold) {
	sent := s.now
	answer := func(rep fleet.HoldReply) {
		s.after(func() { p.HoldDone(s.now, sent, h, rep) })
	}
	if h.Target.ID != s.lost {
		answer(fleet.HoldReply{Answer: fleet.Accepted, ClockMS: s.now.Milliseconds(), Incarnation: 1})
		return
	}
	if p == s.owner || s.lostCall() {
		s.calls = append(s.calls, simCall{s.now + 400*ms, func() { p.HoldDone(s.now, sent, h, fleet.HoldReply{}) }})
		return
	}
	s.after(func() {
		if h.Fence < s.fence {
			answer(fleet.HoldReply{Answer: fleet.Fenced, ClockMS: s.clock(), Incarnation: 1})
			return
		}
		s.fence = h.Fence
		if h.LeaseUntilMS > s.lease && s.running != nil {
			s.lease = h.LeaseUntilMS
			s.holds[p]++
		}
		answer(fleet.HoldReply{Answer: fleet.Accepted, ClockMS: s.clock(), Incarnation: 1, Running: s.running})
	})
}

// step advances all by 5 ms. The target takes as long as it may to end a run.
func (s *recallSim) step() {
	s.now += 5 * ms
	if s.running != nil && s.clock() > s.lease+timeToEnd.Milliseconds()-5 {
		s.running, s.endedAt = nil, s.now
	}
	s.runCalls()
	s.write()
	for _, p := range []*Pool{s.owner, s.next} {
		p.Tick(s.now)
		s.perform(p)
	}
	s.read()
}

// newLeader makes another leader take the target.
func (s *recallSim) newLeader() {
	s.next = New(DefaultSettings(), nil)
	s.next.SetTargets(s.now, targetList(2))
	s.next.ExpectStored()
	s.next.BecomeLeader(s.now, s.fence+1<<20)
	s.reading, s.nextReadAt = false, s.now
}

// newRecallSim returns a simulation of an owner that starts a job and loses its target.
func newRecallSim(t *rapid.T, j fleet.Job) *recallSim {
	s := &recallSim{t: t, now: 10 * time.Second, rate: 1, holds: map[*Pool]int{}, owner: New(DefaultSettings(), nil)}
	s.longest = time.Duration(rapid.SampledFrom([]int{5, 30, 100}).Draw(t, "longest")) * time.Millisecond
	s.slowRead = time.Duration(rapid.SampledFrom([]int{5, 100, 300}).Draw(t, "slowest read")) * time.Millisecond
	s.slowest = time.Duration(rapid.SampledFrom([]int{5, 100, 400}).Draw(t, "slowest")) * time.Millisecond
	s.lossRate = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "loss rate")
	b := &harness{t: &testing.T{}, p: s.owner, now: s.now, ended: map[string]fleet.Outcome{}, resubmitted: map[string]bool{}}
	b.p.SetTargets(b.now, targetList(2))
	b.p.BecomeLeader(b.now, 1)
	b.acquireTargets()
	b.p.ExpectStored()
	b.p.TakeOverStored(b.now, b.now, 1, nil)
	b.p.RenewStored(b.now, b.now+jobstore.StartLease)
	start := b.submitAndStart(j)[0]
	s.now = b.now
	s.rate = rapid.SampledFrom([]float64{1, 1 - maxClockDrift}).Draw(t, "rate")
	s.lost, s.lease, s.fence = start.Target.ID, start.LeaseUntilMS, start.Fence
	s.running = []fleet.Running{{Task: start.Task, Run: start.Run}}
	b.p.Effects()
	s.nextWriteAt = s.now + 300*ms
	return s
}

// playUntilStart advances all, with leaders in turn, until the task is started again.
func (s *recallSim) playUntilStart(limit time.Duration) {
	draw := func() time.Duration {
		return s.now + time.Duration(rapid.IntRange(300, 6000).Draw(s.t, "leads"))*time.Millisecond
	}
	leads := draw()
	for s.startedAt == 0 && s.now < limit {
		if s.step(); s.now >= leads {
			s.newLeader()
			leads = draw()
		}
	}
}
