package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// lostTargetCase is what a target shows from its loss on.
type lostTargetCase struct {
	reply func(now time.Duration) fleet.HoldReply // to holds; the time counts from the loss
	row   func(now time.Duration) uint64          // version of its row, 0 if it is gone
	start time.Duration                           // when its task is started elsewhere, 0 for never
}

// rowReads is the time between two reads of the platform's list, rowWrites between two writes of a row.
const rowReads, rowWrites = 700 * ms, 1500 * ms

func notConnected(time.Duration) fleet.HoldReply {
	return fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.NotConnected}
}

func connected(time.Duration) fleet.HoldReply {
	return fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected}
}

// Guards against a second run of a task whose target can't be connected to, and stands still: it is behind a cut, or suspended
// with its VM.
func TestRunOnATargetThatCantBeConnectedToStaysOpenWithoutEvidence(t *testing.T) {
	standsStill := func(time.Duration) uint64 { return 1 }
	writesFrom := func(from time.Duration) func(time.Duration) uint64 {
		return func(now time.Duration) uint64 { return 1 + uint64(max(now-from+rowWrites, 0)/rowWrites) }
	}
	goneFrom := func(from time.Duration) func(time.Duration) uint64 {
		return func(now time.Duration) uint64 {
			if now >= from {
				return 0
			}
			return 1
		}
	}
	for name, c := range map[string]lostTargetCase{
		"stands still":                     {reply: notConnected, row: standsStill},
		"runs on behind a cut":             {reply: notConnected, row: writesFrom(0), start: 3 * rowWrites},
		"goes on behind a cut":             {reply: notConnected, row: writesFrom(9 * time.Second), start: 9*time.Second + 2*rowWrites},
		"one write was on its way":         {reply: notConnected, row: func(now time.Duration) uint64 { return 1 + uint64(min(now/(3*time.Second), 1)) }},
		"one was, and one as it goes on":   {reply: notConnected, row: func(now time.Duration) uint64 { return 1 + uint64(min(now/(3*time.Second), 2)) }},
		"row is gone":                      {reply: notConnected, row: goneFrom(4500 * ms), start: 4500 * ms},
		"row is gone, accepts connections": {reply: connected, row: goneFrom(4500 * ms)},
		"row is gone, accepts connections for a time": {reply: func(now time.Duration) fleet.HoldReply {
			if now < 8*time.Second {
				return connected(now)
			}
			return notConnected(now)
		}, row: goneFrom(4500 * ms), start: 8*time.Second - reacquireBackoff + goneAfter},
		"runs on, accepts connections": {reply: connected, row: writesFrom(0), start: 3 * rowWrites},
		"connection ends at once": {reply: func(time.Duration) fleet.HoldReply {
			return fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.ContactUnknown, ProcessGone: true}
		}, row: standsStill},
		"refuses connections from some time on": {reply: func(now time.Duration) fleet.HoldReply {
			return fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.NotConnected, Refused: now >= 5*time.Second}
		}, row: standsStill, start: 5 * time.Second},
		"is fenced after its lease": {reply: func(now time.Duration) fleet.HoldReply {
			if now < 6*time.Second {
				return notConnected(now)
			}
			return fleet.HoldReply{Answer: fleet.Fenced, ClockMS: (10*time.Second + now).Milliseconds(), Incarnation: 1}
		}, row: standsStill, start: 6 * time.Second},
		"is fenced before its lease has ended on its clock": {reply: func(now time.Duration) fleet.HoldReply {
			if now < 6*time.Second {
				return notConnected(now)
			}
			return fleet.HoldReply{Answer: fleet.Fenced, ClockMS: (10*time.Second + now - 6*time.Second).Milliseconds(), Incarnation: 1}
		}, row: standsStill, start: 6*time.Second + DefaultLease},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.p.cfg.RowsRenewed = true
			j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
			j.Queue.Slack, j.Timeout = time.Hour, time.Hour
			b.submit(j)
			b.tick(ms)
			first := b.acceptStarts()[0]
			b.playLost(c, first.Target.ID, 30*time.Second)
		})
	}
}

