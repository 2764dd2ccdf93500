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
	// maxBody bounds the body of a message, in bytes: with its own and the
	// control messages' overhead it fits in a frame.
	maxBody = wire.MaxFrame - 1<<10
	// batchBytes is how much goes into a frame that holds several messages.
	batchBytes = 128 << 10
	// keepBuffer is the largest buffer kept between frames, in bytes.
	keepBuffer = 64 << 10
	// beats is the number of heartbeat intervals in SilentAfter.
	beats = 3
	// rttBeats is how often the round trip is measured on a busy link, in
	// heartbeat intervals.
	rttBeats = 6
	// ackFraction: once 1/ackFraction of the peer's queue was received without
	// a frame to piggyback the receipt on, the receipt is sent by itself.
	ackFraction = 8
	// rttWeight is the weight of a new sample, as in RFC 6298.
	rttWeight = 8
)

// beat (a heartbeat) is the body of Ping and Pong: the pinger's clock, which the answer
// repeats, in ns.
type beat struct {
	Sent int64 `cbor:"1,keyasint"`
}

// receipt is the body of Ack. Next is the first number that the sender of the
// receipt lacks. The first receipt on a connection also says which of its own
// numbers the first numbered message after it has, in which stream.
type receipt struct {
	Next   uint64 `cbor:"1,keyasint,omitempty"`
	Stream uint64 `cbor:"2,keyasint,omitempty"`
	Start  uint64 `cbor:"3,keyasint,omitempty"`
}

// link is one connection to a peer.
type link struct {
	r       *remote
	conn    *websocket.Conn
	peer    Peer
	dialer  string // name of the end that dialled
	session session
	lost    session  // session that the dialer had lost before
	want    position // in the own stream, as the peer said in the handshake

	ctx    context.Context
	cancel context.CancelFunc
	once   sync.Once
	reason verdict.Reason
	wake   chan struct{}
	heard  atomic.Bool

	// Guarded by r.mu.
	timer    *time.Timer
	missed   int    // heartbeat intervals in which nothing arrived
	sinceRTT int    // heartbeat intervals since a round trip was measured
	started  bool   // the first receipt is sent
	seq      uint64 // number of the next numbered message to arrive, 0 before the first receipt
	acked    uint64 // Next of the last receipt sent
	unacked  int    // bytes received since then
	ackDue   bool
	pingDue  bool
	pongDue  bool
	echo     int64 // of the ping to answer
}

func (n *Node) newLink(c *websocket.Conn, p Peer, dialer string, h hello, g greeting, want position) *link {
	ctx, cancel := context.WithCancel(n.ctx)
	c.SetReadLimit(wire.MaxFrame)
	return &link{
		conn:    c,
		peer:    p,
		dialer:  dialer,
		session: sessionOf(h, g),
		lost:    h.Lost,
		want:    want,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
	}
}

// start runs the connection until it is closed.
func (l *link) start() {
	n := l.r.node
	l.r.mu.Lock()
	l.timer = time.AfterFunc(n.cfg.SilentAfter/beats, l.beat)
	l.r.mu.Unlock()
	if !n.start(l.read) {
		l.close(verdict.LinkDown)
		l.timer.Stop()
		_ = l.conn.CloseNow()
		return
	}
	n.start(l.write)
	l.poke()
}

// close ends the connection; the reader then takes it out. The first reason
// counts.
func (l *link) close(reason verdict.Reason) {
	l.once.Do(func() {
		l.reason = reason
		l.cancel()
	})
}

// poke wakes the writer.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// ping asks the peer for an answer and a receipt. The caller holds r.mu.
func (l *link) ping() {
	l.pingDue = true
	l.poke()
}

// beat counts silent intervals and closes a silent link. Intervals are counted,
// not clock time, so that a pause of this process closes no link.
func (l *link) beat() {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	l.missed++
	if l.heard.Swap(false) {
		l.missed = 0
	}
	if l.missed >= beats {
		l.close(verdict.PeerSilent)
		return
	}
	l.sinceRTT++
	if l.missed > 0 || l.sinceRTT >= rttBeats {
		l.ping()
	}
	l.timer.Reset(l.r.node.cfg.SilentAfter / beats)
}

// write sends what is ready until the connection is closed.
func (l *link) write() {
	var buf bytes.Buffer
	var batch []wire.Message
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		}
		for {
			batch = l.batch(batch[:0])
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
	l.r.node.counters.sent(batch)
	err := l.conn.Write(l.ctx, websocket.MessageBinary, buf.Bytes())
	if buf.Cap() > keepBuffer {
		*buf = bytes.Buffer{}
	}
	return err
}

// batch returns the messages of the next frame, none if nothing is due.
func (l *link) batch(dst []wire.Message) []wire.Message {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.link != l {
		return dst
	}
	out := &l.r.out
	if !l.ackDue && !l.pingDue && !l.pongDue && out.sent == len(out.msgs) {
		return dst
	}
	dst = l.control(dst)
	return out.take(dst, batchBytes)
}

// control appends the messages of the link itself. The caller holds r.mu.
func (l *link) control(dst []wire.Message) []wire.Message {
	var rc receipt
	if l.seq != 0 && l.r.in.Next != l.acked {
		rc.Next = l.r.in.Next
		l.acked, l.unacked = rc.Next, 0
	}
	if !l.started {
		rc.Stream, rc.Start = l.r.out.stream, l.r.out.next()
		l.started = true
	}
	if rc != (receipt{}) {
		dst = append(dst, mustMessage(wire.Ack, rc))
	}
	if l.pingDue {
		dst = append(dst, mustMessage(wire.Ping, beat{int64(time.Since(epoch))}))
	}
	if l.pongDue {
		dst = append(dst, mustMessage(wire.Pong, beat{l.echo}))
	}
	l.ackDue, l.pingDue, l.pongDue = false, false, false
	return dst
}

// epoch is the zero of the clock in pings.
var epoch = time.Now()

// mustMessage encodes the link's own messages, which always encode.
func mustMessage(t wire.Type, body any) wire.Message {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		panic(err)
	}
	return m
}
