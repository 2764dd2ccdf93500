package manifest_test

import (
	"context"
	"currantstall/platform/store"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/manifest"
	"currantstall/internal/peer"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
	"currantstall/platform/platformd"
)

// node is an entry with nothing but peer links and a rollout.
type node struct {
	links   *peer.Node
	rollout *manifest.Rollout
	self    peer.Peer
	pushes  bool // else Broadcast and Send do nothing
}

func (n *node) Receive(from peer.Peer, m wire.Message) { _ = n.rollout.Handle(from.Name, m) }
func (n *node) LinkUp(p peer.Peer)                     { n.rollout.LinkUp(p.Name) }
func (n *node) LinkDown(peer.Peer)                     {}

// Broadcast implements manifest.Peers.
func (n *node) Broadcast(m wire.Message) {
	if n.pushes {
		n.links.Broadcast(m)
	}
}

// Send implements manifest.Peers.
func (n *node) Send(to string, m wire.Message) {
	if n.pushes {
		_ = n.links.Send(to, m)
	}
}

// startNode starts entry number i, which runs until the benchmark ends.
func startNode(b *testing.B, ctx context.Context, i int, platformURL string, pushes bool) *node {
	client, err := store.Connect(platformURL, platform.Config{})
	assert.NilError(b, err)
	b.Cleanup(client.Close)
	n := &node{pushes: pushes}
	n.rollout = manifest.NewRollout(manifest.RolloutConfig{Store: manifest.NewStore(client), Peers: n})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.links.ServeHTTP(w, r) }))
	n.self = peer.Peer{DC: "rennes", Member: structs.Member{Name: fmt.Sprint("vm-", i), Incarnation: 1, Addr: server.Listener.Addr().String()}}
	n.links, err = peer.New(peer.Config{Self: n.self.Member, DC: n.self.DC, Secret: []byte("a secret of the benchmark"), Log: slog.New(slog.DiscardHandler)}, n)
	assert.NilError(b, err)
	server.Start()
	b.Cleanup(func() { _ = n.links.Close(); server.Close() })
	go n.rollout.Run(ctx)
	return n
}

// BenchmarkSpread measures the time from the call of Apply at one of 7 entries
// until all have the version in force, with pushes and with polls alone. The table
// takes 5 ms per request. Run it with -benchtime 30x.
func BenchmarkSpread(b *testing.B) {
	for _, pushes := range []bool{true, false} {
		b.Run(fmt.Sprintf("pushes=%v", pushes), func(b *testing.B) { benchSpread(b, pushes) })
	}
}

func benchSpread(b *testing.B, pushes bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := platformd.Start("")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = server.Close() })
	server.Store.SetFaults(platformd.Faults{SlowMS: 5})
	var nodes []*node
	var peers []peer.Peer
	for i := range 7 {
		nodes = append(nodes, startNode(b, ctx, i, server.URL(), pushes))
		peers = append(peers, nodes[i].self)
	}
	for _, n := range nodes {
		n.links.SetPeers(peers)
	}
	waitFor(b, func() bool { return allNodes(nodes, func(n *node) bool { return len(n.links.Linked()) == 6 }) })
	var times []time.Duration
	b.ResetTimer()
	for i := range b.N {
		start := time.Now()
		m, err := nodes[i%7].rollout.Apply(ctx, "op", uint64(i), oneKind(i))
		assert.NilError(b, err)
		waitFor(b, func() bool { return allNodes(nodes, func(n *node) bool { return hasVersion(n, m.Version) }) })
		times = append(times, time.Since(start))
	}
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "median_ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "max_ms")
}

func oneKind(urgency int) *manifest.Manifest {
	m := &manifest.Manifest{Kinds: []manifest.Kind{{Name: "unlock", Class: "request", Urgency: urgency}}}
	return m.Canonical()
}

func hasVersion(n *node, version uint64) bool {
	m := n.rollout.Current()
	return m != nil && m.Version >= version
}

func allNodes(nodes []*node, ok func(*node) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *node) bool { return !ok(n) })
}

func waitFor(b *testing.B, ok func() bool) {
	for deadline := time.Now().Add(time.Minute); !ok(); time.Sleep(100 * time.Microsecond) {
		assert.Assert(b, time.Now().Before(deadline), "condition not met within a minute")
	}
}
