package jobstore

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"currantstall/internal/fleet"
)

// awaitJobs returns once there are stored jobs.
func (o *Owner) awaitJobs(ctx context.Context) error {
	rows, after, err := o.readOpen(ctx, 1)
	if err == nil && len(rows) == 0 {
		o.events.NoJobs()
	}
	for err == nil && len(rows) == 0 {
		after, err = o.awaitChanges(ctx, after, &rows)
	}
	return err
}

func (o *Owner) awaitChanges(ctx context.Context, after uint64, rows *[]Row) (uint64, error) {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-o.jobAccepted:
			cancel()
		case <-wait.Done():
		}
	}()
	got, next, err := o.tables.Changes(wait, tableOpen, after, idleChangesWait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		*rows = []Row{{}} // told of one
		return after, nil
	}
	for _, r := range got {
		if !r.Removed {
			*rows = append(*rows, r)
		}
	}
	return max(after, next), err
}

// readOpen reads the accepted jobs, at most that many of each part (0: all), and the
// version after which changes follow.
func (o *Owner) readOpen(ctx context.Context, limit int) ([]Row, uint64, error) {
	var parts [openPartCount][]Row
	var versions [openPartCount]uint64
	var errs [openPartCount]error
	var wg sync.WaitGroup
	for p := range openPartCount {
		wg.Go(func() { parts[p], versions[p], errs[p] = readAll(ctx, o.tables, tableOpen, strconv.Itoa(p), limit) })
	}
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, 0, err
	}
	// Changes after the earliest of the reads come again.
	return slices.Concat(parts[:]...), slices.Min(versions[:]), nil
}

// readAll reads a part of a table, at most that many rows (0: all), and the version
// of the store before.
func readAll(ctx context.Context, rows Tables, table, part string, limit int) ([]Row, uint64, error) {
	var all []Row
	var version uint64
	from := ""
	for {
		page, err := rows.Read(ctx, table, part, from, limit)
		if err != nil {
			return nil, 0, err
		}
		if from == "" {
			version = page.Version
		}
		all = append(all, page.Rows...)
		if !page.More || len(page.Rows) == 0 || limit > 0 {
			return all, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// restore reads the jobs and their records, and hands them over.
func (o *Owner) restore(ctx context.Context, lastSeen time.Duration) (uint64, error) {
	rows, after, err := o.readOpen(ctx, 0)
	if err != nil {
		return 0, err
	}
	records, err := o.readRecords(ctx)
	if err != nil {
		return 0, err
	}
	jobs := make([]StoredJob, 0, len(rows))
	o.mu.Lock()
	o.cleanUpQueue, o.open, o.endedAt = make(map[string][]string), make(map[string]bool), make(map[string]time.Duration)
	for _, r := range rows {
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job that can't be read", "job", r.Key, "err", err)
			continue
		}
		j := StoredJob{acc, records[r.Key]}
		jobs = append(jobs, j)
		if j.Record.State.Ended() {
			o.cleanUpQueue[r.Part] = append(o.cleanUpQueue[r.Part], r.Key)
			o.endedAt[r.Key] = o.clock()
		} else {
			o.open[r.Key] = true
		}
	}
	o.log.Info("stored jobs restored", "epoch", o.epoch, "jobs", len(jobs), "open", len(o.open), "records", len(records))
	o.mu.Unlock()
	o.events.Acquired(o.epoch, lastSeen, jobs)
	return after, nil
}

func (o *Owner) readRecords(ctx context.Context) (map[string]fleet.Record, error) {
	rows, _, err := readAll(ctx, o.tables, tableProgress, ownerPart, 0)
	if err != nil {
		return nil, err
	}
	records := make(map[string]fleet.Record, len(rows))
	for _, r := range rows {
		rec, err := decodeRecord(r)
		if err != nil {
			o.log.Error("record that can't be read", "job", r.Key, "err", err)
			continue
		}
		records[r.Key] = rec
	}
	return records, nil
}

// followAccepted hands over the jobs that are accepted from now on.
func (o *Owner) followAccepted(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		rows, next, err := o.tables.Changes(ctx, tableOpen, after, changesWait)
		if err != nil {
			if ctx.Err() == nil {
				o.log.Info("accepted jobs not followed", "after", after, "err", err)
				sleepJittered(ctx, maxBackoff)
				if rows, version, readErr := o.readOpen(ctx, 0); readErr == nil {
					o.deliverAccepted(rows) // the history may be gone
					after = max(after, version)
				}
			}
			continue
		}
		o.deliverAccepted(rows)
		after = max(after, next)
	}
}

func (o *Owner) deliverAccepted(rows []Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job that can't be read", "job", r.Key, "err", err)
			continue
		}
		o.mu.Lock()
		_, ended := o.endedAt[r.Key]
		if !ended {
			o.open[r.Key] = true
		}
		o.mu.Unlock()
		if !ended {
			o.events.JobAccepted(acc)
		}
	}
}
