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
	list    platform.List
	log     func(msg string, args ...any)
	onList  func([]platform.VM) // each list, before the entries are linked
	onPeers func([]peer.Peer)
	seeds   []peer.Peer

	mu      sync.Mutex
	read    bool
	blind   bool      // a poll failed before the first list was read
	since   time.Time // the list is read without a gap; zero while it is not
	dcs     map[string]bool
	entries []peer.Peer
	view    structs.View
}

// run reads the list at each interval until ctx ends.
func (d *directory) run(ctx context.Context) {
	d.seed()
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

// seed links the seeds. Their data centres count as known.
func (d *directory) seed() {
	d.mu.Lock()
	d.entries = slices.Clone(d.seeds)
	for _, p := range d.seeds {
		d.dcs[p.DC] = true
	}
	d.mu.Unlock()
	d.link()
}

func (d *directory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformWait)
	defer cancel()
	vms, err := d.list.VMs(ctx)
	if err != nil {
		d.log("list of VMs not read", "error", err)
		d.missed()
		return
	}
	d.mu.Lock()
	d.read = true
	if d.since.IsZero() {
		d.since = time.Now()
	}
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

// missed notes that the list was not read.
func (d *directory) missed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blind = d.blind || !d.read
	d.since = time.Time{}
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

// startedBlind reports whether the list was out of reach when the entry
// started.
func (d *directory) startedBlind() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blind
}

// watched returns for how long the list has been read without a gap.
func (d *directory) watched() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.since.IsZero() {
		return 0
	}
	return time.Since(d.since)
}

// knows reports whether the data centre was ever listed, or has a
// seed.
func (d *directory) knows(dc string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dcs[dc]
}
