package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"currantstall/internal/sleep"
	"currantstall/internal/statechart"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

const (
	// backoffBase and backoffMax bound the pause between two dials.
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
	// yieldDialDelay is how long the entry with the higher name waits before
	// its first dial, so that the other entry usually dials first.
	yieldDialDelay = 100 * time.Millisecond
	// forgetRetainFactor times Retain is how long the received sequence numbers
	// of a lost peer are kept. By then the peer has dropped its
	// unacknowledged messages long ago, so it resends none.
	forgetRetainFactor = 4
)

// remote is the state that a Node holds for one peer across all connections to it.
type remote struct {
	node *Node
	name string

	// handlerMu serializes the handler's calls for this peer. It is locked
	// before mu.
	handlerMu sync.Mutex

	mu            sync.Mutex
	state         statechart.PeerLinkState
	addr          string // address to dial
	peer          Peer   // as stated on the last link
	link          *link
	lastSession   session // session of the last link
	linkLostAt    time.Time
	failures      int
	cancelAttempt context.CancelFunc // cancels the dial or backoff in progress
	forgotten     bool               // removed from the Node
	out           queue
	in            inbound
	rtt           time.Duration // smoothed, 0 before the first sample
	retainTimer   *time.Timer   // drops unacknowledged messages after Retain
	relaxed       bool          // a loss is noticed after RelaxedSilentAfter
}

func newRemote(n *Node, name string) *remote {
	return &remote{
		node:          n,
		name:          name,
		state:         statechart.PeerLink.Initial(),
		cancelAttempt: func() {},
		out:           newQueue(),
	}
}

// setWanted makes the peer one to keep linked. The next dial uses the address of p.
func (r *remote) setWanted(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = p.Addr
	r.applyEvent(statechart.PeerLinkOnWanted)
}

func (r *remote) setUnwanted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyEvent(statechart.PeerLinkOnUnwanted)
}

// tryForget reports whether the state of the peer is no longer needed, and marks
// the remote as forgotten if so.
func (r *remote) tryForget(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != statechart.PeerLinkIdle || now.Sub(r.linkLostAt) < forgetRetainFactor*r.node.cfg.Retain {
		return false
	}
	r.forgotten = true
	return true
}

// applyEvent applies an event to the state chart and performs the action unless it
// needs a call of the handler, which the caller makes. The caller holds mu.
func (r *remote) applyEvent(e statechart.PeerLinkEvent) statechart.PeerLinkAction {
	next, action, ok := statechart.PeerLink.Step(r.state, e)
	if !ok {
		return statechart.PeerLinkDoNothing
	}
	r.state = next
	switch action {
	case statechart.PeerLinkDoDial:
		r.startDial()
	case statechart.PeerLinkDoBackOff:
		r.failures++
		r.startBackoff()
	case statechart.PeerLinkDoClose:
		r.link.close(verdict.LinkDown)
	case statechart.PeerLinkDoNothing:
		if next == statechart.PeerLinkIdle {
			r.cancelAttempt()
		}
	}
	return action
}

// startDial dials in the background. The caller holds mu.
func (r *remote) startDial() {
	ctx := r.newAttempt()
	addr, lastSession := r.addr, r.lastSession
	r.node.spawn(func() { r.node.dial(ctx, r, addr, lastSession) })
}

// startBackoff retries the dial after a jittered backoff that doubles with each
// failure. The caller holds mu.
func (r *remote) startBackoff() {
	ctx := r.newAttempt()
	d := backoff(r.failures)
	r.node.spawn(func() {
		if sleep.For(ctx, d) == nil {
			r.attemptEvent(ctx, statechart.PeerLinkOnRetry)
		}
	})
}

// newAttempt cancels the previous dial or backoff and returns the context of the
// next one. The caller holds mu.
func (r *remote) newAttempt() context.Context {
	r.cancelAttempt()
	ctx, cancel := context.WithCancel(r.node.ctx)
	r.cancelAttempt = cancel
	return ctx
}

func backoff(failures int) time.Duration {
	d := backoffMax
	if failures < 6 {
		d = min(d, backoffBase<<failures)
	}
	return d/2 + rand.N(d/2)
}

// yieldsDial reports whether the peer should dial first.
func (r *remote) yieldsDial() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures == 0 && r.name < r.node.cfg.Self.Name
}

// redial ends the backoff in progress, if there is one, and dials.
func (r *remote) redial() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == statechart.PeerLinkWaiting {
		r.applyEvent(statechart.PeerLinkOnRetry)
	}
}

// relax sets how soon the loss of the peer is to be noticed.
func (r *remote) relax(relaxed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relaxed == relaxed {
		return
	}
	r.relaxed = relaxed
	if l := r.link; l != nil && l.timer != nil && l.ctx.Err() == nil {
		l.silentIntervals = 0
		l.sawBytes.Store(false) // those of the longer interval may be from before the loss
		l.timer.Reset(r.heartbeatInterval())
	}
}

// heartbeatInterval returns the time between two checks of the link for arrivals. The
// caller holds mu.
func (r *remote) heartbeatInterval() time.Duration {
	if r.relaxed {
		return r.node.cfg.RelaxedSilentAfter / silentHeartbeats
	}
	return r.node.cfg.SilentAfter / silentHeartbeats
}

