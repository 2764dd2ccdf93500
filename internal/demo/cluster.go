// Package demo runs a whole deployment in one process: a platform stand-in,
// two data centres with two entries each, runners and workers. It checks the
// dispatcher's guarantees to callers on it and reports the first broken one.
package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"currantstall/internal/entry"
	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/standin/worker"
	"currantstall/platform/platformd"
)

// Size and timeouts of the deployment.
const (
	entriesPerDC = 2
	runnersPerDC = 3
	workersPerDC = 3
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 10 * time.Second
	demoLease    = 1500 * time.Millisecond
	listLagMS    = 100
)

var dataCentres = []string{"coast", "island"}

// secret is shared by the entries of the demo, which listen on loopback only.
const secret = "a secret for the demo alone"

// cluster is a running deployment.
type cluster struct {
	platform  *platformd.Server
	registrar *platformd.Registrar
	entries   []*entry.Process
	targets   []*taskserver.Server
}

// startCluster starts all parts of the deployment. After an error it stops
// those that it started.
func startCluster(log *slog.Logger, listen string) (*cluster, error) {
	c := &cluster{}
	if err := c.start(log, listen); err != nil {
		c.kill()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(log *slog.Logger, listen string) error {
	var err error
	if c.platform, err = platformd.Start(""); err != nil {
		return err
	}
	faults := platformd.DefaultFaults()
	faults.ListLagMS = listLagMS
	c.platform.Store.SetFaults(faults)
	if c.registrar, err = platformd.NewRegistrar(c.platform.URL()); err != nil {
		return err
	}
	for _, dc := range dataCentres {
		if err := c.startTargets(dc); err != nil {
			return err
		}
		for i := range entriesPerDC {
			if err := c.startEntry(log, dc, i, listen); err != nil {
				return err
			}
			listen = "" // the first entry takes the given address
		}
	}
	return nil
}

func (c *cluster) startTargets(dc string) error {
	for i := range runnersPerDC {
		vm := platform.VM{Name: fmt.Sprintf("%s-runner-%d", dc, i+1), DC: dc, Rack: fmt.Sprintf("rack-%d", i+1)}
		if err := c.startTarget(runner.New, vm); err != nil {
			return err
		}
	}
	for i := range workersPerDC {
		vm := platform.VM{Name: fmt.Sprintf("%s-worker-%d", dc, i+1), DC: dc, Rack: fmt.Sprintf("rack-%d", i+1)}
		if err := c.startTarget(worker.New, vm); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startTarget(start func(taskserver.Config) (*taskserver.Server, error), vm platform.VM) error {
	s, err := start(taskserver.Config{VM: vm, List: c.registrar, Seed: uint64(len(c.targets))})
	if err != nil {
		return err
	}
	c.targets = append(c.targets, s)
	return nil
}

func (c *cluster) startEntry(log *slog.Logger, dc string, i int, listen string) error {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	name := fmt.Sprintf("%s-entry-%d", dc, i+1)
	p, err := entry.Start(entry.Config{
		Name:            name,
		DC:              dc,
		Listen:          listen,
		PeerListen:      "127.0.0.1:0",
		PlatformURL:     c.platform.URL(),
		Secret:          []byte(secret),
		WritesPerSecond: 30,
		Lease:           demoLease,
		BodyBytes:       64 << 20,
		AnswerBytes:     64 << 20,
		KeptAnswerBytes: 16 << 20,
		Log:             log.With("vm", name),
	})
	if err != nil {
		return err
	}
	c.entries = append(c.entries, p)
	return nil
}

// awaitReady waits until every entry is ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range c.entries {
		if err := retryUntil(ctx, p.Ready); err != nil {
			return fmt.Errorf("entry %s is not ready: %w", p.Self().Name, err)
		}
	}
	return nil
}

// retryUntil calls check until it returns nil. When ctx ends, it returns the
// last error of check.
func retryUntil(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		if sleep.For(ctx, pollInterval) != nil {
			return err
		}
	}
}

// stop drains and stops the entries one after the other, then stops the rest.
func (c *cluster) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, p := range c.entries {
		if err := p.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", p.Self().Name, err))
		}
	}
	c.entries = nil
	c.kill()
	return errors.Join(errs...)
}

// kill stops all parts at once, without a drain.
func (c *cluster) kill() {
	for _, p := range c.entries {
		p.Kill()
	}
	for _, t := range c.targets {
		t.Kill()
	}
	if c.registrar != nil {
		c.registrar.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
}

// startsOf returns the number of starts of each task of a key, over all
// targets.
func (c *cluster) startsOf(k string) map[int]int {
	counts := make(map[int]int)
	for _, t := range c.targets {
		for id, n := range t.Starts() {
			if id.Key.String() == k {
				counts[id.Task] += n
			}
		}
	}
	return counts
}
