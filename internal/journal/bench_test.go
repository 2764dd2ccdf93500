package journal

import (
	"context"
	"currantstall/platform/store"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"currantstall/internal/key"
	"currantstall/internal/platform"
	"currantstall/platform/platformd"
)

const benchTime = 5 * time.Second

// BenchmarkTableWrites records outcomes at a steady rate at 7 entries in three
// data centres for 5 s, against the platform stand-in over HTTP with its rate
// limits. Run it with -benchtime 1x.
func BenchmarkTableWrites(b *testing.B) {
	for _, interval := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, rate := range []int{100, 1000, 5000} {
			b.Run(fmt.Sprintf("interval=%v/outcomes_per_s=%d", interval, rate), func(b *testing.B) {
				for range b.N {
					benchTableWrites(b, rate, interval)
				}
			})
		}
	}
}

func benchTableWrites(b *testing.B, rate int, interval time.Duration) {
	server, err := platformd.Start("")
	assert.NilError(b, err)
	defer server.Close()
	dcs := []string{"rennes", "rennes", "rennes", "quimper", "quimper", "vannes", "vannes"}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var journals []*Journal
	for i, dc := range dcs {
		client, err := store.Connect(server.URL(), platform.Config{})
		assert.NilError(b, err)
		defer client.Close()
		j := New(Config{
			Platform: client, DC: dc, Writer: fmt.Sprint("vm-", i), Interval: interval,
			Entries: func() int { return len(dcs) },
		})
		journals = append(journals, j)
		wg.Go(func() { j.Run(ctx) })
	}
	maxLag := recordAt(b, rate, dcs, journals)
	stats := server.Store.Stats()
	cancel()
	wg.Wait()
	for _, j := range journals {
		assert.NilError(b, j.Flush(context.Background()))
	}
	rows, err := server.Store.Scan(context.Background(), rowPrefix, "", platform.MaxScanRows)
	assert.NilError(b, err)
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	b.ReportMetric(float64(stats.TotalWrites())/benchTime.Seconds(), "writes/s")
	b.ReportMetric(float64(stats.Conflicts)/benchTime.Seconds(), "conflicts/s")
	b.ReportMetric(float64(stats.TotalReads())/benchTime.Seconds(), "reads/s")
	b.ReportMetric(float64(bytes)/float64(rate)/benchTime.Seconds(), "B/outcome")
	b.ReportMetric(float64(maxLag.Milliseconds()), "max_lag_ms")
	b.ReportMetric(float64(server.Store.Stats().RateLimited), "rate_limited")
}

// recordAt records outcomes at the rate for benchTime and returns the longest lag
// seen.
func recordAt(b *testing.B, rate int, dcs []string, journals []*Journal) time.Duration {
	const tick = 10 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var maxLag time.Duration
	start := time.Now()
	for recorded := 0; recorded < rate*int(benchTime.Seconds()); {
		<-ticker.C
		due := int(time.Since(start).Seconds() * float64(rate))
		for ; recorded < min(due, rate*int(benchTime.Seconds())); recorded++ {
			i := recorded % len(journals)
			rec := completed(newKey(b, dcs[i]))
			rec.Kind, rec.Team, rec.Digest = "lot-reservation", "upholsterers", 0x9e3779b97f4a7c15
			journals[i].Record(rec)
			_, age := journals[i].Lag()
			maxLag = max(maxLag, age)
		}
	}
	return maxLag
}

// BenchmarkRecord measures the cost that Journal.Record adds to each answer.
func BenchmarkRecord(b *testing.B) {
	j := New(Config{Platform: newStore(), DC: "rennes", MaxPending: 1 << 30})
	keys := make([]key.Key, b.N)
	for i := range keys {
		keys[i] = newKey(b, "rennes")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, k := range keys {
		j.Record(completed(k))
	}
}

// BenchmarkLookup looks up a key of the last minute in a log of 10,000 batches
// of 100 records, one batch a second.
func BenchmarkLookup(b *testing.B) {
	ctx := context.Background()
	store := newStore()
	const batches = 10_000
	now := time.Now().Add(-batches * time.Second)
	j := New(Config{Platform: store, DC: "rennes", Now: func() time.Time { return now }})
	var last key.Key
	for range batches {
		for range 100 {
			last = newKey(b, "rennes")
			j.Record(completed(last))
		}
		assert.NilError(b, j.Flush(ctx))
		now = now.Add(time.Second)
	}
	before := store.Stats().TotalReads()
	b.ResetTimer()
	for range b.N {
		_, found, err := j.Lookup(ctx, last)
		assert.NilError(b, err)
		assert.Assert(b, found)
	}
	b.ReportMetric(float64(store.Stats().TotalReads()-before)/float64(b.N), "reads/op")
}

// BenchmarkPendingMemory measures the heap use of 100,000 pending records, as in
// an outage of the platform. Run it with -benchtime 1x.
func BenchmarkPendingMemory(b *testing.B) {
	for range b.N {
		before := heapBytes()
		j := New(Config{Platform: newStore(), DC: "rennes"})
		for range DefaultMaxPending {
			rec := completed(newKey(b, "rennes"))
			rec.Kind, rec.Team = "lot-reservation", "upholsterers"
			assert.Assert(b, j.Record(rec))
		}
		b.ReportMetric(float64(heapBytes()-before)/DefaultMaxPending, "B/pending")
		runtime.KeepAlive(j)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
