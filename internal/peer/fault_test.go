package peer

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"currantstall/internal/metrics"
	"currantstall/internal/statechart"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// newProxy puts a fault-injecting proxy in front of an entry.
func newProxy(t *testing.T, e *testEntry) *toxiproxy.Proxy {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, e.self.Name, "127.0.0.1:0", e.self.Addr)
	assert.NilError(t, p.Start())
	t.Cleanup(p.Stop)
	return p
}

func viaProxy(e *testEntry, p *toxiproxy.Proxy) Peer {
	peer := e.self
	peer.Addr = p.Listen
	return peer
}

func addToxic(t *testing.T, p *toxiproxy.Proxy, kind, stream, attributes string) {
	t.Helper()
	_, err := p.Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)))
	assert.NilError(t, err)
}

// shortSilentAfter makes a link count as silent earlier than the default does.
func shortSilentAfter(c *Config) { c.SilentAfter = 300 * time.Millisecond }

// TestFaultsNeitherLoseNorDuplicateMessages sends in both directions while the
// connection is repeatedly cut, reset or silenced.
func TestFaultsNeitherLoseNorDuplicateMessages(t *testing.T) {
	const total = 3000
	for name, fault := range map[string]func(*testing.T, *toxiproxy.Proxy){
		"cut": func(t *testing.T, p *toxiproxy.Proxy) {
			p.Stop()
			assert.NilError(t, p.Start())
		},
		"reset": func(t *testing.T, p *toxiproxy.Proxy) {
			addToxic(t, p, "reset_peer", "upstream", `{"timeout":1}`)
			time.Sleep(20 * time.Millisecond)
			p.Toxics.ResetToxics(t.Context())
		},
		"silent": func(t *testing.T, p *toxiproxy.Proxy) {
			addToxic(t, p, "timeout", "downstream", `{"timeout":0}`)
			time.Sleep(500 * time.Millisecond)
			p.Toxics.ResetToxics(t.Context())
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newTestEntry(t, "a", 1, shortSilentAfter), newTestEntry(t, "b", 1, shortSilentAfter)
			p := newProxy(t, b)
			a.SetPeers([]Peer{viaProxy(b, p)})
			waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
			var wg sync.WaitGroup
			wg.Go(func() { sendAll(t, a, "b", 0, total) })
			wg.Go(func() { sendAll(t, b, "a", 0, total) })
			for range 4 {
				fault(t, p)
				waitUntil(t, "linked again", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
			}
			wg.Wait()

			checkReceived(t, b, "a", total)
			checkReceived(t, a, "b", total)
			assert.Assert(t, a.counterSum(metrics.PeerRedials, "") >= 1)
		})
	}
}

// TestSilentConnectionIsReplaced keeps the old connection open and silent for ever,
// while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, shortSilentAfter), newTestEntry(t, "b", 1, nil)
	old, fresh := newProxy(t, b), newProxy(t, b)
	a.SetPeers([]Peer{viaProxy(b, old)})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
	sendAll(t, a, "b", 0, 10)
	checkReceived(t, b, "a", 10)

	for _, stream := range []string{"upstream", "downstream"} {
		_, err := old.Toxics.AddToxicJson(strings.NewReader(
			fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream, stream)))
		assert.NilError(t, err)
	}
	assert.NilError(t, a.Send("b", numberedMessage(10)))
	a.SetPeers([]Peer{viaProxy(b, fresh)})

	waitUntil(t, "the silence is counted", func() bool {
		return a.counterSum(metrics.PeerClosed, string(verdict.PeerSilent)) >= 1
	})
	checkReceived(t, b, "a", 11)
}

func TestUnackedMessagesAreDroppedAfterRetain(t *testing.T) {
	a, b := newTestEntry(t, "a", 1, func(c *Config) {
		c.SilentAfter, c.Retain = time.Second, 50*time.Millisecond
	}), newTestEntry(t, "b", 1, nil)
	p := newProxy(t, b)
	a.SetPeers([]Peer{viaProxy(b, p)})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
	sendAll(t, a, "b", 0, 5)
	checkReceived(t, b, "a", 5)
	assert.NilError(t, a.Flush(t.Context()))
	addToxic(t, p, "timeout", "upstream", `{"timeout":0}`)
	assert.NilError(t, a.Send("b", numberedMessage(99)))

	waitUntil(t, "the message is dropped", func() bool {
		return a.counterSum(metrics.Dropped, string(verdict.LinkDown)) == 1
	})
	p.Toxics.ResetToxics(t.Context())

	sendAll(t, a, "b", 5, 8)
	checkReceived(t, b, "a", 8)
}

// TestRelaxedLinkIsCheckedOnceItMatters silences a link that nothing waits for, and then
// makes something wait for it.
func TestRelaxedLinkIsCheckedOnceItMatters(t *testing.T) {
	a := newTestEntry(t, "a", 1, func(c *Config) {
		shortSilentAfter(c)
		c.RelaxedSilentAfter = time.Hour
	})
	b := newTestEntry(t, "b", 1, func(c *Config) { c.SilentAfter = time.Hour })
	p := newProxy(t, b)
	a.SetPeers([]Peer{viaProxy(b, p)})
	waitUntil(t, "linked", func() bool { return len(a.Linked()) == 1 && len(b.Linked()) == 1 })
	a.Relax("b", true)
	addToxic(t, p, "timeout", "upstream", `{"timeout":0}`)
	addToxic(t, p, "timeout", "downstream", `{"timeout":0}`)
	time.Sleep(5 * a.cfg.SilentAfter)
	assert.Equal(t, a.counterSum(metrics.PeerClosed, string(verdict.PeerSilent)), int64(0))
	a.Relax("b", false)
	waitUntil(t, "the silence is counted", func() bool {
		return a.counterSum(metrics.PeerClosed, string(verdict.PeerSilent)) >= 1
	})
}

func TestRedialEndsTheBackoff(t *testing.T) {
	a := newTestEntry(t, "a", 1, nil)
	a.SetPeers([]Peer{{Member: structs.Member{Name: "b", Addr: "127.0.0.1:1"}, DC: "dc-1"}}) // nothing listens there
	r := a.lookup("b")
	state := func() statechart.PeerLinkState {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.state
	}
	waitUntil(t, "the backoff is long", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.state == statechart.PeerLinkWaiting && r.failures >= 4
	})
	before := a.counterSum(metrics.PeerClosed, "")
	a.Redial("b")
	waitUntil(t, "another dial has failed", func() bool { return a.counterSum(metrics.PeerClosed, "") > before })
	a.Redial("unknown")
	assert.Assert(t, state() != statechart.PeerLinkIdle)
}
