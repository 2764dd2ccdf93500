package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/sleep"
)

// Effect is what a row shows about an earlier write.
type Effect int

// The effects. EffectUnclear means that the row has been written several
// times since and no longer tells.
const (
	EffectTook Effect = iota + 1
	EffectNot
	EffectUnclear
)

// Settle reads from a row whether the caller's own write took effect. The
// row's value carries a unique identifier of its last write, or of its last
// few.
type Settle func(row Row) Effect

// Pauses between two rounds of reading back; each is twice the one before.
const (
	minReadBackPause = time.Millisecond
	maxReadBackPause = 100 * time.Millisecond
)

// CommitReadBack commits a transaction and, when the answer is lost, settles
// by reading back whether it took effect. The transaction must write the row
// of its first condition, so that it can take effect at most once: a copy
// that is still on its way after a lost answer then conflicts.
//
// The error is nil, ErrConflict or ErrUnavailable when the end is certain, and
// ErrUnknown when ctx ended first or the row no longer tells.
func CommitReadBack(ctx context.Context, t Table, txn Txn, settle Settle) error {
	if err := checkGuarded(txn); err != nil {
		return err
	}
	unknown := false // an earlier copy may have taken effect
	pause := minReadBackPause
	for {
		err := t.Commit(ctx, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrUnknown):
			unknown = true
		case !unknown:
			return err
		}
		done, err := readBack(ctx, t, txn.Conditions[0], settle)
		if done {
			return err
		}
		// The row is untouched, but the lost copy may still be on its way.
		// Only a copy that takes effect or conflicts settles that.
		if sleep.For(ctx, pause) != nil {
			return fmt.Errorf("read back %s: %w", txn.Conditions[0].Key, ErrUnknown)
		}
		pause = min(2*pause, maxReadBackPause)
	}
}

func checkGuarded(txn Txn) error {
	if len(txn.Conditions) > 0 {
		for _, p := range txn.Puts {
			if p.Key == txn.Conditions[0].Key && p.Value != nil {
				return nil
			}
		}
	}
	return fmt.Errorf("transaction does not write the row of its first condition: %w", ErrRejected)
}

// readBack reports whether the row settles the write, and how.
func readBack(ctx context.Context, t Table, guard Condition, settle Settle) (done bool, err error) {
	row, err := t.Get(ctx, guard.Key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return false, err
	}
	if row.Version == guard.Version {
		return false, nil
	}
	switch settle(row) {
	case EffectTook:
		return true, nil
	case EffectNot:
		return true, fmt.Errorf("row %s is at version %d, not %d: %w", guard.Key, row.Version, guard.Version, ErrConflict)
	}
	return true, fmt.Errorf("row %s went from version %d to %d: %w", guard.Key, guard.Version, row.Version, ErrUnknown)
}
