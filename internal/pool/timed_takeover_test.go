package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

// The clock of a former owner was ahead, so that it has started an occurrence before its time, on a
// target that its successor can't reach. The run may last until formerRunsTimeout after the last
// renewal. The successor must not start the occurrence sooner just because it falls due by its own clock
// only after the takeover.
func TestOccurrenceThatFallsDueAfterATakeoverWaitsForFormerRuns(t *testing.T) {
	const dueIn = 900 * ms
	b := newHarness(t, 2)
	b.p.markUnreachable(b.now, b.p.targets["t01"])
	b.p.targets["t01"].nextAcquireAt = b.now + 3600*1000*ms
	b.setWallClock()
	j := recurringTestJob("j", 2)
	j.FirstDueMS = testStartUnixMS + dueIn.Milliseconds()
	lastSeen := b.now
	b.ownStored(restoredJob(j))
	for b.now < lastSeen+formerRunsTimeout-20*ms {
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started %v after the former owner was last seen", b.now-lastSeen)
		b.answerHolds(nil)
	}
}
