package engine

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/wire"
)

// Without these two fields, a peer ordered offloaded tasks as jobs of one task, and sent
// the results of all jobs of an entry in one batch.
func TestOffloadedTaskKeepsJobSizeAndWorkID(t *testing.T) {
	b, err := wire.Encode(runBatch{Tasks: []taskSpec{{Kind: "unlock", WorkID: 7, JobSize: 12}}})
	assert.NilError(t, err)
	var got runBatch
	assert.NilError(t, wire.Decode(b, &got))
	assert.Equal(t, got.Tasks[0].WorkID, uint64(7))
	assert.Equal(t, got.Tasks[0].JobSize, 12)
}
