package engine

import (
	"slices"
	"time"

	"currantstall/internal/dispatch"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// runAttempts carries one unit out, first at the place it was given.
func (s *scheduler) runAttempts(u *task) (target.Answer, *verdict.Error) {
	a, err := s.e.Dispatch.Do(u.ctx, s.dispatchTask(u))
	return a, verdict.Of(err)
}

// dispatchTask describes a unit to the dispatcher.
func (s *scheduler) dispatchTask(u *task) dispatch.Task {
	s.mu.Lock()
	hedgeDelay := s.queue.HedgeDelay(u.Kind)
	s.mu.Unlock()
	t := dispatch.Task{
		Start: target.Start{
			Key:      u.Key,
			Task:     u.Index,
			Kind:     u.Kind,
			Body:     u.Body,
			Needs:    u.reservation.needs,
			Deadline: u.deadline,
			NotAfter: u.notAfter,
		},
		Repeatable:  u.Repeatable,
		First:       s.dispatchPlace(u, u.reservation),
		Pick:        func(exclude []string) (dispatch.Reservation, bool) { return s.pickOther(u, exclude) },
		SilentAfter: max(lookupDelayFactor*hedgeDelay, minLookupDelay),
	}
	if u.claimed {
		t.MayStart = func() (time.Time, error) { return s.e.Claims.MayStart(u.Key) }
	}
	if u.Repeatable {
		t.HedgeAfter = hedgeDelay
	}
	return t
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

// dispatchPlace turns an accounted place into the dispatcher's.
func (s *scheduler) dispatchPlace(u *task, at reservation) dispatch.Reservation {
	return dispatch.Reservation{Addr: at.addr, Release: func() { s.release(u, at) }}
}

// release ends the account of a place.
func (s *scheduler) release(u *task, at reservation) {
	s.mu.Lock()
	s.pool.release(time.Now(), u, at)
	s.mu.Unlock()
}

// pickOther accounts another place for a unit, at a target that is not excluded.
// Excluded places are held meanwhile, so that they don't look the least loaded
// again and again.
func (s *scheduler) pickOther(u *task, exclude []string) (dispatch.Reservation, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxPickTries {
		at, ok := s.pool.reserve(now, u)
		if !ok {
			break
		}
		if !slices.Contains(exclude, at.addr) {
			return s.dispatchPlace(u, at), true
		}
		defer s.pool.release(now, u, at)
	}
	u.noOtherTarget = true
	return dispatch.Reservation{}, false
}

// requeue queues a task again that found no second target here and that
// provably did not run or may run twice. By then the targets that failed it
// are known for it, or a peer has room. It reports false if the error stands.
func (s *scheduler) requeue(u *task, err *verdict.Error) bool {
	if err == nil || (err.Verdict != verdict.NotRun && !u.Repeatable) {
		return false
	}
	s.mu.Lock()
	if !u.noOtherTarget || u.requeues == maxRequeues || u.from != "" || u.ctx.Err() != nil {
		s.mu.Unlock()
		return false
	}
	u.noOtherTarget = false
	u.requeues++
	if err.Verdict != verdict.NotRun {
		u.keepMayHaveRun(err)
	}
	rejection := s.enqueue([]*task{u})
	s.mu.Unlock()
	if rejection != nil {
		return false
	}
	if u.ctx.Err() != nil {
		s.cancelTasks([]*task{u})
	}
	return true
}
