package engine

import (
	"context"
	"time"

	"currantstall/internal/admission"
	"currantstall/internal/manifest"
	"currantstall/internal/placement"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
)

// SetTargets replaces the targets that this entry owns, and tells the sizes of
// all workers of the data centre.
func (e *Engine) SetTargets(owned []platform.VM, workers []structs.Resources) {
	var runners, own []platform.VM
	for _, vm := range owned {
		if vm.Role == platform.RoleRunner {
			runners = append(runners, vm)
		} else {
			own = append(own, vm)
		}
	}
	e.requests.setTargets(runners, nil)
	e.jobs.setTargets(own, workers)
}

func (s *scheduler) setTargets(owned []platform.VM, sizes []structs.Resources) {
	s.mu.Lock()
	s.pool.setOwned(owned)
	s.pool.sizes = sizes
	s.queue.SetCapacity(s.pool.capacity())
	s.mu.Unlock()
	s.kick()
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
		s.kick()
	}
}

// Report tells what an owned target itself says that it runs, as of at.
func (e *Engine) Report(name string, at time.Time, u placement.Usage) {
	for _, s := range []*scheduler{e.requests, e.jobs} {
		s.mu.Lock()
		s.pool.index.Report(name, at, u)
		s.mu.Unlock()
	}
}

// Configure adopts a manifest. fraction is this entry's part of the quotas.
func (e *Engine) Configure(m *manifest.Manifest, fraction float64) {
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
		s.queue.SetQuotaFraction(now, fraction)
		s.pool.guessTypical(kinds)
		s.queue.SetCapacity(s.pool.capacity())
		s.mu.Unlock()
		s.kick()
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
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			for _, s := range []*scheduler{e.requests, e.jobs} {
				s.beat(now)
			}
			e.results.flush(now)
			e.tell(now)
		}
	}
}

// beat does what is due at each tick.
func (s *scheduler) beat(now time.Time) {
	s.mu.Lock()
	s.queue.SetCapacity(s.pool.capacity())
	s.setPeerRoom(now)
	s.mu.Unlock()
	s.kick()
	s.expireHanded(now)
}
