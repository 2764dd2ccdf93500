package overload

import "time"

const (
	// calmPart is the part of a kind's jobs that got room of late, and were not refused, above which the kind is not
	// overloaded. Then calmFactor times the time to the latest start is the expected wait above which a job is refused
	// at once: the prediction may be wrong, and each job that is refused for that is one too many.
	calmPart   = 0.9
	calmFactor = 1.3
	// refuseFactor times the time to the latest start is the expected wait above which a job of an overloaded kind is
	// refused at once. What is waited for less than that is mostly served in time, though estimates are off and some
	// tasks run long.
	refuseFactor = 0.6
	// lowFactor replaces it for large jobs while these get more than leastPart of what their kind gets, since a small
	// job needs less room for a caller in time, and for a group of callers that gets more than its fair part.
	lowFactor = 0.1
	leastPart = 0.65
)

// Arrival is a job on which is decided when it arrives.
type Arrival struct {
	Wait  time.Duration // expected
	Slack time.Duration // to its latest start
	Class Class
	Over  bool // its group of callers gets more than its fair part
}

// Refuse reports whether the job is unlikely to start in time, and is refused at once.
func (s *Sizes) Refuse(a Arrival) bool {
	factor, mean := calmFactor, s.mean()
	switch {
	case mean > calmPart:
	case a.Over || a.Class != Usual && s.part(a.Class) > leastPart*mean:
		factor = lowFactor
	default:
		factor = refuseFactor
	}
	return float64(a.Wait) > factor*float64(a.Slack)
}
