package statechart

// Rollout is the chart of one apply of a manifest version.
var Rollout = mustLoad[RolloutState, RolloutEvent, RolloutAction]("rollout", Names{
	States: []string{
		RolloutChecking:    "checking",
		RolloutCommitting:  "committing",
		RolloutReadingBack: "reading_back",
		RolloutAccepted:    "accepted",
		RolloutRejected:    "rejected",
	},
	Events: []string{
		RolloutOnValid:       "valid",
		RolloutOnInvalid:     "invalid",
		RolloutOnCommitted:   "committed",
		RolloutOnConflict:    "conflict",
		RolloutOnUnavailable: "unavailable",
		RolloutOnNoAnswer:    "no_answer",
		RolloutOnReadOurs:    "read_ours",
		RolloutOnReadOther:   "read_other",
		RolloutOnReadOld:     "read_old",
	},
	Actions: []string{
		RolloutDoNothing:           "",
		RolloutDoCommit:            "commit",
		RolloutDoRefuseInvalid:     "refuse_invalid",
		RolloutDoAdoptAndPush:      "adopt_and_push",
		RolloutDoRefuseConflict:    "refuse_conflict",
		RolloutDoRefuseUnavailable: "refuse_unavailable",
		RolloutDoReadBack:          "read_back",
	},
})

// RolloutState is one of the states of Rollout.
type RolloutState uint8

// The states of Rollout.
const (
	RolloutChecking RolloutState = iota
	RolloutCommitting
	RolloutReadingBack
	RolloutAccepted
	RolloutRejected
)

// RolloutEvent is one of the events of Rollout.
type RolloutEvent uint8

// The events of Rollout.
const (
	RolloutOnValid RolloutEvent = iota
	RolloutOnInvalid
	RolloutOnCommitted
	RolloutOnConflict
	RolloutOnUnavailable
	RolloutOnNoAnswer
	RolloutOnReadOurs
	RolloutOnReadOther
	RolloutOnReadOld
)

// RolloutAction is one of the actions of Rollout.
type RolloutAction uint8

// The actions of Rollout.
const (
	RolloutDoNothing RolloutAction = iota
	RolloutDoCommit
	RolloutDoRefuseInvalid
	RolloutDoAdoptAndPush
	RolloutDoRefuseConflict
	RolloutDoRefuseUnavailable
	RolloutDoReadBack
)

// String returns the name of the state in the chart.
func (s RolloutState) String() string { return Rollout.StateName(s) }
