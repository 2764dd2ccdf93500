package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/platform/platformd"
)

// startThreeEntries starts a data centre of three entries with runners and
// waits until the entries are ready.
func startThreeEntries(t *testing.T) *cluster {
	t.Helper()
	cl := newCluster(t)
	cl.startTargets("coast", 4, 0)
	for _, name := range []string{"e1", "e2", "e3"} {
		cl.startEntry(name, "coast")
	}
	cl.applyManifest(cl.entry("e1"))
	cl.awaitReady("e1", "e2", "e3")
	return cl
}

const (
	numRequests  = 300
	sendInterval = 10 * time.Millisecond
	faultAt      = 60 // requests sent before the fault
	healAt       = 250
)

// afterRequests returns a callback that calls f once n requests have been sent.
func afterRequests(n int, f func()) func(int) {
	return func(sent int) {
		if sent == n {
			f()
		}
	}
}

// inOrder returns a callback that calls a, then b.
func inOrder(a, b func(int)) func(int) {
	return func(sent int) {
		a(sent)
		b(sent)
	}
}

// assertRecovered sends more requests after the fault and asserts that each one
// completes.
func assertRecovered(t *testing.T, cl *cluster, entries ...string) {
	t.Helper()
	c := newCaller(cl, []string{"coast"}, entries...)
	c.run(60, sendInterval, func(int) {})
	assert.Equal(t, c.check(t), 60)
}

func TestHealthyFleetAnswersEveryRequestOnce(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(numRequests, sendInterval, func(int) {})
	assert.Equal(t, c.check(t), numRequests)
}

func TestKilledEntry(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(numRequests, sendInterval, afterRequests(faultAt, func() { cl.entry("e2").kill() }))
	c.check(t)
	assertRecovered(t, cl, "e1", "e3")
}

func TestKilledAndRestartedEntry(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e3")
	c.run(numRequests, sendInterval, afterRequests(faultAt, func() {
		cl.entry("e2").kill()
		cl.startEntry("e2", "coast")
	}))
	c.check(t)
	cl.awaitReady("e1", "e2", "e3")
	assertRecovered(t, cl, "e1", "e2", "e3")
}

// TestPausedEntry pauses the process of an entry for longer than its lease.
func TestPausedEntry(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(2*numRequests, sendInterval, inOrder(
		afterRequests(faultAt, func() { cl.entry("e2").signal(syscall.SIGSTOP) }),
		afterRequests(2*numRequests-60, func() { cl.entry("e2").signal(syscall.SIGCONT) }),
	))
	c.check(t)
	assertRecovered(t, cl, "e1", "e3")
}

// TestTwoEntriesPartitioned partitions two entries from each other. Each keeps
// its link to the third.
func TestTwoEntriesPartitioned(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(numRequests, sendInterval, inOrder(
		afterRequests(faultAt, func() { cl.partition("e1"); cl.partition("e2") }),
		afterRequests(healAt, func() { cl.heal("e1"); cl.heal("e2") }),
	))
	c.check(t)
	cl.awaitReady("e1", "e2", "e3")
	assertRecovered(t, cl, "e1", "e2", "e3")
}

// TestSilentPeerLinks makes the open peer connections of one entry silent,
// while new ones work.
func TestSilentPeerLinks(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(numRequests, sendInterval, inOrder(
		afterRequests(faultAt, func() { cl.blackhole("e2") }),
		afterRequests(faultAt+30, func() { cl.entry("e2").proxy.Toxics.ResetToxics(t.Context()) }),
	))
	c.check(t)
	cl.awaitReady("e1", "e2", "e3")
	assertRecovered(t, cl, "e1", "e2", "e3")
}

// TestPlatformOutage makes the platform unavailable for half a minute, many
// times a lease. The entries renew their leases through each other and continue
// to serve.
func TestPlatformOutage(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(2*numRequests, 6*sendInterval, inOrder(
		afterRequests(faultAt, func() { cl.platform.Store.SetFaults(platformd.Faults{Down: true}) }),
		afterRequests(2*numRequests-20, func() { cl.platform.Store.SetFaults(platformd.DefaultFaults()) }),
	))
	assert.Equal(t, c.check(t), 2*numRequests)
}

// TestPartitionedDataCentres partitions two data centres from each other. Each
// serves its own keys; after the partition has healed, both serve the keys of
// either.
func TestPartitionedDataCentres(t *testing.T) {
	cl := newCluster(t)
	cl.startTargets("coast", 2, 0)
	cl.startTargets("island", 2, 0)
	cl.startEntry("c1", "coast")
	cl.startEntry("i1", "island")
	cl.applyManifest(cl.entry("c1"))
	cl.awaitReady("c1", "i1")
	cl.partition("c1")
	cl.partition("i1")

	coast, island := newCaller(cl, []string{"coast"}, "c1"), newCaller(cl, []string{"island"}, "i1")
	coast.run(50, sendInterval, func(int) {})
	island.run(50, sendInterval, func(int) {})
	assert.Equal(t, coast.check(t), 50)
	assert.Equal(t, island.check(t), 50)

	cl.heal("c1")
	cl.heal("i1")
	cl.eventually("links healed", func() error { return cl.checkLinks("c1", 1) })
	across := newCaller(cl, []string{"coast", "island"}, "c1", "i1")
	across.run(50, sendInterval, func(int) {})
	assert.Equal(t, across.check(t), 50)
}

// TestPlannedStop stops an entry under load. No work is cut off, and the other
// entries give its answers again to resubmissions.
func TestPlannedStop(t *testing.T) {
	cl := startThreeEntries(t)
	c := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	c.run(numRequests, sendInterval, afterRequests(faultAt, func() { cl.entry("e2").signal(syscall.SIGTERM) }))
	<-cl.entry("e2").exited

	assert.Equal(t, cl.entry("e2").cmd.ProcessState.ExitCode(), 0, cl.entry("e2").log.String())
	assert.Equal(t, c.check(t), numRequests)
	for i := range c.outcomes {
		again := outcome{key: c.outcomes[i].key}
		assert.Assert(t, c.submitOnce(&again, "e3"), "resubmission of %s: %s %s", again.key, again.reason, again.message)
		assert.Equal(t, again.answer, c.outcomes[i].answer)
	}
	c.check(t)
}
