package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run where a target goes on after its VM was suspended: its first answer shows that its process runs, but its
// clock did not count the suspension, so that the leases of a former owner last on.
func TestJobTakenOverWaitsForLeasesOfASuspendedTarget(t *testing.T) {
	const goesOn = 8 * time.Second
	b := newHarness(t, 1)
	b.p.cfg.RowsRenewed = true
	b.p.SetTargets(b.now, targetList(2))
	b.p.SetAcquirePolicy(b.now, func(id string) AcquirePolicy { return AcquirePolicy{Home: id == "t00"} })
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = 3*time.Second, time.Minute
	begin := b.now
	b.p.Submit(b.now, Submit{Coordinator: "e1", Job: j, MayHaveRun: true, VouchedAgo: DefaultTakeoverDelay - 190*ms})
	type call struct {
		hold fleet.Hold
		sent time.Duration
	}
	var calls []call
	for b.now < begin+12*time.Second {
		b.tick(5 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID == "t00" {
				b.acceptHold(h, nil, nil)
				continue
			}
			calls = append(calls, call{h, b.now})
		}
		for len(calls) > 0 && (b.now >= begin+goesOn || b.now >= calls[0].sent+contactWait-20*ms) {
			c := calls[0]
			calls = calls[1:]
			rep := fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected}
			if b.now >= begin+goesOn {
				rep = fleet.HoldReply{Answer: fleet.Fenced, ClockMS: (10*time.Second + b.now - begin - goesOn).Milliseconds(), Incarnation: 1}
			}
			b.p.HoldDone(b.now, c.sent, c.hold, rep)
		}
		if len(takeEffects[fleet.Start](b)) > 0 {
			assert.Assert(t, b.now >= begin+goesOn+DefaultLease, "started %v after the loss", b.now-begin)
			return
		}
	}
}

// Guards against a second run where a write of the row that was on its way when the VM was suspended arrives meanwhile, and the next one as
// soon as it goes on, with the rest of its lease.
func TestRowOfASuspendedTargetDoesNotEndItsLease(t *testing.T) {
	const arrives, goesOn = 3 * time.Second, 9 * time.Second
	b := newHarness(t, 2)
	b.p.cfg.RowsRenewed = true
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.submit(j)
	b.tick(ms)
	first := b.acceptStarts()[0]
	b.playLost(lostTargetCase{reply: notConnected, start: goesOn + DefaultLease, row: func(now time.Duration) uint64 {
		switch {
		case now < arrives:
			return 1
		case now < goesOn:
			return 2
		}
		return 3 + uint64((now-goesOn)/rowWrites)
	}}, first.Target.ID, 30*time.Second)
}
