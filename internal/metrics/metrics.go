// Package metrics declares the names of the counters that several packages
// share, and counts with tally. Counters and gauges that only one package uses
// are named in that package, under its own scope.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"currantstall/internal/verdict"
)

// Names of the counters with a reason tag.
const (
	Refused = "refused" // requests refused, by reason and verdict
	Retried = "retried" // attempts retried, by reason
	Hedged  = "hedged"  // second attempts started, by reason
	Dropped = "dropped" // answers and messages dropped, by reason
	Failed  = "failed"  // attempts that failed at a target, by reason

	Withheld = "withheld"  // retries and hedges that the budget did not allow, by reason
	LookedUp = "looked_up" // status lookups at targets, by reason
)

// Names of the counters of the links between entries. Messages and bytes
// carry a type tag.
const (
	PeerFramesIn    = "peer_frames_in"
	PeerFramesOut   = "peer_frames_out"
	PeerMessagesIn  = "peer_messages_in"
	PeerMessagesOut = "peer_messages_out"
	PeerBytesIn     = "peer_bytes_in"  // bytes of message bodies
	PeerBytesOut    = "peer_bytes_out" // bytes of message bodies
	PeerRedials     = "peer_redials"
	PeerClosed      = "peer_closed" // links and handshakes closed, by reason
)

// Names of the counters of the traffic to the platform's store. They carry a tag for the
// table and one for the kind of call.
const (
	StoreCalls    = "store_calls"
	StoreBytesOut = "store_bytes_out" // bytes of request bodies
	StoreBytesIn  = "store_bytes_in"  // bytes of response bodies
)

// StoreInvalidRows counts the rows of the platform's store that were turned away, by table.
const StoreInvalidRows = "store_invalid_rows"

const (
	tagTable       = "table"
	tagCall        = "call"
	tagType        = "type"
	tagReason      = "reason"
	tagVerdict     = "verdict"
	reportInterval = time.Second
)

// Metrics holds the counters and gauges of one process.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns Metrics with a root scope whose values Handler serves in the
// Prometheus text format. Close stops the reporting.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "currantstall",
		CachedReporter:  r,
		Separator:       promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, handler: r.HTTPHandler(), closer: closer}
}

// NewNop returns Metrics that discard all values, for tests and tools.
func NewNop() *Metrics {
	return NewWithScope(tally.NoopScope)
}

// NewWithScope returns Metrics that count in scope. Its Handler serves no values.
func NewWithScope(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope, handler: http.NotFoundHandler(), closer: io.NopCloser(nil)}
}

// Handler returns the HTTP handler that serves the values.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Scope returns the root scope, for gauges and for counters without a reason.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close flushes and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Count adds one to the named counter under a reason.
func (m *Metrics) Count(name string, r verdict.Reason) {
	m.scope.Tagged(map[string]string{tagReason: string(r)}).Counter(name).Inc(1)
}

// CounterForType returns the named counter under a type tag. Callers may keep the
// counter.
func (m *Metrics) CounterForType(name, typ string) tally.Counter {
	return m.scope.Tagged(map[string]string{tagType: typ}).Counter(name)
}

// CountStore counts a call to the platform's store.
func (m *Metrics) CountStore(table, call string, out, in int) {
	s := m.scope.Tagged(map[string]string{tagTable: table, tagCall: call})
	s.Counter(StoreCalls).Inc(1)
	s.Counter(StoreBytesOut).Inc(int64(out))
	s.Counter(StoreBytesIn).Inc(int64(in))
}

// CountInvalidRows counts rows of a table of the platform's store that were turned away.
func (m *Metrics) CountInvalidRows(table string, n int) {
	if n > 0 {
		m.scope.Tagged(map[string]string{tagTable: table}).Counter(StoreInvalidRows).Inc(int64(n))
	}
}

// CountRefused adds one to the refusals under the reason and verdict of e.
func (m *Metrics) CountRefused(e *verdict.Error) {
	tags := map[string]string{tagReason: string(e.Reason), tagVerdict: e.Verdict.String()}
	m.scope.Tagged(tags).Counter(Refused).Inc(1)
}
