package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

// serve saves records and renews the ownership until the entry has dropped the jobs, a
// call fails or the context ends.
func (o *Owner) serve(ctx context.Context) error {
	for {
		_, wait := o.recallDue()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-o.jobAccepted:
		case <-time.After(wait):
		}
		for {
			if o.jobsDropped() {
				return errJobsDropped
			}
			saves := o.takeSaves()
			recall, _ := o.recallDue()
			if len(saves) == 0 && !recall && !o.renewalDue() {
				break
			}
			startedAt := o.clock()
			if err := o.save(ctx, saves); err != nil {
				return err
			}
			if sleep.For(ctx, minSaveInterval-(o.clock()-startedAt)) != nil {
				return ctx.Err()
			}
		}
	}
}

// renewalDue reports whether it is time to renew the ownership. It need not be
// renewed while no job is open.
func (o *Owner) renewalDue() bool {
	o.mu.Lock()
	open := len(o.open)
	o.mu.Unlock()
	return open > 0 && o.clock() >= o.renewedAt+renewInterval
}

// jobsDropped reports whether the entry has dropped the jobs of the present epoch.
func (o *Owner) jobsDropped() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.droppedEpoch >= o.epoch
}

// takeSaves removes the oldest pending saves, as many as fit into one transaction. It drops those of
// ownerships that are over: the entry has not handled their loss yet.
func (o *Owner) takeSaves() []Save {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := 0
	var saves []Save
	for _, id := range o.saveOrder {
		if len(saves) == maxSavesPerTx {
			break
		}
		s := o.pendingSaves[id]
		delete(o.pendingSaves, id)
		taken++
		if s.Epoch != 0 && s.Epoch < o.ownedSince {
			o.log.Info("record of a former ownership dropped", "job", s.Job, "epoch", s.Epoch, "owned_since", o.ownedSince)
			continue
		}
		saves = append(saves, s)
	}
	o.saveOrder = append([]string(nil), o.saveOrder[taken:]...)
	return saves
}

// savePendingRecords saves the records that were still pending when the previous
// ownership of this entry ended. No other entry has owned the jobs since; otherwise
// claim has discarded them.
func (o *Owner) savePendingRecords(ctx context.Context) error {
	for {
		saves := o.takeSaves()
		if len(saves) == 0 {
			return nil
		}
		if err := o.save(ctx, saves); err != nil {
			return err
		}
	}
}

// discardSaves drops the pending saves.
func (o *Owner) discardSaves() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pendingSaves, o.saveOrder = make(map[string]Save), nil
}

// save saves records in one transaction, with the final states of jobs that have
// ended. Records that exceed maxBatchBytes are queued again.
func (o *Owner) save(ctx context.Context, saves []Save) error {
	var puts []Row
	var saved []Save
	size := 0
	for i, s := range saves {
		value, err := encodeRecord(s.Record)
		if errors.Is(err, ErrTooLarge) {
			// The store would reject the records of the other jobs with it.
			o.log.Error("record of a job not saved: it fits into no row of the store", "job", s.Job)
			continue
		}
		if err != nil {
			return fmt.Errorf("save record of job %s: %w", s.Job, err)
		}
		if size += len(value); len(saved) > 0 && size > maxBatchBytes {
			o.requeueSaves(saves[i:])
			break
		}
		saved = append(saved, s)
		puts = append(puts, Row{Table: tableProgress, Part: ownerPart, Key: s.Job, Value: value})
		if s.Record.State.Ended() {
			state, err := wire.Encode(endedRow{State: s.Record.State, EndedMS: time.Now().UnixMilli()})
			if err != nil {
				return fmt.Errorf("save state of job %s: %w", s.Job, err)
			}
			puts = append(puts, Row{Table: tableEnded, Part: ownerPart, Key: s.Job, Value: state})
		}
	}
	if err := o.apply(ctx, puts, nil); err != nil {
		o.requeueSaves(saved)
		return err
	}
	for _, s := range saved {
		o.events.RecordSaved(s.Job, s.Seq)
		if s.Record.State.Ended() {
			o.mu.Lock()
			delete(o.open, s.Job)
			o.endedAt[s.Job] = o.clock()
			part := partOf(s.Job)
			o.cleanUpQueue[part] = append(o.cleanUpQueue[part], s.Job)
			o.mu.Unlock()
		}
	}
	return nil
}

// requeueSaves queues saves again that were not carried out, except where a later
// save of the same job is pending.
func (o *Owner) requeueSaves(saves []Save) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range saves {
		if _, later := o.pendingSaves[s.Job]; !later {
			o.pendingSaves[s.Job] = s
			o.saveOrder = append(o.saveOrder, s.Job)
		}
	}
}
