package membership

import (
	"time"

	"currantstall/internal/structs"
)

// Quit ends the membership at once, without another write of the view's row. A
// stopping entry uses it if it is in no view or if leaving takes too long.
type Quit struct{}

// Event is an input of Step.
type Event interface{ event() }

// Tick advances time. The caller sends one every 10 to 50 ms.
type Tick struct{}

// PeerSeen reports which incarnation of an entry of this data centre answers at
// its listen address.
type PeerSeen struct{ Member structs.Member }

// Received reports a heartbeat from another entry.
type Received struct {
	From      structs.Member
	Heartbeat Heartbeat
}

// RowRead reports the result of ReadRow.
type RowRead struct {
	// StartedAt is the time before the read was sent. A table lease counts
	// from it.
	StartedAt time.Time
	// OK is false if the row could not be read.
	OK bool
	// RowVersion is 0 if there is no row.
	RowVersion uint64
	View       structs.View
}

// PutResult is the known effect of a PutRow.
type PutResult uint8

// The results of a put.
const (
	PutApplied    PutResult = iota + 1
	PutNotApplied           // nothing was written
	PutUnknown              // the view may have been written, or may still be
)

// RowPut reports the result of PutRow.
type RowPut struct {
	StartedAt time.Time
	Result    PutResult
}

// HandedOver reports that every claim record that moves under the view of this
// version has been acknowledged by its new members.
type HandedOver struct{ Version uint64 }

// Leave makes the member leave the view. From then on it must start no work.
// Its claims have been handed over to the other members of the view of this
// version; if the view changes before the member has left, the caller hands
// over again and sends another Leave.
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

// PutRow writes the view's row if the row still has RowVersion.
type PutRow struct {
	RowVersion uint64
	View       structs.View
}

// ViewLearned reports a new view, not yet in force. HorizonMS is a Unix time in
// ms: for a key minted before it, both records of a claim may be lost.
type ViewLearned struct {
	View      structs.View
	HorizonMS int64
}

// ViewInForce reports that the newest known view is in force: all its members
// are ready for it.
type ViewInForce struct {
	Version   uint64
	HorizonMS int64
}

// MembershipEnded reports that this incarnation left the view or was removed
// from it. It never becomes a member again; a new incarnation may join. Left
// means that it left and that its claims are handed over.
type MembershipEnded struct{ Left bool }

func (Send) action()            {}
func (ReadRow) action()         {}
func (PutRow) action()          {}
func (ViewLearned) action()     {}
func (ViewInForce) action()     {}
func (MembershipEnded) action() {}

// Heartbeat is sent to every other entry of the data centre. It acknowledges
// the last one received from its addressee.
type Heartbeat struct {
	// Token identifies a heartbeat: it is the time of sending, in ns since the
	// sender's start, plus 1. EchoToken is the Token of the last heartbeat from
	// the addressee, 0 for none.
	Token     uint64 `cbor:"1,keyasint"`
	EchoToken uint64 `cbor:"2,keyasint,omitempty"`
	// Promise is set if the sender knows of no removal of the addressee and
	// acts on none for the length of a lease after sending this.
	Promise bool `cbor:"3,keyasint,omitempty"`
	// KnownVersion, ReadyVersion and InForceVersion are the newest views that
	// the sender knows, is ready for, and knows to be in force.
	KnownVersion   uint64 `cbor:"4,keyasint,omitempty"`
	ReadyVersion   uint64 `cbor:"5,keyasint,omitempty"`
	InForceVersion uint64 `cbor:"6,keyasint,omitempty"`
	// View is the sender's newest view if the addressee may not know it.
	View *structs.View `cbor:"7,keyasint,omitempty"`
	// Left means that the sender left the view with its claims handed over.
	Left bool `cbor:"8,keyasint,omitempty"`
	// HorizonMS is the sender's horizon if it is later than that of its newest
	// view.
	HorizonMS int64 `cbor:"9,keyasint,omitempty"`
}
