package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"currantstall/internal/load"
	"currantstall/internal/structs"
)

// loadCmd sends a stream of work in an open loop and prints a report of the
// outcomes.
type loadCmd struct {
	Addr     []string      `default:"127.0.0.1:7400" placeholder:"HOST:PORT" help:"Entries to send to, separated by commas; each request goes to one of them, chosen at random."`
	Kind     string        `required:"" placeholder:"NAME" help:"Kind of work."`
	Team     string        `default:"load" placeholder:"NAME" help:"Team of the caller."`
	Tasks    int           `default:"0" help:"Tasks of a job, 1 to 670; 0 sends requests."`
	Rate     float64       `default:"10" help:"Requests or jobs a second."`
	Arrivals string        `default:"poisson" enum:"poisson,constant" help:"Distribution of the arrivals: poisson or constant."`
	Service  time.Duration `default:"100ms" help:"Mean run time of a task at a stand-in."`
	Spread   float64       `default:"0.5" help:"Standard deviation of the run time's logarithm; 0 for a fixed time."`
	Deadline time.Duration `default:"2s" help:"Time from the intended send time to the deadline."`
	KeyDC    string        `name:"key-data-centre" placeholder:"NAME" help:"Data centre of the keys that the sender mints, as a caller does that may resubmit. Default: the entries mint the keys."`
	WarmUp   time.Duration `default:"1s" help:"Time before the counted time; its requests are not counted."`
	Duration time.Duration `default:"10s" help:"Counted time."`
	Seed     uint64        `default:"1" help:"Seed of the arrivals, the run times and the choice of entries."`
}

// Run implements the command.
func (c *loadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, err := load.Run(ctx, load.Config{
		Addrs:    c.Addr,
		Streams:  []load.Stream{c.stream()},
		WarmUp:   c.WarmUp,
		Duration: c.Duration,
		Seed:     c.Seed,
	})
	if err != nil {
		return err
	}
	return load.WriteReport(os.Stdout, results)
}

func (c *loadCmd) stream() load.Stream {
	s := load.Stream{
		Class:       structs.Request,
		Kind:        c.Kind,
		Team:        c.Team,
		Rate:        c.Rate,
		Arrivals:    load.Arrivals(c.Arrivals),
		Tasks:       1,
		ServiceTime: c.Service,
		Spread:      c.Spread,
		Deadline:    c.Deadline,
		KeyDC:       c.KeyDC,
	}
	if c.Tasks > 0 {
		s.Class, s.Tasks = structs.Job, c.Tasks
	}
	return s
}
