package api

import (
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
)

// FuzzRequestBody checks the assumptions of a refusal: in a body that decodes,
// findKey finds the key under which the request runs. A key that it finds in a
// body that does not decode is valid.
func FuzzRequestBody(f *testing.F) {
	const k = "coast/0190b5a3-7c1e-7000-8000-000000000001"
	for _, s := range []string{
		`{"kind":"unlock","team":"a","body":{}}`,
		`{"key":"` + k + `","kind":"unlock","team":"a","body":1,"deadline_ms":5}`,
		`{"key":"` + k + `","kind":7}`,
		`{"key":"` + k + `","Key":"x","kind":"unlock"}`,
		`{"key":null}`, `{"key":""}`, `{"key":"` + k + `"} {}`, `{"key":"coast/`, `[]`, `null`, ``,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		found, known := findKey(body)
		if !found.IsZero() {
			again, err := key.Parse(found.String())
			assert.NilError(t, err)
			assert.Equal(t, again, found)
		}
		var rb RequestBody
		if err := decodeStrict(body, &rb); err != nil {
			return
		}
		assert.Assert(t, known)
		want, err := key.Parse(rb.Key)
		if err != nil {
			want = key.Key{}
		}
		assert.Equal(t, found, want)
	})
}
