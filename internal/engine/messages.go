package engine

import (
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
)

// op says what a forwarded request asks of a member of its key's data centre.
type op uint8

const (
	opSubmit op = iota + 1
	opRefuse
	opLookup
	opCancel
	opClaimExternal
	opCancelLocal
)

// forward is the body of wire.Forward. Times travel as remaining durations,
// since clocks differ.
type forward struct {
	ID        uint64        `cbor:"1,keyasint"`
	Op        op            `cbor:"2,keyasint"`
	Key       key.Key       `cbor:"3,keyasint"`
	Work      *structs.Work `cbor:"4,keyasint,omitempty"`
	Remaining time.Duration `cbor:"5,keyasint"`
}

// forwardDone is the body of wire.ForwardDone. Outcome is nil if the work
// still runs.
type forwardDone struct {
	ID      uint64           `cbor:"1,keyasint"`
	Outcome *structs.Outcome `cbor:"2,keyasint,omitempty"`
	// Declined means that the sender can't take the work and has not looked
	// at it; another member may.
	Declined bool `cbor:"3,keyasint,omitempty"`
}

// taskSpec is one task handed over for execution.
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
	// Remaining is the time up to the deadline.
	Remaining time.Duration `cbor:"10,keyasint"`
	// Lease is the time for which the sender may start the task; 0 for no
	// bound.
	Lease time.Duration `cbor:"11,keyasint,omitempty"`
	// WorkID names the sender's job that the task belongs to.
	WorkID uint64 `cbor:"12,keyasint,omitempty"`
	// JobSize is the number of tasks of the whole job.
	JobSize int `cbor:"12,keyasint,omitempty"`
}

// runBatch is the body of wire.Run.
type runBatch struct {
	Tasks []taskSpec `cbor:"1,keyasint"`
}

// runResult is the result of one handed-over task.
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

// loadReport is the body of wire.Load: the sender's room for the kinds of a class.
type loadReport struct {
	Class structs.Class `cbor:"1,keyasint"`
	Kinds []kindLoad    `cbor:"2,keyasint"`
	// Member means that the sender is a member of its data centre's view and
	// not stopping.
	Member bool `cbor:"3,keyasint,omitempty"`
}

// kindLoad is the sender's load of one kind.
type kindLoad struct {
	Kind   string        `cbor:"1,keyasint"`
	Free   int           `cbor:"2,keyasint"` // tasks that could start now
	Queued int           `cbor:"3,keyasint"`
	Wait   time.Duration `cbor:"4,keyasint"` // estimated for one more task
	// GuaranteedRoom is the number of tasks that could wait for slots of the kind's
	// guarantee.
	GuaranteedRoom int `cbor:"5,keyasint,omitempty"`
}
