package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loadStaleAfter is the age from which on a peer's load is ignored.
	loadStaleAfter = time.Second
	// minOffloadWait and minOffloadGain are the least values that justify the
	// two messages of an offload: the least wait at this entry and, for a peer
	// in another data centre, the least time saved.
	minOffloadWait = time.Millisecond
	minOffloadGain = 2 * time.Millisecond
)

// PeerLoad is the last known load of a peer for one kind of work. Loads are
// kept per kind because slots that are free for one kind may be reserved from
// another.
type PeerLoad struct {
	Member string
	DC     string
	Free   int           // slots that the kind could use now
	Queued int           // units of the kind in the peer's queue
	Wait   time.Duration // estimate for one more unit at the peer
	OneWay time.Duration // one-way network latency to the peer
	Age    time.Duration // time since the load was measured
	Sent   int           // units sent to the peer since the load was measured
}

// LocalLoad is the load of the deciding entry for the same kind of work.
type LocalLoad struct {
	DC     string
	Queued int           // units that may be offloaded
	Wait   time.Duration // estimate for the last of them
}

// Batch is a decision to offload N units to the peer Member.
type Batch struct {
	Member string
	N      int
}

// PlanOffload decides how many queued units each peer gets. Peers with free
// capacity in the same data centre come first, nearest first. Peers in other
// data centres get units only if the wait at this entry exceeds the round trip.
// Units sent since a load was measured are subtracted from the peer's capacity,
// older loads count for less, and the capacity is divided among all entries
// with a queue, so that they do not all send to the same peer.
func PlanOffload(local LocalLoad, peers []PeerLoad) []Batch {
	if local.Queued == 0 {
		return nil
	}
	senders := 1
	for _, p := range peers {
		if p.Queued > 0 {
			senders++
		}
	}
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b PeerLoad) int { return comparePeers(local.DC, a, b) })
	var batches []Batch
	remaining := local.Queued
	for _, p := range sorted {
		if remaining == 0 {
			break
		}
		n := min(remaining, usableCapacity(&p, senders))
		if n <= 0 || !worthOffloading(local, &p) {
			continue
		}
		batches = append(batches, Batch{Member: p.Member, N: n})
		remaining -= n
	}
	return batches
}

// comparePeers orders peers of the local data centre first, then by latency,
// then by most free capacity.
func comparePeers(dc string, a, b PeerLoad) int {
	if local := a.DC == dc; local != (b.DC == dc) {
		if local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.OneWay, b.OneWay), cmp.Compare(b.Free, a.Free), cmp.Compare(a.Member, b.Member))
}

// usableCapacity returns the part of a peer's free capacity that this entry may
// use.
func usableCapacity(p *PeerLoad, senders int) int {
	freshness := 1 - float64(p.Age)/float64(loadStaleAfter)
	if freshness <= 0 || p.Queued > 0 {
		return 0
	}
	room := float64(p.Free) * freshness / float64(senders)
	if room > 0 && p.Sent == 0 {
		room = max(room, 1)
	}
	return int(room) - p.Sent
}

// worthOffloading reports whether the wait at this entry justifies an offload.
// For a peer in the same data centre it must justify two messages; for any
// other peer it must exceed the round trip.
func worthOffloading(local LocalLoad, p *PeerLoad) bool {
	if p.DC == local.DC {
		return local.Wait > minOffloadWait
	}
	return local.Wait > 2*p.OneWay+minOffloadGain
}

// PeerCapacity returns how many units peers could start now, and the shortest
// time until one of them could. See admission.Queue.SetPeerCapacity. If this entry
// has no target, its units can only wait for a newer load of a peer, so a load
// counts in full until it is stale.
func PeerCapacity(peers []PeerLoad, noTarget bool) (units int, wait time.Duration) {
	for i := range peers {
		p := peers[i]
		if noTarget && p.Age < loadStaleAfter {
			p.Age = 0
		}
		n := usableCapacity(&p, 1)
		if n <= 0 {
			continue
		}
		if w := 2*p.OneWay + p.Wait; units == 0 || w < wait {
			wait = w
		}
		units += n
	}
	return units, wait
}
