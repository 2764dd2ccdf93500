package peer

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/wire"
)

// TestQueueDeliversAtMostOnceInOrder runs a queue and its receiver through lost
// connections, lost acks, restarts of the numbering and dropped messages.
func TestQueueDeliversAtMostOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, in := newQueue(), inbound{}
		var sent, dropped int
		var got []int
		var pipe []wire.Message // sent on the connection, not arrived
		var seq uint64
		var handshakePosition streamPosition // the receiver's position in the last handshake
		connect := func() {
			pipe = nil
			if handshakePosition.Stream == q.stream && !q.acknowledge(handshakePosition.Next) {
				t.Fatalf("the receiver's position %d was rejected", handshakePosition.Next)
			}
			q.rewind()
			seq = q.nextSeq()
			in.startAt(1, q.stream, seq)
		}
		connect()
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				q.add([]wire.Message{{Type: wire.Run, Body: []byte{byte(sent >> 8), byte(sent)}}})
				sent++
			},
			"write":       func(t *rapid.T) { pipe = q.take(pipe, rapid.IntRange(1, 300).Draw(t, "limit")) },
			"handshake":   func(*rapid.T) { handshakePosition = in.streamPosition },
			"connect":     func(*rapid.T) { connect() },
			"receive ack": func(t *rapid.T) { assert.Assert(t, q.acknowledge(in.Next)) },
			"drop": func(*rapid.T) {
				dropped += q.dropAll()
				connect()
			},
			"arrive": func(t *rapid.T) {
				if len(pipe) == 0 {
					t.Skip("no message is in flight")
				}
				m := pipe[0]
				pipe = pipe[1:]
				if in.accept(seq) {
					got = append(got, int(m.Body[0])<<8|int(m.Body[1]))
				}
				seq++
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(got); i++ {
					assert.Assert(t, got[i-1] < got[i], "%v", got)
				}
				assert.Equal(t, q.bytes, queuedBytes(q.msgs))
			},
		})
		handshakePosition = in.streamPosition
		connect()
		for pipe = q.take(nil, 1<<20); len(pipe) > 0; pipe = pipe[1:] {
			assert.Assert(t, in.accept(seq))
			seq++
			got = append(got, 0)
		}
		assert.Assert(t, len(got)+dropped >= sent, "%d received and %d dropped of %d sent", len(got), dropped, sent)
	})
}

func TestAckOfUnsentMessageIsRejected(t *testing.T) {
	q := newQueue()
	q.add([]wire.Message{{Type: wire.Run}, {Type: wire.Run}})
	q.take(nil, 1)

	assert.Assert(t, q.acknowledge(2))
	assert.Assert(t, !q.acknowledge(3))
}
