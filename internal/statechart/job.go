package statechart

// Job is the chart of one piece of work at the entry that holds it.
var Job = mustLoad[JobState, JobEvent, JobAction]("job", Names{
	States: []string{
		JobAccepted: "accepted",
		JobQueued:   "queued",
		JobRunning:  "running",
		JobFailing:  "failing",
		JobUnsure:   "unsure",
		JobClosed:   "closed",
	},
	Events: []string{
		JobOnGranted:      "granted",
		JobOnDenied:       "denied",
		JobOnStarted:      "started",
		JobOnAllCompleted: "all_completed",
		JobOnTaskFailed:   "task_failed",
		JobOnTaskLost:     "task_lost",
		JobOnCancelled:    "cancelled",
		JobOnExpired:      "expired",
		JobOnSettled:      "settled",
	},
	Actions: []string{
		JobDoNothing:       "",
		JobDoEnqueue:       "enqueue",
		JobDoAnswerKept:    "answer_kept",
		JobDoRelease:       "release",
		JobDoAnswer:        "answer",
		JobDoStopRest:      "stop_rest",
		JobDoAnswerFailed:  "answer_failed",
		JobDoAnswerUnknown: "answer_unknown",
	},
})

// JobState is one of the states of Job.
type JobState uint8

// The states of Job.
const (
	JobAccepted JobState = iota
	JobQueued
	JobRunning
	JobFailing
	JobUnsure
	JobClosed
)

// JobEvent is one of the events of Job.
type JobEvent uint8

// The events of Job.
const (
	JobOnGranted JobEvent = iota
	JobOnDenied
	JobOnStarted
	JobOnAllCompleted
	JobOnTaskFailed
	JobOnTaskLost
	JobOnCancelled
	JobOnExpired
	JobOnSettled
)

// JobAction is one of the actions of Job.
type JobAction uint8

// The actions of Job.
const (
	JobDoNothing JobAction = iota
	JobDoEnqueue
	JobDoAnswerKept
	JobDoRelease
	JobDoAnswer
	JobDoStopRest
	JobDoAnswerFailed
	JobDoAnswerUnknown
)

// String returns the name of the state in the chart.
func (s JobState) String() string { return Job.StateName(s) }
