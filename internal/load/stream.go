// Package load generates work at entries in an open loop: each request has a
// time at which it is to be sent, whatever became of the ones before it, and
// its latency counts from that time.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"currantstall/internal/structs"
)

// Arrivals says how the times between requests are drawn.
type Arrivals string

// The distributions of arrivals.
const (
	Poisson  Arrivals = "poisson"
	Constant Arrivals = "constant"
)

// Stream is one sort of work that is sent at a steady rate.
type Stream struct {
	Class structs.Class
	Kind  string
	Team  string
	// Rate is the number of requests or jobs a second.
	Rate     float64
	Arrivals Arrivals
	// Tasks is the number of tasks of a job; a request has one.
	Tasks int
	// ServiceTime is the mean run time of a task. Each task is given its own
	// by a log-normal distribution, the logarithm of which has the standard
	// deviation Spread; at most MaxService.
	ServiceTime    time.Duration
	Spread         float64
	MaxServiceTime time.Duration
	// Needs of a task as declared, nil for the kind's own.
	Needs *structs.Resources
	// Deadline of a request, from its intended time.
	Deadline time.Duration
	// KeyDC is the data centre for which the sender mints a key for each
	// request; without it the entry mints one, which needs no claim.
	KeyDC string
}

// validate reports the first wrong setting.
func (s *Stream) validate() error {
	switch {
	case s.Class != structs.Request && s.Class != structs.Job:
		return fmt.Errorf("stream of kind %q has no class", s.Kind)
	case s.Kind == "":
		return fmt.Errorf("stream has no kind")
	case s.Rate <= 0:
		return fmt.Errorf("stream of kind %q: rate %g a second is not above 0", s.Kind, s.Rate)
	case s.Arrivals != Poisson && s.Arrivals != Constant:
		return fmt.Errorf("stream of kind %q: arrivals %q are neither poisson nor constant", s.Kind, s.Arrivals)
	case s.Deadline <= 0:
		return fmt.Errorf("stream of kind %q: deadline %v is not above 0", s.Kind, s.Deadline)
	case s.Tasks < 1 || s.Tasks > structs.MaxTasks || s.Class == structs.Request && s.Tasks != 1:
		return fmt.Errorf("stream of kind %q: %d tasks", s.Kind, s.Tasks)
	}
	return nil
}

// drawInterarrival draws the time to the next request.
func (s *Stream) drawInterarrival(rng *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.Rate
	if s.Arrivals == Poisson {
		mean *= rng.ExpFloat64()
	}
	return time.Duration(mean)
}

// drawServiceTimes draws the run time of each task.
func (s *Stream) drawServiceTimes(rng *rand.Rand) []time.Duration {
	times := make([]time.Duration, s.Tasks)
	for i := range times {
		t := float64(s.ServiceTime) * math.Exp(s.Spread*rng.NormFloat64()-s.Spread*s.Spread/2)
		if s.MaxServiceTime > 0 {
			t = min(t, float64(s.MaxServiceTime))
		}
		times[i] = time.Duration(t)
	}
	return times
}
