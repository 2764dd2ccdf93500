package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"currantstall/internal/platform"
	"currantstall/internal/standin/runner"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/standin/worker"
	"currantstall/internal/structs"
	"currantstall/platform/platformd"
)

// standinCmd groups the stand-ins for the platform and the targets.
type standinCmd struct {
	Platform standinPlatformCmd `cmd:"" help:"Run a platform that keeps everything in memory."`
	Runner   standinRunnerCmd   `cmd:"" help:"Run a runner."`
	Worker   standinWorkerCmd   `cmd:"" help:"Run a worker."`
}

// standinPlatformCmd runs a stand-in for the platform.
type standinPlatformCmd struct {
	Listen          string  `default:"127.0.0.1:7500" help:"Address to listen on; port 0 takes a free one."`
	WritesPerSecond float64 `default:"400" help:"Limit of rows and objects written, per second; 0 for no limit."`
	ReadsPerSecond  float64 `default:"2000" help:"Limit of read requests, per second; 0 for no limit."`
	ListLag         int64   `default:"1000" help:"Age of the VM list, in ms."`
}

// Run implements the command.
func (c *standinPlatformCmd) Run() error {
	s, err := platformd.Start(c.Listen)
	if err != nil {
		return err
	}
	f := platformd.DefaultFaults()
	f.WritesPerSecond, f.ReadsPerSecond, f.ListLagMS = c.WritesPerSecond, c.ReadsPerSecond, c.ListLag
	s.Store.SetFaults(f)
	fmt.Println("platform listens on", s.Addr())
	waitForSignal()
	return s.Close()
}

// targetFlags are the flags that the runner and the worker share.
type targetFlags struct {
	VM       string                   `name:"vm" required:"" placeholder:"NAME" help:"Name of the VM, unique."`
	DC       string                   `name:"data-centre" required:"" placeholder:"NAME" help:"Data centre of the VM."`
	Rack     string                   `placeholder:"NAME" help:"Rack of the VM."`
	Listen   string                   `default:"127.0.0.1:0" help:"Address to listen on; port 0 takes a free one."`
	Platform string                   `required:"" placeholder:"URL" help:"Base URL of the platform in whose VM list the target announces itself."`
	Service  map[string]time.Duration `mapsep:"," placeholder:"KIND=DURATION" help:"Median run time of a kind's tasks that have none in their body; several are separated by commas. Default: 50ms each."`
	Spread   float64                  `default:"0.5" help:"Standard deviation of the run time's logarithm, without unit."`
}

// standinDrainTimeout bounds how long a stopped target waits for its running
// tasks.
const standinDrainTimeout = 10 * time.Second

func (f *targetFlags) config(registrar platform.VMList) taskserver.Config {
	return taskserver.Config{
		VM:           platform.VM{Name: f.VM, DC: f.DC, Rack: f.Rack},
		Listen:       f.Listen,
		ServiceTimes: f.Service,
		Spread:       f.Spread,
		List:         registrar,
	}
}

// serve starts a target. On SIGTERM or SIGINT the target announces that it is
// leaving, and serve waits for its running tasks.
func (f *targetFlags) serve(role platform.Role, start func(taskserver.Config) (*taskserver.Server, error), configure func(*taskserver.Config)) error {
	registrar, err := platformd.NewRegistrar(f.Platform)
	if err != nil {
		return err
	}
	defer registrar.Close()
	cfg := f.config(registrar)
	configure(&cfg)
	s, err := start(cfg)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Println(role, f.VM, "listens on", s.Addr())
	waitForSignal()
	s.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), standinDrainTimeout)
	defer cancel()
	err = registrar.Announce(ctx, s.VM())
	for s.Running() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// standinRunnerCmd runs a stand-in for a runner.
type standinRunnerCmd struct {
	Slots   int `default:"8" help:"Requests that run at the same time."`
	MaxConn int `default:"60" help:"Maximum number of open connections."`
	targetFlags
}

// Run implements the command.
func (c *standinRunnerCmd) Run() error {
	return c.serve(platform.RoleRunner, runner.New, func(cfg *taskserver.Config) {
		cfg.VM.Slots, cfg.VM.MaxConn = c.Slots, c.MaxConn
	})
}

// standinWorkerCmd runs a stand-in for a worker.
type standinWorkerCmd struct {
	Cores        int64         `default:"32" help:"Processor cores."`
	MemoryMiB    int64         `name:"memory-mib" default:"131072" help:"Memory, in MiB."`
	Accelerators int64         `default:"0" help:"Accelerators, whole devices."`
	UsageLag     time.Duration `default:"2s" help:"Age of the data in a usage report."`
	targetFlags
}

// Run implements the command.
func (c *standinWorkerCmd) Run() error {
	return c.serve(platform.RoleWorker, worker.New, func(cfg *taskserver.Config) {
		cfg.VM.Size = structs.Resources{MilliCPU: 1000 * c.Cores, MemoryMB: c.MemoryMiB, Accelerators: c.Accelerators}
		cfg.UsageLag = c.UsageLag
	})
}

// waitForSignal blocks until the process receives SIGTERM or SIGINT.
func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
