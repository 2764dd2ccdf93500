package target

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the delays of the responses and the drift of the clocks, a time
// converted to the target's clock is never later than the true time.
func TestClockEstimateIsNeverLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "drift")
		offset := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
		start := time.Unix(1_700_000_000, 0)
		// targetClock returns the target's true clock at a time of this process.
		targetClock := func(at time.Time) time.Duration {
			return offset + time.Duration(float64(at.Sub(start))*(1+drift))
		}
		var e clockEstimate
		now := start
		for range rapid.IntRange(1, 10).Draw(t, "answers") {
			read := now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause")))
			now = read.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			e.observe(Clock{"a", targetClock(read)}, now)
			end := now.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "lease")))
			estimated, ok := e.at(end)
			if !ok || estimated.At > targetClock(end)+time.Microsecond {
				t.Fatalf("estimate %v is later than the true clock %v", estimated.At, targetClock(end))
			}
		}
	})
}
