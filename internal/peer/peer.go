// Package peer links the entries with each other, by one WebSocket connection per
// pair of entries, which carries CBOR frames of internal/wire.
//
// Either side of a pair may dial. Both must prove that they know the shared secret
// before the link is up (handshake.go). Messages are numbered within the sender's
// stream; acks are piggybacked on other traffic or on heartbeats. Messages that are
// not acknowledged when a connection is lost are sent again on the next connection
// to the same incarnation of the peer, and the receiver drops duplicates. So within
// a stream each message is delivered at most once and in order. A silent
// link is closed, and the peer is dialled again over a new connection.
//
// The states of a link are defined by the chart peer_link of internal/statechart.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// Path is the HTTP path of the Node on an entry's peer listener.
const Path = "/peer"

// MinSecretBytes is the minimum length of the secret.
const MinSecretBytes = 16

// Defaults of Config.
const (
	DefaultSilentAfter   = time.Second
	DefaultDialTimeout   = time.Second
	DefaultRetain        = 5 * time.Second
	DefaultQueueBytes    = 32 << 20
	DefaultMaxHandshakes = 256
)

// Config holds the settings of a Node. Zero durations and sizes stand for the
// defaults.
type Config struct {
	Self structs.Member // this entry, with the address that peers dial
	DC   string
	// Secret is shared by all entries and has at least MinSecretBytes bytes.
	Secret []byte
	// SilentAfter is the time without arrivals after which a link is closed.
	SilentAfter time.Duration
	// RelaxedSilentAfter replaces SilentAfter on links that Relax was called for; zero
	// means SilentAfter.
	RelaxedSilentAfter time.Duration
	// DialTimeout bounds a dial including its handshake.
	DialTimeout time.Duration
	// Retain is how long unacknowledged messages are kept for a new
	// connection.
	Retain time.Duration
	// QueueBytes bounds the queued and unacknowledged messages per link.
	QueueBytes int
	// MaxHandshakes bounds the accepted connections whose peer has not proved
	// yet that it knows the secret.
	MaxHandshakes int
	Metrics       *metrics.Metrics // nil disables metrics
	Log           *slog.Logger     // nil means slog.Default
}

// Peer is another entry. Its incarnation is 0 until a link has reported it.
type Peer struct {
	structs.Member
	DC string
}

// Handler receives messages and changes of links. Calls for one peer are made one
// at a time: LinkUp before its first message, LinkDown after its last. A call must
// not block and must not call Close; it may call Send. After LinkDown, messages
// that were queued before may still reach the same incarnation of the peer within
// Retain.
type Handler interface {
	Receive(from Peer, m wire.Message)
	LinkUp(p Peer)
	LinkDown(p Peer)
}

// Node manages the links of one entry. It is the http.Handler that accepts
// connections from peers, to be mounted at Path.
type Node struct {
	cfg        Config
	handler    Handler
	counters   *counters
	log        *slog.Logger
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	handshakes atomic.Int64

	setPeersMu sync.Mutex // serializes SetPeers

	mu      sync.RWMutex
	closed  bool
	remotes map[string]*remote
}

// New returns a Node without peers. It returns an error for an invalid Config.
func New(cfg Config, h Handler) (*Node, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Node{
		cfg:      cfg,
		handler:  h,
		counters: newCounters(cfg.Metrics),
		log:      cfg.Log,
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		ctx:      ctx,
		cancel:   cancel,
		remotes:  make(map[string]*remote),
	}, nil
}

