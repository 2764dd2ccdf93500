package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// offloadBatch is a set of units for one peer.
type offloadBatch struct {
	to    string
	units []*task
}

// sendBatch hands units over. If the link is down they are queued here again.
func (s *scheduler) sendBatch(b offloadBatch) {
	now := time.Now()
	msg := runBatch{Tasks: make([]taskSpec, 0, len(b.units))}
	for _, u := range b.units {
		if s.setLease(u) != nil {
			s.reclaim(u)
			continue
		}
		u.Remaining = u.deadline.Sub(now)
		u.WorkID = u.workID
		msg.Tasks = append(msg.Tasks, u.taskSpec)
	}
	if len(msg.Tasks) == 0 {
		return
	}
	m, err := wire.NewMessage(wire.Run, msg)
	if err == nil {
		err = s.e.Links.Send(b.to, m)
	}
	if err == nil {
		return
	}
	for _, u := range b.units {
		s.reclaim(u)
	}
}

// setLease sets the time for which the peer may start the unit. A unit under no
// claim of this entry has no bound.
func (s *scheduler) setLease(u *task) error {
	if !u.claimed {
		return nil
	}
	until, err := s.e.Claims.MayStart(u.Key)
	if err != nil {
		return err
	}
	u.Lease = time.Until(until)
	return nil
}

// reclaim queues a unit here that a peer has not started. It is not handed
// over again.
func (s *scheduler) reclaim(u *task) {
	s.mu.Lock()
	if s.offloaded[u.ID] != u {
		s.mu.Unlock()
		return
	}
	delete(s.offloaded, u.ID)
	u.to = ""
	a := u.admissionUnit()
	a.Offloaded = true
	err := s.queue.Offer(time.Now(), []admission.Unit{a})
	if err == nil {
		s.tasks[u.ID] = u
	}
	s.mu.Unlock()
	if err != nil {
		u.finish(result{err: err})
		return
	}
	if u.ctx.Err() != nil {
		s.cancelTasks([]*task{u})
		return
	}
	s.schedule()
}

// receiveBatch queues units that a peer hands over. A stopping entry sends them
// back.
func (s *scheduler) receiveBatch(from string, b *runBatch) {
	now := time.Now()
	for _, r := range b.Tasks {
		if !s.e.inFlight.tryAdd() {
			s.e.reply(from, &r, result{err: verdict.New(verdict.NotRun, verdict.Draining, "this entry is stopping")})
			continue
		}
		u := s.e.newPeerTask(from, r, now)
		s.mu.Lock()
		err := s.enqueue([]*task{u})
		s.mu.Unlock()
		if err != nil {
			u.finish(result{err: err})
		}
	}
	s.schedule()
}

// newPeerTask returns the unit for a task that a peer hands over.
func (e *Engine) newPeerTask(from string, r taskSpec, now time.Time) *task {
	u := &task{taskSpec: r, from: from, deadline: now.Add(r.Remaining)}
	if r.Lease > 0 {
		u.notAfter = now.Add(r.Lease)
	}
	end := u.deadline
	if !r.Repeatable {
		end = end.Add(lateGrace)
	}
	ctx, cancel := context.WithDeadline(e.baseCtx, end)
	u.ctx = ctx
	unwatch := context.AfterFunc(ctx, func() { e.scheduler(r.Class).cancelTasks([]*task{u}) })
	id := peerTaskID{from, r.ID}
	if r.Class == structs.Job {
		e.resultBatcher.expect(peerJobID{from, r.WorkID})
	}
	e.peerTasks.add(id, cancel)
	u.finish = func(res result) {
		defer e.inFlight.remove()
		e.peerTasks.remove(id)
		unwatch()
		cancel()
		e.reply(from, &r, res)
	}
	return u
}

// receiveResults takes the results of handed-over units.
func (s *scheduler) receiveResults(from string, results []runResult) {
	for _, r := range results {
		s.mu.Lock()
		u := s.offloaded[r.ID]
		if u == nil || u.to != from {
			s.mu.Unlock()
			continue
		}
		if s.retryLocally(u, &r.Outcome) {
			s.mu.Unlock()
			s.reclaim(u)
			continue
		}
		delete(s.offloaded, r.ID)
		s.mu.Unlock()
		u.finish(resultOf(&r.Outcome))
	}
}

// retryLocally reports whether a unit that a peer did not run is queued here.
func (s *scheduler) retryLocally(u *task, o *structs.Outcome) bool {
	return o.Verdict == verdict.NotRun && o.Reason != verdict.Cancelled && u.ctx.Err() == nil
}

// resultOf reads the outcome of one task.
func resultOf(o *structs.Outcome) result {
	if o.Verdict != verdict.Completed {
		return result{err: verdict.Of(o.Err())}
	}
	if len(o.Answers) != 1 {
		return result{err: verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "a peer sent %d answers for one task", len(o.Answers))}
	}
	return result{answer: o.Answers[0]}
}

// sendCancels asks peers to stop units, given by peer.
func (s *scheduler) sendCancels(byPeer map[string][]uint64) {
	for to, ids := range byPeer {
		m, err := wire.NewMessage(wire.RunCancel, runCancel{IDs: ids})
		if err == nil {
			err = s.e.Links.Send(to, m)
		}
		if err != nil {
			s.e.Log.Debug("cancel not sent", "to", to, "error", err)
		}
	}
}

// linkDown runs repeatable units of a peer that cannot be reached here. The
// others wait for the link, since the peer may be running them.
func (s *scheduler) linkDown(name string) {
	s.mu.Lock()
	delete(s.peerLoads, name)
	again := s.offloadedTo(name, func(u *task) bool { return u.Repeatable })
	s.mu.Unlock()
	for _, u := range again {
		s.reclaim(u)
	}
}

// offloadedTo returns the units at a peer that match. The caller holds the lock.
func (s *scheduler) offloadedTo(name string, match func(*task) bool) []*task {
	var units []*task
	for _, u := range s.offloaded {
		if u.to == name && match(u) {
			units = append(units, u)
		}
	}
	return units
}

// peerLost settles the units at a peer that is gone: repeatable ones run here,
// of the others it is not known whether they ran.
func (s *scheduler) peerLost(name string) {
	s.linkDown(name)
	s.mu.Lock()
	lost := s.offloadedTo(name, func(u *task) bool { return !u.Repeatable })
	for _, u := range lost {
		delete(s.offloaded, u.ID)
	}
	s.mu.Unlock()
	for _, u := range lost {
		u.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.HolderLost, "entry %s that ran the task is gone", name)})
	}
}

// expireOffloaded gives up units at peers that are silent past every bound.
func (s *scheduler) expireOffloaded(now time.Time) {
	var lost []*task
	s.mu.Lock()
	for id, u := range s.offloaded {
		if now.After(u.deadline.Add(lateGrace)) {
			delete(s.offloaded, id)
			lost = append(lost, u)
		}
	}
	s.mu.Unlock()
	for _, u := range lost {
		u.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.Timeout, "entry %s did not report the task's end", u.to)})
	}
}
