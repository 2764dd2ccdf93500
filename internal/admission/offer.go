package admission

import (
	"math"
	"time"

	"currantstall/internal/verdict"
)

const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// unboundedWait stands for a wait without an end.
	unboundedWait = time.Hour
	// waitSafetyFactor is what a wait is taken to be longer than estimated: a
	// unit that is refused at once can go elsewhere, one that expires in
	// the queue has lost its time.
	waitSafetyFactor = 1.25
)

// Offer queues the units of one job or request, all or none. They are of one
// kind and team. The error is NotRun, with advice when to come back:
// UnknownKind, QueueFull, DeadlinePassed, DeadlineUnmeetable or QuotaExceeded.
func (q *Queue) Offer(now time.Time, units []Unit) *verdict.Error {
	if len(units) == 0 {
		return nil
	}
	u := &units[0]
	k := q.byKind[u.Kind]
	if k == nil || k.removed {
		return reject(verdict.UnknownKind, "the manifest has no such kind", 0)
	}
	q.lastNow = now
	k.recordArrivals(now, len(units))
	t := q.teams[u.Team]
	weight := 1.0
	if t != nil {
		weight = t.weight
	}
	class := sizeClass(max(len(units), u.JobSize))
	wait := q.estimateWait(k, u.Team, weight, class, len(units))
	if err := q.checkAdmission(now, k, u, wait, len(units)); err != nil {
		return err
	}
	if !u.Offloaded && !u.QuotaCharged {
		if delay, ok := t.take(now, len(units)); !ok {
			return reject(verdict.QuotaExceeded, "the team is above its rate", delay)
		}
	}
	latestStart := u.Deadline
	if q.cfg.Policy == Shares {
		latestStart = q.latestStart(now, k, u.Deadline)
	}
	for _, u := range units {
		if u.QueuedAt.IsZero() {
			u.QueuedAt = now
		}
		q.insert(u, k, weight, class, latestStart)
	}
	return nil
}

// checkAdmission refuses what can't be queued or can't meet its deadline.
func (q *Queue) checkAdmission(now time.Time, k *kind, u *Unit, wait time.Duration, n int) *verdict.Error {
	remaining := u.Deadline.Sub(now)
	if remaining <= 0 {
		return reject(verdict.DeadlinePassed, "the deadline has passed", 0)
	}
	if q.queued+n > q.cfg.MaxQueued {
		return reject(verdict.QueueFull, "the queue is full", wait/2)
	}
	if q.cfg.Policy != Shares {
		return nil
	}
	if !u.Offloaded && k.queued+n <= k.peerCapacity {
		wait = min(wait, k.peerWait)
	}
	needed := k.service.Low()
	if wait > 0 {
		needed = time.Duration(waitSafetyFactor*float64(wait)) + k.service.High()
	}
	if needed > remaining {
		return reject(verdict.DeadlineUnmeetable, "the answer would come after the deadline", needed-remaining)
	}
	return nil
}

// latestStart returns the latest start that is still of use: one after which
// hardly any task would be late, or, for work whose deadline is tighter
// than that anyway, one of ten.
func (q *Queue) latestStart(now time.Time, k *kind, deadline time.Time) time.Time {
	if at := deadline.Add(-k.service.High()); at.After(now) {
		return at
	}
	return deadline.Add(-k.service.Low())
}

// estimateWait estimates how long the last of n new units of a kind and team would be
// queued.
func (q *Queue) estimateWait(k *kind, team string, weight float64, class, n int) time.Duration {
	if k.queued == 0 && float64(n) <= q.startableSlots(k) {
		return 0
	}
	slots := q.attainableSlots(k)
	if slots <= 0 {
		return unboundedWait
	}
	before := k.unitsAhead(team, weight, class, n) + float64(n)
	if k.queued == 0 {
		before -= q.startableSlots(k)
	}
	wait := float64(k.service.MeanSlotTime()) * before / slots
	return time.Duration(min(wait, float64(unboundedWait)))
}

// startableSlots returns the slots that the kind could take right now.
func (q *Queue) startableSlots(k *kind) float64 {
	free := q.capacity - float64(q.running)
	for _, o := range q.kinds {
		if o != k && o.queued > 0 {
			free -= min(float64(o.queued), o.unusedGuarantee(q.capacity))
		}
	}
	own := max(k.unusedGuarantee(q.capacity), free-q.reservedSlots(k))
	return math.Floor(max(0, min(own, q.capacity-float64(q.running))))
}

// attainableSlots returns the slots that the kind can expect to hold while it has a
// backlog: its guarantee, or what the others leave. Less urgent kinds are
// pushed back to their guarantee as their tasks end. What the others usually
// use of their guarantees counts as used: a moment without them is not a trend.
func (q *Queue) attainableSlots(k *kind) float64 {
	left := q.capacity - q.reservedSlots(k)
	for _, o := range q.kinds {
		if o == k {
			continue
		}
		g := o.guaranteed(q.capacity)
		use := float64(o.running)
		if o.urgency < k.urgency {
			use = min(use, g)
		}
		demand := max(float64(o.running+o.queued), o.offeredLoad(q.lastNow))
		use = max(use, min(g, demand))
		left -= use
	}
	return max(k.guaranteed(q.capacity), left)
}

// reject returns a NotRun error.
func reject(r verdict.Reason, message string, after time.Duration) *verdict.Error {
	if after > 0 {
		after = max(minRetryAfter, min(maxRetryAfter, after))
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: r, Message: message, RetryAfter: after}
}
