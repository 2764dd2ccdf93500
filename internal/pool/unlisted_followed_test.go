package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a task that is never started again: its target stands still until its row is gone, and then another life, or another target,
// answers at its address. A hold that only asks has shown it.
func TestTaskStartsOnceAnotherLifeAnswersAtTheAddressOfATargetThatIsListedNoMore(t *testing.T) {
	for name, rep := range map[string]fleet.HoldReply{
		"another target":               {Answer: fleet.OtherIncarnation},
		"another target, born later":   {Answer: fleet.OtherIncarnation, Incarnation: 2},
		"another target, not younger":  {Answer: fleet.OtherIncarnation, Incarnation: 1},
		"a later life":                 {Answer: fleet.Accepted, ClockMS: 100, Incarnation: 2},
		"a later life that was fenced": {Answer: fleet.Fenced, ClockMS: 100, Incarnation: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2)
			b.p.cfg.RowsRenewed = true
			j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
			j.Queue.Slack, j.Timeout = time.Hour, time.Hour
			b.submit(j)
			b.tick(ms)
			lost := b.acceptStarts()[0].Target.ID
			b.playLost(lostTargetCase{start: 15 * time.Second, row: func(now time.Duration) uint64 {
				if now < 4500*ms {
					return 1
				}
				return 0
			}, reply: func(now time.Duration) fleet.HoldReply {
				if now < 15*time.Second {
					return connected(now)
				}
				return rep
			}}, lost, 30*time.Second)
		})
		t.Run("restored, "+name, func(t *testing.T) {
			x := ownerAfterStandstill(t, storedJob("j", 1), 5*time.Second, targetList(2)[1:])
			x.play(20*time.Second, x.unanswered(fleet.Connected))
			assert.Equal(t, x.started["j"], time.Duration(0))
			x.play(2*time.Second, func(fleet.Hold) *fleet.HoldReply { return &rep })
			assert.Assert(t, x.started["j"] > 0, "not started again")
		})
	}
}

// An answer of an earlier life is late, and shows nothing of the one that is lost.
func TestAnswerOfAnEarlierLifeEndsNoRunOfATargetThatIsListedNoMore(t *testing.T) {
	listed := targetList(2)
	listed[0].Incarnation = 5
	x := &nextOwner{harness: newHarness(t, 0), lost: listed[0], started: map[string]time.Duration{}}
	x.p.StepDown()
	x.p.cfg.RowsRenewed = true
	rec := fleet.Record{Open: []fleet.OpenRuns{{Target: x.lost.ID, Addr: x.lost.Addr, Incarnation: 5, Runs: map[int]int{0: 4097}}}}
	x.follow(listed[1:], storedJob("j", 1), rec)
	x.play(20*time.Second, func(fleet.Hold) *fleet.HoldReply {
		return &fleet.HoldReply{Answer: fleet.Fenced, ClockMS: 1 << 40, Incarnation: 1}
	})
	assert.Equal(t, x.started["j"], time.Duration(0))
}

// A row that names a wrong address before it is gone does not keep its target from being asked at its own one.
func TestTargetThatIsListedNoMoreIsAskedAtItsOwnAddress(t *testing.T) {
	b := newHarness(t, 2)
	b.p.cfg.RowsRenewed = true
	j := jobOf("j", queue("q", 0), 1, 20000, 900*ms)
	j.Queue.Slack, j.Timeout = time.Hour, time.Hour
	b.submit(j)
	b.tick(ms)
	lost := b.acceptStarts()[0].Target
	asked := 0
	for begin := b.now; b.now < begin+5*time.Second; {
		switch b.now - begin {
		case time.Second:
			wrong := targetList(2)
			for i := range wrong {
				if wrong[i].ID == lost.ID {
					wrong[i].Addr = "wrong"
				}
			}
			b.p.SetTargets(b.now, wrong)
		case 3 * time.Second:
			list := targetList(2)
			if lost.ID == "t00" {
				list = list[1:]
			}
			b.p.SetTargets(b.now, list[:1])
		}
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != lost.ID {
				b.acceptHold(h, nil, nil)
				continue
			}
			if b.now > begin+3500*ms {
				assert.Equal(t, h.Target.Addr, lost.Addr)
				asked++
			}
			b.p.HoldDone(b.now, b.now, h, connected(0))
		}
	}
	assert.Assert(t, asked > 0)
}
