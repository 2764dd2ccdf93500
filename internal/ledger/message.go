package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/structs"
)

// Message is a message between the ledgers of two members.
type Message interface{ addTo(*Batch) }

// Claim requests a claim from the key's home.
type Claim struct {
	ID       uuid.UUID `cbor:"1,keyasint"`
	Attempt  uint64    `cbor:"2,keyasint"` // numbers the sender's requests
	Digest   uint64    `cbor:"3,keyasint"`
	External bool      `cbor:"4,keyasint,omitempty"`
}

// Result is a home's reply to a Claim or Probe.
type Result uint8

// The results of a Claim or Probe.
const (
	Granted  Result = iota + 1 // Claim: the sender may start the work
	Attached                   // Claim: another copy holds the claim; an Ended reply follows
	Ended                      // the work has ended, or the claim is refused
	NotReady                   // the addressee can't decide as the home now
	NoClaim                    // Probe: there is no claim
	Running                    // Probe: there is an open claim
)

// ClaimReply answers Claim.
type ClaimReply struct {
	ID          uuid.UUID        `cbor:"1,keyasint"`
	Attempt     uint64           `cbor:"2,keyasint"`
	Result      Result           `cbor:"3,keyasint"`
	ViewVersion uint64           `cbor:"4,keyasint"` // view in force at the home
	Outcome     *structs.Outcome `cbor:"5,keyasint,omitempty"`
}

// StoreRecord sends a claim's record to the member that keeps the other one.
type StoreRecord struct {
	Record ClaimRecord `cbor:"1,keyasint"`
}

// ClaimRecord is a member's record of one claim.
type ClaimRecord struct {
	ID      uuid.UUID        `cbor:"1,keyasint"`
	Holder  structs.Member   `cbor:"2,keyasint"`
	Attempt uint64           `cbor:"3,keyasint"`
	Digest  uint64           `cbor:"4,keyasint"`
	Phase   Phase            `cbor:"5,keyasint"`
	Rank    Rank             `cbor:"6,keyasint"`
	Outcome *structs.Outcome `cbor:"7,keyasint,omitempty"`
	// RefusedFor is how long the key of a released claim is still refused.
	RefusedFor time.Duration `cbor:"8,keyasint,omitempty"`
}

// StoreAck acknowledges StoreRecord.
type StoreAck struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
	Phase   Phase     `cbor:"3,keyasint"`
}

// Check asks a holder whether it still holds a claim. The holder replies only
// if it does not.
type Check struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
}

// Probe asks the home for the state of a key. With Mark, a home without a claim
// grants none while the refusal mark exists.
type Probe struct {
	ID     uuid.UUID `cbor:"1,keyasint"`
	Serial uint64    `cbor:"2,keyasint"`
	Mark   bool      `cbor:"3,keyasint,omitempty"`
}

// ProbeReply answers Probe.
type ProbeReply struct {
	Serial  uint64           `cbor:"1,keyasint"`
	Result  Result           `cbor:"2,keyasint"`
	Outcome *structs.Outcome `cbor:"3,keyasint,omitempty"`
}

// Handover moves records to a member that keeps them under a new view.
type Handover struct {
	Version uint64        `cbor:"1,keyasint"`
	Serial  uint64        `cbor:"2,keyasint"`
	Leaving bool          `cbor:"3,keyasint,omitempty"`
	Records []ClaimRecord `cbor:"4,keyasint"`
}

// HandoverAck acknowledges Handover.
type HandoverAck struct {
	Version uint64 `cbor:"1,keyasint"`
	Serial  uint64 `cbor:"2,keyasint"`
}

// Batch contains the messages from one incarnation of an entry to another, as
// encoded on the wire. Their order has no meaning.
type Batch struct {
	From         uint64        `cbor:"1,keyasint"` // incarnation of the sender
	To           uint64        `cbor:"2,keyasint"` // incarnation of the addressee
	Claims       []Claim       `cbor:"3,keyasint,omitempty"`
	ClaimReplies []ClaimReply  `cbor:"4,keyasint,omitempty"`
	Stores       []StoreRecord `cbor:"5,keyasint,omitempty"`
	StoreAcks    []StoreAck    `cbor:"6,keyasint,omitempty"`
	Checks       []Check       `cbor:"7,keyasint,omitempty"`
	Probes       []Probe       `cbor:"8,keyasint,omitempty"`
	ProbeReplies []ProbeReply  `cbor:"9,keyasint,omitempty"`
	Handovers    []Handover    `cbor:"10,keyasint,omitempty"`
	HandoverAcks []HandoverAck `cbor:"11,keyasint,omitempty"`
}

func (m Claim) addTo(b *Batch)       { b.Claims = append(b.Claims, m) }
func (m ClaimReply) addTo(b *Batch)  { b.ClaimReplies = append(b.ClaimReplies, m) }
func (m StoreRecord) addTo(b *Batch) { b.Stores = append(b.Stores, m) }
func (m StoreAck) addTo(b *Batch)    { b.StoreAcks = append(b.StoreAcks, m) }
func (m Check) addTo(b *Batch)       { b.Checks = append(b.Checks, m) }
func (m Probe) addTo(b *Batch)       { b.Probes = append(b.Probes, m) }
func (m ProbeReply) addTo(b *Batch)  { b.ProbeReplies = append(b.ProbeReplies, m) }
func (m Handover) addTo(b *Batch)    { b.Handovers = append(b.Handovers, m) }
func (m HandoverAck) addTo(b *Batch) { b.HandoverAcks = append(b.HandoverAcks, m) }

// Add adds a message to the batch.
func (b *Batch) Add(m Message) { m.addTo(b) }

// Messages returns the messages of the batch.
func (b *Batch) Messages() []Message {
	var ms []Message
	ms = appendAll(ms, b.Claims)
	ms = appendAll(ms, b.ClaimReplies)
	ms = appendAll(ms, b.Stores)
	ms = appendAll(ms, b.StoreAcks)
	ms = appendAll(ms, b.Checks)
	ms = appendAll(ms, b.Probes)
	ms = appendAll(ms, b.ProbeReplies)
	ms = appendAll(ms, b.Handovers)
	return appendAll(ms, b.HandoverAcks)
}

func appendAll[M Message](ms []Message, add []M) []Message {
	for _, m := range add {
		ms = append(ms, m)
	}
	return ms
}
