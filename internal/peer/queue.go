package peer

import (
	"math/rand/v2"

	"currantstall/internal/wire"
)

// messageOverhead is the memory that a queued message uses besides its body, in
// bytes.
const messageOverhead = 64

// queue holds the numbered messages of one stream that the peer has not
// acknowledged. The first `sent` of them were already sent on the current
// connection. Sequence numbers begin at 1.
type queue struct {
	stream   uint64
	firstSeq uint64 // sequence number of msgs[0]
	sent     int
	sentEnd  uint64 // one above the highest sequence number ever sent on any connection
	msgs     []wire.Message
	bytes    int
}

func newQueue() queue { return queue{stream: rand.Uint64(), firstSeq: 1, sentEnd: 1} }

func queuedBytes(msgs []wire.Message) int {
	n := 0
	for _, m := range msgs {
		n += len(m.Body) + messageOverhead
	}
	return n
}

func (q *queue) add(msgs []wire.Message) {
	q.msgs = append(q.msgs, msgs...)
	q.bytes += queuedBytes(msgs)
}

// dropAll drops every held message and returns how many there were. Their sequence
// numbers are not reused: the first ack on the next connection tells the peer the
// next number.
func (q *queue) dropAll() int {
	n := len(q.msgs)
	q.firstSeq += uint64(n)
	q.sentEnd = max(q.sentEnd, q.firstSeq)
	q.msgs, q.bytes, q.sent = nil, 0, 0
	return n
}

// nextSeq returns the sequence number of the next message to send.
func (q *queue) nextSeq() uint64 { return q.firstSeq + uint64(q.sent) }

// acknowledge drops the messages with sequence numbers below next. It reports false
// if not all of them were ever sent.
func (q *queue) acknowledge(next uint64) bool {
	if next > q.sentEnd {
		return false
	}
	if next <= q.firstSeq {
		return true
	}
	n := int(next - q.firstSeq)
	q.bytes -= queuedBytes(q.msgs[:n])
	clear(q.msgs[:n])
	q.msgs = q.msgs[n:]
	q.firstSeq = next
	q.sent = max(0, q.sent-n)
	return true
}

// rewind marks every held message as unsent, for a new connection.
func (q *queue) rewind() { q.sent = 0 }

// take appends unsent messages to dst up to limit bytes, but at least one if there
// is any, and marks them as sent.
func (q *queue) take(dst []wire.Message, limit int) []wire.Message {
	for size := 0; q.sent < len(q.msgs); q.sent++ {
		m := q.msgs[q.sent]
		if size > 0 && size+len(m.Body) > limit {
			break
		}
		size += len(m.Body) + messageOverhead
		dst = append(dst, m)
	}
	q.sentEnd = max(q.sentEnd, q.nextSeq())
	return dst
}

// inbound records how far the stream of one incarnation of the peer was received.
type inbound struct {
	incarnation uint64
	streamPosition
}

// startAt records that the next sequence number on a new connection is start.
// Lower numbers that were not received are lost: the sender has dropped them.
func (in *inbound) startAt(incarnation, stream, start uint64) {
	if in.incarnation != incarnation || in.Stream != stream {
		*in = inbound{incarnation, streamPosition{stream, start}}
	}
	in.Next = max(in.Next, start)
}

// accept reports whether the message with this sequence number was not received
// before, and records it as received.
func (in *inbound) accept(seq uint64) bool {
	if seq < in.Next {
		return false
	}
	in.Next = seq + 1
	return true
}
