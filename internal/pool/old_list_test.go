package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/jobstore"
)

// A new owner of the stored jobs has a list of targets from before the former owner's last starts. A
// target that was added since may have runs: reports of the others do not prove that there are none.
func TestAnOldListOfTargetsDoesNotProveThatNoFormerRunIsLeft(t *testing.T) {
	b := newHarness(t, 1)
	b.p.TargetsRead(b.now)
	b.p.ExpectStored()
	b.now += stableListFor + time.Second
	lastSeen := b.now
	b.p.TakeOverStored(b.now, lastSeen, 2, []jobstore.StoredJob{restoredJob(storedJob("j", 1))})
	b.p.RenewStored(b.now+time.Minute, b.now+time.Minute)
	for b.now < lastSeen+2*time.Second {
		b.tick(10 * ms)
		assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "started %v after the former owner was last seen, by a list read %v before that", b.now-lastSeen, lastSeen-b.p.targetsReadAt)
		b.answerHolds(nil)
	}

	b.p.SetTargets(b.now, targetList(2)) // the next list shows the other target
	b.p.TargetsRead(b.now)
	b.tick(10 * ms)
	for _, h := range takeEffects[fleet.Hold](b) {
		var running []fleet.Running
		if h.Target.ID == "t01" {
			running = []fleet.Running{{Task: fleet.TaskID{Job: "j"}, Run: runsPerEpoch + 1, PercentDone: 10}}
		}
		b.acceptHold(h, running, nil)
	}
	b.tick(10 * ms)
	assert.Equal(t, len(takeEffects[fleet.Start](b)), 0, "the run is adopted")
}
