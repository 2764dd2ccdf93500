package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
)

func TestSuspicionsOfTheLeaderOfAJobAreKeptForTheNext(t *testing.T) {
	n := &Node{pending: map[string]*pendingJob{"j": {sentTo: "leader"}}}
	told := fleet.Suspicions{2: {{Target: "t", Alone: true}}}
	n.handleSuspicions("leader", suspicionsBody{"j", told})
	n.handleSuspicions("former", suspicionsBody{"j", nil})
	n.handleSuspicions("leader", suspicionsBody{"other", told})
	assert.DeepEqual(t, n.pending["j"].suspicions, told)
}
