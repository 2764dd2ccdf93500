package statechart

// PeerLink is the chart of an entry's link to one peer.
var PeerLink = mustLoad[PeerLinkState, PeerLinkEvent, PeerLinkAction]("peer_link", Names{
	States: []string{
		PeerLinkIdle:    "idle",
		PeerLinkDialing: "dialing",
		PeerLinkWaiting: "waiting",
		PeerLinkUp:      "up",
		PeerLinkGuest:   "guest",
	},
	Events: []string{
		PeerLinkOnWanted:     "wanted",
		PeerLinkOnUnwanted:   "unwanted",
		PeerLinkOnLinked:     "linked",
		PeerLinkOnDialFailed: "dial_failed",
		PeerLinkOnLost:       "lost",
		PeerLinkOnRetry:      "retry",
	},
	Actions: []string{
		PeerLinkDoNothing:      "",
		PeerLinkDoDial:         "dial",
		PeerLinkDoBackOff:      "back_off",
		PeerLinkDoAnnounceUp:   "announce_up",
		PeerLinkDoAnnounceDown: "announce_down",
		PeerLinkDoReplace:      "replace",
		PeerLinkDoClose:        "close",
	},
})

// PeerLinkState is one of the states of PeerLink.
type PeerLinkState uint8

// The states of PeerLink.
const (
	PeerLinkIdle PeerLinkState = iota
	PeerLinkDialing
	PeerLinkWaiting
	PeerLinkUp
	PeerLinkGuest
)

// PeerLinkEvent is one of the events of PeerLink.
type PeerLinkEvent uint8

// The events of PeerLink.
const (
	PeerLinkOnWanted PeerLinkEvent = iota
	PeerLinkOnUnwanted
	PeerLinkOnLinked
	PeerLinkOnDialFailed
	PeerLinkOnLost
	PeerLinkOnRetry
)

// PeerLinkAction is one of the actions of PeerLink.
type PeerLinkAction uint8

// The actions of PeerLink.
const (
	PeerLinkDoNothing PeerLinkAction = iota
	PeerLinkDoDial
	PeerLinkDoBackOff
	PeerLinkDoAnnounceUp
	PeerLinkDoAnnounceDown
	PeerLinkDoReplace
	PeerLinkDoClose
)

// String returns the name of the state in the chart.
func (s PeerLinkState) String() string { return PeerLink.StateName(s) }
