package statechart

// Task is the chart of one task at the entry that runs it.
var Task = mustLoad[TaskState, TaskEvent, TaskAction]("task", Names{
	States: []string{
		TaskQueued:    "queued",
		TaskSending:   "sending",
		TaskRunning:   "running",
		TaskCompleted: "completed",
		TaskFailed:    "failed",
		TaskUnknown:   "unknown",
		TaskRefused:   "refused",
	},
	Events: []string{
		TaskOnPlaced:       "placed",
		TaskOnWritten:      "written",
		TaskOnAnswered:     "answered",
		TaskOnFailed:       "failed",
		TaskOnLost:         "lost",
		TaskOnProvedNotRun: "proved_not_run",
		TaskOnRepeated:     "repeated",
		TaskOnCancelled:    "cancelled",
		TaskOnExpired:      "expired",
	},
	Actions: []string{
		TaskDoNothing:        "",
		TaskDoSend:           "send",
		TaskDoRequeue:        "requeue",
		TaskDoDeliver:        "deliver",
		TaskDoDeliverFailure: "deliver_failure",
		TaskDoDeliverUnknown: "deliver_unknown",
		TaskDoRefuse:         "refuse",
		TaskDoCancelAtTarget: "cancel_at_target",
		TaskDoCountLate:      "count_late",
	},
})

// TaskState is one of the states of Task.
type TaskState uint8

// The states of Task.
const (
	TaskQueued TaskState = iota
	TaskSending
	TaskRunning
	TaskCompleted
	TaskFailed
	TaskUnknown
	TaskRefused
)

// TaskEvent is one of the events of Task.
type TaskEvent uint8

// The events of Task.
const (
	TaskOnPlaced TaskEvent = iota
	TaskOnWritten
	TaskOnAnswered
	TaskOnFailed
	TaskOnLost
	TaskOnProvedNotRun
	TaskOnRepeated
	TaskOnCancelled
	TaskOnExpired
)

// TaskAction is one of the actions of Task.
type TaskAction uint8

// The actions of Task.
const (
	TaskDoNothing TaskAction = iota
	TaskDoSend
	TaskDoRequeue
	TaskDoDeliver
	TaskDoDeliverFailure
	TaskDoDeliverUnknown
	TaskDoRefuse
	TaskDoCancelAtTarget
	TaskDoCountLate
)

// String returns the name of the state in the chart.
func (s TaskState) String() string { return Task.StateName(s) }
