package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// A job ended, was submitted again, and the target of its first run was lost then. The suspicions were those of
// the first submission only, and what the target's next incarnation showed made the pool panic.
func TestLossUnderAnEndedJobIsKnownToItsNextSubmission(t *testing.T) {
	b := newHarness(t, 2)
	j := jobOf("j", queue("q", 0), 1, 14000, 3*time.Second)
	b.submitFrom("e1", j)
	b.tick(ms)
	start := b.acceptStarts()[0]
	b.p.Cancel(b.now, "j")
	takeEffects[fleet.Stop](b) // unanswered
	takeEffects[Ended](b)
	b.submitFrom("e1", j)
	on := b.p.targets[start.Target.ID]
	b.p.suspectRuns(b.now, on)
	b.p.newIncarnation(b.now, on, on.Incarnation+1)
	assert.Equal(t, len(b.p.jobs["j"].suspected.tasks[0]), 1)
}
