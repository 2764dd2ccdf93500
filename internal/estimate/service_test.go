package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 5, 1000) }

// TestServiceTimeOutweighsWrongDeclaration declares a run time that is wrong by
// up to a factor of 10 either way. 100 observed run times must outweigh it,
// although up to a quarter are instant failures and up to a fifth come from a
// straggling target.
func TestServiceTimeOutweighsWrongDeclaration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		factor := rapid.Float64Range(0.1, 10).Draw(t, "declared over real")
		failing := rapid.IntRange(0, 25).Draw(t, "failing %")
		straggling := rapid.IntRange(0, 20).Draw(t, "straggling %")
		s := NewServiceTime(time.Duration(float64(real) * factor))
		slowCount, failedCount := 0, 0
		for i := range 100 {
			elapsed, ok := real, true
			switch {
			case (i+1)*failing/100 > failedCount:
				elapsed, ok, failedCount = time.Microsecond, false, failedCount+1
			case (i+1)*straggling/100 > slowCount:
				elapsed, slowCount = 20*real, slowCount+1
			}
			s.Observe(elapsed, ok)
		}

		median := float64(s.Median()) / float64(real)
		assert.Assert(t, median > 0.8 && median < 1.25, "median %v of %v", s.Median(), real)
		assert.Assert(t, s.Low() <= s.Median() && s.Median() <= s.High())
		hedge := float64(s.HedgeDelay()) / float64(real)
		assert.Assert(t, hedge > 0.8 && hedge < 5, "hedge delay %v of %v", s.HedgeDelay(), real)
		if failing == 0 && straggling == 0 {
			meanSlotTime := float64(s.MeanSlotTime()) / float64(real)
			assert.Assert(t, meanSlotTime > 0.7 && meanSlotTime < 1.3, "hold %v of %v", s.MeanSlotTime(), real)
		}
	})
}

// TestServiceTimeFollowsChange checks that the estimates follow a kind whose
// run time changes.
func TestServiceTimeFollowsChange(t *testing.T) {
	s := NewServiceTime(time.Second)
	for range 5000 {
		s.Observe(time.Second, true)
	}
	for range 1000 {
		s.Observe(50*time.Millisecond, true)
	}
	assert.Assert(t, s.Median() < 60*time.Millisecond, "median %v", s.Median())
	assert.Assert(t, s.MeanSlotTime() < 60*time.Millisecond, "hold %v", s.MeanSlotTime())
}

func BenchmarkObserve(b *testing.B) {
	s := NewServiceTime(time.Second)
	b.ReportAllocs()
	for i := range b.N {
		s.Observe(time.Duration(i%1000)*time.Millisecond, true)
		_ = s.High()
	}
}
