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

// readLoop delivers frames until the connection is closed, then removes it from
// the remote.
func (l *link) readLoop() {
	err := l.readFrames()
	reason := reasonOf(err)
	l.close(reason)
	l.timer.Stop()
	_ = l.conn.CloseNow()
	n := l.r.node
	n.counters.countClosed(l.reason)
	n.log.Info("peer link closed", "peer", l.peer.Name, "reason", l.reason, "err", err)
	l.r.removeLink(l)
}

func (l *link) readFrames() error {
	var buf bytes.Buffer
	for {
		typ, src, err := l.conn.Reader(l.ctx)
		if err != nil {
			return err
		}
		if typ != websocket.MessageBinary {
			return newLinkError(verdict.BadFrame, "frame is not a binary message")
		}
		buf.Reset()
		if _, err := buf.ReadFrom(activityReader{src, &l.sawBytes}); err != nil {
			return err
		}
		ms, err := wire.DecodeFrame(buf.Bytes())
		if err != nil {
			return newLinkError(verdict.BadFrame, "%w", err)
		}
		if err := l.deliver(ms); err != nil {
			return err
		}
		if buf.Cap() > maxKeptBuffer {
			buf = bytes.Buffer{}
		}
	}
}

// activityReader records that bytes arrive while a frame is read, so that a link
// with a long frame does not count as silent.
type activityReader struct {
	src      io.Reader
	sawBytes *atomic.Bool
}

func (h activityReader) Read(b []byte) (int, error) {
	n, err := h.src.Read(b)
	if n > 0 {
		h.sawBytes.Store(true)
	}
	return n, err
}

// deliver processes a frame and passes its new messages to the handler.
func (l *link) deliver(ms []wire.Message) error {
	l.r.node.counters.countReceived(ms)
	l.r.handlerMu.Lock()
	defer l.r.handlerMu.Unlock()
	fresh, err := l.filterNew(ms)
	for _, m := range fresh {
		l.r.node.handler.Receive(l.peer, m)
	}
	return err
}

// filterNew processes the control messages of a frame and returns the numbered
// messages that were not received before, in order.
func (l *link) filterNew(ms []wire.Message) ([]wire.Message, error) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.link != l {
		return nil, newLinkError(verdict.LinkDown, "connection replaced by another one")
	}
	fresh := ms[:0]
	for _, m := range ms {
		if !m.Type.Numbered() {
			if err := l.acceptControl(m); err != nil {
				return fresh, err
			}
			continue
		}
		if l.nextInSeq == 0 {
			return fresh, newLinkError(verdict.BadFrame, "numbered message before the first ack")
		}
		if l.acceptNumbered(m) {
			fresh = append(fresh, m)
		}
	}
	return fresh, nil
}

// acceptNumbered records the receipt of a numbered message and reports whether it
// was not received before. The caller holds r.mu.
func (l *link) acceptNumbered(m wire.Message) bool {
	seq := l.nextInSeq
	l.nextInSeq++
	if !l.r.in.accept(seq) {
		l.r.node.counters.countDropped(verdict.Duplicate, 1)
		return false
	}
	l.unackedBytes += len(m.Body) + messageOverhead
	if l.unackedBytes > l.r.node.cfg.QueueBytes/ackQueueFraction {
		l.ackDue = true
		l.wakeWriter()
	}
	return true
}

// acceptControl processes a control message. The caller holds r.mu.
func (l *link) acceptControl(m wire.Message) error {
	switch m.Type {
	case wire.Ack:
		return l.acceptAck(m)
	case wire.Ping, wire.Pong:
		var hb heartbeat
		if err := wire.Decode(m.Body, &hb); err != nil {
			return newLinkError(verdict.BadFrame, "%w", err)
		}
		if m.Type == wire.Ping {
			l.pongDue, l.pingSentAt = true, hb.SentAt
			l.wakeWriter()
			return nil
		}
		l.addRTTSample(time.Since(clockOrigin) - time.Duration(hb.SentAt))
		return nil
	}
	return newLinkError(verdict.BadFrame, "unexpected %s message on an established link", m.Type)
}

func (l *link) acceptAck(m wire.Message) error {
	var a ack
	if err := wire.Decode(m.Body, &a); err != nil {
		return newLinkError(verdict.BadFrame, "%w", err)
	}
	if a.Next != 0 && !l.r.out.acknowledge(a.Next) {
		return newLinkError(verdict.BadFrame, "ack up to message %d, which was never sent", a.Next)
	}
	if a.Start == 0 {
		return nil
	}
	if l.nextInSeq != 0 {
		return newLinkError(verdict.BadFrame, "second ack that starts the numbering")
	}
	l.nextInSeq = a.Start
	l.r.in.startAt(l.peer.Incarnation, a.Stream, a.Start)
	l.ackedNext = l.r.in.Next
	return nil
}

// addRTTSample updates the smoothed round trip with a sample. The caller holds r.mu.
func (l *link) addRTTSample(d time.Duration) {
	if d <= 0 {
		return
	}
	l.intervalsSinceRTT = 0
	if l.r.rtt == 0 {
		l.r.rtt = d
		return
	}
	l.r.rtt += (d - l.r.rtt) / rttSmoothing
}
