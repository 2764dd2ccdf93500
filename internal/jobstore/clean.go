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

// endedRetention is how long the state of an ended job can be asked for; the users ask for
// 120 s.
const endedRetention = 150 * time.Second

// usedMarker is the value of a row that only says that it is there.
var usedMarker = []byte{1}

// endedRow is the value of a job that has ended.
type endedRow struct {
	State fleet.JobState `cbor:"1,keyasint"`
	// EndedMS is the time of day of the end, Unix time in ms.
	EndedMS int64 `cbor:"2,keyasint"`
}

// FinalState reads the state of a job that has ended.
func FinalState(ctx context.Context, rows Tables, id string) (state fleet.JobState, known bool, err error) {
	r, ok, err := readRow(ctx, rows, tableEnded, ownerPart, id)
	if err != nil || !ok {
		return 0, false, err
	}
	var e endedRow
	if err := wire.Decode(r.Value, &e); err != nil {
		return 0, false, fmt.Errorf("state of job %s: %w", id, err)
	}
	return e.State, true, nil
}

// Exists reports whether a job was accepted that may not have ended.
func Exists(ctx context.Context, rows Tables, id string) (bool, error) {
	for _, table := range []string{tableOpen, tableUsed} {
		if _, ok, err := readRow(ctx, rows, table, partOf(id), id); err != nil || ok {
			return ok, err
		}
	}
	return false, nil
}

func readRow(ctx context.Context, rows Tables, table, part, key string) (Row, bool, error) {
	page, err := rows.Read(ctx, table, part, key, 1)
	if err != nil || len(page.Rows) == 0 || page.Rows[0].Key != key {
		return Row{}, false, err
	}
	return page.Rows[0], true, nil
}

// cleanUp puts the rows of ended jobs away: what stays for a while is that their IDs
// are taken, and their states.
func (o *Owner) cleanUp(ctx context.Context) {
	o.loadEnded(ctx)
	for sleep.For(ctx, cleanUpInterval) == nil {
		o.mu.Lock()
		parts := slices.Sorted(maps.Keys(o.cleanUpQueue))
		o.mu.Unlock()
		for _, part := range parts {
			for o.cleanUpPart(ctx, part) {
				// as long as there is a whole batch
			}
		}
		o.expireEnded(ctx)
	}
}

// loadEnded notes the jobs that ended under earlier owners, so that they are
// forgotten in time.
func (o *Owner) loadEnded(ctx context.Context) {
	rows, _, err := readAll(ctx, o.tables, tableEnded, ownerPart, 0)
	if err != nil {
		o.log.Info("states of ended jobs not read", "err", err)
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

// expireEnded drops what is left of jobs that ended long ago.
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
			o.log.Info("ended jobs not forgotten", "part", part, "jobs", len(ids), "err", err)
			return
		}
	}
	if len(ended.Removals) == 0 {
		return
	}
	if _, err := o.tables.Apply(ctx, ended); err != nil {
		o.log.Info("states of ended jobs not forgotten", "jobs", len(ended.Removals), "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range ended.Removals {
		delete(o.endedAt, r.Key)
	}
}

// cleanUpPart puts a batch away and reports whether there may be another whole one.
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
		o.log.Info("ended jobs not put away", "part", part, "jobs", len(ids), "err", err)
		return false
	}
	// A record without its job is harmless, so this one needs no ownership.
	if _, err := o.tables.Apply(ctx, records); err != nil {
		o.log.Info("records not put away", "part", part, "jobs", len(ids), "err", err)
	}
	o.mu.Lock()
	o.cleanUpQueue[part] = o.cleanUpQueue[part][len(ids):]
	if len(o.cleanUpQueue[part]) == 0 {
		delete(o.cleanUpQueue, part)
	}
	o.mu.Unlock()
	return len(ids) == maxCleanUpPerTx
}
