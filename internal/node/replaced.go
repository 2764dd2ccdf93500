package node

import (
	"net/netip"
	"strings"
	"time"

	"currantstall/internal/fleet"
)

// After the loss of many entries the platform's list still names the processes that are lost, and to a new entry
// all rows look alike: it has seen none of them renewed. An entry that is linked at an address shows that the one which was
// listed there before is gone. Until that was noticed, a new leader counted with twice the entries that there are, took
// itself for a minority, and left half of its targets alone for minorityAcquireDelay.

// roster tells which of two processes at one address is the younger one.
type roster struct {
	// seenAt is when a member was first known, 0 for those of the first list: they may be as old as any.
	seenAt   map[string]time.Duration
	linkedAt map[string]time.Duration // when the present link to a peer came up
	listed   bool                     // the platform's list was read
	// listedAt, names and live are the platform's last list: when it came, whom it names, and who has renewed its row lately.
	listedAt    time.Duration
	names, live map[string]bool
}

// announceWithin is how long after a link came up the platform's list may still name the process that the peer has replaced: an
// entry announces itself when it starts, and tries again when that fails. A peer that is not listed after that may be the
// former process, whose link is not yet known to be down.
const announceWithin = 1500 * time.Millisecond

func newRoster() roster {
	return roster{seenAt: make(map[string]time.Duration), linkedAt: make(map[string]time.Duration)}
}

// see notes that a member is known.
func (r *roster) see(now time.Duration, name string) {
	if _, seen := r.seenAt[name]; seen {
		return
	}
	if !r.listed {
		now = 0
	}
	r.seenAt[name] = now
}

// list notes which members the platform lists, and forgets those that are neither listed nor known otherwise.
func (r *roster) list(now time.Duration, list []fleet.Member, members map[string]fleet.Member) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
		r.see(now, m.Name)
	}
	r.listed, r.listedAt, r.names = true, now, listed
	for name := range r.seenAt {
		if _, known := members[name]; !known && !listed[name] {
			delete(r.seenAt, name)
		}
	}
}

// setLive notes which of the listed members have renewed their rows lately.
func (r *roster) setLive(live []string) {
	r.live = make(map[string]bool, len(live))
	for _, name := range live {
		r.live[name] = true
	}
}

// ownAddr reports whether an address may be that of one process. One that stands for all addresses of a VM is not.
func ownAddr(addr string) bool {
	a, err := netip.ParseAddrPort(addr)
	return !strings.HasPrefix(addr, ":") && (err != nil || !a.Addr().Unmap().IsUnspecified())
}

// holders returns by address the process that is known to be there: this one, or a linked one. An address that two have is shared
// by entries of several VMs, or the loss of one is about to be noticed, so nobody holds it.
func (r *roster) holders(self fleet.Member, members map[string]fleet.Member) map[string]string {
	holder := map[string]string{}
	hold := func(m fleet.Member) {
		if by, taken := holder[m.Addr]; taken && by != m.Name {
			holder[m.Addr] = ""
		} else if ownAddr(m.Addr) {
			holder[m.Addr] = m.Name
		}
	}
	hold(self)
	for name := range r.linkedAt {
		if m, known := members[name]; known {
			hold(m)
		}
	}
	return holder
}

// replaced returns the members that another process has replaced: this entry has their address, or one that was linked after
// they were known. A process that is listed at the address of a linked peer later has replaced that one, and so has one that
// the platform lists as live while the peer, linked for announceWithin, is not listed.
func (r *roster) replaced(self fleet.Member, members map[string]fleet.Member) []string {
	holder := r.holders(self, members)
	var replaced []string
	for name, m := range members {
		by := holder[m.Addr]
		if _, linked := r.linkedAt[name]; by == "" || by == name || linked || name == self.Name {
			continue
		}
		former := r.live[name] && !r.names[by] && r.listedAt >= r.linkedAt[by]+announceWithin
		if by == self.Name || r.seenAt[name] <= r.linkedAt[by] && !former {
			replaced = append(replaced, name)
		}
	}
	return replaced
}

// dropReplaced forgets the members that were replaced.
func (n *Node) dropReplaced() {
	replaced := n.roster.replaced(n.cfg.Self, n.directory.members)
	if len(replaced) == 0 {
		return
	}
	for _, name := range replaced {
		delete(n.directory.members, name)
	}
	n.counts.replaced.Inc(int64(len(replaced)))
	n.log.Info("members forgotten: others listen at their addresses", "count", len(replaced), "members", len(n.directory.members))
	n.linkPlan.nextAt, n.policiesDue = 0, true
}
