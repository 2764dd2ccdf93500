package target

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkObserve shows that the cost of Observe does not depend on the number of
// targets: it is the same for few and for as many workers as a large site has.
func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{50, 19_000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			tr, addrs := newTestTracker(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				tr.Observe(addrs[i%n], Succeeded, 50*time.Millisecond, "unlock", testTime)
			}
		})
	}
}
