package main

import (
	"os"
	"os/signal"
	"syscall"

	"currantstall/internal/settings"
	"currantstall/platform"
)

// serveCmd runs an entry on the users' platform until it receives SIGTERM or
// SIGINT.
type serveCmd struct {
	settings.Serve
}

// Run implements the command. SIGTERM and SIGINT drain and stop the entry;
// SIGHUP reloads the settings file.
func (c *serveCmd) Run() error {
	log, closeLog := c.Logger(os.Stdout)
	defer closeLog()
	s, err := platform.ReadSettings(c.NodeFile)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := platform.Start(s, []byte(c.PeerSecret), log.With("vm", s.Node))
	if err != nil {
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		e.Reload(c.NodeFile)
	}
	e.Stop()
	return nil
}
