package node

import (
	"time"

	"currantstall/internal/wire"
)

// A message that waits in the loop's queue takes effect late: a withdrawal, the loss of a link,
// or the word of a coordinator.

const (
	// longQueueWait is the wait above which one of these messages is logged.
	longQueueWait = 50 * time.Millisecond
	// maxQueueWaitLines is the number of such lines in a queueWaitWindow.
	maxQueueWaitLines = 5
	queueWaitWindow   = time.Second
	// Types of the events of links in these lines.
	typeLinkUp   = "link up"
	typeLinkDown = "link down"
)

// queueWaits is what the loop knows of the waits of its events.
type queueWaits struct {
	current  time.Duration // of the event that is being handled, 0 if it was not measured
	windowAt time.Duration
	lines    int // in this window
	unlogged int // since the last line
}

// postTimed posts an event whose wait in the queue is measured from now.
func (n *Node) postTimed(e event) {
	received := n.now()
	n.post(func(now time.Duration) {
		n.waits.current = max(now-received, 0)
		defer func() { n.waits.current = 0 }()
		n.counts.queueWait.RecordDuration(n.waits.current)
		e(now)
	})
}

// noteLongWait logs that the event that is being handled has waited for long.
func (n *Node) noteLongWait(now time.Duration, typ, peer string) {
	if n.waits.current <= longQueueWait {
		return
	}
	if unlogged, ok := n.waits.line(now); ok {
		n.log.Info("message waited in the queue", "type", typ, "peer", peer, "ms", n.waits.current.Milliseconds(), "unlogged", unlogged)
	}
}

// line reports whether a line may be logged now, and how many were not since the last one.
func (w *queueWaits) line(now time.Duration) (unlogged int, ok bool) {
	if now >= w.windowAt+queueWaitWindow {
		w.windowAt, w.lines = now, 0
	}
	if w.lines >= maxQueueWaitLines {
		w.unlogged++
		return 0, false
	}
	w.lines++
	unlogged, w.unlogged = w.unlogged, 0
	return unlogged, true
}

// noteLateAbandon logs a withdrawal in favour of another leader that has waited for long.
func (n *Node) noteLateAbandon(now time.Duration, from string, b abandonBody) {
	if b.Reason == otherLeader {
		n.noteLongWait(now, wire.PoolAbandon.String(), from)
	}
}
