package integration

import (
	"context"
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/verdict"
)

var bothKinds = []string{"unlock", repeatableKind}

var errNotListed = errors.New("not listed yet")

// startRunnerCluster starts a data centre of three entries with n runners.
func startRunnerCluster(t *testing.T, n int) *cluster {
	t.Helper()
	cl := newCluster(t)
	cl.startTargets("coast", n, 0)
	for _, name := range []string{"e1", "e2", "e3"} {
		cl.startEntry(name, "coast")
	}
	cl.applyManifest(cl.entries["e1"])
	cl.awaitReady("e1", "e2", "e3")
	cl.awaitTargets(n, "e1", "e2", "e3")
	return cl
}

func noop(int) {}

// completedOf returns the number of completed requests of a kind.
func completedOf(counts map[string]map[verdict.Verdict]int, kind string) int {
	return counts[kind][verdict.Completed]
}

// TestRunnerThatFailsEveryTask makes one of six runners fail each task that it
// starts. The entries avoid it after a few failures; repeatable requests
// complete, the others that it ran are reported as failed.
func TestRunnerThatFailsEveryTask(t *testing.T) {
	for name, faults := range map[string]taskserver.Faults{
		"task failed": {FailAll: true},
		"error fast":  {ErrorFast: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cl := startRunnerCluster(t, 6)
			failing := cl.targets[2]
			failing.SetFaults(faults)

			counts := cl.checkSubmissions(t, cl.sendRequests(400, sendInterval, bothKinds, noop))

			n := len(failing.Starts())
			t.Logf("%d starts at the failing runner", n)
			assert.Assert(t, n > 0 && n < 40, "%d of 400 starts at the failing runner", n)
			assert.Equal(t, completedOf(counts, repeatableKind), 200)
			assert.Equal(t, completedOf(counts, "unlock")+counts["unlock"][verdict.Failed], 200)
		})
	}
}

// TestRunnerThatStraggles makes one of six runners take 20 times as long.
func TestRunnerThatStraggles(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 6)
	slow := cl.targets[2]
	slow.SetFaults(taskserver.Faults{Straggle: 20})

	counts := cl.checkSubmissions(t, cl.sendRequests(400, sendInterval, bothKinds, noop))

	n := len(slow.Starts())
	t.Logf("%d starts at the straggler", n)
	assert.Assert(t, n > 0 && n < 40, "%d of 400 starts at the straggler", n)
	assert.Equal(t, completedOf(counts, "unlock"), 200)
	assert.Equal(t, completedOf(counts, repeatableKind), 200)
}

// TestHalfTheRunnersDie kills three of six runners at the same time, under
// load.
func TestHalfTheRunnersDie(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 6)

	during := cl.sendRequests(300, sendInterval, bothKinds, afterRequests(faultAt, func() {
		for _, s := range cl.targets[:3] {
			go s.Kill()
		}
	}))
	after := cl.sendRequests(100, sendInterval, bothKinds, noop)

	counts := cl.checkSubmissions(t, during)
	assert.Assert(t, completedOf(counts, repeatableKind) >= 145, "%v", counts)
	assert.Assert(t, completedOf(counts, "unlock") >= 120, "%v", counts)
	counts = cl.checkSubmissions(t, after)
	assert.Equal(t, completedOf(counts, "unlock")+completedOf(counts, repeatableKind), 100)
}

// TestSilentTargetConnections silences half the connections of each runner.
func TestSilentTargetConnections(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 6)

	during := cl.sendRequests(300, sendInterval, bothKinds, afterRequests(faultAt, func() {
		for _, s := range cl.targets {
			s.SetFaults(taskserver.Faults{Silence: 0.5})
		}
	}))

	after := cl.sendRequests(100, sendInterval, bothKinds, noop)

	// A task can be sent on silent connections to both targets of its entry, and
	// both are then fenced for it. No seed fixes which connections go silent.
	counts := cl.checkSubmissions(t, during)
	assert.Assert(t, completedOf(counts, repeatableKind) >= 145, "%v", counts)
	assert.Assert(t, completedOf(counts, "unlock") >= 145, "%v", counts)
	counts = cl.checkSubmissions(t, after)
	assert.Equal(t, completedOf(counts, "unlock")+completedOf(counts, repeatableKind), 100)
}

