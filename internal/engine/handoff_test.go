package engine

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// A repeatable task that was offloaded to a peer is queued here again when the link to the
// peer ends. If there was no room for it, its caller was told not_run, though the peer had
// started it.
func TestReclaimedTaskThatThePeerStartedMayHaveRun(t *testing.T) {
	n, c := newFakeNet(), newFakeClaims()
	r := startTarget(t, platform.RoleRunner, "r1")
	n.startEngine(t, "e1", "a", c).SetTargets([]platform.VM{r.VM()}, nil)
	e := n.startEngine(t, "e2", "a", c)
	waitForLoad(t, e, "e1")
	w := newWork(t, "balance", structs.Request, 1)
	w.FreshKey = true
	w.Tasks[0] = []byte(`{"service_ms":60000}`)
	done := make(chan structs.Outcome, 1)
	go func() { done <- e.Do(context.Background(), w) }()
	waitForStarts(t, r, 1)

	n.mu.Lock()
	n.cut["e1"] = true
	n.mu.Unlock()
	e.LinkDown("e1")

	o := <-done
	assert.Equal(t, o.Verdict, verdict.MayHaveRun, "%s: %s", o.Reason, o.Message)
}