// playLost plays the loss of a target, and asserts when a task is started elsewhere.
func (b *harness) playLost(c lostTargetCase, lost string, length time.Duration) {
	b.t.Helper()
	begin, readAt := b.now, b.now
	for b.now < begin+length {
		b.tick(10 * ms)
		if b.now >= readAt+rowReads {
			readAt = b.now
			b.readRows(readAt, lost, c.row(readAt-begin))
		}
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != lost {
				b.acceptHold(h, nil, nil)
			} else {
				b.p.HoldDone(b.now, b.now, h, c.reply(b.now-begin))
			}
		}
		if len(takeEffects[fleet.Start](b)) == 0 {
			continue
		}
		assert.Assert(b.t, c.start > 0 && b.now-begin >= c.start, "started %v after the loss", b.now-begin)
		const late = rowWrites + rowReads + maxBackoff + 500*ms
		assert.Assert(b.t, b.now-begin <= c.start+late, "started only %v after the loss", b.now-begin)
		return
	}
	assert.Equal(b.t, c.start, time.Duration(0), "not started again")
}

// readRows lets the pool see a read of the rows, in which that of one target has a version, or is missing.
func (b *harness) readRows(at time.Duration, id string, version uint64) {
	versions := map[string]uint64{}
	var list []fleet.Target
	for _, t := range targetList(len(b.p.sortedTargets)) {
		if t.ID != id || version > 0 {
			list = append(list, t)
			versions[t.ID] = uint64(1000 + at/ms)
		}
	}
	if version > 0 {
		versions[id] = version
	}
	b.p.SetTargets(at, list)
	b.p.ObserveRenewals(at, versions)
}

// Guards against a second run at the next leader, while a target that it can't connect to stands still with a run of the former one.
func TestJobTakenOverWaitsForTargetsThatCantBeConnectedTo(t *testing.T) {
	for name, c := range map[string]lostTargetCase{
		"stands still": {row: func(time.Duration) uint64 { return 1 }},
		"row is gone": {row: func(now time.Duration) uint64 {
			if now >= 4500*ms {
				return 0
			}
			return 1
		}, start: 4500 * ms},
		"runs on": {row: func(now time.Duration) uint64 { return 1 + uint64(now/rowWrites) }, start: DefaultTakeoverDelay + 2*rowWrites},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1)
			b.p.StepDown()
			b.p.cfg.RowsRenewed = true
			b.p.SetTargets(b.now, targetList(2))
			b.p.BecomeLeader(b.now, 1<<40)
			j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
			j.Queue.Slack, j.Timeout = time.Hour, time.Hour
			b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true})
			c.reply = notConnected
			b.playLost(c, "t01", 30*time.Second)
		})
	}
}

// A target that has just gone on after a standstill gets tasks only where no other has room for them.
func TestTargetThatHasStoodStillIsChosenLast(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("first", queue("q", 0), 1, 10000, 900*ms)
	b.submit(j)
	b.tick(ms)
	first := b.acceptStarts()[0]
	stood := b.p.targets[first.Target.ID]
	b.p.markUnreachable(b.now, stood)
	stood.silent = true
	b.tick(ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		if h.Target.ID == first.Target.ID {
			b.acceptHold(h, []fleet.Running{{Task: first.Task, Run: first.Run}}, nil)
		}
	}
	assert.Assert(t, stood.owned && !stood.silent)
	b.submit(jobOf("second", queue("q", 0), 1, 20000, 900*ms)) // fits best beside the first task
	b.tick(ms)
	assert.Assert(t, b.acceptStarts()[0].Target.ID != first.Target.ID)
	b.submit(jobOf("third", queue("q", 0), 1, 15000, 900*ms))
	b.tick(ms)
	assert.Equal(t, b.acceptStarts()[0].Target.ID, first.Target.ID)
}
