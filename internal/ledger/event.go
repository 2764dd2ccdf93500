package ledger

import (
	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass. It is due every 10 to 50 ms.
type Tick struct{}

// Acquire asks for the claim on a key. It is answered by a Reply.
type Acquire struct {
	CallID uint64 // names the caller in the Reply
	Key    key.Key
	Digest uint64
	// External asks on behalf of the old system, which brings no digest.
	External bool
}

// Cancel withdraws an Acquire that was not answered yet.
type Cancel struct {
	CallID uint64
	Key    key.Key
}

// Refuse asks whether a refusal may say not_run. The Reply has no error if
// so.
type Refuse struct {
	CallID uint64
	Key    key.Key
}

// Lookup asks for what is known of a key. The Reply holds the outcome, or
// Running, or an error.
type Lookup struct {
	CallID uint64
	Key    key.Key
}

// Finish ends a claim that is held here. An outcome with verdict NotRun gives
// it back.
type Finish struct {
	Key     key.Key
	Outcome structs.Outcome
}

// Received reports a message of another member.
type Received struct {
	From    structs.Member
	Message Message
}

// ViewLearned reports a newer view. HorizonMS is a Unix time in ms: both
// records of a claim on a key minted before it may be gone.
type ViewLearned struct {
	View      structs.View
	HorizonMS int64
}

// ViewInForce reports that the newest known view is in force.
type ViewInForce struct {
	Version   uint64
	HorizonMS int64
}

// MembershipEnded reports that this run is no member any more.
type MembershipEnded struct{}

// Leave makes the member hand its claims to the others. It grants and asks
// for no claim after it.
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

// Send sends a message. A lazy one may wait a few ms for company.
type Send struct {
	To      structs.Member
	Message Message
	Lazy    bool
}

// Reply answers Acquire, Refuse or Lookup.
type Reply struct {
	CallID  uint64
	Granted bool
	Outcome *structs.Outcome
	Running bool
	Err     *verdict.Error
}

// Record puts an outcome into the account. The same key may come again, with
// the same outcome or one that says more.
type Record struct {
	Key     key.Key
	Outcome structs.Outcome
	Digest  uint64 // of the work, 0 if not known
	// FromPeer means that the claim's holder may have recorded it too.
	FromPeer bool
}

// HandedOver reports that all claims that moved with a view have reached
// their new places.
type HandedOver struct{ Version uint64 }

// LeaveReady reports that all claims of a leaving member are handed over to
// the other members of the view of this version.
type LeaveReady struct{ Version uint64 }

func (Send) action()       {}
func (Reply) action()      {}
func (Record) action()     {}
func (HandedOver) action() {}
func (LeaveReady) action() {}
