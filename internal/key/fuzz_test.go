package key

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParse checks that any text is either refused or a key whose text form
// parses as the same key.
func FuzzParse(f *testing.F) {
	f.Add("rennes/0190a0c0-0000-7000-8000-000000000000")
	f.Add("rennes/0190A0C0-0000-7000-8000-000000000000")
	f.Add("rennes/{0190a0c0-0000-7000-8000-00000000000}")
	f.Add("/")
	f.Add("a/b/0190a0c0-0000-7000-8000-000000000000")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err != nil {
			return
		}
		assert.Assert(t, ValidName(k.DC))
		assert.Assert(t, len(k.String()) <= maxNameLen+1+36)
		again, err := Parse(k.String())
		assert.NilError(t, err)
		assert.Equal(t, again, k)
	})
}
