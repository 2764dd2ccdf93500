package statechart

// Member is the chart of one member of a view as another one sees it.
var Member = mustLoad[MemberState, MemberEvent, MemberAction]("member", Names{
	States: []string{
		MemberJoining:  "joining",
		MemberActive:   "active",
		MemberSuspect:  "suspect",
		MemberRemoving: "removing",
		MemberRemoved:  "removed",
	},
	Events: []string{
		MemberOnAcknowledged:     "acknowledged",
		MemberOnSilent:           "silent",
		MemberOnHeard:            "heard",
		MemberOnRemovalCommitted: "removal_committed",
		MemberOnLeaseRanOut:      "lease_ran_out",
		MemberOnLeave:            "leave",
	},
	Actions: []string{
		MemberDoNothing:         "",
		MemberDoAdmit:           "admit",
		MemberDoProposeRemoval:  "propose_removal",
		MemberDoWithdrawRemoval: "withdraw_removal",
		MemberDoHoldBack:        "hold_back",
		MemberDoTakeOver:        "take_over",
	},
})

// MemberState is one of the states of Member.
type MemberState uint8

// The states of Member.
const (
	MemberJoining MemberState = iota
	MemberActive
	MemberSuspect
	MemberRemoving
	MemberRemoved
)

// MemberEvent is one of the events of Member.
type MemberEvent uint8

// The events of Member.
const (
	MemberOnAcknowledged MemberEvent = iota
	MemberOnSilent
	MemberOnHeard
	MemberOnRemovalCommitted
	MemberOnLeaseRanOut
	MemberOnLeave
)

// MemberAction is one of the actions of Member.
type MemberAction uint8

// The actions of Member.
const (
	MemberDoNothing MemberAction = iota
	MemberDoAdmit
	MemberDoProposeRemoval
	MemberDoWithdrawRemoval
	MemberDoHoldBack
	MemberDoTakeOver
)

// String returns the name of the state in the chart.
func (s MemberState) String() string { return Member.StateName(s) }
