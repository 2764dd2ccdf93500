package engine

import (
	"sync"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// tickInterval is the interval of deadlines and load messages.
const tickInterval = 20 * time.Millisecond

// lateGrace is how long work that may not be repeated runs on past its
// deadline, so that its answer is kept for a resubmission.
const lateGrace = 30 * time.Second

// scheduler queues the tasks of one class and starts them on own targets.
type scheduler struct {
	e     *Engine
	class structs.Class

	mu        sync.Mutex
	queue     *admission.Queue
	pool      *targetPool
	tasks     map[uint64]*task // queued and running here
	offloaded map[uint64]*task // handed over to peers
	peerLoads map[string]*peerLoad
	lastID    uint64
	lastSent  sentLoad
}

func newScheduler(e *Engine, class structs.Class) *scheduler {
	return &scheduler{
		e:         e,
		class:     class,
		queue:     admission.New(admission.Config{Policy: e.Policy}),
		pool:      newTargetPool(class, e.Policy, e.Self.Incarnation),
		tasks:     make(map[uint64]*task),
		offloaded: make(map[uint64]*task),
		peerLoads: make(map[string]*peerLoad),
		lastID:    firstID(e.Self.Incarnation, uint64(class)),
	}
}

// submit queues the tasks of a group, all or none. It returns a NotRun error
// if none was queued.
func (s *scheduler) submit(g *execution, claimed bool) *verdict.Error {
	units := newTasks(g, claimed)
	s.mu.Lock()
	if err := s.pool.neverFits(s.pool.needs(g.work.Kind, g.work.Needs)); err != nil {
		s.mu.Unlock()
		return err
	}
	err := s.enqueue(units)
	if err != nil && s.pool.index.Len() == 0 {
		err = verdict.New(verdict.NotRun, verdict.NoTarget, "no target of this entry or a peer has room").After(retryAfterShort)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	g.onCancel(func() { s.cancelTasks(units) })
	s.schedule()
	return nil
}

// enqueue numbers units and queues them. The caller holds the lock.
func (s *scheduler) enqueue(units []*task) *verdict.Error {
	s.lastID++
	group := s.lastID
	offered := make([]admission.Unit, len(units))
	for i, u := range units {
		s.lastID++
		u.ID = s.lastID
		u.workID = group
		offered[i] = u.admissionUnit()
	}
	if err := s.queue.Offer(time.Now(), offered); err != nil {
		return err
	}
	for _, u := range units {
		s.tasks[u.ID] = u
	}
	return nil
}

// schedule starts what can start now and hands over what peers can start sooner.
func (s *scheduler) schedule() {
	now := time.Now()
	s.mu.Lock()
	starts := s.takeStarts(now)
	batches := s.takeOffloads(now)
	expired := s.takeExpired(now)
	s.mu.Unlock()
	for _, u := range starts {
		go s.run(u)
	}
	for _, b := range batches {
		s.sendBatch(b)
	}
	for _, u := range expired {
		u.finish(expiredResult())
	}
}

// takeStarts moves queued units to places on own targets.
func (s *scheduler) takeStarts(now time.Time) []*task {
	var starts []*task
	for {
		var at reservation
		next, ok := s.queue.Next(now, func(a admission.Unit) bool {
			var room bool
			at, room = s.pool.reserve(now, s.tasks[a.ID])
			return room
		})
		if !ok {
			return starts
		}
		u := s.tasks[next.ID]
		u.reservation = at
		u.startedAt = now
		starts = append(starts, u)
	}
}

// takeExpired removes units whose deadline came out of reach.
func (s *scheduler) takeExpired(now time.Time) []*task {
	var expired []*task
	for _, a := range s.queue.Expire(now) {
		if u := s.tasks[a.ID]; u != nil {
			delete(s.tasks, a.ID)
			expired = append(expired, u)
		}
	}
	return expired
}

// run carries one unit through its attempts at targets.
func (s *scheduler) run(u *task) {
	answer, err := s.runAttempts(u)
	now := time.Now()
	s.mu.Lock()
	if err != nil && err.Verdict == verdict.NotRun {
		s.queue.FinishNotRun(now, u.ID)
	} else {
		s.queue.Finish(now, u.ID, now.Sub(u.startedAt), err == nil)
	}
	s.pool.observeUsage(u.Kind, answer.Used)
	delete(s.tasks, u.ID)
	s.mu.Unlock()
	if !s.requeue(u, err) {
		u.finish(result{answer: answer.Body, err: err})
	}
	s.schedule()
}

// cancelTasks removes the units that are queued and stops those at peers. What runs
// here stops by its context.
func (s *scheduler) cancelTasks(units []*task) {
	var cancelled []*task
	atPeers := make(map[string][]uint64)
	s.mu.Lock()
	for _, u := range units {
		switch {
		case s.queue.Cancel(u.ID):
			delete(s.tasks, u.ID)
			cancelled = append(cancelled, u)
		case s.offloaded[u.ID] == u:
			atPeers[u.to] = append(atPeers[u.to], u.ID)
		}
	}
	s.mu.Unlock()
	s.sendCancels(atPeers)
	for _, u := range cancelled {
		u.finish(cancelledResult())
	}
}
