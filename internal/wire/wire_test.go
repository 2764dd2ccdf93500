package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func encodeFrame(t testing.TB, ms ...Message) []byte {
	t.Helper()
	var buf bytes.Buffer
	assert.NilError(t, EncodeFrame(&buf, ms))
	return buf.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	type body struct {
		N int `cbor:"1,keyasint"`
	}
	m, err := NewMessage(Ledger, body{7})
	assert.NilError(t, err)

	ms, err := DecodeFrame(encodeFrame(t, m, m))

	assert.NilError(t, err)
	assert.Equal(t, len(ms), 2)
	var got body
	assert.NilError(t, Decode(ms[1].Body, &got))
	assert.Equal(t, got.N, 7)
}

func TestTypeNamesAreUnique(t *testing.T) {
	seen := map[string]Type{}
	for _, typ := range Types() {
		name := typ.String()
		assert.Assert(t, name != "" && name != "unknown", "type %d", typ)
		_, seenBefore := seen[name]
		assert.Assert(t, !seenBefore, "name %s is not unique", name)
		seen[name] = typ
	}
}

// FuzzDecodeFrame checks that arbitrary bytes give an error, or a frame that has the
// same messages after it is encoded and decoded again.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(encodeFrame(f))
	f.Add(encodeFrame(f, Message{Type: Ping, Body: []byte{0xa1, 1, 2}}, Message{Type: Run, Body: []byte{0xf6}}))
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x81, 0x82, 0x18, 0xc8, 0x01})
	f.Add([]byte{0x9f, 0x82, 0x03})
	f.Add(bytes.Repeat([]byte{0x81}, 64))
	rng := rand.New(rand.NewPCG(1, 2))
	good := encodeFrame(f, Message{Type: Ack, Body: []byte{0xa1, 1, 2}}, Message{Type: Ledger, Body: []byte{0x82, 0x18, 0x64, 0x61, 'a'}})
	for range 1000 {
		b := bytes.Clone(good)
		b[rng.IntN(len(b))] = byte(rng.Uint32())
		f.Add(b[:1+rng.IntN(len(b))])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		ms, err := DecodeFrame(b)
		if err != nil {
			return
		}
		decoded, err := DecodeFrame(encodeFrame(t, ms...))
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(ms))
		for i := range ms {
			assert.Equal(t, decoded[i].Type, ms[i].Type)
			assert.DeepEqual(t, []byte(decoded[i].Body), []byte(ms[i].Body))
		}
	})
}
