package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNewLeaderScansForStoredJobsUnlessNoneWereFound(t *testing.T) {
	var e existence
	assert.Assert(t, e.mustScan(), "no leader has scanned the store yet")
	e.foundNone()
	assert.Assert(t, !e.mustScan())
	e.foundJobs()
	assert.Assert(t, e.mustScan())
	e.foundNone()
	assert.Assert(t, e.mustScan(), "stored jobs existed before, so new ones may exist now")
}
