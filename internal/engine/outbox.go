package engine

import (
	"sync"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// maxOutboxMessages limits the messages kept for one peer.
const maxOutboxMessages = 10_000

// outbox keeps results and responses for peers whose link is down, until it is
// up again.
type outbox struct {
	mu    sync.Mutex
	peers map[string]*peerOutbox
}

// peerOutbox holds the messages kept for one incarnation of a peer.
type peerOutbox struct {
	incarnation uint64
	msgs        []wire.Message
}

func newOutbox() *outbox { return &outbox{peers: make(map[string]*peerOutbox)} }

// linkUp records that the link to a peer is up, and reports whether the peer
// has a new incarnation. Messages for the earlier incarnation are dropped.
func (o *outbox) linkUp(name string, incarnation uint64) (restarted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peers[name]
	if p == nil {
		p = &peerOutbox{incarnation: incarnation}
		o.peers[name] = p
	}
	restarted = p.incarnation != incarnation
	if restarted {
		p.incarnation = incarnation
		p.msgs = nil
	}
	return restarted
}

// put keeps a message for a peer. It reports false if maxOutboxMessages are
// kept already or the peer was never linked.
func (o *outbox) put(name string, m wire.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peers[name]
	if p == nil || len(p.msgs) >= maxOutboxMessages {
		return false
	}
	p.msgs = append(p.msgs, m)
	return true
}

// takeAll removes and returns the messages kept for a peer.
func (o *outbox) takeAll(name string) []wire.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.peers[name]
	if p == nil {
		return nil
	}
	msgs := p.msgs
	p.msgs = nil
	return msgs
}

// discard drops the messages kept for a lost peer.
func (o *outbox) discard(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.peers[name]; p != nil {
		p.msgs = nil
	}
}

// respond sends results or a response to another entry, or keeps the message
// until the link is up again.
func (e *Engine) respond(to string, t wire.Type, body any) {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		e.Log.Error("response not sent to peer: encoding failed", "err", err)
		return
	}
	if e.Links.Send(to, m) == nil {
		return
	}
	if !e.outbox.put(to, m) {
		e.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
	}
}
