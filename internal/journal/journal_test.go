package journal

import (
	"context"
	"currantstall/platform/store"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/internal/rapidtest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/platform/platformd"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 1, 2000) }

func newStore() *platformd.Store {
	s := platformd.NewStore()
	s.SetFaults(platformd.Faults{})
	return s
}

func newKey(t assert.TestingT, dc string) key.Key {
	k, err := key.New(dc)
	assert.NilError(t, err)
	return k
}

func completed(k key.Key) Record { return RecordOf(k, structs.Outcome{Verdict: verdict.Completed}) }

func holderLost(k key.Key) Record {
	return RecordOf(k, structs.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.HolderLost})
}

func TestReadAndLookupPageThroughLongLog(t *testing.T) {
	ctx := context.Background()
	store := newStore()
	j := New(Config{Platform: store, DC: "rennes", Writer: "vm-1"})
	other := New(Config{Platform: store, DC: "vannes", Writer: "vm-2"})
	var want []key.Key
	for range 3*maxPageRows + 5 {
		k := newKey(t, "rennes")
		want = append(want, k)
		assert.Assert(t, j.Record(completed(k)))
		assert.NilError(t, j.Flush(ctx))
	}
	last := newKey(t, "vannes")
	other.Record(completed(last))
	assert.NilError(t, other.Flush(ctx))

	page, err := New(Config{Platform: store, DC: "quimper"}).Read(ctx, "", 10_000)
	assert.NilError(t, err)
	var got []key.Key
	for _, l := range page.Lines {
		got = append(got, l.Record.Key)
	}
	assert.DeepEqual(t, got, append(want, last))

	reader := New(Config{Platform: store, DC: "rennes"})
	before := store.Stats().TotalReads()
	rec, found, err := reader.Lookup(ctx, want[150])
	assert.NilError(t, err)
	assert.Assert(t, found && rec.Verdict == verdict.Completed)
	t.Logf("one lookup in %d batches took %d reads", len(want), store.Stats().TotalReads()-before)
	_, found, err = reader.Lookup(ctx, newKey(t, "rennes"))
	assert.NilError(t, err)
	assert.Assert(t, !found)

	// A journal whose last known row is outdated appends after the last row.
	next := newKey(t, "rennes")
	reader.Record(completed(next))
	assert.NilError(t, reader.Flush(ctx))
	page, err = reader.Read(ctx, page.Next, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Lines), 1)
	assert.Equal(t, page.Lines[0].Record.Key, next)
}

func TestFirstRowSinceReadsFewRows(t *testing.T) {
	ctx := context.Background()
	store := newStore()
	now := time.Now().Add(-1000 * time.Hour)
	j := New(Config{Platform: store, DC: "rennes", Now: func() time.Time { return now }})
	for range 1000 {
		k := newKey(t, "rennes")
		j.Record(Record{Key: k, Verdict: verdict.Failed})
		assert.NilError(t, j.Flush(ctx))
		now = now.Add(time.Hour)
	}
	before := store.Stats().TotalReads()
	first, err := j.firstRowSince(ctx, "rennes", now.Add(-10*time.Hour-time.Minute).UnixMilli())
	assert.NilError(t, err)
	assert.Equal(t, first, uint64(991))
	assert.Assert(t, store.Stats().TotalReads()-before < 40)
}

func TestOutageKeepsOldestRecordsAndCountsDropped(t *testing.T) {
	ctx := context.Background()
	store := newStore()
	store.SetFaults(platformd.Faults{Down: true})
	j := New(Config{Platform: store, DC: "rennes", MaxPending: 3, Interval: time.Millisecond})
	var keys []key.Key
	for i := range 5 {
		k := newKey(t, "rennes")
		keys = append(keys, k)
		assert.Equal(t, j.Record(completed(k)), i < 3)
	}
	assert.Assert(t, j.Full(0))
	flushCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, j.Flush(flushCtx), platform.ErrUnavailable)
	n, _ := j.Lag()
	assert.Equal(t, n, 3)

	store.SetFaults(platformd.Faults{})
	assert.NilError(t, j.Flush(ctx))
	page, err := j.Read(ctx, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, page.Missing, 2)
	assert.Equal(t, len(page.Lines), 3)
	assert.Equal(t, page.Lines[0].Record.Key, keys[0])
	assert.Assert(t, j.Record(completed(keys[4])), "a dropped key can be recorded again")
}

func TestFullReservesRoomForRunningWork(t *testing.T) {
	j := New(Config{Platform: newStore(), DC: "rennes", MaxPending: 20})
	for range 10 {
		assert.Assert(t, j.Record(completed(newKey(t, "rennes"))))
	}
	assert.Assert(t, !j.Full(7), "10 pending, 7 running, 2 reserved")
	assert.Assert(t, j.Full(8))
}

func TestOldSystemClaimIsFinal(t *testing.T) {
	k := newKey(t, "rennes")
	rec := RecordOf(k, structs.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.RanElsewhere})
	assert.Equal(t, rec.System, SystemOld)
	assert.Assert(t, rec.final())
}

func TestReadRejectsMalformedPositions(t *testing.T) {
	j := New(Config{Platform: newStore(), DC: "rennes"})
	for _, text := range []string{"x", "rennes:1", "rennes:a.b", "Rennes:1.0", "rennes:1.0,", "rennes:1.-1"} {
		_, err := j.Read(context.Background(), text, 1)
		assert.Equal(t, verdict.FromError(err).Reason, verdict.BadRequest, text)
	}
	p := position{"a": {1, 2}, "b": {30, 0}}
	parsed, err := parsePosition(p.String())
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(parsed), fmt.Sprint(p))
}

// TestConcurrentUse runs writers, reads and lookups concurrently, over HTTP with
// lost responses, and checks that the account lists each key once.
func TestConcurrentUse(t *testing.T) {
	server, err := platformd.Start("")
	assert.NilError(t, err)
	defer server.Close()
	server.Store.SetFaults(platformd.Faults{LoseProbability: 0.2, Seed: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var commits, recorders sync.WaitGroup
	var journals []*Journal
	for i := range 3 {
		client, err := store.Connect(server.URL(), platform.Config{OutageThreshold: 1000})
		assert.NilError(t, err)
		defer client.Close()
		j := New(Config{Platform: client, DC: "rennes", Writer: fmt.Sprint("vm-", i), Interval: time.Millisecond})
		journals = append(journals, j)
		commits.Go(func() { j.Run(ctx) })
		recorders.Go(func() {
			for n := range 200 {
				k := newKey(t, "rennes")
				j.Record(completed(k))
				if n%50 != 0 {
					continue
				}
				_, _, err := j.Lookup(ctx, k)
				assert.Check(t, err)
				_, err = j.Read(ctx, "", 10)
				assert.Check(t, err)
			}
		})
	}
	recorders.Wait()
	for _, j := range journals {
		assert.NilError(t, j.Flush(ctx))
	}
	cancel()
	commits.Wait()
	page, err := journals[0].Read(context.Background(), "", 10_000)
	assert.NilError(t, err)
	seen := map[key.Key]bool{}
	for _, l := range page.Lines {
		seen[l.Record.Key] = true
	}
	assert.Equal(t, len(page.Lines), 600)
	assert.Equal(t, len(seen), 600)
}
