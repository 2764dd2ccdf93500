package estimate

import "time"

const (
	// declaredWeight is what a declared value counts, in observations.
	declaredWeight = 2
	// minMeanWeight is the part of a new observation in the running mean.
	minMeanWeight = 1.0 / 64
	// hedgeQuantile is where a second attempt starts to pay.
	hedgeQuantile = 0.95
	// highQuantile is what hardly any task exceeds.
	highQuantile = 0.98
	// maxMedianMultiple bounds both in medians, so that a share of stragglers does
	// not hide itself.
	maxMedianMultiple = 4
	// defaultServiceTime stands for a run time that was not declared.
	defaultServiceTime = 100 * time.Millisecond
)

// ServiceTime learns the run time of one kind's tasks. The zero value is not
// ready; use NewService.
type ServiceTime struct {
	hist         histogram
	observed     int
	meanSlotTime float64 // mean time that a task holds its slot, ns
	p10          time.Duration
	p50          time.Duration
	p95          time.Duration
	p98          time.Duration
}

// NewServiceTime returns a Service that knows the declared run time; 0 stands for
// 100 ms.
func NewServiceTime(declared time.Duration) *ServiceTime {
	if declared <= 0 {
		declared = defaultServiceTime
	}
	s := &ServiceTime{meanSlotTime: float64(declared)}
	s.hist.add(micros(declared), declaredWeight)
	return s
}

// Observe adds the run time of one task. A failed one counts for Hold only: a
// target that fails at once must not make the kind look fast.
func (s *ServiceTime) Observe(elapsed time.Duration, ok bool) {
	elapsed = max(elapsed, time.Microsecond)
	s.observed++
	weight := max(minMeanWeight, 1/float64(s.observed+declaredWeight))
	s.meanSlotTime += weight * (float64(elapsed) - s.meanSlotTime)
	if ok {
		s.hist.add(micros(elapsed), 1)
	}
}

// MeanSlotTime returns the mean time that a task keeps its slot, failed ones included:
// slots divided by it is the rate at which tasks can start.
func (s *ServiceTime) MeanSlotTime() time.Duration { return time.Duration(s.meanSlotTime) }

// Low returns the 10% quantile: a task is hardly ever faster.
func (s *ServiceTime) Low() time.Duration { s.refresh(); return s.p10 }

// Median returns the 50% quantile.
func (s *ServiceTime) Median() time.Duration { s.refresh(); return s.p50 }

// High returns the 98% quantile, but not above four medians: hardly any task
// on a sound target is slower.
func (s *ServiceTime) High() time.Duration {
	s.refresh()
	return min(s.p98, maxMedianMultiple*s.p50)
}

// HedgeDelay returns the time after which a task is late for its kind: the
// 95% quantile, but not above four medians.
func (s *ServiceTime) HedgeDelay() time.Duration {
	s.refresh()
	return min(s.p95, maxMedianMultiple*s.p50)
}

// Quantile returns the run time that the part p (0 to 1) of the tasks does not
// exceed, within 9%.
func (s *ServiceTime) Quantile(p float64) time.Duration {
	return time.Duration(s.hist.quantile(p) * float64(time.Microsecond))
}

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
