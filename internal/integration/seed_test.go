package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/verdict"
	"currantstall/platform/platformd"
)

// viewOf returns nil if the newest view that an entry knows has n members.
func (f *fleet) viewOf(name string, n int) error {
	s, err := f.status(name)
	if err == nil && len(s.View.Members) != n {
		err = fmt.Errorf("%s has a view of %d members, want %d", name, len(s.View.Members), n)
	}
	return err
}

// seedFlag is the setting that names another entry.
func (f *fleet) seedFlag(name string) string {
	p := f.entry(name)
	return fmt.Sprintf("--seed=%s=%s@%s", name, p.proxy.Listen, p.dc)
}

// send submits a request without a key, demands that it completes and returns
// its key.
func (f *fleet) send(entry, kind string) string {
	f.t.Helper()
	r, err := f.request(entry, "", kind, "households", 30*time.Millisecond)
	assert.NilError(f.t, err)
	assert.Equal(f.t, r.Verdict, verdict.Completed, "%s: %s", kind, r)
	return r.Key
}

// TestEntryStartsWhileThePlatformIsDown starts a fourth entry that can read
// neither list nor table. It serves by the seeds, and joins once the platform
// is back.
func TestEntryStartsWhileThePlatformIsDown(t *testing.T) {
	f := three(t)
	f.awaitTargets(4, "e1", "e2", "e3")
	f.platform.Store.SetFaults(platformd.Faults{Down: true})
	f.startEntry("e4", "coast", f.seedFlag("e1"), f.seedFlag("e2"), f.seedFlag("e3"))
	f.awaitReady("e4")
	s, err := f.status("e4")
	assert.NilError(t, err)
	assert.Assert(t, s.ForwardOnly)
	assert.Equal(t, s.ManifestVersion, uint64(1))

	c := newCaller(f, []string{"coast"}, "e4")
	c.run(requests, pause, func(int) {})
	assert.Equal(t, c.check(t), requests)
	again := outcome{key: c.outcomes[0].key}
	assert.Assert(t, c.try(&again, "e2"), again.message)
	assert.Equal(t, again.answer, c.outcomes[0].answer)
	found, err := f.call(http.MethodGet, "e4", "/v1/submissions/"+again.key, nil)
	assert.NilError(t, err)
	assert.Equal(t, found.Status, http.StatusOK, found.String())
	for _, kind := range []string{"unlock", "balance-check"} {
		k := f.send("e4", kind)
		assert.Equal(t, f.startsByKey()[k], 1, kind)
	}

	f.platform.Store.SetFaults(platformd.DefaultFaults())
	f.eventually("e4 joins", func() error {
		s, err := f.status("e4")
		if err == nil && (s.ForwardOnly || !s.Ready) {
			err = fmt.Errorf("passes on %v, ready %v", s.ForwardOnly, s.Ready)
		}
		return err
	})
	recovered(t, f, "e1", "e2", "e3", "e4")
}
