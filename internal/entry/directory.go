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
// it stays as it is.
type directory struct {
	list    platform.List
	log     func(msg string, args ...any)
	onList  func([]platform.VM) // each list, before the entries are linked
	onPeers func([]peer.Peer)

	mu      sync.Mutex
	read    bool
	dcs     map[string]bool
	entries []peer.Peer
	view    structs.View
}

// run reads the list at each interval until ctx ends.
func (d *directory) run(ctx context.Context) {
	t := time.NewTicker(listPoll)
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

func (d *directory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	if err != nil {
		d.log("list of VMs not read", "error", err)
		return
	}
	d.mu.Lock()
	d.read = true
	d.entries = nil
	for _, vm := range vms {
		d.dcs[vm.DC] = true
		if vm.Role == platform.RoleEntry {
			d.entries = append(d.entries, peer.Peer{Member: structs.Member{Name: vm.Name, Addr: vm.Addr}, DC: vm.DC})
		}
	}
	d.mu.Unlock()
	d.onList(vms)
	d.link()
}

// setView adds the members of the view to the entries to link, since the list
// may lag behind it.
func (d *directory) setView(v structs.View) {
	d.mu.Lock()
	d.view = v
	d.mu.Unlock()
	d.link()
}

// link tells which entries to keep linked.
func (d *directory) link() {
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

// seen reports whether a list was read yet.
func (d *directory) seen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.read
}

// knows reports whether the data centre was ever listed.
func (d *directory) knows(dc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dcs[dc]
}
