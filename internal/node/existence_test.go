package node

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNewLeaderLooksForStoredJobsUnlessOneFoundNone(t *testing.T) {
	var e existence
	assert.Assert(t, e.mustLook(), "nobody has looked yet")
	e.sawNone()
	assert.Assert(t, !e.mustLook())
	e.sawSome()
	assert.Assert(t, e.mustLook())
	e.sawNone()
	assert.Assert(t, e.mustLook(), "what is open comes and goes")
}
