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

// SetTargets replaces the targets that this entry owns, and tells the sizes of
// all workers of the data centre.
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
	s.mu.Unlock()
	for _, r := range rejected {
		r.t.finish(result{err: r.err})
	}
	s.schedule()
}

// rejectedTask is a unit with the reason for which it is rejectedTask.
type rejectedTask struct {
	t   *task
	err *verdict.Error
}

// takeNeverFitting removes queued tasks that no worker could ever hold, such as those
// that were taken in before any worker was known. The caller holds the lock.
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

// TargetHealth is what an owned target may get.
type TargetHealth struct {
	Name   string
	Health placement.Health
}

// SetHealth tells what owned targets may get. It costs as much for all of them
// as for one, so they are told together.
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

// ReportUsage tells what an owned target itself says that it runs, as of at.
func (e *Engine) ReportUsage(name string, at time.Time, u placement.Usage) {
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		s.pool.index.ReportUsage(name, at, u)
		s.mu.Unlock()
	}
}

// Configure adopts a manifest. fraction is this entry's part of the quotas.
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

// KindStatus returns the load of each kind here.
func (e *Engine) KindStatus() []admission.KindStats {
	var kinds []admission.KindStats
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		kinds = append(kinds, s.queue.Stats().Kinds...)
		s.mu.Unlock()
	}
	return kinds
}

// Run keeps deadlines and tells the peers this entry's load, until ctx ends.
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

// onTick does what is due at each tick.
func (s *scheduler) onTick(now time.Time) {
	s.mu.Lock()
	s.queue.SetCapacity(s.pool.capacity())
	s.setPeerCapacity(now)
	s.mu.Unlock()
	s.schedule()
	s.expireOffloaded(now)
}
