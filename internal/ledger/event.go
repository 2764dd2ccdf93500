package ledger

import (
	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick advances time. The caller sends one every 10 to 50 ms.
type Tick struct{}

// Acquire requests the claim on a key. A Reply follows.
type Acquire struct {
	CallID uint64 // identifies the call in the Reply
	Key    key.Key
	Digest uint64
	// External marks a claim for the old system, which sends no digest.
	External bool
}

// Cancel withdraws an Acquire that was not answered yet.
type Cancel struct {
	CallID uint64
	Key    key.Key
}

// Refuse asks whether a refusal may have the verdict not_run. If so, the Reply
// has no error.
type Refuse struct {
	CallID uint64
	Key    key.Key
}

// Lookup asks for the state of a key. The Reply contains the outcome, or
// Running, or an error.
type Lookup struct {
	CallID uint64
	Key    key.Key
}

// Finish ends a claim that this member holds. An outcome with verdict NotRun
// releases it.
type Finish struct {
	Key     key.Key
	Outcome structs.Outcome
}

// Received reports a message from another member.
type Received struct {
	From    structs.Member
	Message Message
}

// ViewLearned reports a newer view. HorizonMS is a Unix time in ms: for a key
// minted before it, both records of a claim may be lost.
type ViewLearned struct {
	View      structs.View
	HorizonMS int64
}

// ViewInForce reports that the newest known view is in force.
type ViewInForce struct {
	Version   uint64
	HorizonMS int64
}

// MembershipEnded reports that this incarnation is no longer a member.
type MembershipEnded struct{}

// Leave makes the member hand over its claims to the other members. From then
// on it neither grants nor requests claims.
type Leave struct{}

func (Tick) event()            {}
func (Acquire) event()         {}
func (Cancel) event()          {}
func (Refuse) event()          {}
func (Lookup) event()          {}
func (Finish) event()          {}
func (Received) event()        {}
func (ViewLearned) event()     {}
func (ViewInForce) event()     {}
func (MembershipEnded) event() {}
func (Leave) event()           {}

// Action is an output of Step.
type Action interface{ action() }

// Send sends a message. A lazy one may be delayed by a few ms, to share a frame
// with others.
type Send struct {
	To      structs.Member
	Message Message
	Lazy    bool
}

// Reply answers Acquire, Refuse or Lookup. Outcome is that of an earlier copy
// of the request.
type Reply struct {
	CallID  uint64
	Granted bool
	Outcome *structs.Outcome
	Running bool
	Err     *verdict.Error
}

// Record writes an outcome to the account. The same key may be recorded again,
// with the same outcome or a more specific one.
type Record struct {
	Key     key.Key
	Outcome structs.Outcome
	Digest  uint64 // of the work, 0 if not known
	// FromPeer means that the claim's holder may have recorded the outcome too.
	FromPeer bool
}

// HandedOver reports that every claim record that moves under the view of this
// version has been acknowledged by its new members.
type HandedOver struct{ Version uint64 }

// LeaveReady reports that a leaving member has handed over all claims to the
// other members of the view of this version.
type LeaveReady struct{ Version uint64 }

func (Send) action()       {}
func (Reply) action()      {}
func (Record) action()     {}
func (HandedOver) action() {}
func (LeaveReady) action() {}
