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

// directory polls the platform's VM list and derives from it the entries to
// link, the known data centres and the targets. While the list can't be read,
// the last one stays in use; until the first one is read, the seeds are linked
// instead.
type directory struct {
	list     platform.VMList
	log      func(msg string, args ...any)
	onVMList func([]platform.VM) // called with each list, before the entries are linked
	onPeers  func([]peer.Peer)   // called with the entries to keep linked
	seeds    []peer.Peer

	mu            sync.Mutex
	listRead      bool      // at least one list was read
	noListAtStart bool      // a poll failed before the first list was read
	listedSince   time.Time // first of the latest uninterrupted successful polls; zero after a failed poll
	knownDCs      map[string]bool
	entries       []peer.Peer
	view          structs.View
}

// run links the seeds, then polls the list at each vmListInterval until ctx
// ends.
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

// linkSeeds links the seeds and adds their data centres to the known ones.
func (d *directory) linkSeeds() {
	d.mu.Lock()
	d.entries = slices.Clone(d.seeds)
	for _, p := range d.seeds {
		d.knownDCs[p.DC] = true
	}
	d.mu.Unlock()
	d.updatePeers()
}

// poll reads the list once and applies it.
func (d *directory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	if err != nil {
		d.log("VM list could not be read from the platform", "err", err)
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

// pollFailed records that a poll failed.
func (d *directory) pollFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noListAtStart = d.noListAtStart || !d.listRead
	d.listedSince = time.Time{}
}

// setView links the members of the view in addition to the listed entries,
// since the list may lag behind the view.
func (d *directory) setView(v structs.View) {
	d.mu.Lock()
	d.view = v
	d.mu.Unlock()
	d.updatePeers()
}

// updatePeers passes the listed entries and the members of the view to onPeers.
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

// hasList reports whether at least one list was read.
func (d *directory) hasList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listRead
}

// startedWithoutList reports whether a poll failed before the first list was
// read.
func (d *directory) startedWithoutList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.noListAtStart
}

// watchedFor returns for how long every poll of the list has succeeded, or 0
// after a failed poll.
func (d *directory) watchedFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listedSince.IsZero() {
		return 0
	}
	return time.Since(d.listedSince)
}

// knowsDC reports whether the data centre is this entry's own, was on a list, or
// has a seed.
func (d *directory) knowsDC(dc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knownDCs[dc]
}
