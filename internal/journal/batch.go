package journal

import (
	"fmt"
	"strconv"
	"strings"

	"currantstall/internal/platform"
	"currantstall/internal/wire"
)

const (
	rowPrefix    = "journal/"
	objectPrefix = "journal/"
	// maxBatchRecords bounds the records of a batch.
	maxBatchRecords = 50_000
)

// batchRow is one row of a log and holds one batch. The rows of a log are
// numbered from 1 without gaps and never change.
type batchRow struct {
	WriteID string `cbor:"1,keyasint"` // unique to the batch
	Writer  string `cbor:"2,keyasint"`
	// WrittenMS is the time of the write by the writer's clock, Unix time in ms.
	WrittenMS int64 `cbor:"3,keyasint"`
	// Dropped is the number of records that the writer dropped before this
	// batch because its pending records were at their bound.
	Dropped int        `cbor:"4,keyasint,omitempty"`
	Body    *batchBody `cbor:"5,keyasint,omitempty"`
	Object  string     `cbor:"6,keyasint,omitempty"` // name of the object that holds the body if Body is nil
}

// logPrefix returns the key prefix of the rows of a data centre's log.
func logPrefix(dc string) string { return rowPrefix + dc + "/" }

// rowKey returns the key of a row. Keys sort in the order of sequence numbers.
func rowKey(dc string, seq uint64) string { return fmt.Sprintf("%s%016x", logPrefix(dc), seq) }

// parseRowKey is the inverse of rowKey.
func parseRowKey(k string) (dc string, seq uint64, err error) {
	dc, number, ok := strings.Cut(strings.TrimPrefix(k, rowPrefix), "/")
	if !ok {
		return "", 0, fmt.Errorf("journal row %q has no sequence number", k)
	}
	seq, err = strconv.ParseUint(number, 16, 64)
	if err != nil {
		return "", 0, fmt.Errorf("journal row %q: %w", k, err)
	}
	return dc, seq, nil
}

func decodeBatchRow(row platform.Row) (batchRow, error) {
	var b batchRow
	if err := wire.Decode(row.Value, &b); err != nil {
		return b, fmt.Errorf("decode journal row %s: %w", row.Key, err)
	}
	return b, nil
}
