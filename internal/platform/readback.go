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

// The effects. EffectUnknown means that the row has been written several
// times since and no longer tells.
const (
	EffectApplied Effect = iota + 1
	EffectNotApplied
	EffectUnknown
)

// EffectFunc reads from a row whether the caller's own write took effect. The
// row's value carries a unique identifier of its last write, or of its last
// few.
type EffectFunc func(row Row) Effect

// Pauses between two rounds of reading back; each is twice the one before.
const (
	minReadBackBackoff = time.Millisecond
	maxReadBackBackoff = 100 * time.Millisecond
)

// CommitWithReadBack commits a transaction and, when the answer is lost, settles
// by reading back whether it took effect. The transaction must write the row
// of its first condition, so that it can take effect at most once: a copy
// that is still on its way after a lost answer then conflicts.
//
// The error is nil, ErrConflict or ErrUnavailable when the end is certain, and
// ErrUnknown when ctx ended first or the row no longer tells.
func CommitWithReadBack(ctx context.Context, t Table, txn Txn, effect EffectFunc) error {
	if err := checkWritesGuard(txn); err != nil {
		return err
	}
	mayBeApplied := false // an earlier copy may have taken effect
	backoff := minReadBackBackoff
	for {
		err := t.Commit(ctx, txn)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrUnknown):
			mayBeApplied = true
		case !mayBeApplied:
			return err
		}
		done, err := readBack(ctx, t, txn.Conditions[0], effect)
		if done {
			return err
		}
		// The row is untouched, but the lost copy may still be on its way.
		// Only a copy that takes effect or conflicts settles that.
		if sleep.For(ctx, backoff) != nil {
			return fmt.Errorf("read back %s: %w", txn.Conditions[0].Key, ErrUnknown)
		}
		backoff = min(2*backoff, maxReadBackBackoff)
	}
}

func checkWritesGuard(txn Txn) error {
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
func readBack(ctx context.Context, t Table, guard Condition, effect EffectFunc) (done bool, err error) {
	row, err := t.Get(ctx, guard.Key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return false, err
	}
	if row.Version == guard.Version {
		return false, nil
	}
	switch effect(row) {
	case EffectApplied:
		return true, nil
	case EffectNotApplied:
		return true, fmt.Errorf("row %s is at version %d, not %d: %w", guard.Key, row.Version, guard.Version, ErrConflict)
	}
	return true, fmt.Errorf("row %s went from version %d to %d: %w", guard.Key, guard.Version, row.Version, ErrUnknown)
}
