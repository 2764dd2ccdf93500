package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNewLeaderScansForStoredJobsUnlessNoneWereFound(t *testing.T) {
	var e existence
	assert.Assert(t, e.mustScan(), "nobody has looked yet")
	e.foundNone()
	assert.Assert(t, !e.mustScan())
	e.foundJobs()
	assert.Assert(t, e.mustScan())
	e.foundNone()
	assert.Assert(t, e.mustScan(), "what is open comes and goes")
}
