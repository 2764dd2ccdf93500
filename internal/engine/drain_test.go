package engine

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// TestDrainWaitsForOffloadedTasks drains the entry that runs a task of a peer.
func TestDrainWaitsForOffloadedTasks(t *testing.T) {
	n := newFakeNet()
	c := newFakeClaims()
	a := n.startEngine(t, "e1", "a", c)
	b := n.startEngine(t, "e2", "a", c)
	r := startTarget(t, platform.RoleRunner, "r1")
	b.SetTargets([]platform.VM{r.VM()}, nil)
	w := newWork(t, "unlock", structs.Request, 1)
	w.Tasks[0] = []byte(`{"service_ms":500}`)
	done := make(chan structs.Outcome, 1)
	waitForLoad(t, a, "e2")
	go func() { done <- a.Do(context.Background(), w) }()
	waitForStarts(t, r, 1)

	assert.NilError(t, b.Drain(context.Background()))

	assert.Equal(t, r.Running(), 0)
	o := <-done
	assert.Equal(t, o.Verdict, verdict.Completed, o.Message)
	late := newWork(t, "unlock", structs.Request, 1)
	assert.Equal(t, a.Do(context.Background(), late).Verdict, verdict.NotRun)
	assert.Equal(t, len(r.Starts()), 1)
}
