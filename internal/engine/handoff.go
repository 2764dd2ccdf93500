package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
	"currantstall/internal/wire"
)

// batch is a set of units for one peer.
type batch struct {
	to    string
	units []*unit
}

// sendBatch hands units over. If the link is down they are queued here again.
func (s *scheduler) sendBatch(b batch) {
	now := time.Now()
	msg := runBatch{Units: make([]runUnit, 0, len(b.units))}
	for _, u := range b.units {
		if s.lease(u) != nil {
			s.takeBack(u)
			continue
		}
		u.Remaining = u.deadline.Sub(now)
		u.Group = u.group
		msg.Units = append(msg.Units, u.runUnit)
	}
	if len(msg.Units) == 0 {
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
		s.takeBack(u)
	}
}

// lease sets the time for which the peer may start the unit. A unit under no
// claim of this entry has no bound.
func (s *scheduler) lease(u *unit) error {
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

// takeBack queues a unit here that a peer has not started. It is not handed
// over again.
func (s *scheduler) takeBack(u *unit) {
	s.mu.Lock()
	if s.handed[u.ID] != u {
		s.mu.Unlock()
		return
	}
	delete(s.handed, u.ID)
	u.to = ""
	a := u.admission()
	a.Handed = true
	err := s.queue.Offer(time.Now(), []admission.Unit{a})
	if err == nil {
		s.units[u.ID] = u
	}
	s.mu.Unlock()
	if err != nil {
		u.finish(result{err: err})
		return
	}
	if u.ctx.Err() != nil {
		s.stop([]*unit{u})
		return
	}
	s.kick()
}

// receiveBatch queues units that a peer hands over. A stopping entry sends them
// back.
func (s *scheduler) receiveBatch(from string, b *runBatch) {
	now := time.Now()
	for _, r := range b.Units {
		if !s.e.flights.enter() {
			s.e.reply(from, &r, result{err: verdict.New(verdict.NotRun, verdict.Draining, "this entry is stopping")})
			continue
		}
		u := s.e.handedUnit(from, r, now)
		s.mu.Lock()
		err := s.offer([]*unit{u})
		s.mu.Unlock()
		if err != nil {
			u.finish(result{err: err})
		}
	}
	s.kick()
}

// handedUnit returns the unit for a task that a peer hands over.
func (e *Engine) handedUnit(from string, r runUnit, now time.Time) *unit {
	u := &unit{runUnit: r, from: from, deadline: now.Add(r.Remaining)}
	if r.Lease > 0 {
		u.notAfter = now.Add(r.Lease)
	}
	end := u.deadline
	if !r.Repeatable {
		end = end.Add(lateGrace)
	}
	ctx, cancel := context.WithDeadline(e.base, end)
	u.ctx = ctx
	unwatch := context.AfterFunc(ctx, func() { e.scheduler(r.Class).stop([]*unit{u}) })
	origin := remoteID{from, r.ID}
	if r.Class == structs.Job {
		e.results.expect(groupID{from, r.Group})
	}
	e.remotes.add(origin, cancel)
	u.finish = func(res result) {
		defer e.flights.leave()
		e.remotes.remove(origin)
		unwatch()
		cancel()
		e.reply(from, &r, res)
	}
	return u
}

// receiveDone takes the results of handed-over units.
func (s *scheduler) receiveDone(from string, results []runResult) {
	for _, r := range results {
		s.mu.Lock()
		u := s.handed[r.ID]
		if u == nil || u.to != from {
			s.mu.Unlock()
			continue
		}
		if s.retryHere(u, &r.Outcome) {
			s.mu.Unlock()
			s.takeBack(u)
			continue
		}
		delete(s.handed, r.ID)
		s.mu.Unlock()
		u.finish(resultOf(&r.Outcome))
	}
}

// retryHere reports whether a unit that a peer did not run is queued here.
func (s *scheduler) retryHere(u *unit, o *structs.Outcome) bool {
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

// suspectPeer runs repeatable units of a peer that cannot be reached here. The
// others wait for the link, since the peer may be running them.
func (s *scheduler) suspectPeer(name string) {
	s.mu.Lock()
	delete(s.peers, name)
	again := s.handedTo(name, func(u *unit) bool { return u.Repeatable })
	s.mu.Unlock()
	for _, u := range again {
		s.takeBack(u)
	}
}

// handedTo returns the units at a peer that match. The caller holds the lock.
func (s *scheduler) handedTo(name string, match func(*unit) bool) []*unit {
	var units []*unit
	for _, u := range s.handed {
		if u.to == name && match(u) {
			units = append(units, u)
		}
	}
	return units
}

// losePeer settles the units at a peer that is gone: repeatable ones run here,
// of the others it is not known whether they ran.
func (s *scheduler) losePeer(name string) {
	s.suspectPeer(name)
	s.mu.Lock()
	lost := s.handedTo(name, func(u *unit) bool { return !u.Repeatable })
	for _, u := range lost {
		delete(s.handed, u.ID)
	}
	s.mu.Unlock()
	for _, u := range lost {
		u.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.HolderLost, "entry %s that ran the task is gone", name)})
	}
}

// expireHanded gives up units at peers that are silent past every bound.
func (s *scheduler) expireHanded(now time.Time) {
	var lost []*unit
	s.mu.Lock()
	for id, u := range s.handed {
		if now.After(u.deadline.Add(lateGrace)) {
			delete(s.handed, id)
			lost = append(lost, u)
		}
	}
	s.mu.Unlock()
	for _, u := range lost {
		u.finish(result{err: verdict.New(verdict.MayHaveRun, verdict.Timeout, "entry %s did not report the task's end", u.to)})
	}
}
