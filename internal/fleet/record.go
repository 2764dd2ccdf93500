package fleet

// JobState is how far a stored job has come.
type JobState uint8

// The states of stored jobs.
const (
	JobQueued    JobState = iota + 1 // no task was started
	JobRunning                       // some task was started
	JobComplete                      // all tasks are done
	JobFailed                        // a task failed too often, or can't run anywhere
	JobCancelled                     // by a caller
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

// Record is what has to last of a stored job's course. Tasks are numbered through
// all steps, from 0.
type Record struct {
	State JobState `cbor:"1,keyasint,omitempty"`
	// Done has a bit for each task that is done.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// Failures counts the failures of tasks that have failed.
	Failures map[int]int `cbor:"3,keyasint,omitempty"`
	// Occurrences holds the records of occurrences, of a job that repeats.
	Occurrences map[int]Record `cbor:"4,keyasint,omitempty"`
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
