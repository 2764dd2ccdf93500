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

// awaitJobs returns once tableOpen has a job, or the entry has told of one. It does not wait after the entry
// has dropped the jobs of an ownership, which may have shown that another owner has followed.
func (o *Owner) awaitJobs(ctx context.Context) error {
	if o.epoch > 0 && o.jobsDropped() {
		return nil
	}
	rows, after, err := o.readOpen(ctx, 1)
	if err == nil && len(rows) == 0 {
		o.events.NoJobs()
	}
	for err == nil && len(rows) == 0 {
		after, err = o.awaitChanges(ctx, after, &rows)
	}
	return err
}

// awaitChanges waits for changes of the open jobs after a version and appends the
// rows that were written. It returns the version to continue from.
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
		*rows = []Row{{}} // there is a job, whose row is not known
		return after, nil
	}
	for _, r := range got {
		if !r.Removed {
			*rows = append(*rows, r)
		}
	}
	return max(after, next), err
}

// readOpen reads the rows of tableOpen, at most limit of each part (0: all), and the
// version after which changes have to be read. Some of the jobs may have ended and
// wait to be cleaned up.
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
	// The parts are read at different versions. From the lowest one on no change
	// is missed; some are seen twice.
	return slices.Concat(parts[:]...), slices.Min(versions[:]), nil
}

// readAll reads the rows of a part of a table, at most limit (0: all), and the
// version of the store at the first page.
func readAll(ctx context.Context, tables Tables, table, part string, limit int) ([]Row, uint64, error) {
	var all []Row
	var version uint64
	from := ""
	for {
		page, err := tables.Read(ctx, table, part, from, limit)
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

// restore reads the jobs of tableOpen and their records, and reports them as Acquired.
// It returns the version after which changes have to be read. The records are read first: only this owner
// can save one, but a former one may be cleaning up ended jobs, and a job that was read
// before that, without its record, would seem to be open.
func (o *Owner) restore(ctx context.Context, lastSeen time.Duration) (uint64, error) {
	records, err := o.readRecords(ctx)
	if err != nil {
		return 0, err
	}
	rows, after, err := o.readOpen(ctx, 0)
	if err != nil {
		return 0, err
	}
	jobs := make([]StoredJob, 0, len(rows))
	o.mu.Lock()
	o.cleanUpQueue, o.open, o.endedAt = make(map[string][]string), make(map[string]bool), make(map[string]time.Duration)
	for _, r := range rows {
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job skipped: its row can't be decoded", "job", r.Key, "err", err)
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
	o.mustTellLoss = true
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
			o.log.Error("record of a stored job skipped: its row can't be decoded", "job", r.Key, "err", err)
			continue
		}
		records[r.Key] = rec
	}
	return records, nil
}

// followAccepted reports the jobs that are accepted after a version, until the
// context ends.
func (o *Owner) followAccepted(ctx context.Context, after uint64) {
	for ctx.Err() == nil {
		rows, next, err := o.tables.Changes(ctx, tableOpen, after, changesWait)
		if err != nil {
			if ctx.Err() == nil {
				o.log.Info("newly accepted jobs not read; reading all open jobs again", "after", after, "err", err)
				sleepJittered(ctx, maxBackoff)
				if rows, version, readErr := o.readOpen(ctx, 0); readErr == nil {
					o.deliverAccepted(rows) // the store may no longer have the changes since that version
					after = max(after, version)
				}
			}
			continue
		}
		o.deliverAccepted(rows)
		after = max(after, next)
	}
}

// deliverAccepted reports the jobs of the rows that have not ended.
func (o *Owner) deliverAccepted(rows []Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		acc, err := decodeOpen(r)
		if err != nil {
			o.log.Error("stored job skipped: its row can't be decoded", "job", r.Key, "err", err)
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
