package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"currantstall/examples"
	"currantstall/internal/demo"
	"currantstall/internal/settings"
)

// demoCmd runs a whole deployment in this process.
type demoCmd struct {
	Stay   bool   `help:"Keep serving until interrupted."`
	Listen string `default:"127.0.0.1:0" help:"Address of the first entry for callers and operators; port 0 takes a free one."`

	settings.Logging
}

// Run implements the command.
func (c *demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.LogLevel == "info" {
		c.LogLevel = "warn"
	}
	return demo.Run(ctx, demo.Config{
		Manifests: []demo.Manifest{
			{
				Name:  "Kelpfire",
				Text:  examples.Kelpfire,
				Team:  "households",
				Kinds: []string{"unlock", "reconcile", "balance-check"},
				Job:   "dusk-unlocks",
				Tasks: 670,
			},
			{
				Name:  "Office",
				Text:  examples.Office,
				Team:  "quilters",
				Kinds: []string{"lot-reservation", "order-check", "stock-query"},
				Job:   "season-lots",
				Tasks: 50,
			},
		},
		Listen: c.Listen,
		Stay:   c.Stay,
		Out:    os.Stdout,
		Log:    c.Logger(os.Stderr),
	})
}
