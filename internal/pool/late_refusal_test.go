package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// Guards against a second run: a start for a former life was not carried out, which its answer tells late. The next life has a run
// of this number meanwhile, as another leader numbers its runs from 1 too, and this one has taken it for its own.
func TestLateRefusalOfAStartDoesNotEndARunOfTheNextLife(t *testing.T) {
	for _, answer := range []fleet.Answer{fleet.NotSent, fleet.Unreachable, fleet.Refused, fleet.Fenced, fleet.StaleRun} {
		t.Run(answer.String(), func(t *testing.T) {
			b := newHarness(t, 2)
			b.submitFrom("e1", jobOf("j", queue("q", 0), 1, 14000, 3*time.Second))
			b.tick(ms)
			start := takeEffects[fleet.Start](b)[0]
			list := targetList(2)
			for i := range list {
				if list[i].ID == start.Target.ID {
					list[i].Incarnation = 2
				}
			}
			b.p.SetTargets(b.now, list)
			running := []fleet.Running{{Task: start.Task, Run: start.Run, PercentDone: 10}}
			b.tick(ms)
			b.answerHold(start.Target.ID, running, nil)
			b.p.StartDone(b.now, start, fleet.Reply{Answer: answer, Incarnation: 0})
			for range 10 {
				b.hear("e1")
				b.tick(10 * ms)
				for _, h := range takeEffects[fleet.Hold](b) {
					if h.Target.ID == start.Target.ID {
						b.acceptHold(h, running, nil)
					} else {
						b.acceptHold(h, nil, nil)
					}
				}
				assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started while its run goes on")
				assert.Equal(t, len(takeEffects[fleet.Stop](b)), 0)
			}
		})
	}
}
