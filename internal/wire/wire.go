// Package wire names the messages that entries exchange. A frame is one CBOR
// array of messages in one binary WebSocket message, so that messages that
// are ready together share a frame.
package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the protocol between entries. A hello with
// another version is refused.
const Version = 1

// MaxFrame bounds a frame, in bytes.
const MaxFrame = 16 << 20

// Type says how the body of a message is decoded.
type Type uint8

// The message types. The package that handles a type declares its body.
const (
	Hello         Type = iota + 1 // peer: first message of a link
	HelloAck                      // peer
	Ping                          // peer
	Pong                          // peer
	Ack                           // peer: receipt of numbered messages
	Membership                    // membership: a message of its step function
	Ledger                        // ledger: a message of its step function
	Run                           // engine: units handed over for execution
	RunDone                       // engine: results of handed-over units
	RunCancel                     // engine: stop of handed-over units
	Forward                       // engine: a whole request for a member of its key's data centre
	ForwardDone                   // engine: the outcome of a forwarded request
	Load                          // engine: free slots and queues of the sender
	ManifestNew                   // manifest: a newer version exists
	ManifestGet                   // manifest: asks for a whole manifest
	ManifestAll                   // manifest: a whole manifest
	PoolHeartbeat                 // node: who leads, as the sender sees it
	PoolSubmit                    // node: a job for the leader
	PoolEnded                     // node: the outcome of a submitted job
	PoolAbandon                   // node: the caller of a submitted job is gone
	Directory                     // node: configuration, targets and members that the sender knows
	JobQuery                      // node: asks the leader for a stored job's state, or to cancel it
	JobReply                      // node: the answer
	JobStore                      // node: a job to be stored, from an entry that the store turns away
	maxType
)

// Valid reports whether t is a known type.
func (t Type) Valid() bool { return t >= Hello && t < maxType }

// Types returns every known type.
func Types() []Type {
	ts := make([]Type, 0, maxType-1)
	for t := Hello; t < maxType; t++ {
		ts = append(ts, t)
	}
	return ts
}

// Numbered reports whether messages of the type are numbered, acknowledged
// and sent again after a redial. The messages of the link itself are not.
func (t Type) Numbered() bool { return t > Ack && t < maxType }

var typeNames = [maxType]string{
	"", "hello", "hello_ack", "ping", "pong", "ack", "membership", "ledger", "run", "run_done", "run_cancel",
	"forward", "forward_done", "load", "manifest_new", "manifest_get", "manifest_all",
	"pool_beat", "pool_submit", "pool_ended", "pool_abandon", "directory", "job_ask", "job_told", "job_store",
}

// String returns the name under which messages of the type are counted.
func (t Type) String() string {
	if !t.Valid() {
		return "unknown"
	}
	return typeNames[t]
}

// Message is one typed message. Body is the CBOR of the type's struct.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Type Type
	Body cbor.RawMessage
}

var (
	encMode cbor.UserBufferEncMode = mustEncMode()
	decMode                        = mustDecMode()
)

func mustEncMode() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the CBOR of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads the CBOR of one value into v. Malformed or trailing bytes are
// an error.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// NewMessage encodes body as a message of type t.
func NewMessage(t Type, body any) (Message, error) {
	b, err := Encode(body)
	if err != nil {
		return Message{}, err
	}
	return Message{Type: t, Body: b}, nil
}

// EncodeFrame appends a frame of the messages to buf.
func EncodeFrame(buf *bytes.Buffer, ms []Message) error {
	if err := encMode.MarshalToBuffer(ms, buf); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return nil
}

// DecodeFrame reads a frame. An unknown message type is an error.
func DecodeFrame(b []byte) ([]Message, error) {
	var ms []Message
	if err := Decode(b, &ms); err != nil {
		return nil, err
	}
	for _, m := range ms {
		if !m.Type.Valid() {
			return nil, fmt.Errorf("unknown message type %d", m.Type)
		}
	}
	return ms, nil
}
