package engine

import (
	"sync"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// tick is the interval of deadlines and load messages.
const tick = 20 * time.Millisecond

// lateGrace is how long work that may not be repeated runs on past its
// deadline, so that its answer is kept for a resubmission.
const lateGrace = 30 * time.Second

// scheduler queues the tasks of one class and starts them on own targets.
type scheduler struct {
	e     *Engine
	class structs.Class

	mu     sync.Mutex
	queue  *admission.Queue
	pool   *pool
	units  map[uint64]*unit // queued and running here
	handed map[uint64]*unit // handed over to peers
	peers  map[string]*peerState
	next   uint64
	told   toldLoad
}

func newScheduler(e *Engine, class structs.Class) *scheduler {
	return &scheduler{
		e:      e,
		class:  class,
		queue:  admission.New(admission.Config{Policy: e.Policy}),
		pool:   newPool(class, e.Policy, e.Self.Incarnation),
		units:  make(map[uint64]*unit),
		handed: make(map[uint64]*unit),
		peers:  make(map[string]*peerState),
		next:   firstID(e.Self.Incarnation, uint64(class)),
	}
}

// submit queues the tasks of a group, all or none. It returns a NotRun error
// if none was queued.
func (s *scheduler) submit(g *group, claimed bool) *verdict.Error {
	units := newUnits(g, claimed)
	s.mu.Lock()
	if err := s.pool.neverFits(s.pool.needs(g.work.Kind, g.work.Needs)); err != nil {
		s.mu.Unlock()
		return err
	}
	err := s.offer(units)
	if err != nil && s.pool.index.Len() == 0 {
		err = verdict.New(verdict.NotRun, verdict.NoTarget, "no target of this entry or a peer has room").After(retrySoon)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	g.onCancel(func() { s.stop(units) })
	s.kick()
	return nil
}

// offer numbers units and queues them. The caller holds the lock.
func (s *scheduler) offer(units []*unit) *verdict.Error {
	s.next++
	group := s.next
	offered := make([]admission.Unit, len(units))
	for i, u := range units {
		s.next++
		u.ID = s.next
		u.group = group
		offered[i] = u.admission()
	}
	if err := s.queue.Offer(time.Now(), offered); err != nil {
		return err
	}
	for _, u := range units {
		s.units[u.ID] = u
	}
	return nil
}

// kick starts what can start now and hands over what peers can start sooner.
func (s *scheduler) kick() {
	now := time.Now()
	s.mu.Lock()
	starts := s.takeStarts(now)
	batches := s.takeHandoffs(now)
	gone := s.takeExpired(now)
	s.mu.Unlock()
	for _, u := range starts {
		go s.run(u)
	}
	for _, b := range batches {
		s.sendBatch(b)
	}
	for _, u := range gone {
		u.finish(expired())
	}
}

// takeStarts moves queued units to places on own targets.
func (s *scheduler) takeStarts(now time.Time) []*unit {
	var starts []*unit
	for {
		var at place
		next, ok := s.queue.Next(now, func(a admission.Unit) bool {
			var room bool
			at, room = s.pool.take(now, s.units[a.ID])
			return room
		})
		if !ok {
			return starts
		}
		u := s.units[next.ID]
		u.place = at
		u.began = now
		starts = append(starts, u)
	}
}

// takeExpired removes units whose deadline came out of reach.
func (s *scheduler) takeExpired(now time.Time) []*unit {
	var gone []*unit
	for _, a := range s.queue.Expire(now) {
		if u := s.units[a.ID]; u != nil {
			delete(s.units, a.ID)
			gone = append(gone, u)
		}
	}
	return gone
}

// run carries one unit through its attempts at targets.
func (s *scheduler) run(u *unit) {
	answer, err := s.attempt(u)
	now := time.Now()
	s.mu.Lock()
	if err != nil && err.Verdict == verdict.NotRun {
		s.queue.Returned(now, u.ID)
	} else {
		s.queue.Finished(now, u.ID, now.Sub(u.began), err == nil)
	}
	s.pool.observe(u.Kind, answer.Used)
	delete(s.units, u.ID)
	s.mu.Unlock()
	if !s.requeue(u, err) {
		u.finish(result{answer: answer.Body, err: err})
	}
	s.kick()
}

// stop removes the units that are queued and stops those at peers. What runs
// here stops by its context.
func (s *scheduler) stop(units []*unit) {
	var dropped []*unit
	away := make(map[string][]uint64)
	s.mu.Lock()
	for _, u := range units {
		switch {
		case s.queue.Cancel(u.ID):
			delete(s.units, u.ID)
			dropped = append(dropped, u)
		case s.handed[u.ID] == u:
			away[u.to] = append(away[u.to], u.ID)
		}
	}
	s.mu.Unlock()
	s.sendCancels(away)
	for _, u := range dropped {
		u.finish(stopped())
	}
}
