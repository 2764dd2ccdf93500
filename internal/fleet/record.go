package fleet

// JobState is the progress of a stored job.
type JobState uint8

// The states of stored jobs.
const (
	JobQueued    JobState = iota + 1 // no task has been started
	JobRunning                       // at least one task has been started
	JobComplete                      // all tasks are done
	JobFailed                        // a task failed too often, or no target can run it
	JobCancelled                     // cancelled by a caller
)

var jobStateNames = [...]string{"unknown", "queued", "running", "complete", "failed", "cancelled"}

// String returns the name that callers see.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return jobStateNames[0]
	}
	return jobStateNames[s]
}

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobComplete && s <= JobCancelled }

// Record is the durable progress of a stored job. Tasks are numbered from 0
// through all steps.
type Record struct {
	State JobState `cbor:"1,keyasint,omitempty"`
	// Done has a bit for each task that is done.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// Failures counts the failures of each task that has failed.
	Failures map[int]int `cbor:"3,keyasint,omitempty"`
	// Occurrences holds the records of a recurring job's occurrences.
	Occurrences map[int]Record `cbor:"4,keyasint,omitempty"`
	// Suspicions are those against the tasks that may crash their targets.
	Suspicions Suspicions `cbor:"5,keyasint,omitempty"`
	// FailedRuns has the number of the last run of each task whose failure is counted in
	// Failures. Records of earlier releases lack it.
	FailedRuns map[int]int `cbor:"6,keyasint,omitempty"`
	// Open names the runs of which the owner had no evidence that they are over, one item a target. An item may outlast
	// its runs: it is dropped with the next change that is saved.
	Open []OpenRuns `cbor:"7,keyasint,omitempty"`
}

// IsDone reports whether a task is done.
func (r *Record) IsDone(task int) bool {
	return task/8 < len(r.Done) && r.Done[task/8]&(1<<(task%8)) != 0
}

// SetDone marks a task as done.
func (r *Record) SetDone(task int) {
	for len(r.Done) <= task/8 {
		r.Done = append(r.Done, 0)
	}
	r.Done[task/8] |= 1 << (task % 8)
}
