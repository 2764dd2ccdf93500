package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/platform"
	"currantstall/internal/standin/platformd"
)

// fate is what happens to one commit.
type fate int

const (
	answered fate = iota
	answerLost
	neverArrives
	arrivesLate // takes effect at a later commit or read
	refused
	overtaken // another writer commits first
)

// scriptedTable gives each commit the next fate of its script.
type scriptedTable struct {
	*platformd.Store
	script []fate
	late   []platform.Txn
}

func (s *scriptedTable) Commit(ctx context.Context, txn platform.Txn) error {
	f := answered
	if len(s.script) > 0 {
		f, s.script = s.script[0], s.script[1:]
	}
	switch f {
	case answerLost:
		_ = s.Store.Commit(ctx, txn)
		return platform.ErrUnknown
	case neverArrives:
		return platform.ErrUnknown
	case arrivesLate:
		s.late = append(s.late, txn)
		return platform.ErrUnknown
	case refused:
		return platform.ErrUnavailable
	case overtaken:
		_ = s.Store.Commit(ctx, put(guardKey, "other"))
	}
	s.deliverLate()
	return s.Store.Commit(ctx, txn)
}

func (s *scriptedTable) deliverLate() {
	for _, txn := range s.late {
		_ = s.Store.Commit(context.Background(), txn)
	}
	s.late = nil
}

const (
	guardKey = "guard"
	markKey  = "mark"
)

// TestReadBackSettlesEachWrite checks that CommitReadBack tells the truth
// whatever happens to the copies of the transaction, also to those that
// arrive after it returned.
func TestReadBackSettlesEachWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := platformd.NewStore()
		store.SetFaults(platformd.Faults{})
		assert.NilError(t, store.Commit(context.Background(), put(guardKey, "before")))
		script := rapid.SliceOfN(rapid.SampledFrom([]fate{answered, answerLost, neverArrives, arrivesLate, refused, overtaken}), 0, 4).Draw(t, "script")
		table := &scriptedTable{Store: store, script: script}
		txn := platform.Txn{
			Conditions: []platform.Condition{{Key: guardKey, Version: 1}},
			Puts:       []platform.Put{{Key: guardKey, Value: []byte("mine")}, {Key: markKey, Value: []byte("mine")}},
		}
		settle := func(row platform.Row) platform.Effect {
			if string(row.Value) == "mine" {
				return platform.EffectTook
			}
			if row.Version == 2 {
				return platform.EffectNot
			}
			return platform.EffectUnclear
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()

		err := platform.CommitReadBack(ctx, table, txn, settle)
		table.deliverLate()

		mark, getErr := store.Get(ctx, markKey)
		took := getErr == nil
		switch {
		case err == nil:
			assert.Assert(t, took && mark.Version == 1)
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnavailable):
			assert.Assert(t, !took, "took effect after %v", err)
		default:
			assert.ErrorIs(t, err, platform.ErrUnknown)
			row, rowErr := store.Get(ctx, guardKey)
			assert.NilError(t, rowErr)
			assert.Assert(t, row.Version > 2, "gave up although the row tells")
		}
	})
}
