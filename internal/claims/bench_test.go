package claims

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkAcquire measures the wait for a claim, and the messages and body
// bytes per claim with its outcome, in a data centre of three entries that
// share this process. Heartbeats count too.
func BenchmarkAcquire(b *testing.B) {
	for _, bench := range []struct {
		name    string
		callers int
	}{{"callers1", 1}, {"callers64", 64}} {
		b.Run(bench.name, func(b *testing.B) {
			n := newNetwork()
			rts := n.startThreeEntries(b)
			n.mu.Lock()
			n.sent, n.bytes = 0, 0
			n.mu.Unlock()
			var mu sync.Mutex
			var waits []time.Duration
			var wg sync.WaitGroup
			b.ResetTimer()
			for i := range bench.callers {
				wg.Go(func() {
					for range (b.N + bench.callers - 1 - i) / bench.callers {
						k := newKey(b)
						began := time.Now()
						c, err := rts[0].Acquire(b.Context(), k, 1)
						took := time.Since(began)
						if err != nil || !c.Granted {
							b.Errorf("not granted: %v", err)
							return
						}
						rts[0].Finish(k, answer("a"))
						mu.Lock()
						waits = append(waits, took)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			time.Sleep(2 * maxLazyDelay)
			n.mu.Lock()
			defer n.mu.Unlock()
			slices.Sort(waits)
			b.ReportMetric(float64(waits[len(waits)/2].Nanoseconds())/1e3, "p50_us")
			b.ReportMetric(float64(waits[len(waits)*99/100].Nanoseconds())/1e3, "p99_us")
			b.ReportMetric(float64(n.sent)/float64(len(waits)), "msgs/op")
			b.ReportMetric(float64(n.bytes)/float64(len(waits)), "bytes/op")
		})
	}
}