// setDefaults validates the values and fills in the defaults.
func (c *Config) setDefaults() error {
	if !key.ValidName(c.Self.Name) {
		return fmt.Errorf("peer: %q is not a valid entry name", c.Self.Name)
	}
	if !key.ValidName(c.DC) {
		return fmt.Errorf("peer: %q is not a valid data centre name", c.DC)
	}
	if len(c.Secret) < MinSecretBytes {
		return fmt.Errorf("peer: secret has %d bytes, expected at least %d", len(c.Secret), MinSecretBytes)
	}
	setDefault(&c.SilentAfter, DefaultSilentAfter)
	setDefault(&c.RelaxedSilentAfter, c.SilentAfter)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.Retain, DefaultRetain)
	setDefault(&c.QueueBytes, DefaultQueueBytes)
	setDefault(&c.MaxHandshakes, DefaultMaxHandshakes)
	if c.Metrics == nil {
		c.Metrics = metrics.NewNop()
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// SetPeers replaces the set of peers to keep linked. An element with the name of
// this entry is ignored. A link to a peer that is no longer in the set is closed.
func (n *Node) SetPeers(peers []Peer) {
	wanted := make(map[string]Peer, len(peers))
	for _, p := range peers {
		if p.Name != n.cfg.Self.Name {
			wanted[p.Name] = p
		}
	}
	n.setPeersMu.Lock()
	defer n.setPeersMu.Unlock()
	for _, r := range n.allRemotes() {
		if _, ok := wanted[r.name]; !ok {
			r.setUnwanted()
			n.prune(r)
		}
	}
	for name, p := range wanted {
		if r := n.ensureRemote(name); r != nil {
			r.setWanted(p)
		}
	}
}

// prune removes the state of a peer once the peer can no longer resend messages.
func (n *Node) prune(r *remote) {
	if !r.tryForget(time.Now()) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.remotes[r.name] == r {
		delete(n.remotes, r.name)
	}
}

// Send queues either all or none of the messages to a linked peer. The error is a
// *verdict.Error with the verdict NotRun: none of the messages will be delivered.
func (n *Node) Send(name string, msgs ...wire.Message) error {
	r := n.lookup(name)
	if r == nil {
		return verdict.New(verdict.NotRun, verdict.LinkDown, "no link to peer %s", name)
	}
	return r.send(msgs)
}

// Broadcast queues messages to every linked peer and returns the number of peers
// for which it succeeded.
func (n *Node) Broadcast(msgs ...wire.Message) int {
	sent := 0
	for _, r := range n.allRemotes() {
		if r.send(msgs) == nil {
			sent++
		}
	}
	return sent
}

// Linked returns the linked peers, sorted by name.
func (n *Node) Linked() []Peer {
	var ps []Peer
	for _, r := range n.allRemotes() {
		if p, ok := r.linked(); ok {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return ps
}

// Relax sets whether the loss of a peer need only be noticed after RelaxedSilentAfter,
// since nothing waits for it. A quiet link costs less that way.
func (n *Node) Relax(name string, relaxed bool) {
	if r := n.lookup(name); r != nil {
		r.relax(relaxed)
	}
}

// Redial dials a peer that waits for its next dial at once: something suggests that it is in
// reach again.
func (n *Node) Redial(name string) {
	if r := n.lookup(name); r != nil {
		r.redial()
	}
}

// RTT returns the smoothed round trip time to a linked peer, and false before the
// peer has answered the first heartbeat.
func (n *Node) RTT(name string) (time.Duration, bool) {
	r := n.lookup(name)
	if r == nil {
		return 0, false
	}
	return r.roundTrip()
}

// Flush waits until every linked peer has acknowledged all messages queued to it.
// It returns the context's error if the context ends first.
func (n *Node) Flush(ctx context.Context) error {
	tick := time.NewTicker(flushPollInterval)
	defer tick.Stop()
	for {
		if n.allAcked() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for acks of linked peers: %w", ctx.Err())
		case <-tick.C:
		}
	}
}

const flushPollInterval = 5 * time.Millisecond

func (n *Node) allAcked() bool {
	for _, r := range n.allRemotes() {
		if !r.requestAck() {
			return false
		}
	}
	return true
}

// Close closes all links and waits for their goroutines. It does not wait for acks.
// A second call returns an error.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return errors.New("peer: Close called twice")
	}
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	for _, r := range n.allRemotes() {
		r.shutdown()
	}
	n.wg.Wait()
	return nil
}

func (n *Node) allRemotes() []*remote {
	n.mu.RLock()
	defer n.mu.RUnlock()
	rs := make([]*remote, 0, len(n.remotes))
	for _, r := range n.remotes {
		rs = append(rs, r)
	}
	return rs
}

// lookup returns the state of a peer, or nil for an unknown one.
func (n *Node) lookup(name string) *remote {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.remotes[name]
}

// ensureRemote returns the state of a peer, which it creates if needed, or nil
// after Close.
func (n *Node) ensureRemote(name string) *remote {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	r := n.remotes[name]
	if r == nil {
		r = newRemote(n, name)
		n.remotes[name] = r
	}
	return r
}

// spawn runs f in a goroutine that Close waits for. After Close it does nothing and
// reports false. The caller may hold the mu of a remote, but not n.mu.
func (n *Node) spawn(f func()) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.closed {
		return false
	}
	n.wg.Go(f)
	return true
}
