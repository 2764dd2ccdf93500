package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"currantstall/internal/sleep"
	"currantstall/internal/statechart"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// dial makes one attempt to link to a peer over a new connection. LastSession is
// the last session with the peer, zero if there was none.
func (n *Node) dial(ctx context.Context, r *remote, addr string, lastSession session) {
	if r.yieldsDial() && sleep.For(ctx, yieldDialDelay) != nil {
		return
	}
	if lastSession != (session{}) {
		n.counters.redials.Inc(1)
	}
	if err := n.connect(ctx, r, addr, lastSession); err != nil {
		n.counters.countClosed(reasonOf(err))
		n.log.Debug("dial to peer failed", "peer", r.name, "addr", addr, "err", err)
		r.attemptEvent(ctx, statechart.PeerLinkOnDialFailed)
	}
}

func (n *Node) connect(ctx context.Context, r *remote, addr string, lastSession session) error {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	defer cancel()
	c, _, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{HTTPClient: n.client})
	if err != nil {
		return err
	}
	h := hello{Version: wire.Version, Self: n.cfg.Self, DC: n.cfg.DC, To: r.name, Nonce: newNonce(), LastSession: lastSession}
	g, err := n.dialerHandshake(ctx, c, h)
	if err != nil {
		_ = c.CloseNow()
		return err
	}
	f := finish{Resume: r.resumePosition(g.Self.Incarnation)}
	f.Proof = n.proof(labelDialer, h, g, f)
	if err := n.writeHandshake(ctx, c, wire.HelloAck, f); err != nil {
		_ = c.CloseNow()
		return err
	}
	return r.join(n.newLink(c, Peer{Member: g.Self, DC: g.DC}, n.cfg.Self.Name, h, g, g.Resume))
}

// ServeHTTP accepts a connection from a peer. It responds with status 503 if too
// many handshakes are in progress or the Node is closed.
func (n *Node) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	defer n.handshakes.Add(-1)
	if n.handshakes.Add(1) > int64(n.cfg.MaxHandshakes) || n.ctx.Err() != nil {
		http.Error(w, "too many handshakes in progress, or entry is closing", http.StatusServiceUnavailable)
		return
	}
	c, err := websocket.Accept(w, req, nil)
	if err != nil {
		n.counters.countClosed(verdict.BadHello)
		return
	}
	if err := n.accept(c); err != nil {
		n.counters.countClosed(reasonOf(err))
		n.log.Warn("peer connection refused", "from", req.RemoteAddr, "err", err)
		_ = c.CloseNow()
	}
}

func (n *Node) accept(c *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	h, err := n.readDialerHello(ctx, c)
	if err != nil {
		return err
	}
	g := greeting{Version: wire.Version, Self: n.cfg.Self, DC: n.cfg.DC, Nonce: newNonce()}
	if r := n.lookup(h.Self.Name); r != nil {
		g.Resume = r.resumePosition(h.Self.Incarnation)
	}
	f, err := n.acceptorHandshake(ctx, c, h, g)
	if err != nil {
		return err
	}
	// The remote is created only now, since a name without a valid proof must
	// not use memory.
	r := n.ensureRemote(h.Self.Name)
	if r == nil {
		return newLinkError(verdict.LinkDown, "closing")
	}
	return r.join(n.newLink(c, Peer{Member: h.Self, DC: h.DC}, h.Self.Name, h, g, f.Resume))
}

// join installs a link. If the current link stays, it closes the new one and
// returns an error.
func (r *remote) join(l *link) error {
	l.r = r
	if r.install(l) {
		return nil
	}
	l.cancel()
	_ = l.conn.CloseNow()
	return newLinkError(verdict.PeerRefused, "peer %s is already linked, or has restarted since", r.name)
}
