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
	// maxBatchRecords bounds the entries of a batch.
	maxBatchRecords = 50_000
)

// batchRow is one row of a log. Rows are numbered from 1 without gaps and
// never change.
type batchRow struct {
	WriteID string `cbor:"1,keyasint"` // unique to the batch
	Writer  string `cbor:"2,keyasint"`
	// WrittenMS is the writer's time at the write, Unix time in ms.
	WrittenMS int64 `cbor:"3,keyasint"`
	// Dropped is the number of outcomes that the writer had no room for.
	Dropped int        `cbor:"4,keyasint,omitempty"`
	Body    *batchBody `cbor:"5,keyasint,omitempty"`
	Object  string     `cbor:"6,keyasint,omitempty"` // holds the body in place of Body
}

// logPrefix is the prefix of a data centre's rows.
func logPrefix(dc string) string { return rowPrefix + dc + "/" }

// rowKey is the key of a batch. Its order is that of the sequence numbers.
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
		return b, fmt.Errorf("journal row %s: %w", row.Key, err)
	}
	return b, nil
}
