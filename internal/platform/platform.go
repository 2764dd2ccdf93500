// Package platform defines the services that the product needs from its
// platform: a transactional table, an object store and a list of VMs that lags.
// An adapter implements them. Client wraps the adapter with a write budget and a
// circuit breaker.
package platform

import (
	"context"
	"errors"
	"fmt"

	"currantstall/internal/structs"
)

// Errors of the table and the object store. A caller handles them differently:
// after ErrConflict it reads again, after ErrUnavailable it may retry, and after
// ErrUnknown it must read back first, since the write may have taken effect.
var (
	ErrConflict    = errors.New("platform: condition does not hold")
	ErrUnavailable = errors.New("platform: unavailable, nothing was written")
	ErrUnknown     = errors.New("platform: no response, the write may have taken effect")
	ErrNotFound    = errors.New("platform: not found")
	// ErrRejected means that the platform will never accept this request, for
	// example because it exceeds a limit. Nothing was written.
	ErrRejected = errors.New("platform: request rejected, nothing was written")
)

// ErrRateLimited wraps ErrUnavailable. The platform is working, but the request
// exceeded its rate limits.
var ErrRateLimited = fmt.Errorf("rate limit: %w", ErrUnavailable)

// Limits of the platform on each request.
const (
	MaxTxnPuts     = 96      // rows that a transaction may write
	MaxTxnBytes    = 700_000 // bytes of keys and values in a transaction
	MaxRowBytes    = 65536   // bytes of a value
	MaxScanRows    = 500     // rows in the response to a scan
	MaxObjectBytes = 8 << 20 // bytes of an object
)

// Row is one row of the table. Its version increases with each write; a row that
// does not exist has version 0.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Condition requires that a row has exactly this version.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a row; a nil Value deletes it.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction: a set of writes that take effect atomically if every
// condition holds. A transaction without writes checks its one condition; it
// counts, and can fail, as a read.
type Txn struct {
	Conditions []Condition
	Puts       []Put
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows with the prefix whose keys sort after
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

// Role is the kind of process that runs on a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleRunner Role = "runner"
	RoleWorker Role = "worker"
)

// VM is one VM in the platform's list.
type VM struct {
	Name    string            `json:"name"`
	Role    Role              `json:"role"`
	DC      string            `json:"data_centre"`
	Rack    string            `json:"rack,omitempty"`
	Addr    string            `json:"addr"` // host:port of its service; of an entry, of its peer listener
	Leaving bool              `json:"leaving,omitempty"`
	Slots   int               `json:"slots,omitempty"`    // of a runner: concurrent tasks
	Size    structs.Resources `json:"size"`               // of a worker
	MaxConn int               `json:"max_conn,omitempty"` // connections it accepts, 0 for no limit
}

// VMList is the platform's list of live and leaving VMs. It lags behind changes.
type VMList interface {
	// VMs returns every listed VM, or ErrUnavailable.
	VMs(ctx context.Context) ([]VM, error)
	// Announce adds or replaces a VM's own item in the list, or marks it as
	// leaving.
	Announce(ctx context.Context, vm VM) error
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	ObjectStore
	VMList
}
