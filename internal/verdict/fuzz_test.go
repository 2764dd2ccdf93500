package verdict

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzUnmarshalText checks that any text is either refused or one of the four
// names.
func FuzzUnmarshalText(f *testing.F) {
	for v := NotRun; v <= Completed; v++ {
		f.Add(v.String())
	}
	f.Add("")
	f.Add("unknown")
	f.Add("not_run ")
	f.Fuzz(func(t *testing.T, s string) {
		var v Verdict
		if err := v.UnmarshalText([]byte(s)); err != nil {
			assert.Equal(t, v, Verdict(0))
			return
		}
		assert.Assert(t, v >= NotRun && v <= Completed)
		assert.Equal(t, v.String(), s)
	})
}
