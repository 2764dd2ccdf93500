// Package jobstore keeps stored jobs in the platform's store: an entry accepts a
// job by writing its row, one owner at a time saves how far the jobs have come, and
// whoever owns them next reads both back. Calls are batched, since the store takes
// a few hundred of them in a second.
package jobstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/wire"
)

// Row is a row of a table. A transaction is confined to one part.
type Row struct {
	Table, Part, Key string
	Value            []byte
	Version          uint64 // 0: there is none
	Removed          bool
}

// Tx is a transaction on one part: all of it takes effect, or nothing. Conditions
// name the versions that rows must have.
type Tx struct {
	Conditions, Puts, Removals []Row
}

// Tables are the tables of the store. Errors are those of internal/platform.
type Tables interface {
	// Read returns rows of a part in the order of keys, from one key on, at most that
	// many (0: as many as an answer holds).
	Read(ctx context.Context, table, part, from string, limit int) (Page, error)
	// Apply carries out a transaction and returns its version. If a condition does
	// not hold the error is a *ConflictError.
	Apply(ctx context.Context, tx Tx) (uint64, error)
	// Changes returns what changed in all parts of a table after a version, as soon
	// as there is something or the wait is over, and the version to go on from.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// Page is a part of the rows that were asked for.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64 // of the store, as of the read
}

// ConflictError says that a transaction was not carried out since a condition did
// not hold. Current holds the rows of its conditions that exist.
type ConflictError struct{ Current []Row }

// Error implements error.
func (e *ConflictError) Error() string { return "a row has another version than expected" }

// ErrOutcomeUnknown is returned if a job may have been accepted.
var ErrOutcomeUnknown = errors.New("no answer of the store: the job may have been accepted")

// The tables. A job's row moves from open to used once it has ended; its record
// stands in progress until then, and its final state in ended.
const (
	tableOpen     = "jobs-open"     // parts by the job's ID
	tableUsed     = "jobs-used"     // the same parts: IDs that are taken
	tableProgress = "jobs-progress" // the owner's part
	tableEnded    = "jobs-ended"
	tableOwner    = "jobs-owner"
	ownerPart     = "owner"
	ownerKey      = "owner"
)

// openPartCount is the number of parts over which accepted jobs are spread. A part
// carries out its transactions one after another.
const openPartCount = 8

func partOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return strconv.Itoa(int(h.Sum32() % openPartCount))
}

// openRow is the value of an accepted job.
type openRow struct {
	Job fleet.Job `cbor:"1,keyasint"`
	// AcceptedMS is the time of day of the acceptance, Unix time in ms.
	AcceptedMS int64 `cbor:"2,keyasint"`
}

// AcceptedJob is a job as its row tells it.
type AcceptedJob struct {
	Job    fleet.Job
	Waited time.Duration // since the acceptance, by the time of day
}

// maxPlausibleWait bounds what a clock that has jumped may say of a wait.
const maxPlausibleWait = time.Hour

func decodeOpen(r Row) (AcceptedJob, error) {
	var o openRow
	if err := wire.Decode(r.Value, &o); err != nil {
		return AcceptedJob{}, fmt.Errorf("stored job %s: %w", r.Key, err)
	}
	waited := time.Since(time.UnixMilli(o.AcceptedMS))
	return AcceptedJob{Job: o.Job, Waited: min(max(waited, 0), maxPlausibleWait)}, nil
}

func decodeRecord(r Row) (fleet.Record, error) {
	var rec fleet.Record
	if err := wire.Decode(r.Value, &rec); err != nil {
		return rec, fmt.Errorf("record of job %s: %w", r.Key, err)
	}
	return rec, nil
}

// ownerRow is the value of the row that says who owns the stored jobs.
type ownerRow struct {
	// Holder is empty if the owner has given them up.
	Holder string `cbor:"1,keyasint"`
	Epoch  int    `cbor:"2,keyasint"` // grows with each owner
	// Write tells the last transaction of the owner from others.
	Write uint64 `cbor:"3,keyasint"`
}
