package jobstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"currantstall/internal/fleet"
	"currantstall/internal/platform"
	"currantstall/internal/wire"
)

// recordRow is the value of a row in tableProgress.
type recordRow struct {
	fleet.Record
	// Packed replaces Failures and FailedRuns of a record that would fit into no row with them: triples of
	// varints in ascending order of the tasks, each the distance from the task before, the failures, and the
	// distance from the failed run before.
	Packed []byte `cbor:"8,keyasint,omitempty"`
}

// encodeRecord encodes a record. It returns ErrTooLarge if no row can hold it. Of a job that has ended only the
// state is needed.
func encodeRecord(rec fleet.Record) ([]byte, error) {
	rows := []recordRow{{Record: rec}, packRecord(rec)}
	if rec.State.Ended() {
		rows = append(rows, recordRow{Record: fleet.Record{State: rec.State}})
	}
	for _, row := range rows {
		if value, err := wire.Encode(row); err != nil || len(value) <= platform.MaxRowBytes {
			return value, err
		}
	}
	return nil, ErrTooLarge
}

func packRecord(rec fleet.Record) recordRow {
	row := recordRow{Record: rec}
	var task, run int64
	for _, t := range slices.Sorted(maps.Keys(rec.Failures)) {
		failedRun := int64(rec.FailedRuns[t])
		row.Packed = binary.AppendVarint(row.Packed, int64(t)-task)
		row.Packed = binary.AppendVarint(row.Packed, int64(rec.Failures[t]))
		row.Packed = binary.AppendVarint(row.Packed, failedRun-run)
		task, run = int64(t), failedRun
	}
	row.Failures, row.FailedRuns = nil, nil
	return row
}

var errPacked = errors.New("packed failures are cut off or out of range")

// unpack returns the record with its failures.
func (r *recordRow) unpack() (fleet.Record, error) {
	rec := r.Record
	if len(r.Packed) == 0 {
		return rec, nil
	}
	rec.Failures, rec.FailedRuns = make(map[int]int), make(map[int]int)
	var task, run int64
	for b := r.Packed; len(b) > 0; {
		var cells [3]int64
		for i := range cells {
			v, n := binary.Varint(b)
			if n <= 0 {
				return rec, errPacked
			}
			cells[i], b = v, b[n:]
		}
		task, run = task+cells[0], run+cells[2]
		if task < 0 || task >= fleet.MaxTasks || cells[1] < 0 || run < 0 {
			return rec, errPacked
		}
		rec.Failures[int(task)], rec.FailedRuns[int(task)] = int(cells[1]), int(run)
	}
	return rec, nil
}

func decodeRecord(r Row) (fleet.Record, error) {
	var row recordRow
	err := wire.Decode(r.Value, &row)
	if err == nil {
		row.Record, err = row.unpack()
	}
	if err != nil {
		return row.Record, fmt.Errorf("decode the record of job %s: %w", r.Key, err)
	}
	return row.Record, nil
}
