package peer

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// echoer answers each message if asked to, and notes arrivals.
type echoer struct {
	*Node
	self   Peer
	echo   bool
	got    atomic.Int64
	arrive chan struct{}
}

func (e *echoer) Receive(from Peer, m wire.Message) {
	e.got.Add(1)
	if e.echo {
		_ = e.Send(from.Name, m)
		return
	}
	select {
	case e.arrive <- struct{}{}:
	default:
	}
}
func (*echoer) LinkUp(Peer)   {}
func (*echoer) LinkDown(Peer) {}

func newEchoer(b *testing.B, name string, echo bool, m *metrics.Metrics) *echoer {
	b.Helper()
	e := &echoer{echo: echo, arrive: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	e.self = Peer{structs.Member{Name: name, Incarnation: 1, Addr: strings.TrimPrefix(srv.URL, "http://")}, "rennes"}
	n, err := New(Config{Self: e.self.Member, DC: "rennes", Secret: []byte(secret), Metrics: m,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, e)
	assert.NilError(b, err)
	e.Node = n
	mux.Handle(Path, n)
	b.Cleanup(func() {
		_ = n.Close()
		srv.Close()
	})
	return e
}

// claim is a message of the size of a claim.
func claim(b *testing.B) wire.Message {
	b.Helper()
	k, err := key.New("rennes")
	assert.NilError(b, err)
	m, err := wire.NewMessage(wire.Ledger, struct {
		Key    key.Key `cbor:"1,keyasint"`
		Digest uint64  `cbor:"2,keyasint"`
		View   uint64  `cbor:"3,keyasint"`
	}{k, k.Hash(), 7})
	assert.NilError(b, err)
	return m
}

func linkPair(b *testing.B, echo bool) (from, to *echoer) {
	b.Helper()
	from, to = newEchoer(b, "a", false, nil), newEchoer(b, "b", echo, nil)
	from.SetPeers([]Peer{to.self})
	eventually(b, "linked", func() bool { return len(from.Linked()) == 1 && len(to.Linked()) == 1 })
	return from, to
}

// BenchmarkRoundTrip measures one message there and one back, one at a time.
func BenchmarkRoundTrip(b *testing.B) {
	from, _ := linkPair(b, true)
	m := claim(b)
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, from.Send("b", m))
		<-from.arrive
	}
}

// BenchmarkMessages measures one-way messages that share frames, and what a
// message takes on the connection.
func BenchmarkMessages(b *testing.B) {
	from, to := linkPair(b, false)
	m := claim(b)
	b.ReportAllocs()
	sent := int64(0)
	for b.Loop() {
		for from.Send("b", m) != nil {
			runtime.Gosched()
		}
		sent++
	}
	for to.got.Load() < sent {
		runtime.Gosched()
	}
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64(len(m.Body)), "body-bytes")
}

// BenchmarkLinkMemory measures what an idle link takes at both ends together.
func BenchmarkLinkMemory(b *testing.B) {
	const peers = 50
	for b.Loop() {
		hub := newEchoer(b, "hub", false, nil)
		var set []Peer
		for i := range peers {
			set = append(set, newEchoer(b, "p"+strconv.Itoa(i), false, nil).self)
		}
		before := inUse()
		hub.SetPeers(set)
		eventually(b, "all are linked", func() bool { return len(hub.Linked()) == peers })
		time.Sleep(2 * DefaultSilentAfter)
		b.ReportMetric(float64(inUse()-before)/peers, "bytes/link-both-ends")
	}
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
