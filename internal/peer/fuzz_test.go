package peer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// FuzzHello checks that an arbitrary first frame gives an error, or a hello with
// valid fields.
func FuzzHello(f *testing.F) {
	n := &Node{cfg: Config{Self: structs.Member{Name: "self"}}, counters: newCounters(metrics.NewNop())}
	good := hello{Version: wire.Version, Self: structs.Member{Name: "x"}, DC: "rennes", To: "self", Nonce: newNonce()}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, m := range []wire.Message{
		mustMessage(wire.Hello, good),
		mustMessage(wire.Hello, greeting{}),
		mustMessage(wire.Ping, heartbeat{1}),
	} {
		var buf bytes.Buffer
		assert.NilError(f, wire.EncodeFrame(&buf, []wire.Message{m}))
		f.Add(buf.Bytes())
		for range 300 {
			b := bytes.Clone(buf.Bytes())
			b[rng.IntN(len(b))] = byte(rng.Uint32())
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h hello
		if n.decodeHandshake(b, wire.Hello, &h) != nil || n.checkPeer(h.Version, h.Self, h.DC, h.Nonce) != nil {
			return
		}
		assert.Equal(t, len(h.Nonce), nonceSize)
		assert.Assert(t, len(h.Self.Name) <= 32 && h.Self.Name != "self")
		assert.Assert(t, len(h.Self.Addr) <= maxAddrBytes)
	})
}

// FuzzLink checks that an arbitrary control message gives an error, or acknowledges
// no message that was not sent.
func FuzzLink(f *testing.F) {
	for _, m := range []wire.Message{
		mustMessage(wire.Ack, ack{Next: 1, Stream: 5, Start: 3}),
		mustMessage(wire.Ack, ack{Next: 2}),
		mustMessage(wire.Pong, heartbeat{-1}),
		mustMessage(wire.Ping, heartbeat{1 << 62}),
	} {
		f.Add(uint8(m.Type), []byte(m.Body))
	}
	f.Fuzz(func(t *testing.T, typ uint8, body []byte) {
		r := newRemote(nil, "x")
		r.out.add([]wire.Message{{Type: wire.Run}, {Type: wire.Run}})
		r.out.take(nil, 1)
		l := &link{r: r, wake: make(chan struct{}, 1)}
		if wire.Type(typ).Numbered() {
			return
		}
		if err := l.acceptControl(wire.Message{Type: wire.Type(typ), Body: body}); err != nil {
			return
		}
		assert.Assert(t, r.out.firstSeq <= 2 && len(r.out.msgs) >= 1)
		assert.Assert(t, r.in.Next >= l.nextInSeq)
	})
}
