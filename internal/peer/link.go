package peer

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

const (
	// maxBodyBytes bounds the body of a message, in bytes: with its own and the
	// control messages' overhead it fits in a frame.
	maxBodyBytes = wire.MaxFrame - 1<<10
	// maxBatchBytes is how much goes into a frame that holds several messages.
	maxBatchBytes = 128 << 10
	// maxKeptBuffer is the largest buffer kept between frames, in bytes.
	maxKeptBuffer = 64 << 10
	// silentHeartbeats is the number of heartbeat intervals in SilentAfter.
	silentHeartbeats = 3
	// rttHeartbeats is how often the round trip is measured on a busy link, in
	// heartbeat intervals.
	rttHeartbeats = 6
	// ackQueueFraction: once 1/ackQueueFraction of the peer's queue was received without
	// a frame to piggyback the receipt on, the receipt is sent by itself.
	ackQueueFraction = 8
	// rttSmoothing is the weight of a new sample, as in RFC 6298.
	rttSmoothing = 8
)

// heartbeat (a heartbeat) is the body of Ping and Pong: the pinger's clock, which the answer
// repeats, in ns.
type heartbeat struct {
	SentAt int64 `cbor:"1,keyasint"`
}

// ack is the body of Ack. Next is the first number that the sender of the
// ack lacks. The first ack on a connection also says which of its own
// numbers the first numbered message after it has, in which stream.
type ack struct {
	Next   uint64 `cbor:"1,keyasint,omitempty"`
	Stream uint64 `cbor:"2,keyasint,omitempty"`
	Start  uint64 `cbor:"3,keyasint,omitempty"`
}

// link is one connection to a peer.
type link struct {
	r            *remote
	conn         *websocket.Conn
	peer         Peer
	dialer       string // name of the end that dialled
	session      session
	replaces     session        // session that the dialer had lost before
	peerPosition streamPosition // in the own stream, as the peer said in the handshake

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
	reason    verdict.Reason
	wake      chan struct{}
	sawBytes  atomic.Bool

	// Guarded by r.mu.
	timer             *time.Timer
	silentIntervals   int    // heartbeat intervals in which nothing arrived
	intervalsSinceRTT int    // heartbeat intervals since a round trip was measured
	ackStarted        bool   // the first receipt is sent
	nextInSeq         uint64 // number of the next numbered message to arrive, 0 before the first receipt
	ackedNext         uint64 // Next of the last receipt sent
	unackedBytes      int    // bytes received since then
	ackDue            bool
	pingDue           bool
	pongDue           bool
	pingSentAt        int64 // of the ping to answer
}

func (n *Node) newLink(c *websocket.Conn, p Peer, dialer string, h hello, g greeting, peerPosition streamPosition) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	c.SetReadLimit(wire.MaxFrame)
	return &link{
		conn:         c,
		peer:         p,
		dialer:       dialer,
		session:      sessionOf(h, g),
		replaces:     h.LastSession,
		peerPosition: peerPosition,
		ctx:          ctx,
		cancel:       cancel,
		wake:         make(chan struct{}, 1),
	}
}

// start runs the connection until it is closed.
func (l *link) start() {
	n := l.r.node
	l.r.mu.Lock()
	l.timer = time.AfterFunc(n.cfg.SilentAfter/silentHeartbeats, l.onHeartbeatTick)
	l.r.mu.Unlock()
	if !n.spawn(l.readLoop) {
		l.close(verdict.LinkDown)
		l.timer.Stop()
		_ = l.conn.CloseNow()
		return
	}
	n.spawn(l.writeLoop)
	l.wakeWriter()
}

// close ends the connection; the reader then takes it out. The first reason
// counts.
func (l *link) close(reason verdict.Reason) {
	l.closeOnce.Do(func() {
		l.reason = reason
		l.cancel()
	})
}

// wakeWriter wakes the writer.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ping asks the peer for an answer and a receipt. The caller holds r.mu.
func (l *link) ping() {
	l.pingDue = true
	l.wakeWriter()
}

// onHeartbeatTick counts silent intervals and closes a silent link. Intervals are counted,
// not clock time, so that a pause of this process closes no link.
func (l *link) onHeartbeatTick() {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	l.silentIntervals++
	if l.sawBytes.Swap(false) {
		l.silentIntervals = 0
	}
	if l.silentIntervals >= silentHeartbeats {
		l.close(verdict.PeerSilent)
		return
	}
	l.intervalsSinceRTT++
	if l.silentIntervals > 0 || l.intervalsSinceRTT >= rttHeartbeats {
		l.ping()
	}
	l.timer.Reset(l.r.node.cfg.SilentAfter / silentHeartbeats)
}

// writeLoop sends what is ready until the connection is closed.
func (l *link) writeLoop() {
	var buf bytes.Buffer
	var batch []wire.Message
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		}
		for {
			batch = l.nextBatch(batch[:0])
			if len(batch) == 0 {
				break
			}
			if err := l.writeFrame(&buf, batch); err != nil {
				l.close(verdict.LinkDown)
				return
			}
			clear(batch)
		}
	}
}

func (l *link) writeFrame(buf *bytes.Buffer, batch []wire.Message) error {
	buf.Reset()
	if err := wire.EncodeFrame(buf, batch); err != nil {
		return err
	}
	l.r.node.counters.countSent(batch)
	err := l.conn.Write(l.ctx, websocket.MessageBinary, buf.Bytes())
	if buf.Cap() > maxKeptBuffer {
		*buf = bytes.Buffer{}
	}
	return err
}

// nextBatch returns the messages of the next frame, none if nothing is due.
func (l *link) nextBatch(dst []wire.Message) []wire.Message {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.link != l {
		return dst
	}
	out := &l.r.out
	if !l.ackDue && !l.pingDue && !l.pongDue && out.sent == len(out.msgs) {
		return dst
	}
	dst = l.appendControl(dst)
	return out.take(dst, maxBatchBytes)
}

// appendControl appends the messages of the link itself. The caller holds r.mu.
func (l *link) appendControl(dst []wire.Message) []wire.Message {
	var a ack
	if l.nextInSeq != 0 && l.r.in.Next != l.ackedNext {
		a.Next = l.r.in.Next
		l.ackedNext, l.unackedBytes = a.Next, 0
	}
	if !l.ackStarted {
		a.Stream, a.Start = l.r.out.stream, l.r.out.nextSeq()
		l.ackStarted = true
	}
	if a != (ack{}) {
		dst = append(dst, mustMessage(wire.Ack, a))
	}
	if l.pingDue {
		dst = append(dst, mustMessage(wire.Ping, heartbeat{int64(time.Since(clockOrigin))}))
	}
	if l.pongDue {
		dst = append(dst, mustMessage(wire.Pong, heartbeat{l.pingSentAt}))
	}
	l.ackDue, l.pingDue, l.pongDue = false, false, false
	return dst
}

// clockOrigin is the zero of the clock in pings.
var clockOrigin = time.Now()

// mustMessage encodes the link's own messages, which always encode.
func mustMessage(t wire.Type, body any) wire.Message {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		panic(err)
	}
	return m
}
