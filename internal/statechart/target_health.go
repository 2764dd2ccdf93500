package statechart

// TargetHealth is the chart of what is thought of a target.
var TargetHealth = mustLoad[TargetHealthState, TargetHealthEvent, TargetHealthAction]("target_health", Names{
	States: []string{
		TargetHealthHealthy: "healthy",
		TargetHealthEjected: "ejected",
		TargetHealthTrial:   "trial",
		TargetHealthLeaving: "leaving",
		TargetHealthGone:    "gone",
	},
	Events: []string{
		TargetHealthOnSucceeded:   "succeeded",
		TargetHealthOnFailing:     "failing",
		TargetHealthOnCooled:      "cooled",
		TargetHealthOnTrialPassed: "trial_passed",
		TargetHealthOnLeave:       "leave",
		TargetHealthOnReturn:      "return",
		TargetHealthOnRemove:      "remove",
	},
	Actions: []string{
		TargetHealthDoNothing:    "",
		TargetHealthDoEject:      "eject",
		TargetHealthDoStartTrial: "start_trial",
		TargetHealthDoReadmit:    "readmit",
		TargetHealthDoStopNew:    "stop_new",
		TargetHealthDoForget:     "forget",
	},
})

// TargetHealthState is one of the states of TargetHealth.
type TargetHealthState uint8

// The states of TargetHealth.
const (
	TargetHealthHealthy TargetHealthState = iota
	TargetHealthEjected
	TargetHealthTrial
	TargetHealthLeaving
	TargetHealthGone
)

// TargetHealthEvent is one of the events of TargetHealth.
type TargetHealthEvent uint8

// The events of TargetHealth.
const (
	TargetHealthOnSucceeded TargetHealthEvent = iota
	TargetHealthOnFailing
	TargetHealthOnCooled
	TargetHealthOnTrialPassed
	TargetHealthOnLeave
	TargetHealthOnReturn
	TargetHealthOnRemove
)

// TargetHealthAction is one of the actions of TargetHealth.
type TargetHealthAction uint8

// The actions of TargetHealth.
const (
	TargetHealthDoNothing TargetHealthAction = iota
	TargetHealthDoEject
	TargetHealthDoStartTrial
	TargetHealthDoReadmit
	TargetHealthDoStopNew
	TargetHealthDoForget
)

// String returns the name of the state in the chart.
func (s TargetHealthState) String() string { return TargetHealth.StateName(s) }
