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
	// leavingAfterMissed is the number of consecutive VM lists without a target
	// after which it counts as leaving. A single one may come from a lagging
	// replica of the list.
	leavingAfterMissed = 2
	// leavingReportTTL is how long a target's own report that it is leaving
	// overrides a VM list that does not show it as leaving.
	leavingReportTTL = 30 * time.Second
	// pollTimeout bounds one read of the VM list.
	pollTimeout = time.Second
)

// SetConfig holds the settings of a Set: the source of the tracked targets and the
// components that it updates. Zero durations select the defaults.
type SetConfig struct {
	List platform.VMList
	DC   string // data centre of the targets
	// PollInterval is the time between two reads of the VM list.
	PollInterval time.Duration
	// GoneAfter is how long a target may be missing from the VM list before
	// it is removed from the set.
	GoneAfter time.Duration
	Tracker   *Tracker
	Pool      *Pool
	// Share returns how many connections to a target this entry may hold.
	// It is called for each listed target on each list. Nil means the
	// share of an owner.
	Share func(vm platform.VM) int
	// OnChange is called after each VM list that changed the set.
	OnChange func()
	Log      *slog.Logger
}

// Set tracks the targets of a data centre, from the platform's VM list, which
// lags, and from the targets' own reports that they are leaving. It adds them to
// a Tracker and a Pool and removes them. While the list is unavailable the set
// does not change.
type Set struct {
	cfg SetConfig

	mu      sync.Mutex
	targets map[string]*listedTarget // by address
}

// listedTarget is one target of a Set.
type listedTarget struct {
	vm              platform.VM
	missedLists     int       // consecutive lists without the target
	lastListed      time.Time // time of the last list with the target
	reportedLeaving time.Time // time of its last own report that it is leaving
}

// NewSet returns a set without targets. Run keeps it current.
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

// Run reads the VM list at each interval until ctx ends.
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

// Poll reads the VM list once.
func (s *Set) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := s.cfg.List.VMs(ctx)
	if err != nil {
		s.cfg.Log.Debug("VM list unavailable; targets unchanged", "err", err)
		return
	}
	s.Apply(vms, time.Now())
}

// Apply updates the set from one VM list.
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

// observeListed adds or updates a target that the VM list contains.
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

// observeMissing marks a target as leaving once enough consecutive lists lacked it,
// and removes it after GoneAfter.
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

// ReportLeaving marks a target as leaving on its own report. It serves as
// PoolConfig.OnLeaving.
func (s *Set) ReportLeaving(addr string) {
	now := time.Now()
	s.mu.Lock()
	if l := s.targets[addr]; l != nil {
		l.reportedLeaving = now
	}
	s.mu.Unlock()
	s.cfg.Tracker.Leave(addr, now)
}

// VMs returns the VMs of the targets that are not gone, sorted by name.
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

// groupOf returns the name of the health group of a target: its data centre and
// role.
func groupOf(vm platform.VM) string { return vm.DC + "/" + string(vm.Role) }
