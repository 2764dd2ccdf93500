// Package worker is a stand-in for a worker: a target that starts every task
// it is given, whether it fits or not, and slows all of them down in
// proportion when they need more than it has.
package worker

import (
	"time"

	"currantstall/internal/platform"
	"currantstall/internal/standin/taskserver"
	"currantstall/internal/structs"
)

// Defaults of a worker.
const (
	DefaultMilliCPU = 32_000
	DefaultMemoryMB = 128 << 10
	DefaultUsageLag = 2 * time.Second
)

// New starts a worker, on a free port of 127.0.0.1 unless cfg sets an address.
// A zero size and usage lag select the defaults.
func New(cfg taskserver.Config) (*taskserver.Server, error) {
	cfg.VM.Role = platform.RoleWorker
	cfg.VM.Slots = 0
	if cfg.VM.Size == (structs.Resources{}) {
		cfg.VM.Size = structs.Resources{MilliCPU: DefaultMilliCPU, MemoryMB: DefaultMemoryMB}
	}
	if cfg.UsageLag <= 0 {
		cfg.UsageLag = DefaultUsageLag
	}
	return taskserver.New(cfg)
}
