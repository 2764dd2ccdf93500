package node

import (
	"slices"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"currantstall/internal/fleet"
	"currantstall/internal/metrics"
	"currantstall/internal/overload"
	"currantstall/internal/verdict"
)

// counts holds the metrics of a node.
type counts struct {
	m         *metrics.Metrics
	starts    tally.Counter
	abandoned tally.Counter
	late      tally.Counter
	otherPool tally.Counter
	// homeClaims counts the jobs that did not go to their home pool, homeUnasked those of which no leader of it
	// could be told in time, homeWaits those that waited for the runs of an earlier attempt, and homeReturned
	// those that this entry gave up since their callers were back elsewhere.
	homeClaims, homeUnasked, homeWaits, homeReturned tally.Counter

	panics   tally.Counter
	invalid  tally.Counter
	replaced tally.Counter // members whose address another process has
	// leaderless is the time for which a pool had no leader in reach, and acquire the time from the start of a
	// leadership until all listed targets are owned.
	leaderless, acquire tally.Histogram

	latency   tally.Histogram
	queueWait tally.Histogram
	// requestWait is the time from the arrival of a job's request until the loop handles it.
	requestWait tally.Histogram
	answers     map[string]tally.Counter
	// slowTargets, suspectTargets and ejectedTargets are those of the pools that this entry leads.
	slowTargets, suspectTargets, ejectedTargets tally.Gauge
}

// latencyBuckets are the buckets of the time from a job's arrival to its answer.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 1.5, 16)

// queueWaitBuckets are the buckets of the time that events wait for the loop.
var queueWaitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 11)

func newCounts(m *metrics.Metrics) *counts {
	s := m.Scope().SubScope("node")
	c := &counts{
		m: m, starts: s.Counter("starts"), abandoned: s.Counter("abandoned"), late: s.Counter("late_outcomes"), otherPool: s.Counter("submitted_to_other_pool"),
		homeClaims: s.Counter("home_claims"), homeUnasked: s.Counter("home_not_asked"), homeWaits: s.Counter("home_waits"), homeReturned: s.Counter("home_returned"),
		panics: s.Counter("contained_panics"), invalid: s.Counter("invalid_messages"), replaced: s.Counter("members_replaced"),
		leaderless: s.Histogram("leaderless_seconds", latencyBuckets), acquire: s.Histogram("acquire_seconds", latencyBuckets),
		latency: s.Histogram("answer_seconds", latencyBuckets), queueWait: s.Histogram("queue_wait_seconds", queueWaitBuckets),
		requestWait: s.Histogram("request_wait_seconds", queueWaitBuckets), answers: make(map[string]tally.Counter),
		slowTargets: s.Gauge("targets_slow"), suspectTargets: s.Gauge("targets_suspected_slow"), ejectedTargets: s.Gauge("targets_ejected"),
	}
	for _, order := range []string{"start", "stop", "hold", "delegated_start"} {
		for _, a := range fleet.Answers() {
			c.answers[order+a.String()] = s.Tagged(map[string]string{"order": order, "answer": a.String()}).Counter("orders")
		}
	}
	return c
}

// ejection counts an ejection of a target.
func (c *counts) ejection(reason string) {
	c.m.Scope().SubScope("node").Tagged(map[string]string{"cause": strings.ReplaceAll(reason, " ", "_")}).Counter("ejections").Inc(1)
}

// answer counts a target's answer to an order.
func (c *counts) answer(order string, a fleet.Answer) {
	if counter := c.answers[order+a.String()]; counter != nil { // a peer may send an unknown one
		counter.Inc(1)
	}
}

// outcome counts the outcome of a job and records its latency.
func (c *counts) outcome(o fleet.Outcome, took time.Duration) {
	c.latency.RecordDuration(took)
	if o.Verdict != verdict.Completed {
		c.m.CountRefused(&verdict.Error{Verdict: o.Verdict, Reason: o.Reason})
	}
}

// overload counts for a queue the jobs that were refused for lack of room, on arrival or after a wait, and those
// that were answered later than they aimed at.
func (c *counts) overload(j *fleet.Job, o fleet.Outcome, took time.Duration) {
	s := c.m.Scope().SubScope("node").Tagged(map[string]string{"queue": j.Queue.Name})
	switch {
	case o.Verdict == verdict.NotRun && o.Reason == verdict.QueueFull:
		s.Counter("refused_on_arrival").Inc(1)
	case o.Verdict == verdict.NotRun && o.Reason == verdict.DeadlineUnmeetable:
		s.Counter("refused_after_wait").Inc(1)
	case o.Verdict == verdict.Completed && !j.Stored:
		work, known := declaredWork(j)
		if aim := (overload.Aim{Work: work, Stretch: j.Queue.Stretch, Slack: j.Queue.Slack}); known && took > aim.Goal() {
			s.Counter("answered_late").Inc(1)
		}
	}
}

// declaredWork returns the declared run time of the job's longest chain of steps, and whether each step has one.
func declaredWork(j *fleet.Job) (time.Duration, bool) {
	if slices.ContainsFunc(j.Steps, func(s fleet.Step) bool { return s.Estimate <= 0 }) {
		return 0, false
	}
	return longestChain(j), true
}

// lagMeter measures how late the ticks of a node's loop are, to detect a node that
// is too slow to lead.
type lagMeter struct {
	last time.Duration // time of the last tick
	mean time.Duration // moving average of the lateness
}

const (
	// degradedLag is the mean lateness of ticks above which an entry counts as
	// degraded; at or below it the entry may lead again.
	degradedLag = 40 * time.Millisecond
	// lagWeight sets the moving average: each tick contributes 1/lagWeight.
	lagWeight = 16
)

// tick records a tick and returns how late it is.
func (l *lagMeter) tick(now time.Duration) time.Duration {
	late := max(now-l.last-tickInterval, 0)
	if l.last == 0 {
		late = 0
	}
	l.last = now
	l.mean += (min(late, time.Second) - l.mean) / lagWeight
	return late
}

func (l *lagMeter) degraded() bool { return l.mean > degradedLag }
