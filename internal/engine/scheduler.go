package engine

import (
	"sync"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// tickInterval is the interval at which Run checks deadlines and whether load
// reports are due.
const tickInterval = 20 * time.Millisecond

// lateGrace is how long work that is not repeatable may run past its deadline,
// so that its answer is kept for a resubmission.
const lateGrace = 30 * time.Second

// scheduler queues the tasks of one class. It starts them on targets that this
// entry owns, or offloads them to peers.
type scheduler struct {
	e     *Engine
	class structs.Class

	mu        sync.Mutex
	queue     *admission.Queue
	pool      *targetPool
	tasks     map[uint64]*task // queued or running here
	offloaded map[uint64]*task // offloaded to peers
	peerLoads map[string]*peerLoad
	lastID    uint64
	lastSent  sentLoad

	peerTargets      int       // targets that peers of this data centre own, by the VM list
	peerTargetsSince time.Time // when the first of them became known
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

// submit queues the tasks of an execution, all or none. It returns a NotRun
// error if none was queued.
func (s *scheduler) submit(ex *execution, claimed bool) *verdict.Error {
	tasks := newTasks(ex, claimed)
	s.mu.Lock()
	if err := s.pool.neverFits(s.pool.needs(ex.work.Kind, ex.work.Needs)); err != nil {
		s.mu.Unlock()
		return err
	}
	err := s.enqueue(tasks)
	if err != nil && s.pool.index.Len() == 0 {
		err = verdict.New(verdict.NotRun, verdict.NoTarget, "this entry owns no target, and no peer has room").WithRetryAfter(retryAfterShort)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	ex.onCancel(func() { s.cancelTasks(tasks) })
	s.schedule()
	return nil
}

// enqueue gives IDs to tasks and queues them, all or none. The caller holds the
// lock.
func (s *scheduler) enqueue(tasks []*task) *verdict.Error {
	s.lastID++
	workID := s.lastID
	offered := make([]admission.Unit, len(tasks))
	for i, t := range tasks {
		s.lastID++
		t.ID = s.lastID
		t.workID = workID
		offered[i] = t.admissionUnit()
	}
	if err := s.queue.Offer(time.Now(), offered); err != nil {
		return err
	}
	for _, t := range tasks {
		s.tasks[t.ID] = t
	}
	return nil
}

// schedule starts the tasks that can start now, offloads those that peers can
// start sooner, and ends those whose deadline has become infeasible.
func (s *scheduler) schedule() {
	now := time.Now()
	s.mu.Lock()
	starts := s.takeStarts(now)
	batches := s.takeOffloads(now)
	expired := s.takeExpired(now)
	s.mu.Unlock()
	for _, t := range starts {
		go s.run(t)
	}
	for _, b := range batches {
		s.sendBatch(b)
	}
	for _, t := range expired {
		t.finish(expiredResult())
	}
}

// takeStarts removes queued tasks for which it can reserve room on an owned
// target, and returns them. The caller holds the lock.
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
		t := s.tasks[next.ID]
		t.reservation = at
		t.startedAt = now
		starts = append(starts, t)
	}
}

// takeExpired removes queued tasks whose deadline has become infeasible, and
// returns them. The caller holds the lock.
func (s *scheduler) takeExpired(now time.Time) []*task {
	var expired []*task
	for _, a := range s.queue.Expire(now) {
		if t := s.tasks[a.ID]; t != nil {
			delete(s.tasks, a.ID)
			expired = append(expired, t)
		}
	}
	return expired
}

// run runs a task that holds a reservation. The task then ends or is queued
// again.
func (s *scheduler) run(t *task) {
	answer, err := s.runAttempts(t)
	now := time.Now()
	s.mu.Lock()
	if err != nil && err.Verdict == verdict.NotRun {
		s.queue.FinishNotRun(now, t.ID)
	} else {
		s.queue.Finish(now, t.ID, now.Sub(t.startedAt), err == nil)
	}
	s.pool.observeUsage(t.Kind, answer.Used)
	delete(s.tasks, t.ID)
	s.mu.Unlock()
	if !s.requeue(t, err) {
		t.finish(result{answer: answer.Body, err: err})
	}
	s.schedule()
}

// cancelTasks removes queued tasks and asks peers to cancel offloaded ones.
// Tasks that run here are stopped through their context.
func (s *scheduler) cancelTasks(tasks []*task) {
	var cancelled []*task
	atPeers := make(map[string][]uint64)
	s.mu.Lock()
	for _, t := range tasks {
		switch {
		case s.queue.Cancel(t.ID):
			delete(s.tasks, t.ID)
			cancelled = append(cancelled, t)
		case s.offloaded[t.ID] == t:
			atPeers[t.to] = append(atPeers[t.to], t.ID)
		}
	}
	s.mu.Unlock()
	s.sendCancels(atPeers)
	for _, t := range cancelled {
		t.finish(cancelledResult())
	}
}
