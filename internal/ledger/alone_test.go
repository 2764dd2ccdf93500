package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/verdict"
)

// A member alone in its view kept the claims that it could not grant without a lease. Each later copy
// waited for an outcome that nobody was to report.
func TestLoneMemberReleasesClaimsThatItHasNoLeaseFor(t *testing.T) {
	l := newCluster(1).ledgers["vma"]
	k, err := key.New(simDC)
	assert.NilError(t, err)
	now := time.Now()
	acquire := func(callID uint64, lease time.Time) Reply {
		for _, a := range l.Step(now, lease, Acquire{CallID: callID, Key: k, Digest: 1}) {
			if r, ok := a.(Reply); ok && r.CallID == callID {
				return r
			}
		}
		t.Fatalf("call %d got no reply", callID)
		return Reply{}
	}
	refused := acquire(1, now)
	assert.Equal(t, refused.Err.Reason, verdict.LeaseLapsed)

	now = now.Add(l.cfg.RefusalMarkTTL())
	assert.Assert(t, acquire(2, now.Add(time.Minute)).Granted)
}
