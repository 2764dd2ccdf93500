package peer

import (
	"github.com/uber-go/tally/v4"

	"currantstall/internal/metrics"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// counters holds the counters that are touched for each message.
type counters struct {
	m         *metrics.Metrics
	framesIn  tally.Counter
	framesOut tally.Counter
	redials   tally.Counter
	in, out   []flow // by wire.Type
}

// flow counts the messages of one type in one direction.
type flow struct {
	messages, bytes tally.Counter
}

func newCounters(m *metrics.Metrics) *counters {
	return &counters{
		m:         m,
		framesIn:  m.Scope().Counter(metrics.PeerFramesIn),
		framesOut: m.Scope().Counter(metrics.PeerFramesOut),
		redials:   m.Scope().Counter(metrics.PeerRedials),
		in:        flows(m, metrics.PeerMessagesIn, metrics.PeerBytesIn),
		out:       flows(m, metrics.PeerMessagesOut, metrics.PeerBytesOut),
	}
}

func flows(m *metrics.Metrics, messages, bytes string) []flow {
	types := wire.Types()
	fs := make([]flow, len(types)+1)
	for _, t := range types {
		fs[t] = flow{m.Typed(messages, t.String()), m.Typed(bytes, t.String())}
	}
	return fs
}

func (c *counters) sent(ms []wire.Message) {
	c.framesOut.Inc(1)
	count(c.out, ms)
}

func (c *counters) received(ms []wire.Message) {
	c.framesIn.Inc(1)
	count(c.in, ms)
}

func count(fs []flow, ms []wire.Message) {
	for _, m := range ms {
		fs[m.Type].messages.Inc(1)
		fs[m.Type].bytes.Inc(int64(len(m.Body)))
	}
}

func (c *counters) dropped(r verdict.Reason, n int) {
	for range n {
		c.m.Count(metrics.Dropped, r)
	}
}

func (c *counters) closed(r verdict.Reason) { c.m.Count(metrics.PeerClosed, r) }
