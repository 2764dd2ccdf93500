package statechart

// Task is the chart of one task at the entry that dispatches it.
var Task = mustLoad[TaskState, TaskEvent, TaskAction]("task", Names{
	States: []string{
		TaskQueued:    "queued",
		TaskSending:   "sending",
		TaskCompleted: "completed",
		TaskFailed:    "failed",
		TaskUnknown:   "unknown",
	},
	Events: []string{
		TaskOnPlaced:       "placed",
		TaskOnAnswered:     "answered",
		TaskOnFailed:       "failed",
		TaskOnLost:         "lost",
		TaskOnProvedNotRun: "proved_not_run",
		TaskOnRepeated:     "repeated",
	},
	Actions: []string{
		TaskDoNothing: "",
		TaskDoRequeue: "requeue",
	},
})

// TaskState is one of the states of Task.
type TaskState uint8

// The states of Task.
const (
	TaskQueued TaskState = iota
	TaskSending
	TaskCompleted
	TaskFailed
	TaskUnknown
)

// TaskEvent is one of the events of Task.
type TaskEvent uint8

// The events of Task.
const (
	TaskOnPlaced TaskEvent = iota
	TaskOnAnswered
	TaskOnFailed
	TaskOnLost
	TaskOnProvedNotRun
	TaskOnRepeated
)

// TaskAction is one of the actions of Task.
type TaskAction uint8

// The actions of Task.
const (
	TaskDoNothing TaskAction = iota
	TaskDoRequeue
)

// String returns the name of the state in the chart.
func (s TaskState) String() string { return Task.StateName(s) }
