// Package jobstore keeps stored jobs in the platform's store. An entry accepts a
// job by writing its row. One owner at a time saves the records of the jobs'
// progress, and the next owner restores jobs and records. Calls are batched, since
// the store handles only a few hundred of them per second.
package jobstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/platform"
	"currantstall/internal/wire"
)

// Row is a row of a table. A table is divided into parts, and a transaction is
// confined to one part.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64 // 0: the row does not exist
	Removed          bool
}

// Tx is an atomic transaction on one part. Conditions name the versions that rows
// must have for the transaction to take effect.
type Tx struct {
	Conditions, Puts, Removals []Row
}

// Tables gives access to the tables of the store. Its errors are those of
// internal/platform.
type Tables interface {
	// Read returns rows of a part in the order of keys, from the given key on, at
	// most limit (0: as many as one answer holds).
	Read(ctx context.Context, table, part, from string, limit int) (Page, error)
	// Apply carries out a transaction and returns its version. If a condition
	// does not hold, the error is a *ConflictError.
	Apply(ctx context.Context, tx Tx) (uint64, error)
	// Changes returns the rows of all parts of a table that changed after a
	// version, and the version to continue from. It returns as soon as there is a
	// change, or without one when the wait is over.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// Page is one page of the rows that a Read asked for.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64 // of the store at the time of the read
}

// ConflictError means that a transaction had no effect because a condition did not
// hold. Current holds those rows of its conditions that exist.
type ConflictError struct{ Current []Row }

// Error implements error.
func (e *ConflictError) Error() string {
	return "transaction not applied: a row has another version than its condition demands"
}

// ErrTooLarge is returned by Accept if the job does not fit into a row of the store.
var ErrTooLarge = fmt.Errorf("a stored job has at most %d bytes", platform.MaxRowBytes)

// ErrOutcomeUnknown is returned by Accept if the job may have been accepted.
var ErrOutcomeUnknown = errors.New("no answer from the store: the job may have been accepted")

// The tables. After a job has ended, its row moves from tableOpen to tableUsed. Its
// record is in tableProgress until then, and its final state is in tableEnded. The ID of a
// job that is not stored may have a mark in tableUsed; tableMarks lists the marks.
const (
	tableOpen     = "jobs-open"     // divided into parts by the job's ID
	tableUsed     = "jobs-used"     // divided likewise; marks IDs as used
	tableMarks    = "jobs-marks"    // divided likewise
	tableProgress = "jobs-progress" // this and the next two have only the part ownerPart
	tableEnded    = "jobs-ended"
	tableOwner    = "jobs-owner"
	ownerPart     = "owner"
	ownerKey      = "owner"
)

// openPartCount is the number of parts over which accepted jobs are spread. The
// store carries out the transactions of one part one after another.
const openPartCount = 8

// partOf returns the part of tableOpen, tableUsed and tableMarks that holds a job.
func partOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % openPartCount))
}

// openRow is the value of the row of an accepted job in tableOpen.
type openRow struct {
	Job fleet.Job `cbor:"1,keyasint"`
	// AcceptedMS is when the job was accepted, Unix time in ms.
	AcceptedMS int64 `cbor:"2,keyasint"`
}

// AcceptedJob is a job as decoded from its row.
type AcceptedJob struct {
	Job    fleet.Job
	Waited time.Duration // since the acceptance, by the wall clock
}

// maxPlausibleWait limits the wait that is computed after a wall clock has jumped.
const maxPlausibleWait = time.Hour

func decodeOpen(r Row) (AcceptedJob, error) {
	var o openRow
	if err := wire.Decode(r.Value, &o); err != nil {
		return AcceptedJob{}, fmt.Errorf("decode stored job %s: %w", r.Key, err)
	}
	if err := o.Job.Validate(); err != nil {
		return AcceptedJob{}, fmt.Errorf("stored job %s: %w", r.Key, err)
	}
	waited := time.Since(time.UnixMilli(o.AcceptedMS))
	return AcceptedJob{Job: o.Job, Waited: min(max(waited, 0), maxPlausibleWait)}, nil
}

// ownerRow is the value of the row that names the owner of the stored jobs.
type ownerRow struct {
	// Holder is the owning entry; it is empty after the ownership was released.
	Holder string `cbor:"1,keyasint"`
	Epoch  int    `cbor:"2,keyasint"` // incremented by each claim
	// Write numbers the owner's writes of the row, so that the owner recognises
	// its last one.
	Write uint64 `cbor:"3,keyasint"`
	// Recall is set while no other leader may renew runs of stored jobs.
	Recall bool `cbor:"4,keyasint,omitempty"`
}
