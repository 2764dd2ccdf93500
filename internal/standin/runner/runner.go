// Package runner is a stand-in for a runner: a target with a few slots, each
// of which runs one request at a time.
package runner

import (
	"currantstall/internal/platform"
	"currantstall/internal/standin/taskserver"
)

// Defaults of a runner.
const (
	DefaultSlots   = 8
	DefaultMaxConn = 60
)

// New starts a runner, on a free port of 127.0.0.1 unless cfg sets an address.
// Zero slots and connections select the defaults. By default as many tasks can
// be queued as there are slots.
func New(cfg taskserver.Config) (*taskserver.Server, error) {
	cfg.VM.Role = platform.RoleRunner
	if cfg.VM.Slots <= 0 {
		cfg.VM.Slots = DefaultSlots
	}
	if cfg.VM.MaxConn <= 0 {
		cfg.VM.MaxConn = DefaultMaxConn
	}
	if cfg.QueueCapacity <= 0 {
		cfg.QueueCapacity = cfg.VM.Slots
	}
	return taskserver.New(cfg)
}
