package claims

import (
	"testing"
	"time"
)

// TestPausedMembersRejoin blocks two members for so long that the third one,
// which reaches only the table, removes them from the view.
func TestPausedMembersRejoin(t *testing.T) {
	n := newNetwork()
	rts := n.startThreeEntries(t)
	n.kill("vm0")
	for _, rt := range rts[1:] {
		rt.mu.Lock()
	}
	time.Sleep(2500 * time.Millisecond)
	for _, rt := range rts[1:] {
		rt.mu.Unlock()
	}
	waitForMembers(t, 2, rts[1], rts[2])
}
