package membership

import (
	"time"

	"currantstall/internal/structs"
)

// Quit makes a member that can't reach the table go at once.
type Quit struct{}

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass. It is due every 10 to 50 ms.
type Tick struct{}

// PeerSeen reports the run of an entry of this data centre that answers at
// its listen address.
type PeerSeen struct{ Member structs.Member }

// Received reports a heartbeat.
type Received struct {
	From      structs.Member
	Heartbeat Heartbeat
}

// RowRead is the result of ReadRow.
type RowRead struct {
	StartedAt time.Time
	// OK is false if the table did not answer.
	OK bool
	// RowVersion is 0 if there is no row.
	RowVersion uint64
	View       structs.View
}

// PutResult says what is known of a PutRow.
type PutResult uint8

// The results of a put.
const (
	PutApplied    PutResult = iota + 1
	PutNotApplied           // nothing was written
	PutUnknown              // it may have been written
)

// RowPut is the result of PutRow.
type RowPut struct {
	StartedAt time.Time
	Result    PutResult
}

// HandedOver reports that every claim that moved with the view of this
// version has reached its new places.
type HandedOver struct{ Version uint64 }

// Leave makes the member leave the view, once it stops to start anything. Its
// claims are handed over to the other members of the view of this version; if
// the view changes meanwhile, a further Leave must follow.
type Leave struct{ Version uint64 }

func (Tick) event()       {}
func (PeerSeen) event()   {}
func (Received) event()   {}
func (RowRead) event()    {}
func (RowPut) event()     {}
func (HandedOver) event() {}
func (Leave) event()      {}
func (Quit) event()       {}

// Action is an output of Step.
type Action interface{ action() }

// Send sends a heartbeat.
type Send struct {
	To        structs.Member
	Heartbeat Heartbeat
}

// ReadRow reads the view's row.
type ReadRow struct{}

// PutRow puts the view's row on condition that it has the version.
type PutRow struct {
	RowVersion uint64
	View       structs.View
}

// ViewLearned reports a new view, not yet in force. HorizonMS is a Unix time in
// ms: both records of a claim on a key minted before it may be gone.
type ViewLearned struct {
	View      structs.View
	HorizonMS int64
}

// ViewInForce reports that the newest known view is in force.
type ViewInForce struct {
	Version   uint64
	HorizonMS int64
}

// MembershipEnded reports that this run is in the view no more: it was removed, or it
// left. It never is again; a new incarnation may join.
type MembershipEnded struct{ Left bool }

func (Send) action()            {}
func (ReadRow) action()         {}
func (PutRow) action()          {}
func (ViewLearned) action()     {}
func (ViewInForce) action()     {}
func (MembershipEnded) action() {}

// Heartbeat is a heartbeat. It answers the last one received from its addressee.
type Heartbeat struct {
	// Token is the sender's token; Answer is the addressee's last one, 0 for
	// none.
	Token     uint64 `cbor:"1,keyasint"`
	EchoToken uint64 `cbor:"2,keyasint,omitempty"`
	// Promise says that the sender knows of no removal of the addressee,
	// and acts on none within a lease of sending this.
	Promise bool `cbor:"3,keyasint,omitempty"`
	// KnownVersion, Ready and InForce are view versions of the sender.
	KnownVersion   uint64 `cbor:"4,keyasint,omitempty"`
	ReadyVersion   uint64 `cbor:"5,keyasint,omitempty"`
	InForceVersion uint64 `cbor:"6,keyasint,omitempty"`
	// View is the sender's newest view if the addressee may not have it.
	View *structs.View `cbor:"7,keyasint,omitempty"`
	// Left means that the sender left the view by itself.
	Left bool `cbor:"8,keyasint,omitempty"`
	// HorizonMS is the sender's, where it is later than the row's.
	HorizonMS int64 `cbor:"9,keyasint,omitempty"`
}
