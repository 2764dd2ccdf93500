package engine

import (
	"slices"
	"time"

	"currantstall/internal/dispatch"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// runAttempts carries one unit out, first at the place it was given.
func (s *scheduler) runAttempts(t *task) (target.Answer, *verdict.Error) {
	a, err := s.e.Dispatch.Do(t.ctx, s.dispatchTask(t))
	return a, verdict.Of(err)
}

// dispatchTask describes a unit to the dispatcher.
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
	// lookupDelayFactor is how many times the usual longest run time a start may
	// take before it is looked up.
	lookupDelayFactor = 2
	// minLookupDelay is the least time before a look-up.
	minLookupDelay = 250 * time.Millisecond
	// maxPickTries bounds the places tried for one that is not excluded.
	maxPickTries = 16
	// maxRequeues bounds how often a task without another own target goes
	// back to the queue.
	maxRequeues = 3
)

// dispatchReservation turns an accounted place into the dispatcher's.
func (s *scheduler) dispatchReservation(t *task, at reservation) dispatch.Reservation {
	return dispatch.Reservation{Addr: at.addr, Release: func() { s.release(t, at) }}
}

// release ends the account of a place.
func (s *scheduler) release(t *task, at reservation) {
	s.mu.Lock()
	s.pool.release(time.Now(), t, at)
	s.mu.Unlock()
}

// pickOther accounts another place for a unit, at a target that is not excluded.
// Excluded places are held meanwhile, so that they don't look the least loaded
// again and again.
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

// requeue queues a task again that found no second target here and that
// provably did not run or may run twice. By then the targets that failed it
// are known for it, or a peer has room. It reports false if the error stands.
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
