package engine

import (
	"slices"
	"time"

	"currantstall/internal/dispatch"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// runAttempts runs a task on a target: first under the reservation that it
// holds, then on other targets if the dispatcher asks for one.
func (s *scheduler) runAttempts(t *task) (target.Answer, *verdict.Error) {
	a, err := s.e.Dispatch.Do(t.ctx, s.dispatchTask(t))
	return a, verdict.FromError(err)
}

// dispatchTask returns the task in the form that the dispatcher takes.
func (s *scheduler) dispatchTask(t *task) dispatch.Task {
	s.mu.Lock()
	hedgeDelay := s.queue.HedgeDelay(t.Kind)
	s.mu.Unlock()
	dt := dispatch.Task{
		Start: target.Start{
			Key:      t.Key,
			Task:     t.Index,
			Kind:     t.Kind,
			Body:     t.Body,
			Needs:    t.reservation.needs,
			Deadline: t.deadline,
			NotAfter: t.notAfter,
		},
		Repeatable:  t.Repeatable,
		First:       s.dispatchReservation(t, t.reservation),
		Pick:        func(exclude []string) (dispatch.Reservation, bool) { return s.pickOther(t, exclude) },
		SilentAfter: max(lookupDelayFactor*hedgeDelay, minLookupDelay),
	}
	if t.claimed {
		dt.MayStart = func() (time.Time, error) { return s.e.Claims.MayStart(t.Key) }
	}
	if t.Repeatable {
		dt.HedgeAfter = hedgeDelay
	}
	return dt
}

const (
	// lookupDelayFactor times the hedge delay of the kind is the time that a
	// start may go unanswered before the target is asked for the state of the
	// task.
	lookupDelayFactor = 2
	// minLookupDelay is the minimum time before such a lookup.
	minLookupDelay = 250 * time.Millisecond
	// maxPickTries limits the reservations made in search of a target that is
	// not excluded.
	maxPickTries = 16
	// maxRequeues limits how often a task that found no other owned target is
	// queued again.
	maxRequeues = 3
)

// dispatchReservation returns the reservation in the form that the dispatcher
// takes.
func (s *scheduler) dispatchReservation(t *task, at reservation) dispatch.Reservation {
	return dispatch.Reservation{Addr: at.addr, Release: func() { s.release(t, at) }}
}

// release returns a reservation to the pool.
func (s *scheduler) release(t *task, at reservation) {
	s.mu.Lock()
	s.pool.release(time.Now(), t, at)
	s.mu.Unlock()
}

// pickOther reserves room for a task on a target that is not excluded.
// Reservations on excluded targets are held until it returns; otherwise the
// same least loaded target would be selected each time.
func (s *scheduler) pickOther(t *task, exclude []string) (dispatch.Reservation, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxPickTries {
		at, ok := s.pool.reserve(now, t)
		if !ok {
			break
		}
		if !slices.Contains(exclude, at.addr) {
			return s.dispatchReservation(t, at), true
		}
		defer s.pool.release(now, t, at)
	}
	t.noOtherTarget = true
	return dispatch.Reservation{}, false
}

// requeue queues a failed task again if it found no other target here and
// either provably did not run or is repeatable. When its turn comes, the failed
// targets are known to be unhealthy, or a peer has room. It reports false if
// the task keeps the error.
func (s *scheduler) requeue(t *task, err *verdict.Error) bool {
	if err == nil || (err.Verdict != verdict.NotRun && !t.Repeatable) {
		return false
	}
	s.mu.Lock()
	if !t.noOtherTarget || t.requeues == maxRequeues || t.from != "" || t.ctx.Err() != nil {
		s.mu.Unlock()
		return false
	}
	t.noOtherTarget = false
	t.requeues++
	if err.Verdict != verdict.NotRun {
		t.keepMayHaveRun(err)
	}
	rejection := s.enqueue([]*task{t})
	s.mu.Unlock()
	if rejection != nil {
		return false
	}
	if t.ctx.Err() != nil {
		s.cancelTasks([]*task{t})
	}
	return true
}
