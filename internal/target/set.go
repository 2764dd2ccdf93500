package target

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"currantstall/internal/platform"
)

// Defaults of SetConfig.
const (
	DefaultPollInterval = time.Second
	DefaultGoneAfter    = 30 * time.Second
)

const (
	// leavingAfterMissed is the number of lists in a row without a target after
	// which it counts as leaving. One may stem from a lagging replica.
	leavingAfterMissed = 2
	// leavingReportTTL is how long a target's own word that it is leaving counts
	// while the list does not say so.
	leavingReportTTL = 30 * time.Second
	// pollTimeout bounds one read of the list.
	pollTimeout = time.Second
)

// SetConfig describes which targets a Set follows. Zero durations stand for
// defaults.
type SetConfig struct {
	List platform.VMList
	DC   string // targets of this data centre
	// PollInterval is the time between two reads of the list.
	PollInterval time.Duration
	// GoneAfter is how long a target may be missing from the list until it
	// is forgotten.
	GoneAfter time.Duration
	Tracker   *Tracker
	Pool      *Pool
	// Share returns how many connections to a target this entry may hold.
	// It is asked for each target at each list. Nil stands for the share of
	// an owner.
	Share func(vm platform.VM) int
	// OnChange is called after each list that changed the set.
	OnChange func()
	Log      *slog.Logger
}

// Set follows the targets of a data centre: the platform's lagging list and
// what the targets say themselves. While the list is out of reach the set stays
// as it is.
type Set struct {
	cfg SetConfig

	mu      sync.Mutex
	targets map[string]*listedTarget // by address
}

// listedTarget is one target.
type listedTarget struct {
	vm              platform.VM
	missedLists     int       // lists in a row without it
	lastListed      time.Time // when a list last had it
	reportedLeaving time.Time // when it last said that it is leaving
}

// NewSet returns a set without targets. Run keeps it up to date.
func NewSet(cfg SetConfig) *Set {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.GoneAfter <= 0 {
		cfg.GoneAfter = DefaultGoneAfter
	}
	if cfg.Share == nil {
		cfg.Share = func(vm platform.VM) int { return ConnShare(vm.MaxConn, 1, true) }
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func() {}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Set{cfg: cfg, targets: make(map[string]*listedTarget)}
}

// Run reads the list at each interval until ctx ends.
func (s *Set) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.PollInterval)
	defer ticker.Stop()
	for {
		s.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll reads the list once.
func (s *Set) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := s.cfg.List.VMs(ctx)
	if err != nil {
		s.cfg.Log.Debug("the list of VMs is unavailable", "err", err)
		return
	}
	s.Apply(vms, time.Now())
}

// Apply takes in one list.
func (s *Set) Apply(vms []platform.VM, now time.Time) {
	if s.apply(vms, now) {
		s.cfg.OnChange()
	}
}

func (s *Set) apply(vms []platform.VM, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.targets {
		l.missedLists++
	}
	for _, vm := range vms {
		if s.matches(vm) {
			changed = s.observeListed(vm, now) || changed
		}
	}
	for addr, l := range s.targets {
		changed = s.observeMissing(addr, l, now) || changed
	}
	return changed
}

func (s *Set) matches(vm platform.VM) bool {
	return vm.DC == s.cfg.DC && (vm.Role == platform.RoleRunner || vm.Role == platform.RoleWorker)
}

// observeListed takes in a target that the list has.
func (s *Set) observeListed(vm platform.VM, now time.Time) (changed bool) {
	l := s.targets[vm.Addr]
	if l == nil {
		l = &listedTarget{}
		s.targets[vm.Addr] = l
	}
	changed = l.vm != vm
	relisted := l.missedLists > leavingAfterMissed
	l.vm, l.missedLists, l.lastListed = vm, 0, now
	s.cfg.Tracker.Add(vm.Addr, groupOf(vm), now)
	s.cfg.Pool.SetShare(vm.Addr, s.cfg.Share(vm))
	switch {
	case vm.Leaving:
		s.cfg.Tracker.Leave(vm.Addr, now)
	case now.Sub(l.reportedLeaving) >= leavingReportTTL:
		s.cfg.Tracker.Return(vm.Addr, now)
	}
	return changed || relisted
}

// observeMissing counts a target that the list lacks as leaving and then as gone.
func (s *Set) observeMissing(addr string, l *listedTarget, now time.Time) (changed bool) {
	if l.missedLists < leavingAfterMissed {
		return false
	}
	s.cfg.Tracker.Leave(addr, now)
	if now.Sub(l.lastListed) < s.cfg.GoneAfter {
		return l.missedLists == leavingAfterMissed
	}
	delete(s.targets, addr)
	s.cfg.Tracker.Remove(addr, now)
	s.cfg.Pool.Forget(addr)
	return true
}

// ReportLeaving takes in that a target itself said that it is leaving. It is made
// for PoolConfig.OnLeaving.
func (s *Set) ReportLeaving(addr string) {
	now := time.Now()
	s.mu.Lock()
	if l := s.targets[addr]; l != nil {
		l.reportedLeaving = now
	}
	s.mu.Unlock()
	s.cfg.Tracker.Leave(addr, now)
}

// VMs returns the targets that are not gone, sorted by name.
func (s *Set) VMs() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]platform.VM, 0, len(s.targets))
	for _, l := range s.targets {
		out = append(out, l.vm)
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// groupOf returns the group within which a target is compared.
func groupOf(vm platform.VM) string { return vm.DC + "/" + string(vm.Role) }
