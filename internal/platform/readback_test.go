package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/platform"
	"currantstall/platform/platformd"
)

// Deliveries of a commit besides those of platformd.
const (
	unavailable       = platformd.FirstCustomDelivery + iota
	rivalCommitsFirst // another writer commits first
)

var deliveries = []platformd.Delivery{
	platformd.Delivered, platformd.ResponseLost, platformd.RequestLost, platformd.RequestDelayed, unavailable, rivalCommitsFirst,
}

// scriptedTable applies the next delivery of its script to each commit.
type scriptedTable struct {
	*platformd.LossyStore
	script []platformd.Delivery
}

func put(key, value string) platform.Txn {
	return platform.Txn{Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}

func (s *scriptedTable) Commit(ctx context.Context, txn platform.Txn) error {
	delivery := platformd.Delivered
	if len(s.script) > 0 {
		delivery, s.script = s.script[0], s.script[1:]
	}
	switch delivery {
	case unavailable:
		return platform.ErrUnavailable
	case rivalCommitsFirst:
		_ = s.Store.Commit(ctx, put(guardKey, "other"))
		delivery = platformd.Delivered
	}
	return s.CommitWith(ctx, txn, delivery)
}

const (
	guardKey = "guard"
	markKey  = "mark"
)

// TestCommitWithReadBackReportsTrueEffect checks that the result of
// CommitWithReadBack is true, whatever happens to the attempts at the
// transaction, also if one is delivered after it returned.
func TestCommitWithReadBackReportsTrueEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := platformd.NewStore()
		store.SetFaults(platformd.Faults{})
		assert.NilError(t, store.Commit(context.Background(), put(guardKey, "before")))
		script := rapid.SliceOfN(rapid.SampledFrom(deliveries), 0, 4).Draw(t, "script")
		table := &scriptedTable{LossyStore: &platformd.LossyStore{Store: store}, script: script}
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: guardKey, Version: 1}},
			Puts:       []platform.Put{{Key: guardKey, Value: []byte("mine")}, {Key: markKey, Value: []byte("mine")}},
		}
		effect := func(row platform.Row) platform.Effect {
			if string(row.Value) == "mine" {
				return platform.EffectApplied
			}
			if row.Version == 2 {
				return platform.EffectNotApplied
			}
			return platform.EffectUnknown
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()

		err := platform.CommitWithReadBack(ctx, table, txn, effect)
		table.DeliverDelayed()

		mark, getErr := store.Get(ctx, markKey)
		applied := getErr == nil
		switch {
		case err == nil:
			assert.Assert(t, applied && string(mark.Value) == "mine")
			assert.Equal(t, store.Stats().Writes[markKey], int64(1), "written more than once")
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
			assert.Assert(t, !applied, "took effect although the result is %v", err)
		default:
			assert.ErrorIs(t, err, platform.ErrUnknown)
			row, rowErr := store.Get(ctx, guardKey)
			assert.NilError(t, rowErr)
			assert.Assert(t, row.Version > 2, "returned ErrUnknown although the row shows the result")
		}
	})
}
