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
	// MaxOccurrences is so low that the records of so many fit into one row of the store.
	MaxOccurrences = 4000
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
	if !(j.Queue.Share >= 0 && j.Queue.Share <= 1) {
		return fmt.Errorf("job %.40q: share %v of queue %q: %w", j.ID, j.Queue.Share, j.Queue.Name, errOutOfRange)
	}
	if j.Occurrences > MaxOccurrences || !validTime(j.FirstDueMS) || !validTime(j.IntervalMS) {
		return fmt.Errorf("job %.40q: %d occurrences, the first at %d ms, one each %d ms: %w", j.ID, j.Occurrences, j.FirstDueMS, j.IntervalMS, errOutOfRange)
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

func validTime(ms int64) bool { return ms >= 0 && ms <= MaxTimeMS }

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks, want 1 to %d", s.Count, MaxTasks)
	}
	if s.Estimate < 0 || s.MaxPerTarget < 0 {
		return errNegative
	}
	if !s.Needs.Valid() {
		return fmt.Errorf("needs %v: %w", s.Needs, errOutOfRange)
	}
	if slices.ContainsFunc(s.DependsOn, func(d uint16) bool { return int(d) >= index }) {
		return errors.New("depends on a step that is not earlier")
	}
	return nil
}
