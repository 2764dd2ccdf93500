// Package metrics declares the names of the counters that several packages
// share, once, and counts through tally. Counters and gauges of one package
// alone are named there, under the scope of the package.
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

// Names of counters with a reason tag.
const (
	Refused = "refused" // requests refused, by reason and verdict
	Retried = "retried" // attempts repeated, by reason
	Hedged  = "hedged"  // second attempts started, by reason
	Dropped = "dropped" // answers and messages dropped, by reason
	Failed  = "failed"  // attempts that failed at a target, by reason

	Withheld = "withheld"  // retries and hedges that the budget did not allow, by reason
	LookedUp = "looked_up" // look-ups at targets, by reason
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

const (
	tagType        = "type"
	tagReason      = "reason"
	tagVerdict     = "verdict"
	reportInterval = time.Second
)

// Metrics counts for one process.
type Metrics struct {
	scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New starts a root scope whose values Handler serves in the Prometheus text
// format. Close stops it.
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

// NewNop returns Metrics that go nowhere, for tests and tools.
func NewNop() *Metrics {
	return NewWithScope(tally.NoopScope)
}

// NewWithScope returns Metrics that count in scope and serve nothing.
func NewWithScope(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope, handler: http.NotFoundHandler(), closer: io.NopCloser(nil)}
}

// Handler serves the values.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Scope returns the root scope, for counters without a reason and gauges.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close flushes and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Count adds one to the counter name under a reason.
func (m *Metrics) Count(name string, r verdict.Reason) {
	m.scope.Tagged(map[string]string{tagReason: string(r)}).Counter(name).Inc(1)
}

// CounterForType returns the counter name under a type tag, for callers that keep it.
func (m *Metrics) CounterForType(name, typ string) tally.Counter {
	return m.scope.Tagged(map[string]string{tagType: typ}).Counter(name)
}

// CountRefused adds one to the refusals with the error's reason and verdict.
func (m *Metrics) CountRefused(e *verdict.Error) {
	tags := map[string]string{tagReason: string(e.Reason), tagVerdict: e.Verdict.String()}
	m.scope.Tagged(tags).Counter(Refused).Inc(1)
}
