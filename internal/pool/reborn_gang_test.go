package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a gang that waits for the next life of a target on which several of its tasks ran: the release of the first one
// stops the others, and runs that are being stopped are kept until that life reports.
func TestGangOfARebornTargetStartsBeforeTheNextLifeAnswers(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 2, 14000, 900*ms)
	j.Steps[0].Gang, j.Queue.Slack, j.Timeout = true, time.Hour, time.Hour
	b.submit(j)
	b.tick(ms)
	first := b.acceptStarts()
	assert.Equal(t, first[0].Target.ID, first[1].Target.ID)
	next := targetList(2)
	for i := range next {
		if next[i].ID == first[0].Target.ID {
			next[i].Incarnation = 2
		}
	}
	b.p.SetTargets(b.now, next)
	for begin := b.now; b.now < begin+5*time.Second; {
		b.tick(10 * ms)
		for _, h := range takeEffects[fleet.Hold](b) {
			if h.Target.ID != first[0].Target.ID {
				b.acceptHold(h, nil, nil)
			} else {
				b.p.HoldDone(b.now, b.now, h, fleet.HoldReply{Answer: fleet.Unanswered, Contact: fleet.Connected})
			}
		}
		if again := b.acceptStarts(); len(again) > 0 {
			assert.Equal(t, len(again), 2)
			return
		}
	}
	t.Fatal("not started again")
}
