package fleet

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/wire"
)

// Releases that know nothing of open runs read a record that names some, and the largest one fits into a row of the store.
func TestRecordWithOpenRuns(t *testing.T) {
	const rowBytes, longestID, tasks = 64 << 10, 200, 1000
	rec := Record{State: JobRunning, FailedRuns: map[int]int{3: 4097}}
	for i := range MaxOpenTargets {
		rec.Open = append(rec.Open, OpenRuns{
			Target: fmt.Sprintf("%03d", i) + strings.Repeat("x", longestID-3), Addr: "[2001:0db8:0000:0000:0000:0000:0000:0001]:65535",
			Incarnation: 1 << 50, LeaseMS: 1 << 50, Runs: map[int]int{},
		})
	}
	for task := range tasks {
		rec.SetDone(task)
		rec.Open[task%MaxOpenTargets].Runs[task] = 1 << 20
	}
	value, err := wire.Encode(rec)
	assert.NilError(t, err)
	assert.Assert(t, len(value) < rowBytes, "%d bytes", len(value))
	var got Record
	assert.NilError(t, wire.Decode(value, &got))
	assert.DeepEqual(t, got, rec)
	var before struct {
		State      JobState    `cbor:"1,keyasint,omitempty"`
		FailedRuns map[int]int `cbor:"6,keyasint,omitempty"`
	}
	assert.NilError(t, wire.Decode(value, &before))
	assert.Equal(t, before.State, JobRunning)
	assert.DeepEqual(t, before.FailedRuns, rec.FailedRuns)
}
