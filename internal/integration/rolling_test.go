package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRollingReplacementOfAllEntries replaces every VM under load, one at a
// time: the new entry is ready before the old one stops. No request is cut off,
// and the answers of the first VMs are still known at the end.
func TestRollingReplacementOfAllEntries(t *testing.T) {
	cl := startThreeEntries(t)
	cl.awaitTargets(4, "e1", "e2", "e3")
	first := newCaller(cl, []string{"coast"}, "e1", "e2", "e3")
	first.run(30, sendInterval, func(int) {})
	assert.Equal(t, first.check(t), 30)

	entries := []string{"e1", "e2", "e3"}
	for i, name := range []string{"n1", "n2", "n3"} {
		began := time.Now()
		cl.startEntry(name, "coast")
		cl.awaitReady(name)
		t.Logf("%s ready %v after its start", name, time.Since(began).Round(time.Millisecond))
		entries = append(entries, name)
		leaving := entries[0]
		c := newCaller(cl, []string{"coast"}, entries...)
		c.run(90, sendInterval, afterRequests(30, func() { cl.entry(leaving).signal(syscall.SIGTERM) }))
		<-cl.entry(leaving).exited
		assert.Equal(t, cl.entry(leaving).cmd.ProcessState.ExitCode(), 0, "%s: %s", leaving, cl.entry(leaving).log)
		assert.Equal(t, c.check(t), 90, "replacement %d", i)
		entries = entries[1:]
	}
	for _, o := range first.outcomes {
		again := outcome{key: o.key}
		assert.Assert(t, first.submitOnce(&again, "n3"), "resubmission of %s: %s %s", again.key, again.reason, again.message)
		assert.Equal(t, again.answer, o.answer)
	}
	first.check(t)
}
