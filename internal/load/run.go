package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"currantstall/internal/sleep"
)

const defaultMaxInFlight = 20_000

// Config describes one run.
type Config struct {
	Addrs   []string // host:port of the entries, drawn at random for each call
	Streams []Stream
	// WarmUp precedes Duration. Its calls are not counted.
	WarmUp   time.Duration
	Duration time.Duration
	// Seed fixes the arrivals, the run times and the choice of entries.
	Seed uint64
	// MaxInFlight bounds the calls in flight, default 20,000. Calls above it
	// are not sent, and are counted as unsent.
	MaxInFlight int
}

// sender is the state of one run.
type sender struct {
	cfg       Config
	send      func(context.Context, *call) (answerBody, error)
	inFlight  chan struct{}
	wg        sync.WaitGroup
	startTime time.Time
}

// Run sends the streams and returns their results once every call has an answer
// or is past its deadline. The error is that of an invalid setting or that of
// ctx.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	if len(cfg.Addrs) == 0 {
		return nil, errors.New("no address to send to")
	}
	for i := range cfg.Streams {
		if err := cfg.Streams[i].validate(); err != nil {
			return nil, err
		}
	}
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	client := newClient()
	defer client.CloseIdleConnections()
	r := &sender{
		cfg:       cfg,
		send:      func(ctx context.Context, c *call) (answerBody, error) { return c.send(ctx, client) },
		inFlight:  make(chan struct{}, cfg.MaxInFlight),
		startTime: time.Now(),
	}
	recorders := make([]*recorder, len(cfg.Streams))
	for i := range cfg.Streams {
		recorders[i] = newRecorder(cfg.Streams[i])
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i)))
		r.wg.Go(func() { r.generate(ctx, &cfg.Streams[i], rng, recorders[i]) })
	}
	r.wg.Wait()
	results := make([]Result, len(recorders))
	for i, rec := range recorders {
		results[i] = rec.Result
	}
	return results, ctx.Err()
}

// generate sends the calls of one stream at their intended times.
func (r *sender) generate(ctx context.Context, s *Stream, rng *rand.Rand, rec *recorder) {
	end := r.startTime.Add(r.cfg.WarmUp + r.cfg.Duration)
	for intended := r.startTime.Add(s.drawInterarrival(rng)); intended.Before(end); intended = intended.Add(s.drawInterarrival(rng)) {
		c := &call{stream: s, intended: intended, serviceTimes: s.drawServiceTimes(rng), addr: r.cfg.Addrs[rng.IntN(len(r.cfg.Addrs))]}
		if sleep.For(ctx, time.Until(intended)) != nil {
			return
		}
		r.launch(ctx, c, rec)
	}
}

// launch sends a call without waiting for the answer, unless too many calls are
// in flight.
func (r *sender) launch(ctx context.Context, c *call, rec *recorder) {
	counted := c.intended.Sub(r.startTime) >= r.cfg.WarmUp
	select {
	case r.inFlight <- struct{}{}:
	default:
		if counted {
			rec.countUnsent()
		}
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.inFlight }()
		sent := time.Now()
		a, err := r.send(ctx, c)
		end := time.Now()
		rec.countCall(c, a, err)
		if counted {
			rec.recordCounted(c, sent, end, a, err)
		}
		if sinceWarmUp := end.Sub(r.startTime) - r.cfg.WarmUp; sinceWarmUp >= 0 && sinceWarmUp < r.cfg.Duration {
			rec.addUseful(c, end, a, err)
		}
	})
}
