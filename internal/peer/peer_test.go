package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

const secret = "a secret of enough bytes"

// testEntry is a Node on a loopback listener that records the calls of its handler.
type testEntry struct {
	*Node
	self  Peer
	scope tally.TestScope
	srv   *httptest.Server

	mu         sync.Mutex
	received   map[string][]uint64 // numbers by sender
	linkEvents map[string][]string // LinkUp and LinkDown calls in order, by peer
}

func newTestEntry(t testing.TB, name string, incarnation uint64, change func(*Config)) *testEntry {
	t.Helper()
	e := &testEntry{scope: tally.NewTestScope("", nil), received: map[string][]uint64{}, linkEvents: map[string][]string{}}
	mux := http.NewServeMux()
	e.srv = httptest.NewServer(mux)
	addr := strings.TrimPrefix(e.srv.URL, "http://")
	e.self = Peer{structs.Member{Name: name, Incarnation: incarnation, Addr: addr}, "rennes"}
	cfg := Config{
		Self: e.self.Member, DC: e.self.DC, Secret: []byte(secret), Metrics: metrics.NewWithScope(e.scope),
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), SilentAfter: 6 * time.Second, Retain: time.Minute,
	}
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg, e)
	assert.NilError(t, err)
	e.Node = n
	mux.Handle(Path, n)
	t.Cleanup(func() { e.stop() })
	return e
}

func (e *testEntry) stop() {
	_ = e.Close()
	e.srv.Close()
}

func (e *testEntry) Receive(from Peer, m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[from.Name] = append(e.received[from.Name], binary.BigEndian.Uint64(m.Body[1:]))
}

func (e *testEntry) LinkUp(p Peer)   { e.recordLinkEvent(p, "up") }
func (e *testEntry) LinkDown(p Peer) { e.recordLinkEvent(p, "down") }

func (e *testEntry) recordLinkEvent(p Peer, event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.linkEvents[p.Name] = append(e.linkEvents[p.Name], fmt.Sprint(event, p.Incarnation))
}

func (e *testEntry) receivedFrom(from string) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.received[from]...)
}

func (e *testEntry) linkHistory(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.linkEvents[name], " ")
}

// counterSum sums a counter over the series whose reason or type is tag, or over
// all series if tag is empty.
func (e *testEntry) counterSum(name, tag string) int64 {
	var sum int64
	for _, c := range e.scope.Snapshot().Counters() {
		if c.Name() == name && (tag == "" || c.Tags()["reason"] == tag || c.Tags()["type"] == tag) {
			sum += c.Value()
		}
	}
	return sum
}

func numberedMessage(i uint64) wire.Message {
	b := make([]byte, 9)
	b[0] = 0x1b // a CBOR integer of 8 bytes
	binary.BigEndian.PutUint64(b[1:], i)
	return wire.Message{Type: wire.Ledger, Body: b}
}

