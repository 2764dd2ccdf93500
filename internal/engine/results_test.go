package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// sentResults records the batches that a resultBatcher sends.
type sentResults struct{ batches [][]runResult }

func (s *sentResults) send(_ string, rs []runResult) { s.batches = append(s.batches, rs) }

func completed(id uint64) runResult {
	return runResult{ID: id, Outcome: structs.Outcome{Verdict: verdict.Completed}}
}

func TestJobResultsSentAfterLastTask(t *testing.T) {
	var sent sentResults
	r := newResultBatcher(sent.send)
	id := peerJobID{"e1", 7}
	now := time.Unix(0, 0)
	for range 3 {
		r.expect(id)
	}

	r.add(id, completed(1), now)
	r.add(id, completed(2), now)
	r.flush(now.Add(maxResultDelay / 2))
	assert.Equal(t, len(sent.batches), 0)
	r.add(id, completed(3), now)

	assert.Equal(t, len(sent.batches), 1)
	assert.Equal(t, len(sent.batches[0]), 3)
	assert.Equal(t, len(r.jobs), 0)
}

func TestHeldResultsSentOnFailureOrDelay(t *testing.T) {
	var sent sentResults
	r := newResultBatcher(sent.send)
	id := peerJobID{"e1", 7}
	now := time.Unix(0, 0)
	for range 4 {
		r.expect(id)
	}

	r.add(id, completed(1), now)
	r.flush(now.Add(maxResultDelay))
	r.add(id, completed(2), now)
	r.add(id, runResult{ID: 3, Outcome: structs.Outcome{Verdict: verdict.Failed}}, now)

	assert.Equal(t, len(sent.batches), 2)
	assert.Equal(t, len(sent.batches[0]), 1)
	assert.Equal(t, len(sent.batches[1]), 2)
}