// attemptEvent applies an event of the dial or backoff with the context ctx, unless
// that attempt was cancelled.
func (r *remote) attemptEvent(ctx context.Context, e statechart.PeerLinkEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() == nil {
		r.applyEvent(e)
	}
}

// accepts reports whether a new connection may replace the current one. Both ends
// decide alike: of two connections that were dialled at the same time, the one
// dialled by the entry with the lower name stays. If the dialer has lost the
// current session, or had dialled it itself, it has no other connection, so the
// new one replaces it. The caller holds mu.
func (r *remote) accepts(l *link) bool {
	if r.forgotten || l.peer.Incarnation < r.peer.Incarnation {
		return false
	}
	cur := r.link
	if cur == nil || l.peer.Incarnation > cur.peer.Incarnation || l.dialer == cur.dialer {
		return true
	}
	return l.dialer == min(r.name, r.node.cfg.Self.Name) || l.replaces == cur.session
}

// resumePosition returns the position in the stream of that incarnation of the
// peer up to which messages were received.
func (r *remote) resumePosition(incarnation uint64) streamPosition {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.in.incarnation != incarnation {
		return streamPosition{}
	}
	return r.in.streamPosition
}

// install makes l the peer's connection, and reports false if the current one
// stays.
func (r *remote) install(l *link) bool {
	r.handlerMu.Lock()
	defer r.handlerMu.Unlock()
	r.mu.Lock()
	if r.node.ctx.Err() != nil || !r.accepts(l) {
		r.mu.Unlock()
		return false
	}
	old, before := r.link, r.peer
	restarted := before.Incarnation != 0 && before.Incarnation != l.peer.Incarnation
	if restarted {
		r.node.counters.countDropped(verdict.PeerRestarted, r.out.dropAll())
	}
	if l.peerPosition.Stream == r.out.stream && !r.out.acknowledge(l.peerPosition.Next) {
		r.mu.Unlock()
		return false
	}
	r.cancelAttempt()
	r.link, r.peer, r.lastSession, r.failures = l, l.peer, l.session, 0
	r.out.rewind()
	if r.retainTimer != nil {
		r.retainTimer.Stop()
	}
	action := r.applyEvent(statechart.PeerLinkOnLinked)
	r.mu.Unlock()
	if old != nil {
		old.close(verdict.LinkDown)
	}
	r.notifyHandler(action, restarted, before, l.peer)
	l.start()
	return true
}

// notifyHandler reports a new connection to the handler. The caller holds
// handlerMu.
func (r *remote) notifyHandler(a statechart.PeerLinkAction, restarted bool, before, now Peer) {
	h := r.node.handler
	if a == statechart.PeerLinkDoReplace {
		if !restarted {
			return
		}
		h.LinkDown(before)
	}
	h.LinkUp(now)
}

// removeLink removes a closed connection and starts the backoff before the next
// dial if the peer is wanted.
func (r *remote) removeLink(l *link) {
	r.handlerMu.Lock()
	defer r.handlerMu.Unlock()
	r.mu.Lock()
	if r.link != l {
		r.mu.Unlock()
		return
	}
	r.link, r.linkLostAt = nil, time.Now()
	r.retainTimer = time.AfterFunc(r.node.cfg.Retain, r.dropRetained)
	action := r.applyEvent(statechart.PeerLinkOnLost)
	if r.state == statechart.PeerLinkWaiting {
		r.startBackoff()
	}
	r.mu.Unlock()
	if action == statechart.PeerLinkDoAnnounceDown {
		r.node.handler.LinkDown(l.peer)
	}
}

// dropRetained drops the unacknowledged messages if no new connection exists after
// Retain.
func (r *remote) dropRetained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		r.node.counters.countDropped(verdict.LinkDown, r.out.dropAll())
	}
}

// shutdown closes the peer's connection and stops its timers when the Node closes.
func (r *remote) shutdown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelAttempt()
	if r.link != nil {
		r.link.close(verdict.LinkDown)
	}
	if r.retainTimer != nil {
		r.retainTimer.Stop()
	}
}

func (r *remote) send(msgs []wire.Message) error {
	size := queuedBytes(msgs)
	for _, m := range msgs {
		if !m.Type.Numbered() {
			return verdict.New(verdict.NotRun, verdict.Internal, "Send does not take link control messages such as %s", m.Type)
		}
		if len(m.Body) > maxBodyBytes {
			return verdict.New(verdict.NotRun, verdict.TooLarge, "body of a %s message has %d bytes, limit is %d", m.Type, len(m.Body), maxBodyBytes)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return verdict.New(verdict.NotRun, verdict.LinkDown, "no link to peer %s", r.name)
	}
	if r.out.bytes+size > r.node.cfg.QueueBytes {
		r.node.counters.countDropped(verdict.QueueFull, len(msgs))
		r.link.ping() // the peer sends an ack with its pong
		return verdict.New(verdict.NotRun, verdict.QueueFull, "send queue full: %d bytes are queued for peer %s", r.out.bytes, r.name)
	}
	r.out.add(msgs)
	r.link.wakeWriter()
	return nil
}

func (r *remote) linked() (Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peer, r.link != nil
}

func (r *remote) roundTrip() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rtt, r.link != nil && r.rtt > 0
}

// requestAck reports whether every message is acknowledged, and pings a linked
// peer for an ack if not.
func (r *remote) requestAck() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil || len(r.out.msgs) == 0 {
		return true
	}
	r.link.ping()
	return false
}
