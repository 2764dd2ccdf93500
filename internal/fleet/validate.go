package fleet

import (
	"errors"
	"fmt"
	"slices"
)

// Limits of a job from another process.
const (
	MaxSteps = 1000
	MaxTasks = 10000 // in all steps
)

var errNegative = errors.New("a field is negative")

// Validate returns an error for a job that no entry submits. Jobs from peers and from rows
// of the store are validated, since the scheduler relies on it.
func (j *Job) Validate() error {
	if j.ID == "" {
		return errors.New("job: ID is empty")
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("job %.40q: %d steps, want 1 to %d", j.ID, len(j.Steps), MaxSteps)
	}
	if j.Timeout < 0 || j.Occurrences < 0 || j.Queue.Stretch < 0 || j.Queue.Slack < 0 {
		return fmt.Errorf("job %.40q: %w", j.ID, errNegative)
	}
	total := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("job %.40q: step %d: %w", j.ID, i, err)
		}
		if total += j.Steps[i].Count; total > MaxTasks {
			return fmt.Errorf("job %.40q: more than %d tasks", j.ID, MaxTasks)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasks)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 || s.Estimate < 0 || s.MaxPerTarget < 0 {
		return errNegative
	}
	if slices.ContainsFunc(s.DependsOn, func(d int) bool { return d < 0 || d >= index }) {
		return errors.New("depends on a step that is not earlier")
	}
	return nil
}
