package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantstall/internal/key"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// cluster is a set of ledgers with one view in force and a network that
// delivers at once.
type cluster struct {
	now     time.Time
	ledgers map[string]*Ledger
	view    structs.View
	msgs    int
	// replies are the replies since the last reset.
	replies []Reply
}

func newCluster(members int) *cluster {
	c := &cluster{now: time.Now(), ledgers: make(map[string]*Ledger)}
	c.view = structs.View{DC: simDC, Version: 1}
	for i := range members {
		m := structs.Member{Name: "vm" + string(rune('a'+i)), Incarnation: 1}
		c.view.Members = append(c.view.Members, m)
		c.ledgers[m.Name] = New(DefaultConfig(simDC), m)
	}
	for _, m := range c.view.Members {
		c.step(c.ledgers[m.Name], ViewLearned{View: c.view})
		c.step(c.ledgers[m.Name], ViewInForce{Version: 1})
	}
	return c
}

func (c *cluster) step(l *Ledger, e Event) {
	for _, a := range l.Step(c.now, c.now.Add(time.Hour), e) {
		switch a := a.(type) {
		case Reply:
			c.replies = append(c.replies, a)
		case Send:
			c.msgs++
			c.step(c.ledgers[a.To.Name], Received{From: *l.self, Message: a.Message})
		}
	}
}

// serve takes one key through a claim, a start and an outcome.
func (c *cluster) serve(b *testing.B, holder *Ledger, k key.Key, o structs.Outcome) {
	c.replies = c.replies[:0]
	c.step(holder, Acquire{CallID: 1, Key: k, Digest: 1})
	if _, err := holder.MayStart(c.now, c.now.Add(time.Hour), k); err != nil {
		b.Fatal(err)
	}
	c.step(holder, Finish{Key: k, Outcome: o})
}

func benchKeys(b *testing.B, n int) []key.Key {
	ks := make([]key.Key, n)
	for i := range ks {
		k, err := key.New(simDC)
		if err != nil {
			b.Fatal(err)
		}
		ks[i] = k
	}
	return ks
}

// BenchmarkClaim measures the processor time of a claim with its outcome,
// summed over all members.
func BenchmarkClaim(b *testing.B) {
	for _, members := range []int{3, 7, 30} {
		b.Run(string(rune('0'+members/10))+string(rune('0'+members%10)), func(b *testing.B) {
			c := newCluster(members)
			holder := c.ledgers["vma"]
			ks := benchKeys(b, b.N)
			o := structs.Outcome{Verdict: verdict.Completed}
			c.msgs = 0
			b.ReportAllocs()
			b.ResetTimer()
			for _, k := range ks {
				c.now = c.now.Add(100 * time.Microsecond)
				c.serve(b, holder, k, o)
			}
			b.ReportMetric(float64(c.msgs)/float64(b.N), "msgs/op")
		})
	}
}

// BenchmarkKeptKey measures the memory of a kept key, summed over both of its
// records, with an answer of 100 bytes and without, by the number of keys.
func BenchmarkKeptKey(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		for _, size := range []int{0, 100} {
			b.Run(fmt.Sprintf("keys%d/answer%d", n, size), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(keptKey(b, n, size), "bytes/key")
				}
			})
		}
	}
}

// keptKey returns the bytes of memory per key of n keys with answers of the
// given size.
func keptKey(b *testing.B, n, size int) float64 {
	c := newCluster(7)
	ks := benchKeys(b, n)
	before := heapBytes()
	for _, k := range ks {
		c.now = c.now.Add(10 * time.Microsecond)
		o := structs.Outcome{Verdict: verdict.Completed}
		if size > 0 {
			o.Answers = [][]byte{make([]byte, size)}
		}
		c.serve(b, c.ledgers["vma"], k, o)
	}
	used := heapBytes() - before
	runtime.KeepAlive(c)
	runtime.KeepAlive(ks)
	return float64(used) / float64(n)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkNewView measures the time in which a member with 100,000 keys
// processes a view without one of seven members, until it is in force.
func BenchmarkNewView(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		b.StopTimer()
		c := newCluster(7)
		for _, k := range benchKeys(b, n) {
			c.serve(b, c.ledgers["vma"], k, structs.Outcome{Verdict: verdict.Completed})
		}
		next := c.view
		next.Version = 2
		next.Members = next.Members[:6]
		l := c.ledgers["vma"]
		b.StartTimer()
		l.Step(c.now, c.now, ViewLearned{View: next})
		l.Step(c.now, c.now, ViewInForce{Version: 2})
	}
}
