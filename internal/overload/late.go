package overload

import "time"

const (
	// networkMargin is the time reserved for messages between caller, entries and targets.
	networkMargin = 12 * time.Millisecond
	// lateFactor times the response time that a job aims at is the latest at which its answer is still useful.
	lateFactor = 3
	// lateShare is the part of the caller's timeout for which a late job is kept. A caller whose job is rejected
	// after that has no time left for another attempt.
	lateShare = 0.45
)

// Aim is the response time that a job aims at.
type Aim struct {
	Work    time.Duration // expected run time of its longest chain of steps
	Stretch float64       // what is added to Slack for the work, as a factor of it; at least 1
	Slack   time.Duration
	Timeout time.Duration // of its caller, from when the job was read
}

// Goal returns the response time.
func (a Aim) Goal() time.Duration {
	return time.Duration(float64(a.Work)*max(a.Stretch, 1)) + a.Slack
}

// LatestStart returns by how much later than its arrival the job can start and still meet its aim.
func (a Aim) LatestStart() time.Duration { return a.Goal() - a.Work - networkMargin }

// LatestLateStart returns by how much later than its arrival the job can start and its answer is still useful.
func (a Aim) LatestLateStart() time.Duration {
	return min(lateFactor*a.Goal()-a.Work, time.Duration(lateShare*float64(a.Timeout)))
}
