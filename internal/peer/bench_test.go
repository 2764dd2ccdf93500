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
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
	"currantstall/internal/wire"
)

// echoer is a Node that sends each message back if echo is set, and otherwise
// signals its arrival.
type echoer struct {
	*Node
	self    Peer
	echo    bool
	got     atomic.Int64
	arrived chan struct{}
}

func (e *echoer) Receive(from Peer, m wire.Message) {
	e.got.Add(1)
	if e.echo {
		_ = e.Send(from.Name, m)
		return
	}
	select {
	case e.arrived <- struct{}{}:
	default:
	}
}
func (*echoer) LinkUp(Peer)   {}
func (*echoer) LinkDown(Peer) {}

func newEchoer(b *testing.B, name string, echo bool, m *metrics.Metrics) *echoer {
	b.Helper()
	e := &echoer{echo: echo, arrived: make(chan struct{}, 1)}
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

// claimMessage returns a message of the size of a claim.
func claimMessage(b *testing.B) wire.Message {
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
	waitUntil(b, "linked", func() bool { return len(from.Linked()) == 1 && len(to.Linked()) == 1 })
	return from, to
}

// BenchmarkRoundTrip measures the round trip of one message at a time.
func BenchmarkRoundTrip(b *testing.B) {
	from, _ := linkPair(b, true)
	m := claimMessage(b)
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, from.Send("b", m))
		<-from.arrived
	}
}

// BenchmarkMessages measures the rate of one-way messages, which share frames, and
// reports the size of a message's body.
func BenchmarkMessages(b *testing.B) {
	from, to := linkPair(b, false)
	m := claimMessage(b)
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

// BenchmarkIdleLink measures the cost of an idle link: memory, processor time, and
// frames and body bytes per second in both directions, for both ends together.
func BenchmarkIdleLink(b *testing.B) {
	const (
		peers       = 50
		measureTime = 5 * time.Second
	)
	for b.Loop() {
		scope := tally.NewTestScope("", nil)
		hub := newEchoer(b, "hub", false, metrics.NewWithScope(scope))
		var set []Peer
		for i := range peers {
			set = append(set, newEchoer(b, "p"+strconv.Itoa(i), false, nil).self)
		}
		before := memoryInUse()
		hub.SetPeers(set)
		waitUntil(b, "all are linked", func() bool { return len(hub.Linked()) == peers })
		time.Sleep(2 * DefaultSilentAfter)
		b.ReportMetric(float64(memoryInUse()-before)/peers, "bytes/link")
		frames, bytes := traffic(scope)
		cpu := cpuTime(b)
		time.Sleep(measureTime)
		b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/peers/measureTime.Seconds(), "cpu-us/s/link")
		framesLater, bytesLater := traffic(scope)
		b.ReportMetric(float64(framesLater-frames)/peers/measureTime.Seconds(), "frames/s/link")
		b.ReportMetric(float64(bytesLater-bytes)/peers/measureTime.Seconds(), "body-bytes/s/link")
	}
}

// cpuTime returns the processor time used by this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// traffic sums the frames and body bytes of a scope in both directions.
func traffic(scope tally.TestScope) (frames, bytes int64) {
	for _, c := range scope.Snapshot().Counters() {
		switch c.Name() {
		case metrics.PeerFramesIn, metrics.PeerFramesOut:
			frames += c.Value()
		case metrics.PeerBytesIn, metrics.PeerBytesOut:
			bytes += c.Value()
		}
	}
	return frames, bytes
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
