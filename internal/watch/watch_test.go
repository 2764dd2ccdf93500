package watch

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func values(t *Table) map[string]string {
	got := map[string]string{}
	for k, r := range t.Rows() {
		got[k] = string(r.Value)
	}
	return got
}

func TestRemovedRowIsKeptForKeepRemoved(t *testing.T) {
	table := NewTable()
	table.Reset(0, []Row{{Key: "a", Value: []byte("1"), Version: 1}, {Key: "b", Value: []byte("1"), Version: 2}})
	table.Apply(time.Second, []Row{{Key: "a", Version: 3, Removed: true}})
	assert.Assert(t, !table.Sweep(2*time.Second, 2*time.Second))
	assert.Equal(t, len(values(table)), 2)
	assert.Assert(t, table.Sweep(3*time.Second, 2*time.Second))
	assert.DeepEqual(t, values(table), map[string]string{"b": "1"})
}

func TestRowThatReturnsIsNotSwept(t *testing.T) {
	table := NewTable()
	table.Reset(0, []Row{{Key: "a", Value: []byte("1"), Version: 1}})
	table.Reset(time.Second, nil)
	table.Apply(2*time.Second, []Row{{Key: "a", Value: []byte("2"), Version: 5}})
	assert.Assert(t, !table.Sweep(time.Minute, time.Second))
	assert.DeepEqual(t, values(table), map[string]string{"a": "2"})
}

func TestOlderVersionOfRowIsIgnored(t *testing.T) {
	table := NewTable()
	table.Apply(0, []Row{{Key: "a", Value: []byte("new"), Version: 7}})
	table.Apply(0, []Row{{Key: "a", Value: []byte("old"), Version: 6}, {Key: "a", Version: 5, Removed: true}})
	assert.Assert(t, !table.Sweep(time.Hour, 0))
	assert.DeepEqual(t, values(table), map[string]string{"a": "new"})
}

// scriptedSource is a source that returns a list of answers in turn, and an error
// after the last.
type scriptedSource struct {
	calls   []string
	answers []func() ([]Row, uint64, error)
}

func (s *scriptedSource) next(call string) ([]Row, uint64, error) {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		return nil, 0, errors.New("no answers left")
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a()
}

func (s *scriptedSource) Snapshot(context.Context) ([]Row, uint64, error) { return s.next("snapshot") }
func (s *scriptedSource) Changes(_ context.Context, after uint64, _ time.Duration) ([]Row, uint64, error) {
	return s.next("changes")
}

func TestFollowReadsSnapshotAfterHistoryIsGone(t *testing.T) {
	answer := func(v string, version uint64, err error) func() ([]Row, uint64, error) {
		return func() ([]Row, uint64, error) {
			if err != nil {
				return nil, 0, err
			}
			return []Row{{Key: "a", Value: []byte(v), Version: version}}, version, nil
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scriptedSource{answers: []func() ([]Row, uint64, error){
		answer("1", 1, nil), answer("", 0, ErrHistoryGone), answer("", 0, errors.New("down")), answer("3", 3, nil), answer("4", 4, nil),
	}}
	var seen []string
	Follow(ctx, s, Options{Name: "t", Log: slog.New(slog.NewTextHandler(io.Discard, nil))}, func(got map[string]Row, _ bool, _ time.Time) {
		seen = append(seen, string(got["a"].Value))
		if len(seen) == 3 {
			cancel()
		}
	})
	assert.DeepEqual(t, seen, []string{"1", "3", "4"})
	assert.DeepEqual(t, s.calls, []string{"snapshot", "changes", "snapshot", "snapshot", "changes"})
}

// A table whose rows change often was read after a long pause by its changes: more than the
// store returns at a time, so that the reader fell behind and used targets that had left.
func TestFollowReadsSnapshotAfterLongPause(t *testing.T) {
	for _, c := range []struct {
		resnapshotAfter time.Duration
		calls           []string
	}{
		{0, []string{"snapshot", "changes", "changes"}},
		{time.Millisecond, []string{"snapshot", "snapshot", "snapshot"}},
		{time.Hour, []string{"snapshot", "changes", "changes"}},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s := &scriptedSource{}
		for v := range uint64(3) {
			s.answers = append(s.answers, func() ([]Row, uint64, error) { return nil, v, nil })
		}
		reads := 0
		o := Options{Name: "t", Pause: Every(5 * time.Millisecond), ResnapshotAfter: c.resnapshotAfter, Log: slog.New(slog.DiscardHandler)}
		Follow(ctx, s, o, func(map[string]Row, bool, time.Time) {
			if reads++; reads == 3 {
				cancel()
			}
		})
		assert.DeepEqual(t, s.calls, c.calls)
	}
}

func TestHurryEndsThePause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hurry := make(chan struct{}, 1)
	var mu sync.Mutex // guards pause
	pause := time.Hour
	s := &scriptedSource{}
	for v := range uint64(2) {
		s.answers = append(s.answers, func() ([]Row, uint64, error) { return nil, v, nil })
	}
	o := Options{Name: "t", Pause: func() time.Duration { mu.Lock(); defer mu.Unlock(); return pause }, Hurry: hurry, Log: slog.New(slog.DiscardHandler)}
	reads := 0
	Follow(ctx, s, o, func(map[string]Row, bool, time.Time) {
		if reads++; reads == 2 {
			cancel()
			return
		}
		hurry <- struct{}{}
		time.AfterFunc(10*time.Millisecond, func() {
			mu.Lock()
			defer mu.Unlock()
			pause = 0
			hurry <- struct{}{}
		})
	})
	assert.Equal(t, len(s.calls), 2)
}
