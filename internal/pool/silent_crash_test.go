package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/verdict"
)

// A task takes its targets off the network without a word: it costs four targets and no more.
func TestTaskThatTakesItsTargetsOffTheNetworkIsGivenUp(t *testing.T) {
	crashing := fleet.TaskID{Job: "j"}
	s := newCrashSim(t, 8, crashing)
	s.silentDown = 450 * ms
	s.submit(patientJob("j", 1, 20000))
	s.run(60 * time.Second)
	assert.Equal(t, s.outcomes()["j"].Reason, verdict.CrashesTargets)
	assert.Assert(t, s.started[crashing] <= 4, "%d starts", s.started[crashing])
}
