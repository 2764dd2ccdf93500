package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"currantstall/internal/engine"
	"currantstall/internal/placement"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
	"currantstall/internal/target"
)

// ownership computes which targets this entry owns, by dividing the targets
// among the linked members of the view, and informs the engine and the
// connection pool. Two owners of one target for a short time cost only
// performance.
type ownership struct {
	self          string
	engine        *engine.Engine
	pool          *target.Pool
	tracker       *target.Tracker
	listTargets   func() []platform.VM
	linkedEntries func() []string // names of the linked entries of the data centre
	entryCount    func() int      // number of linked entries of all data centres, plus this one

	mu            sync.Mutex
	view          structs.View
	computed      bool                   // for a view that contains this entry
	unlinkedSince map[string]time.Time   // by name, for members without a link
	byAddr        map[string]platform.VM // owned targets
	nextReport    int                    // index of the owned target to ask next for a usage report
	recompute     chan struct{}          // holds at most one request for a computation
}

func newOwnership() *ownership {
	return &ownership{
		unlinkedSince: make(map[string]time.Time),
		byAddr:        make(map[string]platform.VM),
		recompute:     make(chan struct{}, 1),
	}
}

// scheduleCompute requests a new computation from run.
func (o *ownership) scheduleCompute() {
	select {
	case o.recompute <- struct{}{}:
	default:
	}
}

// setView replaces the view and schedules a computation.
func (o *ownership) setView(v structs.View) {
	o.mu.Lock()
	o.view = v
	o.mu.Unlock()
	o.scheduleCompute()
}

// run computes the ownership on request, and at each linkLossDelay, since a lost
// link takes effect only after that delay. It ends with ctx.
func (o *ownership) run(ctx context.Context) {
	t := time.NewTicker(linkLossDelay)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.recompute:
		case <-t.C:
		}
		o.compute(time.Now())
	}
}

// compute assigns the targets to the members and passes the result to the engine
// and the pool.
func (o *ownership) compute(now time.Time) {
	vms := o.listTargets()
	members := o.presentMembers(now)
	owners := assignOwners(members, vms)
	var owned []platform.VM
	var workers []structs.Resources
	byAddr := make(map[string]platform.VM, len(vms))
	atPeers := make(map[platform.Role]int)
	for i, vm := range vms {
		if vm.Role == platform.RoleWorker {
			workers = append(workers, vm.Size)
		}
		switch {
		case owners[i] < 0:
		case members[owners[i]] == o.self:
			owned = append(owned, vm)
			byAddr[vm.Addr] = vm
		default:
			atPeers[vm.Role]++
		}
	}
	o.mu.Lock()
	o.byAddr = byAddr
	o.computed = slices.Contains(members, o.self)
	o.mu.Unlock()
	for _, vm := range vms {
		o.pool.SetShare(vm.Addr, o.connectionShare(vm))
	}
	o.engine.SetPeerTargets(atPeers[platform.RoleRunner], atPeers[platform.RoleWorker])
	o.engine.SetTargets(owned, workers)
	o.updateHealth(now)
}

// connectionShare returns how many connections to a target this entry may hold.
func (o *ownership) connectionShare(vm platform.VM) int {
	o.mu.Lock()
	_, mine := o.byAddr[vm.Addr]
	o.mu.Unlock()
	return target.ConnShare(vm.MaxConn, o.entryCount(), mine)
}

// assignOwners returns the index in members of each target's owner, or -1 if
// there are no members. Runners and workers are assigned separately, so that
// each member owns an even part of both.
func assignOwners(members []string, vms []platform.VM) []int {
	owners := make([]int, len(vms))
	for _, role := range []platform.Role{platform.RoleRunner, platform.RoleWorker} {
		var names []string
		var at []int
		for i := range vms {
			if vms[i].Role == role {
				names = append(names, vms[i].Name)
				at = append(at, i)
			}
		}
		for i, owner := range placement.AssignOwners(members, names) {
			owners[at[i]] = owner
		}
	}
	return owners
}

// presentMembers returns the names of the members that can own targets: this
// entry, and those whose link is up or has been down for less than
// linkLossDelay.
func (o *ownership) presentMembers(now time.Time) []string {
	up := make(map[string]bool)
	for _, name := range o.linkedEntries() {
		up[name] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for _, m := range o.view.Members {
		if m.Name == o.self || up[m.Name] {
			delete(o.unlinkedSince, m.Name)
			names = append(names, m.Name)
			continue
		}
		lost, known := o.unlinkedSince[m.Name]
		if !known {
			o.unlinkedSince[m.Name] = now
			lost = now
		}
		if now.Sub(lost) < linkLossDelay {
			names = append(names, m.Name)
		}
	}
	return names
}

// isComputed reports whether the ownership was computed for a view that contains
// this entry.
func (o *ownership) isComputed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.computed
}

// updateHealth passes the health of every owned target to the engine.
func (o *ownership) updateHealth(now time.Time) {
	owned := o.ownedByAddr()
	states := make([]engine.TargetHealth, 0, len(owned))
	for addr, vm := range owned {
		states = append(states, engine.TargetHealth{Name: vm.Name, Health: placementHealth(o.tracker.State(addr, now))})
	}
	o.engine.SetHealth(states...)
}

// onHealthChange passes the new health of a target to the engine if this entry
// owns the target.
func (o *ownership) onHealthChange(c target.Change) {
	o.mu.Lock()
	vm, ok := o.byAddr[c.Addr]
	o.mu.Unlock()
	if ok {
		o.engine.SetHealth(engine.TargetHealth{Name: vm.Name, Health: placementHealth(c.To)})
	}
}

// placementHealth returns the health in the terms of the placement.
func placementHealth(s target.State) placement.Health {
	switch s {
	case target.Healthy:
		return placement.Healthy
	case target.Trial:
		return placement.OnTrial
	case target.Ejected:
		return placement.Ejected
	}
	return placement.Leaving
}

func (o *ownership) ownedByAddr() map[string]platform.VM {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.byAddr // replaced as a whole, never modified
}

// ownedCount returns the number of owned targets.
func (o *ownership) ownedCount() int { return len(o.ownedByAddr()) }

// nextUsageTargets returns the addresses of the owned targets to ask next for a
// usage report: at most usageReportsPerInterval, in rotation.
func (o *ownership) nextUsageTargets() []string {
	owned := o.ownedByAddr()
	addrs := slices.Sorted(maps.Keys(owned))
	if len(addrs) <= usageReportsPerInterval {
		return addrs
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	next := make([]string, usageReportsPerInterval)
	for i := range next {
		next[i] = addrs[(o.nextReport+i)%len(addrs)]
	}
	o.nextReport = (o.nextReport + usageReportsPerInterval) % len(addrs)
	return next
}

// onUsage passes the usage report of an owned target to the engine.
func (o *ownership) onUsage(addr string, u target.Usage) {
	vm, ok := o.ownedByAddr()[addr]
	if !ok {
		return
	}
	at := time.Now().Add(-time.Duration(u.AgeMS) * time.Millisecond)
	o.engine.ReportUsage(vm.Name, at, placement.Usage{Running: len(u.Tasks), Used: u.Used})
}
