package statechart

// TargetHealth is the chart of the health of one target, as judged by an entry.
var TargetHealth = mustLoad[TargetHealthState, TargetHealthEvent, TargetHealthAction]("target_health", Names{
	States: []string{
		TargetHealthHealthy: "healthy",
		TargetHealthEjected: "ejected",
		TargetHealthTrial:   "trial",
		TargetHealthLeaving: "leaving",
		TargetHealthGone:    "gone",
	},
	Events: []string{
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
	TargetHealthOnFailing TargetHealthEvent = iota
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
	TargetHealthDoStopNew
	TargetHealthDoForget
)

// String returns the name of the state in the chart.
func (s TargetHealthState) String() string { return TargetHealth.StateName(s) }
