package engine

import (
	"context"
	"slices"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/manifest"
	"currantstall/internal/placement"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

// SetTargets replaces the targets that this entry owns and the sizes of all
// workers of the data centre.
func (e *Engine) SetTargets(owned []platform.VM, workerSizes []structs.Resources) {
	var runners, workers []platform.VM
	for _, vm := range owned {
		if vm.Role == platform.RoleRunner {
			runners = append(runners, vm)
		} else {
			workers = append(workers, vm)
		}
	}
	e.requests.setTargets(runners, nil)
	e.jobs.setTargets(workers, workerSizes)
}

func (s *scheduler) setTargets(owned []platform.VM, sizes []structs.Resources) {
	var rejected []rejectedTask
	s.mu.Lock()
	s.pool.setOwned(owned)
	if !slices.Equal(s.pool.workerSizes, sizes) {
		s.pool.workerSizes = sizes
		rejected = s.takeNeverFitting()
	}
	s.queue.SetCapacity(s.pool.capacity())
	s.setPeerCapacity(time.Now())
	s.mu.Unlock()
	for _, r := range rejected {
		r.t.finish(result{err: r.err})
	}
	s.schedule()
}

// SetPeerTargets sets how many runners and workers the other entries of the data centre
// own, as far as this entry can tell from the VM list.
func (e *Engine) SetPeerTargets(runners, workers int) {
	now := time.Now()
	e.requests.setPeerTargets(now, runners)
	e.jobs.setPeerTargets(now, workers)
}

func (s *scheduler) setPeerTargets(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peerTargets == 0 {
		s.peerTargetsSince = now
	}
	s.peerTargets = n
	s.setPeerCapacity(now)
}

// rejectedTask is a task with the reason for its rejection.
type rejectedTask struct {
	t   *task
	err *verdict.Error
}

// takeNeverFitting removes queued tasks that are too large for every worker,
// and returns them. Such tasks can be queued before the workers are known. The
// caller holds the lock.
func (s *scheduler) takeNeverFitting() []rejectedTask {
	var rejected []rejectedTask
	for id, t := range s.tasks {
		err := s.pool.neverFits(s.pool.needs(t.Kind, t.Needs))
		if err != nil && s.queue.Cancel(id) {
			delete(s.tasks, id)
			rejected = append(rejected, rejectedTask{t, err})
		}
	}
	return rejected
}

// TargetHealth is the health of an owned target, which limits the tasks that it
// gets.
type TargetHealth struct {
	Name   string
	Health placement.Health
}

// SetHealth sets the health of owned targets. A call for many targets costs as
// much as a call for one, so callers should pass them together.
func (e *Engine) SetHealth(targets ...TargetHealth) {
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		for _, t := range targets {
			s.pool.index.SetHealth(t.Name, t.Health)
		}
		s.queue.SetCapacity(s.pool.capacity())
		s.mu.Unlock()
		s.schedule()
	}
}

// ReportUsage records the usage that an owned target reported for the time at.
func (e *Engine) ReportUsage(name string, at time.Time, u placement.Usage) {
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		s.pool.index.ReportUsage(name, at, u)
		s.mu.Unlock()
	}
}

// Configure applies a manifest. quotaFraction is this entry's share of the team
// quotas.
func (e *Engine) Configure(m *manifest.Manifest, quotaFraction float64) {
	now := time.Now()
	for _, s := range []*scheduler{e.requests, e.jobs} {
		var kinds []manifest.Kind
		for _, k := range m.Kinds {
			if k.WorkClass() == s.class {
				kinds = append(kinds, k)
			}
		}
		s.mu.Lock()
		s.queue.Configure(now, kinds, m.Teams, m.Limits)
		s.queue.SetQuotaFraction(now, quotaFraction)
		s.pool.initTypicalNeeds(kinds)
		s.queue.SetCapacity(s.pool.capacity())
		s.mu.Unlock()
		s.schedule()
	}
}

// KindStatus returns the load of each kind at this entry.
func (e *Engine) KindStatus() []admission.KindStats {
	var kinds []admission.KindStats
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		kinds = append(kinds, s.queue.Stats().Kinds...)
		s.mu.Unlock()
	}
	return kinds
}

// Run checks deadlines, sends results and reports this entry's load to its
// peers, until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, s := range []*scheduler{e.requests, e.jobs} {
				s.onTick(now)
			}
			e.resultBatcher.flush(now)
			e.broadcastLoad(now)
		}
	}
}

// onTick updates the capacities in the queue, starts tasks and expires overdue
// ones.
func (s *scheduler) onTick(now time.Time) {
	s.mu.Lock()
	s.queue.SetCapacity(s.pool.capacity())
	s.setPeerCapacity(now)
	s.mu.Unlock()
	s.schedule()
	s.expireOffloaded(now)
}
