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

// claim acquires the ownership once the previous owner has not renewed it for
// claimDelay. It returns the time at which that owner's last renewal was first
// seen.
func (o *Owner) claim(ctx context.Context) (time.Duration, error) {
	var seenVersion uint64
	var seenAt time.Duration
	for {
		row, value, err := o.readOwner(ctx)
		if err != nil {
			return 0, err
		}
		now := o.clock()
		if seenAt == 0 || row.Version != seenVersion {
			seenVersion, seenAt = row.Version, now
		}
		free := row.Version == 0 || value.Holder == "" || value.Holder == o.self
		if free || now >= seenAt+claimDelay {
			uninterrupted := value.Holder == o.self && value.Epoch == o.epoch
			o.epoch, o.ownerRowVersion = value.Epoch+1, row.Version
			err := o.apply(ctx, nil, nil)
			if err == nil && !uninterrupted {
				o.ownedSince = o.epoch
				o.tellLoss()     // an error has interrupted the ownership before
				o.discardSaves() // another owner has saved newer records since
			}
			if err == nil {
				o.log.Info("ownership of stored jobs acquired", "epoch", o.epoch, "before", value.Holder, "unchanged_ms", (now - seenAt).Milliseconds())
				return seenAt, nil
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

// readOwner reads the owner's row. If that shows no recall, the entry may keep running tasks.
func (o *Owner) readOwner(ctx context.Context) (Row, ownerRow, error) {
	var value ownerRow
	sent := o.clock()
	row, ok, err := readRow(ctx, o.tables, tableOwner, ownerPart, ownerKey)
	if err != nil {
		return Row{}, value, err
	}
	if ok {
		if err := wire.Decode(row.Value, &value); err != nil {
			return row, value, fmt.Errorf("decode the row of the owner of stored jobs: %w", err)
		}
	}
	if !value.Recall {
		o.events.MayKeepRuns(sent + KeepLease)
	}
	return row, value, nil
}

// apply carries out a transaction on the condition that this entry still owns the
// stored jobs, and renews the ownership with it. It retries until the outcome is
// certain: nil if the transaction took effect, errNotOwner if another entry is the
// owner. It returns early if the store rejects the transaction or the context
// ends.
func (o *Owner) apply(ctx context.Context, puts, removals []Row) error {
	o.writeNumber++
	sent, recall := o.recallNow()
	value, err := wire.Encode(ownerRow{Holder: o.self, Epoch: o.epoch, Write: o.writeNumber, Recall: recall})
	if err != nil {
		return err
	}
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value}
	backoff := minBackoff
	for {
		own.Version = o.ownerRowVersion
		version, err := o.tables.Apply(ctx, Tx{Conditions: []Row{own}, Puts: append(puts[:len(puts):len(puts)], own), Removals: removals})
		var conflict *ConflictError
		switch {
		case err == nil:
			o.rowRecalls = recall
			o.recordRenewal(sent, version)
			return nil
		case errors.As(err, &conflict):
			done, err := o.resolveConflict(conflict, sent)
			o.rowRecalls = o.rowRecalls && !done || done && recall
			if done || err != nil {
				return err
			}
			continue
		case errors.Is(err, platform.ErrRejected):
			return fmt.Errorf("save records: %w", err)
		}
		if sleep.For(ctx, backoff) != nil {
			return ctx.Err()
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recallNow returns the present time, and whether a write that is sent now shows the recall.
func (o *Owner) recallNow() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock()
	return now, o.recallFrom != 0 && now >= o.recallFrom
}

// resolveConflict handles a conflict on the owner's row, which holds one of three
// values: this write, which has then taken effect; an earlier write of this owner, the
// response to which was lost, so that this write must be sent again; or another owner's
// write.
// It reports whether the write has taken effect.
func (o *Owner) resolveConflict(c *ConflictError, sent time.Duration) (bool, error) {
	var version uint64
	var value ownerRow
	for _, r := range c.Current {
		if r.Table == tableOwner && r.Version > 0 {
			version = r.Version
			if err := wire.Decode(r.Value, &value); err != nil {
				return false, fmt.Errorf("decode the row of the owner of stored jobs: %w", err)
			}
		}
	}
	if value.Holder != o.self || value.Epoch != o.epoch {
		return false, errNotOwner
	}
	if value.Write == o.writeNumber {
		o.recordRenewal(sent, version)
		return true, nil
	}
	o.ownerRowVersion = version
	return false, nil
}

// recordRenewal records a renewal that was sent at a time and returned a version of
// the owner's row.
func (o *Owner) recordRenewal(sent time.Duration, version uint64) {
	o.ownerRowVersion, o.renewedAt = version, sent
	o.events.Renewed(sent, sent+StartLease)
}

// release ends the ownership in the store, so that the next owner need not wait for
// claimDelay.
func (o *Owner) release() {
	if o.ownerRowVersion == 0 {
		return
	}
	value, err := wire.Encode(ownerRow{Epoch: o.epoch, Write: o.writeNumber + 1})
	if err != nil {
		o.log.Error("ownership of stored jobs not released; the next owner has to wait for its expiry", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	own := Row{Table: tableOwner, Part: ownerPart, Key: ownerKey, Value: value, Version: o.ownerRowVersion}
	if _, err := o.tables.Apply(ctx, Tx{Conditions: []Row{own}, Puts: []Row{own}}); err != nil {
		o.log.Info("ownership of stored jobs not released; the next owner has to wait for its expiry", "epoch", o.epoch, "err", err)
	}
}
