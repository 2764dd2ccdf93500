package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// loadStaleAfter is the age at which a peer's load says nothing any more.
	loadStaleAfter = time.Second
	// minOffloadWait and minGain are the least wait here, and for another data centre
	// the least gain of time, that are worth two messages.
	minOffloadWait = time.Millisecond
	minOffloadGain = 2 * time.Millisecond
)

// PeerLoad is the last known load of another entry for one kind of work: what
// is free for one kind may be kept from another.
type PeerLoad struct {
	Member string
	DC     string
	Free   int           // slots that the kind could take at once
	Queued int           // units of the kind in its queue
	Wait   time.Duration // of one more unit there
	OneWay time.Duration // one way to the peer
	Age    time.Duration // since the load was measured
	Sent   int           // units sent there since it was measured
}

// LocalLoad is the load of the entry that decides, for the same kind.
type LocalLoad struct {
	DC     string
	Queued int           // units that may be handed over
	Wait   time.Duration // of the last of them
}

// Batch tells to hand N units to a member.
type Batch struct {
	Member string
	N      int
}

// PlanOffload returns which peers get how many queued units: those of the same
// data centre with room first, nearest first, others only if the wait here
// exceeds the trip there and back. What was sent there since the load was
// measured is taken off, old loads count for less, and the room is shared
// with the other entries that have a queue, so that not all rush to the one
// that had room.
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

// comparePeers puts the own data centre first, then near peers, then those with
// most room.
func comparePeers(dc string, a, b PeerLoad) int {
	if local := a.DC == dc; local != (b.DC == dc) {
		if local {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.OneWay, b.OneWay), cmp.Compare(b.Free, a.Free), cmp.Compare(a.Member, b.Member))
}

// usableCapacity returns the part of a peer's room that this entry may count on.
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

// worthOffloading reports whether the wait here is longer than the way to the peer
// and back, or for a peer of the same data centre, worth two messages.
func worthOffloading(local LocalLoad, p *PeerLoad) bool {
	if p.DC == local.DC {
		return local.Wait > minOffloadWait
	}
	return local.Wait > 2*p.OneWay+minOffloadGain
}

// PeerCapacity returns how many units peers could start now, and the least time
// until one of them could. See admission.Queue.SetPeers.
func PeerCapacity(peers []PeerLoad) (units int, wait time.Duration) {
	for i := range peers {
		p := &peers[i]
		n := usableCapacity(p, 1)
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
