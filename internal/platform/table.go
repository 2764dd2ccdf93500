package platform

import (
	"context"
	"errors"
	"fmt"
)

// GetByScan implements Table.Get by Table.Scan.
func GetByScan(ctx context.Context, t Table, key string) (Row, error) {
	rows, err := t.Scan(ctx, key, "", 1)
	if err != nil {
		return Row{}, err
	}
	if len(rows) == 0 || rows[0].Key != key {
		return Row{}, fmt.Errorf("row %s: %w", key, ErrNotFound)
	}
	return rows[0], nil
}

// CheckByGet implements Table.Commit for a transaction without writes, by
// Table.Get. It refuses more or fewer than one condition.
func CheckByGet(ctx context.Context, t Table, conditions []Condition) error {
	if len(conditions) != 1 {
		return fmt.Errorf("transaction without writes has %d conditions, expected 1: %w", len(conditions), ErrRejected)
	}
	want := conditions[0]
	row, err := t.Get(ctx, want.Key)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if row.Version != want.Version {
		return fmt.Errorf("row %s is at version %d, not %d: %w", want.Key, row.Version, want.Version, ErrConflict)
	}
	return nil
}
