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
	// maxBodyBytes bounds the body of a message. With its own overhead and that
	// of control messages it fits in a frame.
	maxBodyBytes = wire.MaxFrame - 1<<10
	// maxBatchBytes bounds a frame that holds several numbered messages.
	maxBatchBytes = 128 << 10
	// maxKeptBuffer is the largest buffer that is reused for the next frame, in
	// bytes.
	maxKeptBuffer = 64 << 10
	// silentHeartbeats is the number of heartbeat intervals without arrivals
	// after which a link is silent; together they are SilentAfter, or RelaxedSilentAfter.
	silentHeartbeats = 3
	// rttHeartbeats is the number of heartbeat intervals between two
	// measurements of the round trip on a busy link.
	rttHeartbeats = 6
	// ackQueueFraction bounds the received bytes without an ack: once
	// 1/ackQueueFraction of the peer's queue (QueueBytes) was received without
	// a frame to piggyback the ack on, a frame is sent for the ack alone.
	ackQueueFraction = 8
	// rttSmoothing is the inverse weight of a new sample, as in RFC 6298.
	rttSmoothing = 8
)

// heartbeat is the body of Ping and Pong: the pinging entry's clock in ns, which
// the Pong repeats.
type heartbeat struct {
	SentAt int64 `cbor:"1,keyasint"`
}

// ack is the body of Ack. Next is the lowest sequence number that its sender has
// not received. The first ack on a connection also names the sender's own stream,
// and in Start the sequence number of its first numbered message that follows.
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
	replaces     session        // last session of the dialer, which it has lost
	peerPosition streamPosition // how far the peer received this entry's stream, from the handshake

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
	reason    verdict.Reason
	wake      chan struct{}
	sawBytes  atomic.Bool // bytes arrived since the last heartbeat tick

	// Guarded by r.mu.
	timer             *time.Timer
	silentIntervals   int    // consecutive heartbeat intervals without arrivals
	intervalsSinceRTT int    // heartbeat intervals since the last round trip measurement
	ackStarted        bool   // the first ack was sent
	nextInSeq         uint64 // sequence number of the next numbered message to arrive, 0 before the first ack
	ackedNext         uint64 // Next of the last ack sent
	unackedBytes      int    // bytes received since the last ack sent
	ackDue            bool
	pingDue           bool
	pongDue           bool
	pingSentAt        int64 // SentAt of the ping that the pong is due for
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

// start starts the goroutines and the timer of the connection.
func (l *link) start() {
	n := l.r.node
	l.r.mu.Lock()
	l.timer = time.AfterFunc(l.r.heartbeatInterval(), l.onHeartbeatTick)
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

// close closes the connection; readLoop then removes it from the remote. Only the
// first call has an effect and sets the reason.
func (l *link) close(reason verdict.Reason) {
	l.closeOnce.Do(func() {
		l.reason = reason
		l.cancel()
	})
}

// wakeWriter makes writeLoop check for messages to send.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ping makes writeLoop send a Ping. The peer responds with a Pong and an ack. The
// caller holds r.mu.
func (l *link) ping() {
	l.pingDue = true
	l.wakeWriter()
}

// onHeartbeatTick runs once per heartbeat interval and closes a silent link. It
// counts intervals instead of comparing clock times, so that a pause of this
// process does not close links.
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
	l.timer.Reset(l.r.heartbeatInterval())
}

// writeLoop sends queued and control messages until the connection is closed.
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

// nextBatch appends the messages of the next frame to dst, none if nothing is due.
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

// appendControl appends the control messages that are due. The caller holds r.mu.
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

// clockOrigin is the zero time of the clock in heartbeats.
var clockOrigin = time.Now()

// mustMessage encodes a control message. It panics on an error, which a control
// message can't cause.
func mustMessage(t wire.Type, body any) wire.Message {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		panic(err)
	}
	return m
}
