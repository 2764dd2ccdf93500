package estimate

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"currantstall/internal/structs"
)

// TestSizeOutweighsWrongDeclaration checks that reports outweigh a declaration
// that is wrong by up to a factor of 10 either way. One that is further off
// still affects the result.
func TestSizeOutweighsWrongDeclaration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		real := structs.Resources{
			MilliCPU: int64(rapid.IntRange(100, 16_000).Draw(t, "milli")),
			MemoryMB: int64(rapid.IntRange(16, 65_536).Draw(t, "MB")),
		}
		factor := rapid.Float64Range(0.11, 9).Draw(t, "declared over real")
		declared := structs.Resources{
			MilliCPU:     int64(math.Ceil(float64(real.MilliCPU) * factor)),
			MemoryMB:     int64(math.Ceil(float64(real.MemoryMB) * factor)),
			Accelerators: 1,
		}
		var s Size
		assert.Equal(t, s.Needs(declared), declared)
		for range 20 {
			s.Observe(real)
		}

		got := s.Needs(declared)

		assert.Assert(t, got.Accelerators == 1)
		for _, ratio := range []float64{
			float64(got.MilliCPU) / float64(real.MilliCPU),
			float64(got.MemoryMB) / float64(real.MemoryMB),
		} {
			assert.Assert(t, ratio > 0.85 && ratio < 1.2, "%+v learned as %+v", real, got)
		}
		huge := s.Needs(structs.Resources{MilliCPU: 1000 * real.MilliCPU})
		assert.Assert(t, huge.MilliCPU >= 100*real.MilliCPU)
	})
}
