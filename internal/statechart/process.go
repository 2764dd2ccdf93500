package statechart

// Process is the chart of one entry process.
var Process = mustLoad[ProcessState, ProcessEvent, ProcessAction]("process", Names{
	States: []string{
		ProcessStarting: "starting",
		ProcessJoining:  "joining",
		ProcessServing:  "serving",
		ProcessDraining: "draining",
		ProcessStopped:  "stopped",
	},
	Events: []string{
		ProcessOnManifestHeld: "manifest_held",
		ProcessOnJoined:       "joined",
		ProcessOnRemoved:      "removed",
		ProcessOnStop:         "stop",
		ProcessOnDrained:      "drained",
	},
	Actions: []string{""},
})

// ProcessState is one of the states of Process.
type ProcessState uint8

// The states of Process.
const (
	ProcessStarting ProcessState = iota
	ProcessJoining
	ProcessServing
	ProcessDraining
	ProcessStopped
)

// ProcessEvent is one of the events of Process.
type ProcessEvent uint8

// The events of Process.
const (
	ProcessOnManifestHeld ProcessEvent = iota
	ProcessOnJoined
	ProcessOnRemoved
	ProcessOnStop
	ProcessOnDrained
)

// ProcessAction is the action type of Process, which has no actions.
type ProcessAction uint8

// String returns the name of the state in the chart.
func (s ProcessState) String() string { return Process.StateName(s) }
