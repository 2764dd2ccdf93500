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
	backOffBase = 50 * time.Millisecond
	backOffMax  = 2 * time.Second
	// dialGrace is how long the entry with the higher name leaves the first
	// dial to the other one.
	dialGrace = 100 * time.Millisecond
	// forgetAfter times Retain is how long the received numbers of a lost
	// peer are kept: it has long given up its unacknowledged messages.
	forgetAfter = 4
)

// remote is what a node holds for one peer, over all its connections.
type remote struct {
	node *Node
	name string

	// deliver is held around the handler's calls for this peer and taken
	// before mu.
	deliver sync.Mutex

	mu        sync.Mutex
	state     statechart.PeerLinkState
	addr      string // to dial
	peer      Peer   // as the last link told
	link      *link
	lost      session // last session that was linked
	lostAt    time.Time
	failures  int
	stop      context.CancelFunc // of the dial or the wait in progress
	gone      bool               // forgotten by the node
	out       queue
	in        inbound
	rtt       time.Duration
	retention *time.Timer
}

func newRemote(n *Node, name string) *remote {
	return &remote{
		node:  n,
		name:  name,
		state: statechart.PeerLink.Initial(),
		stop:  func() {},
		out:   newQueue(),
	}
}

// want keeps the peer linked, at the address of p from the next dial on.
func (r *remote) want(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = p.Addr
	r.step(statechart.PeerLinkOnWanted)
}

func (r *remote) unwant() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.step(statechart.PeerLinkOnUnwanted)
}

// forget reports whether the peer needs no memory any more, and makes the
// remote unusable if so.
func (r *remote) forget(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != statechart.PeerLinkIdle || now.Sub(r.lostAt) < forgetAfter*r.node.cfg.Retain {
		return false
	}
	r.gone = true
	return true
}

// step feeds the chart and carries out what needs no handler call. The caller
// holds mu.
func (r *remote) step(e statechart.PeerLinkEvent) statechart.PeerLinkAction {
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
		r.startWait()
	case statechart.PeerLinkDoClose:
		r.link.close(verdict.LinkDown)
	case statechart.PeerLinkDoNothing:
		if next == statechart.PeerLinkIdle {
			r.stop()
		}
	}
	return action
}

// startDial dials in the background. The caller holds mu.
func (r *remote) startDial() {
	ctx := r.background()
	addr, lost := r.addr, r.lost
	r.node.start(func() { r.node.dial(ctx, r, addr, lost) })
}

// startWait retries after a jittered wait that doubles with each failure. The
// caller holds mu.
func (r *remote) startWait() {
	ctx := r.background()
	d := backOff(r.failures)
	r.node.start(func() {
		if sleep.For(ctx, d) == nil {
			r.event(ctx, statechart.PeerLinkOnRetry)
		}
	})
}

// background cancels the previous dial or wait and returns the context of the
// next one. The caller holds mu.
func (r *remote) background() context.Context {
	r.stop()
	ctx, cancel := context.WithCancel(r.node.ctx)
	r.stop = cancel
	return ctx
}

func backOff(failures int) time.Duration {
	d := backOffMax
	if failures < 6 {
		d = min(d, backOffBase<<failures)
	}
	return d/2 + rand.N(d/2)
}

// waitsForPeer reports whether the first dial is the peer's.
func (r *remote) waitsForPeer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures == 0 && r.name < r.node.cfg.Self.Name
}

// event feeds the chart from a background step that ctx still stands for.
func (r *remote) event(ctx context.Context, e statechart.PeerLinkEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() == nil {
		r.step(e)
	}
}

// admits reports whether a new connection may take the place of the current
// one. Both ends decide alike: of two connections dialled at one time the one
// of the lower name stays; a dialer that had lost the current session, or that
// had dialled it, has no other. The caller holds mu.
func (r *remote) admits(l *link) bool {
	if r.gone || l.peer.Incarnation < r.peer.Incarnation {
		return false
	}
	cur := r.link
	if cur == nil || l.peer.Incarnation > cur.peer.Incarnation || l.dialer == cur.dialer {
		return true
	}
	return l.dialer == min(r.name, r.node.cfg.Self.Name) || l.lost == cur.session
}

