// Package platform is what the product asks of the platform's services: the
// transactional table, the object store and the lagging list of VMs. An adapter
// implements them; Client guards it.
package platform

import (
	"context"
	"errors"
	"fmt"

	"currantstall/internal/structs"
)

// Errors of the table and the object store. What may be done next differs:
// after ErrConflict read again, after ErrUnavailable repeat, after ErrUnknown
// read back first, since the write may have taken effect.
var (
	ErrConflict    = errors.New("platform: condition does not hold")
	ErrUnavailable = errors.New("platform: unavailable, nothing was written")
	ErrUnknown     = errors.New("platform: no answer, the write may have taken effect")
	ErrNotFound    = errors.New("platform: not found")
	// ErrRejected means that the platform will never take this request, for
	// instance because it is over a limit; nothing was written.
	ErrRejected = errors.New("platform: request rejected, nothing was written")
)

// ErrRateLimited is an ErrUnavailable of a platform that is at work: the request was
// over its rates.
var ErrRateLimited = fmt.Errorf("rate limit: %w", ErrUnavailable)

// Limits of the platform, for each request.
const (
	MaxTxnPuts     = 96      // rows that a transaction may write
	MaxTxnBytes    = 700_000 // bytes of keys and values in a transaction
	MaxRowBytes    = 65536   // bytes of a value
	MaxScanRows    = 500     // rows in an answer to a scan
	MaxObjectBytes = 8 << 20 // bytes of an object
)

// Row is one row of the table. Version grows with each write of the row; a row
// that does not exist has version 0.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition demands that a row has exactly this version.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a row; a nil Value deletes it.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a set of writes that take effect together if every condition holds.
// Without writes it checks its one condition, and counts and fails as a read.
type Txn struct {
	Conditions []Condition
	Puts       []Put
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix whose keys are above
	// after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction, or returns ErrConflict, ErrUnavailable
	// or ErrUnknown.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// PutObject writes a whole object, or returns ErrUnavailable or
	// ErrUnknown. Objects may be overwritten.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns a whole object, or ErrNotFound or ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Role says what runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
	RoleWorker Role = "worker"
)

// VM is one line of the platform's list.
type VM struct {
	Name    string            `json:"name"`
	Role    Role              `json:"role"`
	DC      string            `json:"data_centre"`
	Rack    string            `json:"rack,omitempty"`
	Addr    string            `json:"addr"` // host:port of its service; of an entry, of its peer listener
	Leaving bool              `json:"leaving,omitempty"`
	Slots   int               `json:"slots,omitempty"`    // of a runner: tasks at one time
	Size    structs.Resources `json:"size"`               // of a worker
	MaxConn int               `json:"max_conn,omitempty"` // connections it accepts, 0 for no limit
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	// VMs returns every listed VM, or ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
	// Announce adds or replaces this VM's line, or marks it as leaving.
	Announce(ctx context.Context, vm VM) error
}

// Platform is the whole service.
type Platform interface {
	Table
	ObjectStore
	VMList
}
