package integration

import (
	"testing"

	"currantstall/platform/platformd"
)

// TestEntryDiesWhileThePlatformIsDown: without the table nobody can remove the
// dead member, so that no lease is renewed. Repeatable work goes on, what is
// said of the rest is true, and all is served again after the outage.
func TestEntryDiesWhileThePlatformIsDown(t *testing.T) {
	cl := startThreeEntries(t)
	cl.awaitTargets(4, "e1", "e2", "e3")
	cl.platform.Store.SetFaults(platformd.Faults{Down: true})
	c := newCaller(cl, []string{"coast"}, "e1", "e3")
	c.run(2*numRequests, sendInterval, afterRequests(faultAt, func() { cl.entry("e2").kill() }))
	c.check(t)
	for range 20 {
		cl.mustComplete("e1", "balance-check")
	}

	cl.platform.Store.SetFaults(platformd.DefaultFaults())
	cl.awaitReady("e1", "e3")
	cl.eventually("e2 removed", func() error { return cl.checkViewSize("e1", 2) })
	assertRecovered(t, cl, "e1", "e3")
}
