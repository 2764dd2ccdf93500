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
	// WarmUp comes before Duration; its calls are not counted.
	WarmUp   time.Duration
	Duration time.Duration
	// Seed fixes the arrivals, the run times and the entries.
	Seed uint64
	// MaxInFlight bounds the calls without an answer, default 20,000.
	// Calls above it are not sent and counted as such.
	MaxInFlight int
}

// runner is the state of one run.
type runner struct {
	cfg   Config
	send  func(context.Context, *call) (answerBody, error)
	slots chan struct{}
	wg    sync.WaitGroup
	start time.Time
}

// Run sends the streams and returns their results once every call has its
// answer or its deadline has passed. The error is one of the settings, or that
// of ctx.
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
	r := &runner{
		cfg:   cfg,
		send:  func(ctx context.Context, c *call) (answerBody, error) { return c.send(ctx, client) },
		slots: make(chan struct{}, cfg.MaxInFlight),
		start: time.Now(),
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

// generate sends one stream's calls at their times.
func (r *runner) generate(ctx context.Context, s *Stream, rng *rand.Rand, rec *recorder) {
	end := r.start.Add(r.cfg.WarmUp + r.cfg.Duration)
	for at := r.start.Add(s.gap(rng)); at.Before(end); at = at.Add(s.gap(rng)) {
		c := &call{stream: s, at: at, tasks: s.services(rng), addr: r.cfg.Addrs[rng.IntN(len(r.cfg.Addrs))]}
		if sleep.For(ctx, time.Until(at)) != nil {
			return
		}
		r.launch(ctx, c, rec)
	}
}

// launch carries out a call without waiting for it.
func (r *runner) launch(ctx context.Context, c *call, rec *recorder) {
	counted := c.at.Sub(r.start) >= r.cfg.WarmUp
	select {
	case r.slots <- struct{}{}:
	default:
		if counted {
			rec.skip()
		}
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		sent := time.Now()
		a, err := r.send(ctx, c)
		end := time.Now()
		rec.noteAny(c, a, err)
		if counted {
			rec.note(c, sent, end, a, err)
		}
		if since := end.Sub(r.start) - r.cfg.WarmUp; since >= 0 && since < r.cfg.Duration {
			rec.noteUseful(c, end, a, err)
		}
	})
}
