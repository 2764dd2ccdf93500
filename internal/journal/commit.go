package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

// commitTimeout bounds one attempt to write a batch.
const commitTimeout = 10 * time.Second

// inFlightBatch is the batch that is being written. Its records and its
// identifier stay the same until the write is known to have taken effect: an
// earlier attempt whose response was lost may still take effect.
type inFlightBatch struct {
	records    int    // number of records at the front of pending
	objectBody []byte // content of the object still to be written, nil for none
	row        batchRow
	seq        uint64 // number of the row that is being written, 0 for none chosen
}

// Run commits batches until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	for {
		// Jitter keeps entries from appending at the same row number.
		d := j.interval()
		t := time.NewTimer(d*3/4 + rand.N(d/2+1))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		if err := j.commitWithTimeout(ctx); err != nil {
			j.scope.Counter("commit_failed").Inc(1)
		}
		j.reportLag()
	}
}

// interval returns the time between two batches. Each batch costs one or two
// writes.
func (j *Journal) interval() time.Duration {
	share := time.Duration(float64(j.cfg.Entries()) / j.cfg.WritesPerSecond * float64(time.Second))
	return max(j.cfg.Interval, share)
}

// Flush writes everything recorded before the call to the account. It returns
// an error if ctx ends first.
func (j *Journal) Flush(ctx context.Context) error {
	j.mu.Lock()
	left := len(j.pending)
	j.mu.Unlock()
	for left > 0 {
		n, err := j.commit(ctx)
		if err != nil && ctx.Err() != nil {
			return fmt.Errorf("flush journal, %d records left: %w", left, err)
		}
		if err != nil {
			_ = sleep.For(ctx, j.cfg.Interval)
		}
		left -= n
		if n == 0 && err == nil {
			return nil // a concurrent commit wrote them
		}
	}
	return nil
}

func (j *Journal) commitWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(platform.WithBackground(ctx), commitTimeout)
	defer cancel()
	_, err := j.commit(ctx)
	return err
}

// commit writes the batch in flight, cutting one if there is none, and returns
// the number of records that it added to the account.
func (j *Journal) commit(ctx context.Context) (int, error) {
	j.commitMu.Lock()
	defer j.commitMu.Unlock()
	if err := j.cutBatch(); err != nil || j.inFlight == nil {
		return 0, err
	}
	f := j.inFlight
	if f.objectBody != nil {
		if err := j.cfg.Platform.PutObject(ctx, f.row.Object, f.objectBody); err != nil {
			return 0, fmt.Errorf("write journal object: %w", err)
		}
		f.objectBody = nil
	}
	if err := j.appendBatch(ctx, f); err != nil {
		return 0, err
	}
	j.inFlight = nil
	j.removeWritten(f)
	return f.records, nil
}

// cutBatch makes a batch of the oldest pending records, unless one is in flight.
func (j *Journal) cutBatch() error {
	if j.inFlight != nil {
		return nil
	}
	j.mu.Lock()
	records := slices.Clone(j.pending[:min(len(j.pending), maxBatchRecords)])
	dropped := j.dropped
	if len(records) > 0 {
		j.dropped = 0
	}
	j.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	f, err := j.newBatch(records, dropped)
	if err != nil {
		return err
	}
	j.inFlight = f
	return nil
}

func (j *Journal) newBatch(records []Record, dropped int) (*inFlightBatch, error) {
	id := uuid.NewString()
	f := &inFlightBatch{records: len(records), row: batchRow{WriteID: id, Writer: j.cfg.Writer, Dropped: dropped}}
	packed := packRecords(records)
	body, err := wire.Encode(packed)
	if err != nil {
		return nil, fmt.Errorf("encode journal batch: %w", err)
	}
	if len(body) > j.cfg.InlineBytes {
		f.objectBody = body
		f.row.Object = objectPrefix + id
		return f, nil
	}
	f.row.Body = &packed
	return f, nil
}

// appendBatch writes the batch as the next row of the log. A row that exists is
// never replaced, so the row at a number tells whose batch was written there.
// Until that is known no other number is tried, since that could write the batch
// twice.
func (j *Journal) appendBatch(ctx context.Context, f *inFlightBatch) error {
	for {
		if f.seq == 0 {
			end, err := j.findLastRow(ctx, j.cfg.DC, j.lastRow)
			if err != nil {
				return err
			}
			j.lastRow, f.seq = end, end+1
		}
		err := j.putRow(ctx, f)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
		written := err == nil
		if !written {
			if written, err = j.rowHoldsBatch(ctx, f); err != nil {
				return err
			}
		}
		j.lastRow = f.seq
		if written {
			return nil
		}
		f.seq = 0
		j.scope.Counter("append_conflict").Inc(1)
	}
}

func (j *Journal) putRow(ctx context.Context, f *inFlightBatch) error {
	k := rowKey(j.cfg.DC, f.seq)
	// The time is that of this attempt, so that the rows are nearly in order
	// of time even if the batch was cut before an outage.
	f.row.WrittenMS = j.cfg.Now().UnixMilli()
	value, err := wire.Encode(f.row)
	if err != nil {
		return fmt.Errorf("encode journal row: %w", err)
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: k}},
		Puts:       []platform.Put{{Key: k, Value: value}},
	}
	err = platform.CommitWithReadBack(ctx, j.cfg.Platform, txn, func(row platform.Row) platform.Effect {
		if b, err := decodeBatchRow(row); err == nil && b.WriteID == f.row.WriteID {
			return platform.EffectApplied
		}
		return platform.EffectNotApplied
	})
	if err != nil {
		return fmt.Errorf("append to journal: %w", err)
	}
	return nil
}

// rowHoldsBatch reports whether the row at f.seq holds this batch, written by an
// earlier attempt.
func (j *Journal) rowHoldsBatch(ctx context.Context, f *inFlightBatch) (bool, error) {
	row, err := j.cfg.Platform.Get(ctx, rowKey(j.cfg.DC, f.seq))
	if err != nil {
		return false, fmt.Errorf("read journal row: %w", err)
	}
	b, err := decodeBatchRow(row)
	return b.WriteID == f.row.WriteID, err
}

// removeWritten removes the records of a written batch from the pending ones.
func (j *Journal) removeWritten(f *inFlightBatch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, rec := range j.pending[:f.records] {
		if j.pendingCount[rec.Key]--; j.pendingCount[rec.Key] == 0 {
			delete(j.pendingCount, rec.Key)
		}
	}
	j.pending = slices.Delete(j.pending, 0, f.records)
	j.scope.Counter("batches").Inc(1)
	j.scope.Counter("written").Inc(int64(f.records))
}
