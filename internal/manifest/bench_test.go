package manifest

import (
	"context"
	"currantstall/platform/store"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/platform"
	"currantstall/internal/wire"
	"currantstall/platform/platformd"
)

var benchSections = []int{10, 100, 1000, 10_000}

// countingPlatform counts the calls of a platform, and the bytes of the keys and
// values that it reads and writes.
type countingPlatform struct {
	platform.Platform
	calls, bytes int
}

func (c *countingPlatform) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := c.Platform.Get(ctx, key)
	c.count(len(key) + len(row.Value))
	return row, err
}

func (c *countingPlatform) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := c.Platform.Scan(ctx, prefix, after, limit)
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
	}
	c.count(n)
	return rows, err
}

func (c *countingPlatform) Commit(ctx context.Context, txn platform.Txn) error {
	n := 0
	for _, p := range txn.Puts {
		n += len(p.Key) + len(p.Value)
	}
	c.count(n)
	return c.Platform.Commit(ctx, txn)
}

func (c *countingPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	c.count(len(data))
	return c.Platform.PutObject(ctx, name, data)
}

func (c *countingPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := c.Platform.GetObject(ctx, name)
	c.count(len(data))
	return data, err
}

func (c *countingPlatform) count(n int) {
	c.calls++
	c.bytes += n
}

func (c *countingPlatform) report(b *testing.B) {
	b.ReportMetric(float64(c.calls)/float64(b.N), "calls/op")
	b.ReportMetric(float64(c.bytes)/float64(b.N), "B_moved/op")
}

// benchStore returns a store over HTTP, without rate limits, that holds a manifest
// of n sections, with its counting platform and the manifest.
func benchStore(b *testing.B, n int) (*Store, *countingPlatform, *Manifest) {
	return benchStoreWithBudget(b, n, 1e9)
}

// benchStoreWithBudget is benchStore with a write budget.
func benchStoreWithBudget(b *testing.B, n int, writesPerSecond float64) (*Store, *countingPlatform, *Manifest) {
	server, err := platformd.Start("")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = server.Close() })
	server.Store.SetFaults(platformd.Faults{})
	client, err := store.Connect(server.URL(), platform.Config{WritesPerSecond: writesPerSecond})
	assert.NilError(b, err)
	b.Cleanup(client.Close)
	counting := &countingPlatform{Platform: client}
	s := NewStore(counting)
	u, err := s.Apply(context.Background(), "op", 0, manyTeams(n-2, 1))
	assert.NilError(b, err)
	*counting = countingPlatform{Platform: client}
	b.ResetTimer()
	return s, counting, u.Manifest
}

// eachSize runs f for each number of sections in benchSections.
func eachSize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range benchSections {
		b.Run(fmt.Sprintf("sections=%d", n), func(b *testing.B) { f(b, n) })
	}
}

// BenchmarkApplyAll applies a manifest in which every team has changed.
func BenchmarkApplyAll(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		s, counting, m := benchStore(b, n)
		for i := range b.N {
			u, err := s.Apply(context.Background(), "op", m.Version, manyTeams(n-2, float64(i+2)))
			assert.NilError(b, err)
			m = u.Manifest
		}
		counting.report(b)
	})
}

// BenchmarkApplyOne applies a change of one section.
func BenchmarkApplyOne(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		s, counting, m := benchStore(b, n)
		for i := range b.N {
			next := m.withSections(0, []Section{teamSection(Team{Name: "team-00001", Weight: float64(i + 2)})})
			u, err := s.Apply(context.Background(), "op", m.Version, next)
			assert.NilError(b, err)
			m = u.Manifest
		}
		counting.report(b)
	})
}

// BenchmarkLoad reads the whole manifest.
func BenchmarkLoad(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		s, counting, _ := benchStore(b, n)
		for range b.N {
			_, err := s.Load(context.Background())
			assert.NilError(b, err)
		}
		counting.report(b)
	})
}

// BenchmarkLoadOneChange reads a newer version with one changed section.
func BenchmarkLoadOneChange(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		s, counting, old := benchStore(b, n)
		next := old.withSections(0, []Section{teamSection(Team{Name: "team-00001", Weight: 2})})
		_, err := s.Apply(context.Background(), "op", old.Version, next)
		assert.NilError(b, err)
		counting.calls, counting.bytes = 0, 0
		b.ResetTimer()
		for range b.N {
			u, err := s.LoadSince(context.Background(), old)
			assert.NilError(b, err)
			assert.Equal(b, len(u.Sections), 1)
		}
		counting.report(b)
	})
}

// BenchmarkPoll looks for a newer version when there is none.
func BenchmarkPoll(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		s, counting, m := benchStore(b, n)
		for range b.N {
			_, err := s.LoadSince(context.Background(), m)
			assert.NilError(b, err)
		}
		counting.report(b)
	})
}

// BenchmarkPushOneChange measures the receipt of a push with one section.
func BenchmarkPushOneChange(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		m := manyTeams(n-2, 1)
		m.Version = 1
		msg, err := wire.NewMessage(wire.ManifestNew, NewBody{Version: 2, From: 1,
			Sections: []Section{teamSection(Team{Name: "team-00001", Weight: 2})}})
		assert.NilError(b, err)
		b.ResetTimer()
		for range b.N {
			r := NewRollout(RolloutConfig{})
			r.Adopt(m)
			assert.NilError(b, r.Handle("peer", msg))
		}
		b.ReportMetric(float64(len(msg.Body)), "B_message")
	})
}

// BenchmarkApplyWithinBudget changes some of 1,000 sections at an entry with a
// budget of 21 writes per second. Run it with -benchtime 3x.
func BenchmarkApplyWithinBudget(b *testing.B) {
	for _, changed := range []int{1, 16, 32, 64} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			s, counting, m := benchStoreWithBudget(b, 1000, 21)
			for i := range b.N {
				next := m.withSections(0, manyChanges(changed, float64(i+2)))
				u, err := s.Apply(context.Background(), "op", m.Version, next)
				assert.NilError(b, err)
				m = u.Manifest
			}
			counting.report(b)
		})
	}
}

// manyChanges returns n changed team sections.
func manyChanges(n int, weight float64) []Section {
	var sections []Section
	for i := range n {
		sections = append(sections, teamSection(Team{Name: fmt.Sprintf("team-%05d", i), Weight: weight}))
	}
	return sections
}
