package engine

import (
	"slices"
	"time"

	"currantstall/internal/dispatch"
	"currantstall/internal/target"
	"currantstall/internal/verdict"
)

// attempt carries one unit out, first at the place it was given.
func (s *scheduler) attempt(u *unit) (target.Answer, *verdict.Error) {
	a, err := s.e.Dispatch.Do(u.ctx, s.task(u))
	return a, verdict.Of(err)
}

// task describes a unit to the dispatcher.
func (s *scheduler) task(u *unit) dispatch.Task {
	s.mu.Lock()
	late := s.queue.HedgeDelay(u.Kind)
	s.mu.Unlock()
	t := dispatch.Task{
		Start: target.Start{
			Key:      u.Key,
			Task:     u.Task,
			Kind:     u.Kind,
			Body:     u.Body,
			Needs:    u.place.needs,
			Deadline: u.deadline,
			NotAfter: u.notAfter,
		},
		Repeatable:  u.Repeatable,
		First:       s.dispatchPlace(u, u.place),
		Pick:        func(exclude []string) (dispatch.Place, bool) { return s.pick(u, exclude) },
		SilentAfter: max(silentFactor*late, minSilent),
	}
	if u.claimed {
		t.MayStart = func() (time.Time, error) { return s.e.Claims.MayStart(u.Key) }
	}
	if u.Repeatable {
		t.HedgeAfter = late
	}
	return t
}

const (
	// silentFactor is how many times the usual longest run time a start may
	// take before it is looked up.
	silentFactor = 2
	// minSilent is the least time before a look-up.
	minSilent = 250 * time.Millisecond
	// maxPicks bounds the places tried for one that is not excluded.
	maxPicks = 16
	// maxRequeues bounds how often a task without another own target goes
	// back to the queue.
	maxRequeues = 3
)

// dispatchPlace turns an accounted place into the dispatcher's.
func (s *scheduler) dispatchPlace(u *unit, at place) dispatch.Place {
	return dispatch.Place{Addr: at.addr, Release: func() { s.release(u, at) }}
}

// release ends the account of a place.
func (s *scheduler) release(u *unit, at place) {
	s.mu.Lock()
	s.pool.release(time.Now(), u, at)
	s.mu.Unlock()
}

// pick accounts another place for a unit, at a target that is not excluded.
// Excluded places are held meanwhile, so that they don't look the least loaded
// again and again.
func (s *scheduler) pick(u *unit, exclude []string) (dispatch.Place, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxPicks {
		at, ok := s.pool.take(now, u)
		if !ok {
			break
		}
		if !slices.Contains(exclude, at.addr) {
			return s.dispatchPlace(u, at), true
		}
		defer s.pool.release(now, u, at)
	}
	u.stranded = true
	return dispatch.Place{}, false
}

// requeue queues a task again that found no second target here and that
// provably did not run or may run twice. By then the targets that failed it
// are known for it, or a peer has room. It reports false if the error stands.
func (s *scheduler) requeue(u *unit, err *verdict.Error) bool {
	if err == nil || (err.Verdict != verdict.NotRun && !u.Repeatable) {
		return false
	}
	s.mu.Lock()
	if !u.stranded || u.requeues == maxRequeues || u.from != "" || u.ctx.Err() != nil {
		s.mu.Unlock()
		return false
	}
	u.stranded = false
	u.requeues++
	if err.Verdict != verdict.NotRun {
		u.remember(err)
	}
	refused := s.offer([]*unit{u})
	s.mu.Unlock()
	if refused != nil {
		return false
	}
	if u.ctx.Err() != nil {
		s.stop([]*unit{u})
	}
	return true
}
