package peer

import (
	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// counters holds the metrics of the links. Counters that change with each message
// are looked up once.
type counters struct {
	metrics   *metrics.Metrics
	framesIn  tally.Counter
	framesOut tally.Counter
	redials   tally.Counter
	in, out   []typeCounters // by wire.Type
}

// typeCounters counts the messages and body bytes of one type in one direction.
type typeCounters struct {
	messages, bytes tally.Counter
}

func newCounters(m *metrics.Metrics) *counters {
	return &counters{
		metrics:   m,
		framesIn:  m.Scope().Counter(metrics.PeerFramesIn),
		framesOut: m.Scope().Counter(metrics.PeerFramesOut),
		redials:   m.Scope().Counter(metrics.PeerRedials),
		in:        newTypeCounters(m, metrics.PeerMessagesIn, metrics.PeerBytesIn),
		out:       newTypeCounters(m, metrics.PeerMessagesOut, metrics.PeerBytesOut),
	}
}

func newTypeCounters(m *metrics.Metrics, messages, bytes string) []typeCounters {
	types := wire.Types()
	fs := make([]typeCounters, len(types)+1)
	for _, t := range types {
		fs[t] = typeCounters{m.CounterForType(messages, t.String()), m.CounterForType(bytes, t.String())}
	}
	return fs
}

func (c *counters) countSent(ms []wire.Message) {
	c.framesOut.Inc(1)
	addMessages(c.out, ms)
}

func (c *counters) countReceived(ms []wire.Message) {
	c.framesIn.Inc(1)
	addMessages(c.in, ms)
}

func addMessages(fs []typeCounters, ms []wire.Message) {
	for _, m := range ms {
		fs[m.Type].messages.Inc(1)
		fs[m.Type].bytes.Inc(int64(len(m.Body)))
	}
}

func (c *counters) countDropped(r verdict.Reason, n int) {
	for range n {
		c.metrics.Count(metrics.Dropped, r)
	}
}

func (c *counters) countClosed(r verdict.Reason) { c.metrics.Count(metrics.PeerClosed, r) }