// TestRunnerAnnouncesLeaving checks that a runner gets no starts after it has
// announced that it is leaving, and refuses at most the starts that were in
// flight.
func TestRunnerAnnouncesLeaving(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 6)
	leaving := cl.targets[2]
	before := 0

	submissions := cl.sendRequests(300, sendInterval, bothKinds, afterRequests(faultAt, func() {
		leaving.Leave()
		before = len(leaving.Starts())
	}))

	counts := cl.checkSubmissions(t, submissions)
	refusals := cl.sumCounters("target_leaving", "retried")
	t.Logf("%v starts were refused by the leaving runner", refusals)
	assert.Equal(t, len(leaving.Starts()), before)
	assert.Assert(t, refusals <= runner.DefaultSlots, "%v refusals", refusals)
	assert.Equal(t, completedOf(counts, "unlock"), 150)
	assert.Equal(t, completedOf(counts, repeatableKind), 150)
}

// TestRunnerListedAsLeaving has a runner that is only listed as leaving and
// does not announce it in its responses. 3 s after it is listed so, it gets no
// more starts.
func TestRunnerListedAsLeaving(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 5)
	listedOnly := cl.startTarget(runner.New, "coast", taskserver.Config{})
	announce(t, cl, listedOnly.VM())
	cl.awaitTargets(6, cl.entryNames...)
	used := cl.sendRequests(100, sendInterval, bothKinds, noop)
	assert.Assert(t, len(listedOnly.Starts()) > 0)

	vm := listedOnly.VM()
	vm.Leaving = true
	announce(t, cl, vm)
	cl.eventually("listed as leaving", func() error { return cl.checkListed(vm) })
	grace := cl.sendRequests(150, 2*sendInterval, bothKinds, noop) // 3 s
	before := len(listedOnly.Starts())
	later := cl.sendRequests(200, sendInterval, bothKinds, noop)

	assert.Equal(t, len(listedOnly.Starts()), before)
	cl.checkSubmissions(t, slices.Concat(used, grace))
	counts := cl.checkSubmissions(t, later)
	assert.Equal(t, completedOf(counts, "unlock")+completedOf(counts, repeatableKind), 200)
}

func announce(t *testing.T, cl *cluster, vm platform.VM) {
	t.Helper()
	assert.NilError(t, cl.registrar.Announce(context.Background(), vm))
}

// checkListed returns nil if the VM list contains exactly this line.
func (cl *cluster) checkListed(vm platform.VM) error {
	vms, err := cl.registrar.VMs(context.Background())
	if err != nil {
		return err
	}
	if !slices.Contains(vms, vm) {
		return errNotListed
	}
	return nil
}

// TestRunnersAddedWhileRunning adds runners to a data centre that has one.
func TestRunnersAddedWhileRunning(t *testing.T) {
	t.Parallel()
	cl := startRunnerCluster(t, 1)

	submissions := cl.sendRequests(60, 2*sendInterval, bothKinds, afterRequests(20, func() { cl.startTargets("coast", 3, 0) }))
	cl.awaitTargets(4, cl.entryNames...)
	later := cl.sendRequests(400, sendInterval, bothKinds, noop)

	cl.checkSubmissions(t, submissions)
	counts := cl.checkSubmissions(t, later)
	assert.Equal(t, completedOf(counts, "unlock")+completedOf(counts, repeatableKind), 400)
	for _, s := range cl.targets {
		assert.Assert(t, len(s.Starts()) > 10, "%s got %d starts", s.VM().Name, len(s.Starts()))
	}
}
