package key

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestKeyRoundTrip(t *testing.T) {
	k, err := New("rennes")
	assert.NilError(t, err)

	got, err := Parse(k.String())

	assert.NilError(t, err)
	assert.Equal(t, got, k)
	age := time.Since(k.MintedAt())
	assert.Assert(t, age >= 0 && age < time.Minute, "age %v", age)
}

func TestParseRejectsInvalidKeys(t *testing.T) {
	good, err := New("rennes")
	assert.NilError(t, err)
	for _, s := range []string{
		"",
		"rennes",
		"rennes/",
		"Rennes/" + good.ID.String(),
		"/" + good.ID.String(),
		"rennes/{" + good.ID.String() + "}",
		"rennes/urn:uuid:" + good.ID.String(),
		"rennes/c56a4180-65aa-42ec-a945-5fd21dec0538",
		strings.Repeat("r", 33) + "/" + good.ID.String(),
	} {
		_, err := Parse(s)
		assert.Assert(t, err != nil, "%q was accepted", s)
	}
}
