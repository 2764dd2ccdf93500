package verdict

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFromErrorFindsWrappedError(t *testing.T) {
	cause := errors.New("refused")
	e := New(NotRun, DialFailed, "dial target: %w", cause)
	wrapped := fmt.Errorf("start: %w", e)

	got := FromError(wrapped)

	assert.Equal(t, got.Verdict, NotRun)
	assert.Equal(t, got.Reason, DialFailed)
	assert.ErrorIs(t, wrapped, cause)
	assert.Equal(t, e.WithRetryAfter(time.Second).RetryAfter, time.Second)
}

func TestFromErrorOfUntypedErrorIsMayHaveRun(t *testing.T) {
	assert.Equal(t, FromError(errors.New("x")).Verdict, MayHaveRun)
	assert.Assert(t, FromError(nil) == nil)
}

func TestVerdictTextRoundTrip(t *testing.T) {
	for v := NotRun; v <= Completed; v++ {
		got, err := Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, got, v)
	}
	_, err := Parse("maybe")
	assert.ErrorContains(t, err, "unknown verdict")
}
