package estimate

import "time"

const (
	// declaredWeight is what a declared value counts, in observations.
	declaredWeight = 2
	// meanWeight is the part of a new observation in the running mean.
	meanWeight = 1.0 / 64
	// hedgeQuantile is where a second attempt starts to pay.
	hedgeQuantile = 0.95
	// longQuantile is what hardly any task exceeds.
	longQuantile = 0.98
	// maxMedians bounds both in medians, so that a share of stragglers does
	// not hide itself.
	maxMedians = 4
	// defaultService stands for a run time that was not declared.
	defaultService = 100 * time.Millisecond
)

// Service learns the run time of one kind's tasks. The zero value is not
// ready; use NewService.
type Service struct {
	hist     histogram
	observed int
	hold     float64 // mean time that a task holds its slot, ns
	p10      time.Duration
	p50      time.Duration
	p95      time.Duration
	p98      time.Duration
}

// NewService returns a Service that knows the declared run time; 0 stands for
// 100 ms.
func NewService(declared time.Duration) *Service {
	if declared <= 0 {
		declared = defaultService
	}
	s := &Service{hold: float64(declared)}
	s.hist.add(micros(declared), declaredWeight)
	return s
}

// Observe adds the run time of one task. A failed one counts for Hold only: a
// target that fails at once must not make the kind look fast.
func (s *Service) Observe(took time.Duration, ok bool) {
	took = max(took, time.Microsecond)
	s.observed++
	weight := max(meanWeight, 1/float64(s.observed+declaredWeight))
	s.hold += weight * (float64(took) - s.hold)
	if ok {
		s.hist.add(micros(took), 1)
	}
}

// Hold returns the mean time that a task keeps its slot, failed ones included:
// slots divided by it is the rate at which tasks can start.
func (s *Service) Hold() time.Duration { return time.Duration(s.hold) }

// Low returns the 10% quantile: a task is hardly ever faster.
func (s *Service) Low() time.Duration { s.refresh(); return s.p10 }

// Median returns the 50% quantile.
func (s *Service) Median() time.Duration { s.refresh(); return s.p50 }

// High returns the 98% quantile, but not above four medians: hardly any task
// on a sound target is slower.
func (s *Service) High() time.Duration {
	s.refresh()
	return min(s.p98, maxMedians*s.p50)
}

// HedgeDelay returns the time after which a task is late for its kind: the
// 95% quantile, but not above four medians.
func (s *Service) HedgeDelay() time.Duration {
	s.refresh()
	return min(s.p95, maxMedians*s.p50)
}

// Quantile returns the run time that the part p (0 to 1) of the tasks does not
// exceed, within 9%.
func (s *Service) Quantile(p float64) time.Duration {
	return time.Duration(s.hist.quantile(p) * float64(time.Microsecond))
}

func (s *Service) refresh() {
	if !s.hist.stale {
		return
	}
	s.hist.stale = false
	s.p10 = s.Quantile(0.10)
	s.p50 = s.Quantile(0.50)
	s.p95 = s.Quantile(hedgeQuantile)
	s.p98 = s.Quantile(longQuantile)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