func waitUntil(t testing.TB, condition string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", condition)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// sendAll sends the numbers first to last-1, and retries each until it is queued.
func sendAll(t testing.TB, from *testEntry, to string, first, last uint64) {
	t.Helper()
	for i := first; i < last; i++ {
		waitUntil(t, "a message is queued", func() bool { return from.Send(to, numberedMessage(i)) == nil })
	}
}

func checkReceived(t testing.TB, at *testEntry, from string, n uint64) {
	t.Helper()
	waitUntil(t, "all messages arrived", func() bool { return len(at.receivedFrom(from)) >= int(n) })
	for i, got := range at.receivedFrom(from) {
		assert.Equal(t, got, uint64(i))
	}
	assert.Equal(t, len(at.receivedFrom(from)), int(n))
}

func TestLinkCarriesMessagesBothWaysInOrder(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, nil), newTestEntry(t, "b", 1, nil)
	a.SetPeers([]Peer{a.self, b.self})
	b.SetPeers([]Peer{a.self, b.self})
	waitUntil(t, "both are linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })

	sendAll(t, a, "b", 0, 500)
	sendAll(t, b, "a", 0, 500)

	checkReceived(t, b, "a", 500)
	checkReceived(t, a, "b", 500)
	assert.NilError(t, a.Flush(t.Context()))
	waitUntil(t, "the round trip is known", func() bool { _, ok := a.RTT("b"); return ok })
	assert.Equal(t, b.counterSum(metrics.PeerMessagesIn, wire.Ledger.String()), int64(500))
	assert.Equal(t, a.counterSum(metrics.Dropped, ""), int64(0))
	for _, typ := range []wire.Type{wire.Hello, wire.HelloAck} {
		sent := a.counterSum(metrics.PeerMessagesOut, typ.String()) + b.counterSum(metrics.PeerMessagesOut, typ.String())
		got := a.counterSum(metrics.PeerMessagesIn, typ.String()) + b.counterSum(metrics.PeerMessagesIn, typ.String())
		assert.Assert(t, sent > 0 && sent == got, "%s: %d sent, %d received", typ, sent, got)
	}
}

func TestSimultaneousDialsKeepOneSession(t *testing.T) {
	for range 10 {
		a, b := newTestEntry(t, "a", 1, nil), newTestEntry(t, "b", 1, nil)
		// An earlier dial failure makes both sides dial without delay.
		for _, e := range []*testEntry{a, b} {
			r := e.ensureRemote(map[string]string{"a": "b", "b": "a"}[e.self.Name])
			r.failures = 1
		}
		var wg sync.WaitGroup
		wg.Go(func() { a.SetPeers([]Peer{b.self}) })
		wg.Go(func() { b.SetPeers([]Peer{a.self}) })
		wg.Wait()
		sessionOf := func(e *testEntry, name string) session {
			r := e.lookup(name)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.link == nil {
				return session{}
			}
			return r.link.session
		}
		waitUntil(t, "both hold the same session", func() bool {
			s := sessionOf(a, "b")
			return s != session{} && s == sessionOf(b, "a")
		})
		sendAll(t, a, "b", 0, 20)
		sendAll(t, b, "a", 0, 20)
		checkReceived(t, b, "a", 20)
		checkReceived(t, a, "b", 20)
		a.stop()
		b.stop()
	}
}

func TestBothEndsKeepSameConnection(t *testing.T) {
	first, second := session{1}, session{2}
	for _, tc := range []struct {
		name     string
		old, new string // names of the dialers
		lost     session
		want     bool
	}{
		{"the dialer dials again", "b", "b", session{}, true},
		{"the lower name dials as well", "b", "a", session{}, true},
		{"the higher name dials as well", "a", "b", session{}, false},
		{"the higher name lost another session", "a", "b", second, false},
		{"the higher name lost the current session", "a", "b", first, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for self, other := range map[string]string{"a": "b", "b": "a"} {
				r := newTestEntry(t, self, 1, nil).ensureRemote(other)
				r.link = &link{dialer: tc.old, session: first}
				got := r.accepts(&link{dialer: tc.new, session: second, replaces: tc.lost})
				r.link = nil
				assert.Equal(t, got, tc.want, "at entry %s", self)
			}
		})
	}
}

func TestRestartedPeerGetsNoMessagesOfFormerIncarnation(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, nil), newTestEntry(t, "b", 1, nil)
	a.SetPeers([]Peer{b.self})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 })
	sendAll(t, a, "b", 0, 10)
	checkReceived(t, b, "a", 10)
	b.stop()
	restarted := newTestEntry(t, "b", 2, nil)

	a.SetPeers([]Peer{restarted.self})

	waitUntil(t, "the new incarnation is linked", func() bool { return a.linkHistory("b") == "up1 down1 up2" })
	sendAll(t, a, "b", 0, 5)
	checkReceived(t, restarted, "a", 5)
	older := newTestEntry(t, "b", 1, nil)
	older.SetPeers([]Peer{a.self})
	waitUntil(t, "the older incarnation is refused", func() bool { return a.counterSum(metrics.PeerClosed, string(verdict.PeerRefused)) > 0 })
	assert.Equal(t, a.Linked()[0].Incarnation, uint64(2))
}

func TestWrongSecretIsRefusedByBothEnds(t *testing.T) {
	for _, dialer := range []string{"good", "wrong"} {
		good := newTestEntry(t, "good", 1, nil)
		wrong := newTestEntry(t, "wrong", 1, func(c *Config) { c.Secret = []byte("another secret of enough bytes") })
		from, to := good, wrong
		if dialer == "wrong" {
			from, to = wrong, good
		}
		from.SetPeers([]Peer{to.self})

		waitUntil(t, "the dialer counts a wrong secret", func() bool {
			return from.counterSum(metrics.PeerClosed, string(verdict.WrongSecret)) > 1
		})
		assert.Equal(t, good.linkHistory("wrong")+wrong.linkHistory("good"), "")
		err := from.Send(to.self.Name, numberedMessage(1))
		assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
		assert.Equal(t, verdict.FromError(err).Reason, verdict.LinkDown)
	}
}

