package engine

import (
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// op is the operation that a forwarded request asks for.
type op uint8

const (
	opSubmit        op = iota + 1 // run the work
	opRefuse                      // check whether a refusal may report not_run
	opLookup                      // return the outcome of the key
	opCancel                      // cancel the work at whichever entry coordinates it
	opClaimExternal               // claim the key for the old system
	opCancelLocal                 // cancel the work if the receiver coordinates it
	opAwaited                     // answer, or decline if the receiver no longer waits for Call
)

// forward is the body of wire.Forward. Deadlines are sent as remaining
// durations, since the clocks of entries differ.
type forward struct {
	ID        uint64        `cbor:"1,keyasint"`
	Op        op            `cbor:"2,keyasint"`
	Key       key.Key       `cbor:"3,keyasint"`
	Work      *structs.Work `cbor:"4,keyasint,omitempty"`
	Remaining time.Duration `cbor:"5,keyasint"`
	// Call is the ID of the receiver's own request that opAwaited asks about.
	Call uint64 `cbor:"6,keyasint,omitempty"`
}

// forwardDone is the body of wire.ForwardDone. Outcome is nil if the work is
// still running.
type forwardDone struct {
	ID      uint64           `cbor:"1,keyasint"`
	Outcome *structs.Outcome `cbor:"2,keyasint,omitempty"`
	// Declined means that the sender can't handle the request and has done
	// nothing for it. Another entry may handle it.
	Declined bool `cbor:"3,keyasint,omitempty"`
}

// taskSpec describes one task. A peer that the task is offloaded to receives it
// in this form.
type taskSpec struct {
	ID         uint64            `cbor:"1,keyasint"`
	Class      structs.Class     `cbor:"2,keyasint"`
	Key        key.Key           `cbor:"3,keyasint"`
	Index      int               `cbor:"4,keyasint"`
	Kind       string            `cbor:"5,keyasint"`
	Team       string            `cbor:"6,keyasint"`
	Body       []byte            `cbor:"7,keyasint"`
	Needs      structs.Resources `cbor:"8,keyasint"`
	Repeatable bool              `cbor:"9,keyasint"`
	// Remaining is the time until the deadline.
	Remaining time.Duration `cbor:"10,keyasint"`
	// Lease is the remaining time of the sender's right to start the task; 0
	// means no limit.
	Lease time.Duration `cbor:"11,keyasint,omitempty"`
	// WorkID identifies the sender's job that the task belongs to.
	WorkID uint64 `cbor:"12,keyasint,omitempty"`
	// JobSize is the number of tasks of the whole job.
	JobSize int `cbor:"13,keyasint,omitempty"`
}

// runBatch is the body of wire.Run.
type runBatch struct {
	Tasks []taskSpec `cbor:"1,keyasint"`
}

// runResult is the result of one offloaded task.
type runResult struct {
	ID      uint64          `cbor:"1,keyasint"`
	Outcome structs.Outcome `cbor:"2,keyasint"`
}

// runDone is the body of wire.RunDone.
type runDone struct {
	Results []runResult `cbor:"1,keyasint"`
}

// runCancel is the body of wire.RunCancel.
type runCancel struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// loadReport is the body of wire.Load: the sender's load and room for the kinds
// of a class.
type loadReport struct {
	Class structs.Class `cbor:"1,keyasint"`
	Kinds []kindLoad    `cbor:"2,keyasint"`
	// Member means that the sender is in the view of its data centre and not
	// stopping.
	Member bool `cbor:"3,keyasint,omitempty"`
}

// kindLoad is the sender's load of one kind.
type kindLoad struct {
	Kind   string        `cbor:"1,keyasint"`
	Free   int           `cbor:"2,keyasint"` // tasks that could start now
	Queued int           `cbor:"3,keyasint"`
	Wait   time.Duration `cbor:"4,keyasint"` // estimated wait of one more task
	// GuaranteedRoom is the number of tasks that can wait for the guaranteed
	// slots of the kind.
	GuaranteedRoom int `cbor:"5,keyasint,omitempty"`
}
