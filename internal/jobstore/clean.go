package jobstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"currantstall/internal/fleet"
	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

// endedRetention is how long callers can query the state of an ended job; the
// required minimum is 120 s.
const endedRetention = 150 * time.Second

// usedMarker is the value of a row that only marks its key as used.
var usedMarker = []byte{1}

// endedRow is the value of the row of an ended job in tableEnded.
type endedRow struct {
	State fleet.JobState `cbor:"1,keyasint"`
	// EndedMS is when the job ended, Unix time in ms.
	EndedMS int64 `cbor:"2,keyasint"`
}

// FinalState reads the state of an ended job from the store. The job is known
// until its state expires after endedRetention.
func FinalState(ctx context.Context, tables Tables, id string) (state fleet.JobState, known bool, err error) {
	r, ok, err := readRow(ctx, tables, tableEnded, ownerPart, id)
	if err != nil || !ok {
		return 0, false, err
	}
	var e endedRow
	if err := wire.Decode(r.Value, &e); err != nil {
		return 0, false, fmt.Errorf("decode the final state of job %s: %w", id, err)
	}
	return e.State, true, nil
}

// Exists reports whether the store has a job with this ID, which may have ended.
func Exists(ctx context.Context, tables Tables, id string) (bool, error) {
	for _, table := range []string{tableOpen, tableUsed} {
		if row, ok, err := readRow(ctx, tables, table, partOf(id), id); err != nil || ok {
			return ok && markOf(row) == notMarked, err
		}
	}
	return false, nil
}

// readRow reads the row with the given key and reports whether there is one.
func readRow(ctx context.Context, tables Tables, table, part, key string) (Row, bool, error) {
	page, err := tables.Read(ctx, table, part, key, 1)
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Key != key {
		return Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// cleanUp deletes the rows of ended jobs until the context ends. The IDs of the
// jobs stay marked as used, and their final states stay readable, for
// endedRetention.
func (o *Owner) cleanUp(ctx context.Context) {
	o.loadEnded(ctx)
	for sleep.For(ctx, cleanUpInterval) == nil {
		o.mu.Lock()
		parts := slices.Sorted(maps.Keys(o.cleanUpQueue))
		o.mu.Unlock()
		for _, part := range parts {
			for o.cleanUpPart(ctx, part) {
				// until a batch is not full
			}
		}
		o.expireEnded(ctx)
	}
}

// loadEnded reads which jobs ended under earlier owners, so that this owner expires
// them too.
func (o *Owner) loadEnded(ctx context.Context) {
	rows, _, err := readAll(ctx, o.tables, tableEnded, ownerPart, 0)
	if err != nil {
		o.log.Info("jobs that ended under earlier owners not read; this owner does not expire them", "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range rows {
		if _, known := o.endedAt[r.Key]; !known {
			o.endedAt[r.Key] = o.clock()
		}
	}
}

// expireEnded deletes the remaining rows of jobs that ended more than
// endedRetention ago. The used IDs are deleted first, by a transaction for each
// part, and the final states only after all of those succeeded.
func (o *Owner) expireEnded(ctx context.Context) {
	due := make(map[string][]string)
	var ended Tx
	o.mu.Lock()
	for id, at := range o.endedAt {
		if o.clock() > at+endedRetention && len(ended.Removals) < maxCleanUpPerTx {
			due[partOf(id)] = append(due[partOf(id)], id)
			ended.Removals = append(ended.Removals, Row{Table: tableEnded, Part: ownerPart, Key: id})
		}
	}
	o.mu.Unlock()
	for part, ids := range due {
		var used Tx
		for _, id := range ids {
			used.Removals = append(used.Removals, Row{Table: tableUsed, Part: part, Key: id})
		}
		if _, err := o.tables.Apply(ctx, used); err != nil {
			o.log.Info("IDs of ended jobs not expired", "part", part, "jobs", len(ids), "err", err)
			return
		}
	}
	if len(ended.Removals) == 0 {
		return
	}
	if _, err := o.tables.Apply(ctx, ended); err != nil {
		o.log.Info("final states of ended jobs not expired", "jobs", len(ended.Removals), "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range ended.Removals {
		delete(o.endedAt, r.Key)
	}
}

// cleanUpPart deletes the rows of a batch of ended jobs of a part. It reports
// whether the batch was full, so that there may be more.
func (o *Owner) cleanUpPart(ctx context.Context, part string) bool {
	o.mu.Lock()
	ids := o.cleanUpQueue[part]
	ids = ids[:min(len(ids), maxCleanUpPerTx)]
	o.mu.Unlock()
	if len(ids) == 0 {
		return false
	}
	var tx, records Tx
	for _, id := range ids {
		tx.Removals = append(tx.Removals, Row{Table: tableOpen, Part: part, Key: id})
		tx.Puts = append(tx.Puts, Row{Table: tableUsed, Part: part, Key: id, Value: usedMarker})
		records.Removals = append(records.Removals, Row{Table: tableProgress, Part: ownerPart, Key: id})
	}
	if _, err := o.tables.Apply(ctx, tx); err != nil {
		o.log.Info("rows of ended jobs not cleaned up", "part", part, "jobs", len(ids), "err", err)
		return false
	}
	// A record without its job is harmless, so this transaction needs no
	// condition on the ownership.
	if _, err := o.tables.Apply(ctx, records); err != nil {
		o.log.Info("records of ended jobs not cleaned up", "part", part, "jobs", len(ids), "err", err)
	}
	o.mu.Lock()
	o.cleanUpQueue[part] = o.cleanUpQueue[part][len(ids):]
	if len(o.cleanUpQueue[part]) == 0 {
		delete(o.cleanUpQueue, part)
	}
	o.mu.Unlock()
	return len(ids) == maxCleanUpPerTx
}
