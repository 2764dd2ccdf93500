package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantstall/internal/sleep"
)

// Effect tells whether an earlier write took effect, as far as a row shows it.
type Effect int

// The effects. EffectUnknown means that the row has been written several times
// since and no longer shows whether the write took effect.
const (
	EffectApplied Effect = iota + 1
	EffectNotApplied
	EffectUnknown
)

// EffectFunc tells from a row whether the caller's own write took effect. The
// row's value must carry a unique identifier of its last write, or of its last
// few writes.
type EffectFunc func(row Row) Effect

// Bounds of the backoff between two rounds of reading back, which doubles.
const (
	minReadBackBackoff = time.Millisecond
	maxReadBackBackoff = 100 * time.Millisecond
)

// CommitWithReadBack commits a transaction. If the response is lost, it finds out
// by reading back and by retrying whether the transaction took effect. The
// transaction must write the row of its first condition, so that it takes effect
// at most once: an earlier attempt that is delivered late then conflicts.
//
// The error is nil, ErrConflict or ErrUnavailable if the result is certain, and
// ErrUnknown if ctx ended first or the row no longer shows the result.
func CommitWithReadBack(ctx context.Context, t Table, txn Txn, effect EffectFunc) error {
	if err := checkWritesGuard(txn); err != nil {
		return err
	}
	mayBeApplied := false // an earlier attempt may have taken effect, or may yet
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
		// The row is unchanged, but the attempt without a response may still be
		// delivered. Only an attempt that takes effect or conflicts decides that.
		if sleep.For(ctx, backoff) != nil {
			return fmt.Errorf("read back row %s: context ended before the result was known: %w", txn.Conditions[0].Key, ErrUnknown)
		}
		backoff = min(2*backoff, maxReadBackBackoff)
	}
}

// checkWritesGuard refuses a transaction that does not write the row of its first
// condition.
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

// readBack reads the row of the guard condition. It reports whether the result of
// the write is decided, and returns the result.
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
	return true, fmt.Errorf("row %s went from version %d to %d and no longer shows the result: %w", guard.Key, guard.Version, row.Version, ErrUnknown)
}
