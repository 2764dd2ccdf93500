package ledger

import (
	"time"

	"github.com/google/uuid"

	"currantstall/internal/structs"
)

// Message is a message between the ledgers of two members.
type Message interface{ addTo(*Batch) }

// Claim asks the key's home for the claim.
type Claim struct {
	ID       uuid.UUID `cbor:"1,keyasint"`
	Attempt  uint64    `cbor:"2,keyasint"` // numbers the sender's claims
	Digest   uint64    `cbor:"3,keyasint"`
	External bool      `cbor:"4,keyasint,omitempty"`
}

// Result is a home's answer to a claim or probe.
type Result uint8

// The results.
const (
	Granted  Result = iota + 1 // to a claim: the sender may start the work
	Attached                   // to a claim: another copy runs; an Ended reply follows
	Ended                      // the work ended, or the claim is refused
	NotReady                   // the addressee is not the home in force
	NoClaim                    // to a probe: there is no claim
	Running                    // to a probe: there is an open claim
)

// ClaimReply answers a claim.
type ClaimReply struct {
	ID          uuid.UUID        `cbor:"1,keyasint"`
	Attempt     uint64           `cbor:"2,keyasint"`
	Result      Result           `cbor:"3,keyasint"`
	ViewVersion uint64           `cbor:"4,keyasint"` // version in force at the home
	Outcome     *structs.Outcome `cbor:"5,keyasint,omitempty"`
}

// StoreRecord keeps a record at the member that has the other one.
type StoreRecord struct {
	Record ClaimRecord `cbor:"1,keyasint"`
}

// ClaimRecord is one claim as a member knows it.
type ClaimRecord struct {
	ID      uuid.UUID        `cbor:"1,keyasint"`
	Holder  structs.Member   `cbor:"2,keyasint"`
	Attempt uint64           `cbor:"3,keyasint"`
	Digest  uint64           `cbor:"4,keyasint"`
	Phase   Phase            `cbor:"5,keyasint"`
	Rank    Rank             `cbor:"6,keyasint"`
	Outcome *structs.Outcome `cbor:"7,keyasint,omitempty"`
	// RefusedFor is how long a released claim is still refused.
	RefusedFor time.Duration `cbor:"8,keyasint,omitempty"`
}

// StoreAck answers Store.
type StoreAck struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
	Phase   Phase     `cbor:"3,keyasint"`
}

// Check asks a holder whether it still holds a claim. It answers only if not.
type Check struct {
	ID      uuid.UUID `cbor:"1,keyasint"`
	Attempt uint64    `cbor:"2,keyasint"`
}

// Probe asks the home about a key. With Mark, a home without a claim grants
// none for the time of a refusal mark.
type Probe struct {
	ID     uuid.UUID `cbor:"1,keyasint"`
	Serial uint64    `cbor:"2,keyasint"`
	Mark   bool      `cbor:"3,keyasint,omitempty"`
}

// ProbeReply answers a probe.
type ProbeReply struct {
	Serial  uint64           `cbor:"1,keyasint"`
	Result  Result           `cbor:"2,keyasint"`
	Outcome *structs.Outcome `cbor:"3,keyasint,omitempty"`
}

// Handover brings records that moved with a view.
type Handover struct {
	Version uint64        `cbor:"1,keyasint"`
	Serial  uint64        `cbor:"2,keyasint"`
	Leaving bool          `cbor:"3,keyasint,omitempty"`
	Records []ClaimRecord `cbor:"4,keyasint"`
}

// HandoverAck answers Handover.
type HandoverAck struct {
	Version uint64 `cbor:"1,keyasint"`
	Serial  uint64 `cbor:"2,keyasint"`
}

// Batch is the messages from one run of an entry to another, as encoded on
// the wire. Their order does not count.
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

// Add adds a message.
func (b *Batch) Add(m Message) { m.addTo(b) }

// Messages returns the messages one by one.
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
