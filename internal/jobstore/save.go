package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

// serve saves records and renews the ownership.
func (o *Owner) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-o.arrive:
		case <-time.After(renewEvery):
		}
		for {
			saves := o.takeSaves()
			if len(saves) == 0 && !o.renewalDue() {
				break
			}
			began := o.clock()
			if err := o.save(ctx, saves); err != nil {
				return err
			}
			if sleep.For(ctx, saveEvery-(o.clock()-began)) != nil {
				return ctx.Err()
			}
		}
	}
}

// renewalDue reports whether the ownership should be renewed for the jobs that are
// open.
func (o *Owner) renewalDue() bool {
	o.mu.Lock()
	open := len(o.open)
	o.mu.Unlock()
	return open > 0 && o.clock() >= o.renewed+renewEvery
}

func (o *Owner) takeSaves() []Save {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.order), maxSaves)
	saves := make([]Save, n)
	for i, id := range o.order[:n] {
		saves[i] = o.dirty[id]
		delete(o.dirty, id)
	}
	o.order = append([]string(nil), o.order[n:]...)
	return saves
}

// saveLeft saves the records that were left when the ownership lapsed: nobody else
// has owned the jobs since.
func (o *Owner) saveLeft(ctx context.Context) error {
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

func (o *Owner) forgetSaves() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dirty, o.order = make(map[string]Save), nil
}

func (o *Owner) save(ctx context.Context, saves []Save) error {
	var lapsed error
	var puts []Row
	size := 0
	for i, s := range saves {
		value, err := wire.Encode(s.Record)
		if err != nil {
			return fmt.Errorf("save record of job %s: %w", s.Job, err)
		}
		if size += len(value); i > 0 && size > maxBatchBytes {
			o.putBack(saves[i:])
			saves = saves[:i]
			break
		}
		puts = append(puts, Row{Table: tableProgress, Part: ownerPart, Key: s.Job, Value: value})
		if s.Record.State.Ended() {
			state, err := wire.Encode(endedRow{State: s.Record.State, EndedMS: time.Now().UnixMilli()})
			if err != nil {
				return fmt.Errorf("save state of job %s: %w", s.Job, err)
			}
			puts = append(puts, Row{Table: tableEnded, Part: ownerPart, Key: s.Job, Value: state})
		}
	}
	if err := o.apply(ctx, puts, nil); err != nil && !errors.Is(err, errLapsed) {
		o.putBack(saves)
		return err
	} else if err != nil {
		lapsed = err // saved all the same
	}
	for _, s := range saves {
		o.events.Saved(s.Job, s.Seq)
		if s.Record.State.Ended() {
			o.mu.Lock()
			delete(o.open, s.Job)
			o.ended[s.Job] = o.clock()
			part := partOf(s.Job)
			o.clean[part] = append(o.clean[part], s.Job)
			o.mu.Unlock()
		}
	}
	return lapsed
}

// putBack has records saved again that were not saved, unless later ones wait.
func (o *Owner) putBack(saves []Save) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range saves {
		if _, later := o.dirty[s.Job]; !later {
			o.dirty[s.Job] = s
			o.order = append(o.order, s.Job)
		}
	}
}