// received returns how far the stream of that run of the peer was received.
func (r *remote) received(incarnation uint64) position {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.in.incarnation != incarnation {
		return position{}
	}
	return r.in.position
}

// install makes l the peer's connection, unless the present one stays.
func (r *remote) install(l *link) bool {
	r.deliver.Lock()
	defer r.deliver.Unlock()
	r.mu.Lock()
	if r.node.ctx.Err() != nil || !r.admits(l) {
		r.mu.Unlock()
		return false
	}
	old, before := r.link, r.peer
	restarted := before.Incarnation != 0 && before.Incarnation != l.peer.Incarnation
	if restarted {
		r.node.counters.dropped(verdict.PeerRestarted, r.out.drop())
	}
	if l.want.Stream == r.out.stream && !r.out.ack(l.want.Next) {
		r.mu.Unlock()
		return false
	}
	r.stop()
	r.link, r.peer, r.lost, r.failures = l, l.peer, l.session, 0
	r.out.rewind()
	if r.retention != nil {
		r.retention.Stop()
	}
	action := r.step(statechart.PeerLinkOnLinked)
	r.mu.Unlock()
	if old != nil {
		old.close(verdict.LinkDown)
	}
	r.announce(action, restarted, before, l.peer)
	l.start()
	return true
}

// announce tells the handler of a new connection. The caller holds deliver.
func (r *remote) announce(a statechart.PeerLinkAction, restarted bool, before, now Peer) {
	h := r.node.handler
	if a == statechart.PeerLinkDoReplace {
		if !restarted {
			return
		}
		h.LinkDown(before)
	}
	h.LinkUp(now)
}

// down takes a closed connection out.
func (r *remote) down(l *link) {
	r.deliver.Lock()
	defer r.deliver.Unlock()
	r.mu.Lock()
	if r.link != l {
		r.mu.Unlock()
		return
	}
	r.link, r.lostAt = nil, time.Now()
	r.retention = time.AfterFunc(r.node.cfg.Retain, r.expire)
	action := r.step(statechart.PeerLinkOnLost)
	if r.state == statechart.PeerLinkWaiting {
		r.startWait()
	}
	r.mu.Unlock()
	if action == statechart.PeerLinkDoAnnounceDown {
		r.node.handler.LinkDown(l.peer)
	}
}

// expire gives up what waited for a new connection for too long.
func (r *remote) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		r.node.counters.dropped(verdict.LinkDown, r.out.drop())
	}
}

// shut ends the peer's connection and timers, when the node closes.
func (r *remote) shut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
	if r.link != nil {
		r.link.close(verdict.LinkDown)
	}
	if r.retention != nil {
		r.retention.Stop()
	}
}

func (r *remote) send(msgs []wire.Message) error {
	size := cost(msgs)
	for _, m := range msgs {
		if !m.Type.Numbered() {
			return verdict.New(verdict.NotRun, verdict.Internal, "a %s message is not for Send", m.Type)
		}
		if len(m.Body) > maxBody {
			return verdict.New(verdict.NotRun, verdict.TooLarge, "a %s message has %d bytes, at most %d go", m.Type, len(m.Body), maxBody)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil {
		return verdict.New(verdict.NotRun, verdict.LinkDown, "no link to %s", r.name)
	}
	if r.out.bytes+size > r.node.cfg.QueueBytes {
		r.node.counters.dropped(verdict.QueueFull, len(msgs))
		r.link.ping() // its answer brings a receipt
		return verdict.New(verdict.NotRun, verdict.QueueFull, "%d bytes wait for %s", r.out.bytes, r.name)
	}
	r.out.add(msgs)
	r.link.poke()
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

// requestAcks reports whether everything is acknowledged, and asks a linked
// peer for its receipt if not.
func (r *remote) requestAcks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link == nil || len(r.out.msgs) == 0 {
		return true
	}
	r.link.ping()
	return false
}
