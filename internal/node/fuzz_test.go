package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/fleet"
	"currantstall/internal/wire"
)

// FuzzDecodeBodies demands that any body of a peer's message is an error or
// encodes again to one that decodes.
func FuzzDecodeBodies(f *testing.F) {
	for i, body := range []any{
		submitBody{Job: fleet.Job{ID: "a", Steps: []fleet.Step{{Count: 1}}}, Waited: time.Second},
		jobAsk{Job: "a", Cancel: true}, jobTold{Known: true, State: fleet.JobComplete}, jobStore{N: 1, Job: fleet.Job{ID: "a"}},
		endedBody{Job: "a"}, abandonBody{Job: "a", Why: cancelled}, beatBody{Config: 3},
		directoryBody{Config: &fleet.Config{Version: 1}, Targets: []fleet.Target{{ID: "t"}}, Members: []fleet.Member{{Name: "e"}}},
	} {
		b, err := wire.Encode(body)
		assert.NilError(f, err)
		f.Add(uint8(i), b)
		f.Add(uint8(i), b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		switch kind % 8 {
		case 0:
			again[submitBody](t, b)
		case 1:
			again[endedBody](t, b)
		case 2:
			again[abandonBody](t, b)
		case 3:
			again[beatBody](t, b)
		case 4:
			again[jobAsk](t, b)
		case 5:
			again[jobTold](t, b)
		case 6:
			again[jobStore](t, b)
		default:
			again[directoryBody](t, b)
		}
	})
}

func again[T any](t *testing.T, b []byte) {
	var first, second T
	if wire.Decode(b, &first) != nil {
		return
	}
	out, err := wire.Encode(first)
	assert.NilError(t, err)
	assert.NilError(t, wire.Decode(out, &second))
}
