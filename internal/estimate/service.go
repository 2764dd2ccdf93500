package estimate

import "time"

const (
	// declaredWeight is the weight of a declared value, in observations.
	declaredWeight = 2
	// minMeanWeight is the minimum weight of a new observation in the running
	// mean.
	minMeanWeight = 1.0 / 64
	// hedgeQuantile is the quantile of the run time after which a second
	// attempt is worthwhile.
	hedgeQuantile = 0.95
	// highQuantile is the quantile of the run time that hardly any task
	// exceeds.
	highQuantile = 0.98
	// maxMedianMultiple limits both quantiles to a multiple of the median;
	// otherwise frequent stragglers would raise the quantiles and so pass as
	// normal.
	maxMedianMultiple = 4
	// defaultServiceTime is used if no run time is declared.
	defaultServiceTime = 100 * time.Millisecond
)

// ServiceTime learns the run time of the tasks of one kind. The zero value
// can't be used; call NewServiceTime.
type ServiceTime struct {
	hist         histogram
	observed     int
	meanSlotTime float64 // mean time that a task occupies its slot, in ns
	p10          time.Duration
	p50          time.Duration
	p95          time.Duration
	p98          time.Duration
}

// NewServiceTime returns a ServiceTime that starts from the declared run time;
// 0 means that none is declared and selects 100 ms.
func NewServiceTime(declared time.Duration) *ServiceTime {
	if declared <= 0 {
		declared = defaultServiceTime
	}
	s := &ServiceTime{meanSlotTime: float64(declared)}
	s.hist.add(micros(declared), declaredWeight)
	return s
}

// Observe adds the run time of one task. A failed task counts only for
// MeanSlotTime: a target that fails at once must not make the kind look fast.
func (s *ServiceTime) Observe(elapsed time.Duration, ok bool) {
	elapsed = max(elapsed, time.Microsecond)
	s.observed++
	weight := max(minMeanWeight, 1/float64(s.observed+declaredWeight))
	s.meanSlotTime += weight * (float64(elapsed) - s.meanSlotTime)
	if ok {
		s.hist.add(micros(elapsed), 1)
	}
}

// MeanSlotTime returns the mean time that a task occupies its slot, failed
// tasks included. The number of slots divided by it is the rate at which tasks
// can start.
func (s *ServiceTime) MeanSlotTime() time.Duration { return time.Duration(s.meanSlotTime) }

// Low returns the 10% quantile: hardly any task is faster.
func (s *ServiceTime) Low() time.Duration { s.refresh(); return s.p10 }

// Median returns the 50% quantile.
func (s *ServiceTime) Median() time.Duration { s.refresh(); return s.p50 }

// High returns the 98% quantile, at most four times the median: hardly any task
// on a healthy target is slower.
func (s *ServiceTime) High() time.Duration {
	s.refresh()
	return min(s.p98, maxMedianMultiple*s.p50)
}

// HedgeDelay returns the time after which a task is slow for its kind: the 95%
// quantile, at most four times the median.
func (s *ServiceTime) HedgeDelay() time.Duration {
	s.refresh()
	return min(s.p95, maxMedianMultiple*s.p50)
}

// Quantile returns the run time that the fraction p (0 to 1) of the tasks does
// not exceed, with an error of at most 9%.
func (s *ServiceTime) Quantile(p float64) time.Duration {
	return time.Duration(s.hist.quantile(p) * float64(time.Microsecond))
}

// refresh recomputes the cached quantiles if that is due.
func (s *ServiceTime) refresh() {
	if !s.hist.refreshDue {
		return
	}
	s.hist.refreshDue = false
	s.p10 = s.Quantile(0.10)
	s.p50 = s.Quantile(0.50)
	s.p95 = s.Quantile(hedgeQuantile)
	s.p98 = s.Quantile(highQuantile)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
