package admission

import (
	"math"
	"time"

	"currantstall/internal/verdict"
)

const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// unboundedWait is the estimate for a wait without an end, and the upper
	// bound of all estimated waits.
	unboundedWait = time.Hour
	// waitSafetyFactor scales the estimated wait. A unit that is rejected at
	// once can run elsewhere, while one that expires in the queue has lost that
	// time.
	waitSafetyFactor = 1.25
)

// Offer queues all units of one job or request, or none of them. The units must
// have the same kind and team. If Offer rejects them, the error is NotRun with
// reason UnknownKind, QueueFull, DeadlinePassed, DeadlineUnmeetable or
// QuotaExceeded, and says when to retry if a retry can help.
func (q *Queue) Offer(now time.Time, units []Unit) *verdict.Error {
	if len(units) == 0 {
		return nil
	}
	u := &units[0]
	k := q.byKind[u.Kind]
	if k == nil || k.removed {
		return reject(verdict.UnknownKind, "the manifest does not define this kind", 0)
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
			return reject(verdict.QuotaExceeded, "the team has exceeded its rate quota", delay)
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

// checkAdmission rejects n units that do not fit in the queue or cannot meet
// their deadline.
func (q *Queue) checkAdmission(now time.Time, k *kind, u *Unit, wait time.Duration, n int) *verdict.Error {
	remaining := u.Deadline.Sub(now)
	if remaining <= 0 {
		return reject(verdict.DeadlinePassed, "the deadline has passed", 0)
	}
	if q.queued+n > q.cfg.MaxQueued {
		return reject(verdict.QueueFull, "the entry's queue is full", wait/2)
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
		return reject(verdict.DeadlineUnmeetable, "the task is not expected to finish by its deadline", needed-remaining)
	}
	return nil
}

// latestStart returns the latest start that is still useful: a task that starts
// then is hardly ever late. If the deadline is too tight for that, it is the
// start from which one task in ten still ends in time.
func (q *Queue) latestStart(now time.Time, k *kind, deadline time.Time) time.Time {
	if at := deadline.Add(-k.service.High()); at.After(now) {
		return at
	}
	return deadline.Add(-k.service.Low())
}

// estimateWait estimates the queueing time of the last of n new units of a kind
// and team.
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

// startableSlots returns the number of slots that the kind could use now.
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

// attainableSlots returns the number of slots that the kind can expect to hold
// while it has a backlog: its guarantee, or the slots that the other kinds
// leave if that is more. Less urgent kinds fall back to their guarantee as
// their tasks end. The offered load of the other kinds, up to their guarantees,
// counts as used, because a moment without their work does not last.
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

// reject returns a NotRun error. A positive retry delay is limited to
// minRetryAfter and maxRetryAfter.
func reject(r verdict.Reason, message string, after time.Duration) *verdict.Error {
	if after > 0 {
		after = max(minRetryAfter, min(maxRetryAfter, after))
	}
	return &verdict.Error{Verdict: verdict.NotRun, Reason: r, Message: message, RetryAfter: after}
}
