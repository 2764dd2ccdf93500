package peer

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// read delivers frames until the connection is closed, then takes it out.
func (l *link) read() {
	err := l.readFrames()
	reason := reasonOf(err)
	l.close(reason)
	l.timer.Stop()
	_ = l.conn.CloseNow()
	n := l.r.node
	n.counters.closed(l.reason)
	n.log.Info("peer link closed", "peer", l.peer.Name, "reason", l.reason, "err", err)
	l.r.down(l)
}

func (l *link) readFrames() error {
	var buf bytes.Buffer
	for {
		typ, src, err := l.conn.Reader(l.ctx)
		if err != nil {
			return err
		}
		if typ != websocket.MessageBinary {
			return refusal(verdict.BadFrame, "a frame is not binary")
		}
		buf.Reset()
		if _, err := buf.ReadFrom(hearing{src, &l.heard}); err != nil {
			return err
		}
		ms, err := wire.DecodeFrame(buf.Bytes())
		if err != nil {
			return refusal(verdict.BadFrame, "%w", err)
		}
		if err := l.receive(ms); err != nil {
			return err
		}
		if buf.Cap() > keepBuffer {
			buf = bytes.Buffer{}
		}
	}
}

// hearing notes each arrival of bytes, so that a long frame is no silence.
type hearing struct {
	src   io.Reader
	heard *atomic.Bool
}

func (h hearing) Read(b []byte) (int, error) {
	n, err := h.src.Read(b)
	if n > 0 {
		h.heard.Store(true)
	}
	return n, err
}

// receive takes a frame and delivers what is new in it.
func (l *link) receive(ms []wire.Message) error {
	l.r.node.counters.received(ms)
	l.r.deliver.Lock()
	defer l.r.deliver.Unlock()
	fresh, err := l.accept(ms)
	for _, m := range fresh {
		l.r.node.handler.Receive(l.peer, m)
	}
	return err
}

// accept handles the link's own messages and returns the numbered ones that
// were not received before, in order.
func (l *link) accept(ms []wire.Message) ([]wire.Message, error) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.link != l {
		return nil, refusal(verdict.LinkDown, "replaced by another connection")
	}
	fresh := ms[:0]
	for _, m := range ms {
		if !m.Type.Numbered() {
			if err := l.acceptControl(m); err != nil {
				return fresh, err
			}
			continue
		}
		if l.seq == 0 {
			return fresh, refusal(verdict.BadFrame, "a message before the first receipt")
		}
		if l.isNew(m) {
			fresh = append(fresh, m)
		}
	}
	return fresh, nil
}

// isNew counts a numbered message in and reports whether it is the next one.
// The caller holds r.mu.
func (l *link) isNew(m wire.Message) bool {
	number := l.seq
	l.seq++
	if !l.r.in.take(number) {
		l.r.node.counters.dropped(verdict.Duplicate, 1)
		return false
	}
	l.unacked += len(m.Body) + messageOverhead
	if l.unacked > l.r.node.cfg.QueueBytes/ackFraction {
		l.ackDue = true
		l.poke()
	}
	return true
}

// acceptControl handles a message of the link itself. The caller holds r.mu.
func (l *link) acceptControl(m wire.Message) error {
	switch m.Type {
	case wire.Ack:
		return l.acceptReceipt(m)
	case wire.Ping, wire.Pong:
		var b beat
		if err := wire.Decode(m.Body, &b); err != nil {
			return refusal(verdict.BadFrame, "%w", err)
		}
		if m.Type == wire.Ping {
			l.pongDue, l.echo = true, b.Sent
			l.poke()
			return nil
		}
		l.sample(time.Since(epoch) - time.Duration(b.Sent))
		return nil
	}
	return refusal(verdict.BadFrame, "a %s message on a link", m.Type)
}

func (l *link) acceptReceipt(m wire.Message) error {
	var rc receipt
	if err := wire.Decode(m.Body, &rc); err != nil {
		return refusal(verdict.BadFrame, "%w", err)
	}
	if rc.Next != 0 && !l.r.out.ack(rc.Next) {
		return refusal(verdict.BadFrame, "receipt of message %d, which was never sent", rc.Next)
	}
	if rc.Start == 0 {
		return nil
	}
	if l.seq != 0 {
		return refusal(verdict.BadFrame, "the numbering starts twice")
	}
	l.seq = rc.Start
	l.r.in.begin(l.peer.Incarnation, rc.Stream, rc.Start)
	l.acked = l.r.in.Next
	return nil
}

// sample smooths a round trip into the estimate. The caller holds r.mu.
func (l *link) sample(d time.Duration) {
	if d <= 0 {
		return
	}
	l.sinceRTT = 0
	if l.r.rtt == 0 {
		l.r.rtt = d
		return
	}
	l.r.rtt += (d - l.r.rtt) / rttWeight
}
