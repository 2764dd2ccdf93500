package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/platform"
	"currantstall/internal/sleep"
	"currantstall/internal/wire"
)

// claim takes the ownership once the owner before has not renewed it for long
// enough, and returns when that one's renewal was seen first.
func (o *Owner) claim(ctx context.Context) (time.Duration, error) {
	var seen uint64
	var since time.Duration
	for {
		row, value, err := o.readOwner(ctx)
		if err != nil {
			return 0, err
		}
		now := o.clock()
		if since == 0 || row.Version != seen {
			seen, since = row.Version, now
		}
		free := row.Version == 0 || value.Holder == "" || value.Holder == o.self
		if free || now >= since+claimDelay {
			own := value.Holder == o.self && value.Epoch == o.epoch
			o.epoch, o.ownerRowVersion = value.Epoch+1, row.Version
			err := o.apply(ctx, nil, nil)
			if err == nil && !own {
				o.discardSaves() // another owner has gone on since
			}
			if err == nil {
				o.log.Info("stored jobs claimed", "epoch", o.epoch, "before", value.Holder, "unchanged_ms", (now - since).Milliseconds())
				return since, nil
			}
			if !errors.Is(err, errNotOwner) {
				return 0, err
			}
		}
		if sleep.For(ctx, claimPollInterval) != nil {
			return 0, ctx.Err()
		}
	}
}

func (o *Owner) readOwner(ctx context.Context) (Row, ownerRow, error) {
	var value ownerRow
	row, ok, err := readRow(ctx, o.tables, tableOwner, ownerPart, ownerKey)
	if err != nil || !ok {
		return Row{}, value, err
	}
	if err := wire.Decode(row.Value, &value); err != nil {
		return row, value, fmt.Errorf("owner of the stored jobs: %w", err)
	}
	return row, value, nil
}

// apply carries out a transaction under the ownership, which it renews. It tries
// until the end is certain: errNotOwner, or nil.
func (o *Owner) apply(ctx context.Context, puts, remove []Row) error {
	o.writeNumber++
	value, err := wire.Encode(ownerRow{Holder: o.self, Epoch: o.epoch, Write: o.writeNumber})
	if err != nil {
		return err
	}
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value}
	sent := o.clock()
	wait := minBackoff
	for {
		own.Version = o.ownerRowVersion
		version, err := o.tables.Apply(ctx, Tx{Conditions: []Row{own}, Puts: append(puts[:len(puts):len(puts)], own), Removals: remove})
		var conflict *ConflictError
		switch {
		case err == nil:
			return o.recordRenewal(sent, version)
		case errors.As(err, &conflict):
			done, err := o.resolveConflict(conflict, sent)
			if done || err != nil {
				return err
			}
			continue
		case errors.Is(err, platform.ErrRejected):
			return fmt.Errorf("save records: %w", err)
		}
		if sleep.For(ctx, wait) != nil {
			return ctx.Err()
		}
		wait = min(2*wait, maxBackoff)
	}
}

// resolveConflict looks at what stands in the owner's row: this very write, an earlier one
// whose answer was lost, or another owner's.
func (o *Owner) resolveConflict(c *ConflictError, sent time.Duration) (bool, error) {
	var version uint64
	var value ownerRow
	for _, r := range c.Current {
		if r.Table == tableOwner && r.Version > 0 {
			version = r.Version
			if err := wire.Decode(r.Value, &value); err != nil {
				return false, fmt.Errorf("owner of the stored jobs: %w", err)
			}
		}
	}
	if value.Holder != o.self || value.Epoch != o.epoch {
		return false, errNotOwner
	}
	if value.Write == o.writeNumber {
		return true, o.recordRenewal(sent, version)
	}
	o.ownerRowVersion = version
	return false, nil
}

// recordRenewal notes a renewal. One that comes too late for what runs makes the owner
// restore all jobs again.
func (o *Owner) recordRenewal(sent time.Duration, version uint64) error {
	lapsed := o.serving && o.hadOpenJobs && o.clock() > o.renewedAt+RunLease-expiryMargin
	o.ownerRowVersion, o.renewedAt = version, sent
	o.mu.Lock()
	o.hadOpenJobs = len(o.open) > 0
	o.mu.Unlock()
	if lapsed {
		return errLeaseExpired
	}
	o.events.Renewed(sent, sent+StartLease)
	return nil
}

// release gives the ownership up, so that another entry need not wait.
func (o *Owner) release() {
	if o.ownerRowVersion == 0 {
		return
	}
	value, err := wire.Encode(ownerRow{Epoch: o.epoch, Write: o.writeNumber + 1})
	if err != nil {
		o.log.Error("ownership not given up", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value, Version: o.ownerRowVersion}
	if _, err := o.tables.Apply(ctx, Tx{Conditions: []Row{own}, Puts: []Row{own}}); err != nil {
		o.log.Info("ownership not given up", "epoch", o.epoch, "err", err)
	}
}
