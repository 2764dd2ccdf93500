// Package load generates work for entries in an open loop: each request has an
// intended send time, independent of the outcome of earlier requests, and its
// latency counts from that time.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"currantstall/internal/structs"
)

// Arrivals selects the distribution of the times between requests.
type Arrivals string

// The distributions of arrivals.
const (
	Poisson  Arrivals = "poisson"
	Constant Arrivals = "constant"
)

// Stream is work of one kind and team that is sent at a steady rate.
type Stream struct {
	Class structs.Class
	Kind  string
	Team  string
	// Rate is the number of requests or jobs per second.
	Rate     float64
	Arrivals Arrivals
	// Tasks is the number of tasks of a job; a request has one.
	Tasks int
	// ServiceTime is the mean run time of a task. The run time of each task is
	// drawn from a log-normal distribution whose logarithm has the standard
	// deviation Spread, and is at most MaxServiceTime if that is set.
	ServiceTime    time.Duration
	Spread         float64
	MaxServiceTime time.Duration
	// Needs are the declared needs of a task, nil for those of the kind.
	Needs *structs.Resources
	// Deadline is the time from the intended send time to the deadline.
	Deadline time.Duration
	// KeyDC is the data centre for which the sender mints a key for each
	// request. If it is empty, the entry mints the key, which then needs no
	// claim.
	KeyDC string
}

// validate returns an error for the first invalid setting.
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
		return fmt.Errorf("stream of kind %q: %d tasks is out of range for the class", s.Kind, s.Tasks)
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
