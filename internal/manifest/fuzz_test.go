package manifest

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/examples"
)

// FuzzDecode checks that each manifest that Decode accepts has one canonical
// form: the text from EncodeYAML decodes to an equal manifest.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{goodYAML, string(examples.Kelpfire), string(examples.Office), `{"kinds": []} {}`, `{"kinds":[{"name":"a"}]}`, "kinds: [{}]", "---\n", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		out, err := m.EncodeYAML()
		assert.NilError(t, err)
		again, err := Decode(out)
		assert.NilError(t, err, "%s", out)
		again.Version = m.Version
		assert.DeepEqual(t, again, m)
	})
}
