// Package target speaks to runners and workers: it starts tasks, matches each
// answer to its task, and judges the health of each target by outcomes.
package target

import (
	"context"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// Start asks a target to run one task.
type Start struct {
	Key  key.Key
	Task int // index in the job, 0 for a request
	Kind string
	Body []byte
	// Needs is the worker capacity to account to the task; zero at runners.
	Needs structs.Resources
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// NotAfter is the end of the sender's lease: a target that sees the
	// start later must not run it. Zero for repeatable work.
	NotAfter time.Time
}

// Answer is a whole answer to one Start.
type Answer struct {
	Body []byte
	// RunTime is the run time as the target measured it, 0 if unknown.
	RunTime time.Duration
	// Used is what the task took at a worker, zero if not reported.
	Used structs.Resources
}

// TaskRunner runs one task at the target at addr. The error is a *verdict.Error:
// NotRun only with proof that the task did not start there, Failed if the
// target says that the task ran and failed, else MayHaveRun.
type TaskRunner interface {
	Run(ctx context.Context, addr string, s Start) (Answer, error)
}