// dialWithoutSecret dials e without knowing the secret, with a hello that change may
// make invalid. It reflects the acceptor's proof and returns the resulting error.
func dialWithoutSecret(t *testing.T, e *testEntry, change func(*hello)) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c, _, err := websocket.Dial(ctx, e.srv.URL+Path, nil)
	assert.NilError(t, err)
	defer func() { _ = c.CloseNow() }()
	n := &Node{cfg: Config{Secret: []byte("guess")}, counters: newCounters(metrics.NewNop())}
	h := hello{Version: wire.Version, Self: structs.Member{Name: "x"}, DC: "rennes", To: e.self.Name, Nonce: newNonce()}
	change(&h)
	assert.NilError(t, n.writeHandshake(ctx, c, wire.Hello, h))
	var g greeting
	if err := n.readHandshake(ctx, c, wire.HelloAck, &g); err != nil {
		return err
	}
	f := finish{Proof: g.Proof} // reflects the acceptor's proof
	assert.NilError(t, n.writeHandshake(ctx, c, wire.HelloAck, f))
	_, _, err = c.Read(ctx)
	return err
}

func TestBadHellosAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*hello)
		reason verdict.Reason
	}{
		{"reflected proof", func(*hello) {}, verdict.WrongSecret},
		{"other version", func(h *hello) { h.Version++ }, verdict.WrongVersion},
		{"for another entry", func(h *hello) { h.To = "other" }, verdict.BadHello},
		{"acceptor's name", func(h *hello) { h.Self.Name = h.To }, verdict.BadHello},
		{"invalid name", func(h *hello) { h.Self.Name = "A B" }, verdict.BadHello},
		{"short nonce", func(h *hello) { h.Nonce = h.Nonce[:3] }, verdict.BadHello},
		{"frame too long", func(h *hello) { h.Self.Addr = strings.Repeat("x", maxHandshakeBytes) }, verdict.LinkDown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEntry(t, "e", 1, nil)
			assert.Assert(t, dialWithoutSecret(t, e, tc.change) != nil)
			waitUntil(t, "the refusal is counted", func() bool {
				return e.counterSum(metrics.PeerClosed, string(tc.reason)) == 1
			})
			assert.Assert(t, e.lookup("x") == nil, "a name without a valid proof uses memory")
		})
	}
}

func TestMalformedFrameClosesOnlyItsLink(t *testing.T) {
	unknown, err := wire.Encode([][]any{{200, 1}})
	assert.NilError(t, err)
	beforeAck := new(bytes.Buffer)
	assert.NilError(t, wire.EncodeFrame(beforeAck, []wire.Message{numberedMessage(1)}))
	neverSent := new(bytes.Buffer)
	assert.NilError(t, wire.EncodeFrame(neverSent, []wire.Message{mustMessage(wire.Ack, ack{Next: 99})}))
	hello := new(bytes.Buffer)
	assert.NilError(t, wire.EncodeFrame(hello, []wire.Message{{Type: wire.Hello, Body: []byte{0}}}))
	for name, frame := range map[string][]byte{
		"not CBOR": []byte("\xff\xff"), "unknown type": unknown, "message before the first ack": beforeAck.Bytes(),
		"ack of an unsent message": neverSent.Bytes(), "hello on an established link": hello.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			a, b, c := newTestEntry(t, "a", 1, nil), newTestEntry(t, "b", 1, nil), newTestEntry(t, "c", 1, nil)
			a.SetPeers([]Peer{b.self, c.self})
			waitUntil(t, "linked", func() bool { return len(a.Linked()) == 2 })
			l := a.lookup("b").link

			assert.NilError(t, l.conn.Write(t.Context(), websocket.MessageBinary, frame))

			waitUntil(t, "the bad frame is counted", func() bool {
				return b.counterSum(metrics.PeerClosed, string(verdict.BadFrame)) == 1
			})
			waitUntil(t, "the link is up again", func() bool { return b.linkHistory("a") == "up1 down1 up1" })
			assert.Equal(t, c.linkHistory("a"), "up1")
			sendAll(t, a, "b", 0, 3)
			checkReceived(t, b, "a", 3)
		})
	}
}

func TestFullQueueRejectsMessages(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, func(c *Config) { c.QueueBytes = 4 << 10 }), newTestEntry(t, "b", 1, nil)
	a.SetPeers([]Peer{b.self})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 })
	big := wire.Message{Type: wire.Run, Body: make([]byte, 3<<10)}

	err := a.Send("b", big, big)

	assert.Equal(t, verdict.FromError(err).Verdict, verdict.NotRun)
	assert.Equal(t, verdict.FromError(err).Reason, verdict.QueueFull)
	assert.Equal(t, a.counterSum(metrics.Dropped, string(verdict.QueueFull)), int64(2))
	sendAll(t, a, "b", 0, 200) // more than QueueBytes in total: acks free the queue
	checkReceived(t, b, "a", 200)
}

func TestRemovedPeerIsUnlinked(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, nil), newTestEntry(t, "b", 1, nil)
	a.SetPeers([]Peer{b.self})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })

	a.SetPeers(nil)

	waitUntil(t, "unlinked", func() bool { return a.linkHistory("b") == "up1 down1" && b.linkHistory("a") == "up1 down1" })
	assert.Equal(t, len(a.Linked()), 0)
}
