// Package target is the client of targets (runners and workers). It tracks the
// targets of a data centre, starts tasks on them, checks that each answer belongs
// to its task, and judges the health of each target by the outcomes.
package target

import (
	"context"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// Start is a request to a target to run one task.
type Start struct {
	Key  key.Key
	Task int // index of the task in its job, 0 for a request
	Kind string
	Body []byte
	// Needs is the worker capacity to reserve for the task, zero at runners.
	Needs structs.Resources
	// Deadline is the time after which the answer is not needed.
	Deadline time.Time
	// NotAfter is the end of the sender's lease: a target that receives the
	// start later must not run the task. Zero for repeatable work.
	NotAfter time.Time
	// OnConnected is called, unless nil, each time the start gets a connection.
	// Nothing is sent before.
	OnConnected func()
}

// Answer is the complete answer to one Start.
type Answer struct {
	Body []byte
	// RunTime is the run time of the task as measured by the target, 0 if
	// unknown.
	RunTime time.Duration
	// Used is the capacity that the task used at a worker, zero if not
	// reported.
	Used structs.Resources
}

// TaskRunner runs tasks on targets.
//
// Run runs one task on the target at addr. The error is a *verdict.Error: NotRun
// only with proof that the task did not start there, Failed if the target reports
// that the task ran and failed, and MayHaveRun otherwise.
type TaskRunner interface {
	Run(ctx context.Context, addr string, s Start) (Answer, error)
}
