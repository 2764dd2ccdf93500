// Package wire defines the types and the encoding of the messages between entries.
// A frame is a CBOR array of messages in one binary WebSocket message, so that
// messages that are ready at the same time share a frame.
package wire

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the protocol between entries. Links with another
// version are refused.
const Version = 1

// MaxFrame is the maximum size of a frame, in bytes.
const MaxFrame = 16 << 20

// Type identifies the type of a message and so of its body.
type Type uint8

// The message types. The package named in the comment handles the type and declares
// its body.
const (
	Hello         Type = iota + 1 // peer: first message of a link
	HelloAck                      // peer
	Ping                          // peer
	Pong                          // peer
	Ack                           // peer: acknowledges numbered messages
	Membership                    // membership: a message of its step function
	Ledger                        // ledger: a message of its step function
	Run                           // engine: tasks offloaded to the receiver
	RunDone                       // engine: results of offloaded tasks
	RunCancel                     // engine: cancels offloaded tasks
	Forward                       // engine: a whole request, forwarded to a member in its key's data centre
	ForwardDone                   // engine: the outcome of a forwarded request
	Load                          // engine: load report: free slots and queues of the sender
	ManifestNew                   // manifest: announces a newer version
	ManifestGet                   // manifest: requests a whole manifest
	ManifestAll                   // manifest: a whole manifest
	PoolHeartbeat                 // node: heartbeat with the leader that the sender knows
	PoolSubmit                    // node: submits a job to the leader
	PoolEnded                     // node: the outcome of a submitted job
	PoolAbandon                   // node: withdraws a submitted job whose caller is gone
	Directory                     // node: what the sender knows of the deployment, or requests from the receiver
	JobQuery                      // node: asks the leader for a stored job's state or its cancellation
	JobReply                      // node: the answer to a JobQuery or JobStore
	JobStore                      // node: a job to store, from an entry whose writes the store rejects
	PoolStart                     // node: a start order that the job's coordinator is to send
	PoolStarted                   // node: the target's answer to a PoolStart
	PoolBeat                      // node: a leader's heartbeat, passed on to the entry for which the sender relays jobs
	PoolVouch                     // node: a coordinator still wants the jobs that it has submitted
	PoolSuspects                  // node: which tasks of a submitted job may crash their targets
	PoolHome                      // node: a job that is not in its home pool, between its coordinator and the leader of that pool
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

// Numbered reports whether messages of the type are numbered, acknowledged and sent
// again on a new connection. The control messages of a link are not.
func (t Type) Numbered() bool { return t > Ack && t < maxType }

var typeNames = [maxType]string{
	"", "hello", "hello_ack", "ping", "pong", "ack", "membership", "ledger", "run", "run_done", "run_cancel",
	"forward", "forward_done", "load", "manifest_new", "manifest_get", "manifest_all",
	"pool_beat", "pool_submit", "pool_ended", "pool_abandon", "directory", "job_ask", "job_told", "job_store",
	"pool_start", "pool_started", "pool_relayed_beat", "pool_vouch", "pool_suspects", "pool_home",
}

// String returns the name of the type in metrics.
func (t Type) String() string {
	if !t.Valid() {
		return "unknown"
	}
	return typeNames[t]
}

// Message is one message. Body is the CBOR encoding of the struct that belongs to
// the type.
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

// Encode returns the CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes the CBOR encoding of one value into v. It returns an error for
// malformed or trailing bytes.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// NewMessage returns a message of type t with the encoded body.
func NewMessage(t Type, body any) (Message, error) {
	b, err := Encode(body)
	if err != nil {
		return Message{}, err
	}
	return Message{Type: t, Body: b}, nil
}

// EncodeFrame appends the encoding of a frame with the messages to buf.
func EncodeFrame(buf *bytes.Buffer, ms []Message) error {
	if err := encMode.MarshalToBuffer(ms, buf); err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	return nil
}

// DecodeFrame decodes a frame. It returns an error for an unknown message type.
func DecodeFrame(b []byte) ([]Message, error) {
	var ms []Message
	if err := Decode(b, &ms); err != nil {
		return nil, err
	}
	for _, m := range ms {
		if !m.Type.Valid() {
			return nil, fmt.Errorf("decode frame: unknown message type %d", m.Type)
		}
	}
	return ms, nil
}
