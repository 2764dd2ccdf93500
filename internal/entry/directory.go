package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"currantstall/internal/peer"
	"currantstall/internal/platform"
	"currantstall/internal/structs"
)

// directory follows the platform's list of VMs: which entries to link, which
// data centres there are, and which targets. While the list is out of reach
// it stays as it is; until it was read once, the seeds stand for it.
type directory struct {
	list     platform.VMList
	log      func(msg string, args ...any)
	onVMList func([]platform.VM) // each list, before the entries are linked
	onPeers  func([]peer.Peer)
	seeds    []peer.Peer

	mu            sync.Mutex
	listRead      bool
	noListAtStart bool      // a poll failed before the first list was read
	listedSince   time.Time // the list is read without a gap; zero while it is not
	knownDCs      map[string]bool
	entries       []peer.Peer
	view          structs.View
}

// run reads the list at each interval until ctx ends.
func (d *directory) run(ctx context.Context) {
	d.linkSeeds()
	t := time.NewTicker(vmListInterval)
	defer t.Stop()
	for {
		d.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// linkSeeds links the seeds. Their data centres count as known.
func (d *directory) linkSeeds() {
	d.mu.Lock()
	d.entries = slices.Clone(d.seeds)
	for _, p := range d.seeds {
		d.knownDCs[p.DC] = true
	}
	d.mu.Unlock()
	d.updatePeers()
}

func (d *directory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	if err != nil {
		d.log("list of VMs not read", "error", err)
		d.pollFailed()
		return
	}
	d.mu.Lock()
	d.listRead = true
	if d.listedSince.IsZero() {
		d.listedSince = time.Now()
	}
	d.entries = nil
	for _, vm := range vms {
		d.knownDCs[vm.DC] = true
		if vm.Role == platform.RoleEntry {
			d.entries = append(d.entries, peer.Peer{Member: structs.Member{Name: vm.Name, Addr: vm.Addr}, DC: vm.DC})
		}
	}
	d.mu.Unlock()
	d.onVMList(vms)
	d.updatePeers()
}

// pollFailed notes that the list was not read.
func (d *directory) pollFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noListAtStart = d.noListAtStart || !d.listRead
	d.listedSince = time.Time{}
}

// setView adds the members of the view to the entries to link, since the list
// may lag behind it.
func (d *directory) setView(v structs.View) {
	d.mu.Lock()
	d.view = v
	d.mu.Unlock()
	d.updatePeers()
}

// updatePeers tells which entries to keep linked.
func (d *directory) updatePeers() {
	d.mu.Lock()
	peers := slices.Clone(d.entries)
	for _, m := range d.view.Members {
		known := slices.ContainsFunc(peers, func(p peer.Peer) bool { return p.Name == m.Name })
		if !known {
			peers = append(peers, peer.Peer{Member: m, DC: d.view.DC})
		}
	}
	d.mu.Unlock()
	d.onPeers(peers)
}

// hasList reports whether a list was read yet.
func (d *directory) hasList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listRead
}

// startedWithoutList reports whether the list was out of reach when the entry
// started.
func (d *directory) startedWithoutList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noListAtStart
}

// watchedFor returns for how long the list has been read without a gap.
func (d *directory) watchedFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listedSince.IsZero() {
		return 0
	}
	return time.Since(d.listedSince)
}

// knowsDC reports whether the data centre was ever listed, or has a
// seed.
func (d *directory) knowsDC(dc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knownDCs[dc]
}
