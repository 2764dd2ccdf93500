package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"currantstall/internal/manifest"
)

// team holds the weight and the quota of one team.
type team struct {
	weight        float64
	ratePerSecond float64 // over all entries, 0 for unlimited
	burst         int     // over all entries
	limiter       *rate.Limiter
}

func (t *team) configure(now time.Time, m *manifest.Team, fraction float64) {
	t.weight = m.Weight
	if t.weight <= 0 {
		t.weight = 1
	}
	t.ratePerSecond, t.burst = m.RatePerSecond, m.Burst
	t.applyFraction(now, fraction)
}

// applyFraction sets the limiter to this entry's fraction of the quota. The
// burst is at least one task, and one second of work if none is configured, so
// that a rate without a burst is usable.
func (t *team) applyFraction(now time.Time, fraction float64) {
	if t.ratePerSecond <= 0 {
		t.limiter = nil
		return
	}
	limit := rate.Limit(t.ratePerSecond * fraction)
	burst := float64(t.burst)
	if burst <= 0 {
		burst = t.ratePerSecond
	}
	localBurst := max(1, int(math.Ceil(burst*fraction)))
	if t.limiter == nil {
		t.limiter = rate.NewLimiter(limit, localBurst)
		return
	}
	t.limiter.SetLimitAt(now, limit)
	t.limiter.SetBurstAt(now, localBurst)
}

// take charges n tasks. If the quota does not allow them, it charges nothing
// and returns the wait until it will. A job larger than the burst passes once
// the bucket is full and is paid off afterwards, so that the rate holds in the
// long run and no job is too large to pass at all.
func (t *team) take(now time.Time, n int) (wait time.Duration, ok bool) {
	if t == nil || t.limiter == nil || n == 0 {
		return 0, true
	}
	burst := t.limiter.Burst()
	first := t.limiter.ReserveN(now, min(n, burst))
	if wait := first.DelayFrom(now); wait > 0 {
		first.CancelAt(now)
		return wait, false
	}
	for n -= min(n, burst); n > 0; n -= min(n, burst) {
		t.limiter.ReserveN(now, min(n, burst))
	}
	return 0, true
}
