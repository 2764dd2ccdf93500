package engine

import (
	"sync"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// maxOutboxMessages bounds the results that wait for one link.
const maxOutboxMessages = 10_000

// outbox keeps results for entries whose link is down, up to their next link.
type outbox struct {
	mu    sync.Mutex
	peers map[string]*peerOutbox
}

type peerOutbox struct {
	incarnation uint64
	msgs        []wire.Message
}

func newOutbox() *outbox { return &outbox{peers: make(map[string]*peerOutbox)} }

// linkUp notes a link and reports whether the peer is another run of the process
// than before.
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

// put keeps a message for a peer. It reports false if there are too many.
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

// discard drops the messages for a peer that is gone.
func (o *outbox) discard(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.peers[name]; p != nil {
		p.msgs = nil
	}
}

// respond sends an answer to another entry, or keeps it up to the next link.
func (e *Engine) respond(to string, t wire.Type, body any) {
	m, err := wire.NewMessage(t, body)
	if err != nil {
		e.Log.Error("answer not encoded", "error", err)
		return
	}
	if e.Links.Send(to, m) == nil {
		return
	}
	if !e.outbox.put(to, m) {
		e.Metrics.Count(metrics.Dropped, verdict.LateAnswer)
	}
}
