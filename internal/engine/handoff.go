package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// offloadBatch is a set of tasks to offload to one peer.
type offloadBatch struct {
	to    string
	tasks []*task
}

// sendBatch offloads tasks to a peer. If the link is down, they are queued here
// again.
func (s *scheduler) sendBatch(b offloadBatch) {
	now := time.Now()
	msg := runBatch{Tasks: make([]taskSpec, 0, len(b.tasks))}
	for _, t := range b.tasks {
		if s.setLease(t) != nil {
			s.reclaim(t)
			continue
		}
		t.Remaining = t.deadline.Sub(now)
		t.WorkID = t.workID
		msg.Tasks = append(msg.Tasks, t.taskSpec)
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
	for _, t := range b.tasks {
		s.reclaim(t)
	}
}

// setLease sets the time for which the peer may start the task. A task without
// a claim of this entry has no such limit.
func (s *scheduler) setLease(t *task) error {
	if !t.claimed {
		return nil
	}
	until, err := s.e.Claims.MayStart(t.Key)
	if err != nil {
		return err
	}
	t.Lease = time.Until(until)
	return nil
}

// reclaim queues an offloaded task here again. It is not offloaded a second
// time.
func (s *scheduler) reclaim(t *task) {
	s.mu.Lock()
	if s.offloaded[t.ID] != t {
		s.mu.Unlock()
		return
	}
	delete(s.offloaded, t.ID)
	t.to = ""
	a := t.admissionUnit()
	a.Offloaded = true
	err := s.queue.Offer(time.Now(), []admission.Unit{a})
	if err == nil {
		s.tasks[t.ID] = t
	}
	s.mu.Unlock()
	if err != nil {
		t.finish(result{err: err})
		return
	}
	if t.ctx.Err() != nil {
		s.cancelTasks([]*task{t})
		return
	}
	s.schedule()
}

// receiveBatch queues tasks that a peer offloads. An entry that is stopping
// returns them with the verdict NotRun.
func (s *scheduler) receiveBatch(from string, b *runBatch) {
	now := time.Now()
	for _, spec := range b.Tasks {
		if !s.e.inFlight.tryAdd() {
			s.e.reply(from, &spec, result{err: verdict.New(verdict.NotRun, verdict.Draining, "this entry is stopping")})
			continue
		}
		t := s.e.newPeerTask(from, spec, now)
		s.mu.Lock()
		err := s.enqueue([]*task{t})
		s.mu.Unlock()
		if err != nil {
			t.finish(result{err: err})
		}
	}
	s.schedule()
}

// newPeerTask returns a task that a peer offloads to this entry. When it ends,
// its result is sent to the peer.
func (e *Engine) newPeerTask(from string, spec taskSpec, now time.Time) *task {
	t := &task{taskSpec: spec, from: from, deadline: now.Add(spec.Remaining)}
	if spec.Lease > 0 {
		t.notAfter = now.Add(spec.Lease)
	}
	end := t.deadline
	if !spec.Repeatable {
		end = end.Add(lateGrace)
	}
	ctx, cancel := context.WithDeadline(e.baseCtx, end)
	t.ctx = ctx
	stopWatch := context.AfterFunc(ctx, func() { e.scheduler(spec.Class).cancelTasks([]*task{t}) })
	id := peerTaskID{from, spec.ID}
	if spec.Class == structs.Job {
		e.resultBatcher.expect(peerJobID{from, spec.WorkID})
	}
	e.peerTasks.add(id, cancel)
	t.finish = func(res result) {
		defer e.inFlight.remove()
		e.peerTasks.remove(id)
		stopWatch()
		cancel()
		e.reply(from, &spec, res)
	}
	return t
}

// receiveResults handles the results of offloaded tasks.
func (s *scheduler) receiveResults(from string, results []runResult) {
	for _, r := range results {
		s.mu.Lock()
		t := s.offloaded[r.ID]
		if t == nil || t.to != from {
			s.mu.Unlock()
			continue
		}
		s.noLongerAtPeer(t)
		if s.retryLocally(t, &r.Outcome) {
			s.mu.Unlock()
			s.reclaim(t)
			continue
		}
		delete(s.offloaded, r.ID)
		s.mu.Unlock()
		t.finish(resultOf(&r.Outcome))
	}
	s.schedule()
}

// retryLocally reports whether a task that the peer did not run is to be queued
// here again.
func (s *scheduler) retryLocally(t *task, o *structs.Outcome) bool {
	return o.Verdict == verdict.NotRun && o.Reason != verdict.Cancelled && t.ctx.Err() == nil
}

// resultOf converts the outcome that a peer reports for one task.
func resultOf(o *structs.Outcome) result {
	if o.Verdict != verdict.Completed {
		return result{err: verdict.FromError(o.Err())}
	}
	if len(o.Answers) != 1 {
		return result{err: verdict.New(verdict.MayHaveRun, verdict.MismatchedAnswer, "a peer sent %d answers for one task, expected 1", len(o.Answers))}
	}
	return result{answer: o.Answers[0]}
}

// sendCancels asks peers to cancel offloaded tasks. byPeer holds the task IDs
// of each peer.
func (s *scheduler) sendCancels(byPeer map[string][]uint64) {
	for to, ids := range byPeer {
		m, err := wire.NewMessage(wire.RunCancel, runCancel{IDs: ids})
		if err == nil {
			err = s.e.Links.Send(to, m)
		}
		if err != nil {
			s.e.Log.Debug("cancellation of offloaded tasks not sent to peer", "to", to, "err", err)
		}
	}
}

// linkDown reclaims the repeatable tasks that were offloaded to an unreachable
// peer. The others wait until the link is up again, since the peer may be
// running them.
func (s *scheduler) linkDown(name string) {
	s.mu.Lock()
	delete(s.peerLoads, name)
	repeatable := s.offloadedTo(name, func(t *task) bool { return t.Repeatable })
	for _, t := range repeatable {
		t.keepMayHaveRun(verdict.New(verdict.MayHaveRun, verdict.HolderLost, "entry %s, which held the task, became unreachable", name))
	}
	s.mu.Unlock()
	for _, t := range repeatable {
		s.reclaim(t)
	}
}

// offloadedTo returns the tasks offloaded to a peer that match. The caller
// holds the lock.
func (s *scheduler) offloadedTo(name string, match func(*task) bool) []*task {
	var tasks []*task
	for _, t := range s.offloaded {
		if t.to == name && match(t) {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// peerLost ends the wait for tasks that were offloaded to a lost peer. It
// reclaims the repeatable ones. The others get the verdict MayHaveRun, since it
// is unknown whether they ran.
func (s *scheduler) peerLost(name string) {
	s.linkDown(name)
	s.mu.Lock()
	lost := s.offloadedTo(name, func(t *task) bool { return !t.Repeatable })
	for _, t := range lost {
		delete(s.offloaded, t.ID)
	}
	s.mu.Unlock()
	for _, t := range lost {
		t.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.HolderLost, "entry %s, which held the task, restarted or left the view", name)})
	}
}

// expireOffloaded ends the wait for offloaded tasks whose results are overdue:
// lateGrace after the deadline the peer has stopped them too.
func (s *scheduler) expireOffloaded(now time.Time) {
	var lost []*task
	s.mu.Lock()
	for id, t := range s.offloaded {
		if now.After(t.deadline.Add(lateGrace)) {
			delete(s.offloaded, id)
			lost = append(lost, t)
		}
	}
	s.mu.Unlock()
	for _, t := range lost {
		t.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.Timeout, "entry %s did not report the result of the task in time", t.to)})
	}
}
