package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/election"
	"currantstall/internal/fleet"
	"currantstall/internal/wire"
)

// FuzzDecodeBodies checks that each body of a peer's message either fails to decode,
// or can be encoded again to a body that decodes.
func FuzzDecodeBodies(f *testing.F) {
	for i, body := range []any{
		submitBody{Job: fleet.Job{ID: "a", Steps: []fleet.Step{{Count: 1}}}, Waited: time.Second},
		jobQueryBody{Job: "a", Cancel: true}, jobReplyBody{Known: true, State: fleet.JobComplete}, jobStoreBody{Number: 1, Job: fleet.Job{ID: "a"}},
		endedBody{Job: "a"}, abandonBody{Job: "a", Reason: cancelled}, heartbeatBody{ConfigVersion: 3},
		heartbeatBody{SentAt: 1, LayoutVersion: 2, Pools: []poolReport{{Claim: election.Claim{Leading: true, Term: 3}, Capacity: 32000}}}, directoryBody{Request: &directoryRequest{Layout: true}},
		directoryBody{Layout: &fleet.Layout{Version: 1, Pools: []fleet.Scope{{DC: "a"}}}, Config: &fleet.Config{Version: 1}, Targets: []fleet.Target{{ID: "t"}}, Members: []fleet.Member{{Name: "e"}}},
		vouchBody{HeartbeatAt: 1, Leader: "e", Origin: "f"},
		suspicionsBody{Job: "a", Suspicions: fleet.Suspicions{1: {{Target: "t", Crashed: true}}}},
		homeBody{Kind: homeClaim, Job: "a", Pool: 1, Layout: 2, For: time.Second},
		homeBody{Kind: homeLeft, Pool: 1, Layout: 2, HeartbeatAt: time.Second, Left: []leftJob{{Job: "a", Number: 3, VouchedAgo: 1, HereOnly: true, ArrivedAgo: 2}, {Job: "b", Open: true}}},
	} {
		b, err := wire.Encode(body)
		assert.NilError(f, err)
		f.Add(uint8(i), b)
		f.Add(uint8(i), b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		switch kind % 11 {
		case 0:
			checkRoundTrip[submitBody](t, b)
		case 1:
			checkRoundTrip[endedBody](t, b)
		case 2:
			checkRoundTrip[abandonBody](t, b)
		case 3:
			checkRoundTrip[heartbeatBody](t, b)
		case 4:
			checkRoundTrip[jobQueryBody](t, b)
		case 5:
			checkRoundTrip[jobReplyBody](t, b)
		case 6:
			checkRoundTrip[jobStoreBody](t, b)
		case 7:
			checkRoundTrip[vouchBody](t, b)
		case 8:
			checkRoundTrip[suspicionsBody](t, b)
		case 9:
			checkRoundTrip[homeBody](t, b)
		default:
			checkRoundTrip[directoryBody](t, b)
		}
	})
}

func checkRoundTrip[T any](t *testing.T, b []byte) {
	var first, second T
	if wire.Decode(b, &first) != nil {
		return
	}
	out, err := wire.Encode(first)
	assert.NilError(t, err)
	assert.NilError(t, wire.Decode(out, &second))
}
