package election

import (
	"cmp"
	"time"
)

// MaxRelays is the largest number of entries between an entry and the leader that it
// follows. The limit ends a circle of entries that follow each other without a leader.
const MaxRelays = 3

// relayGrace is how long a peer gets to notice the loss of a leader, and this entry to notice that of
// the peer: a link is closed after 350 ms of silence, from the moment at which this entry or another one tells that the leader is
// out of its reach. A peer that still follows the leader after that counts as able to reach it.
const relayGrace = 450 * time.Millisecond

// followRelay follows a peer that follows a leader.
func (e *Election) followRelay(relay string) Decision {
	d := e.follow(relay)
	e.heartbeat.Relays = e.peers[relay].Relays + 1
	return d
}

// leadsNothing reports whether this entry leads without any target, so that a leader out
// of its reach may have them.
func (e *Election) leadsNothing(now time.Duration) bool {
	return e.heartbeat.Leading && e.heartbeat.Owned == 0 && now >= e.leadsSince+emptyLeadLimit
}

// emptyLeadLimit is how long a new leader may take to acquire its first target.
const emptyLeadLimit = time.Second

// relay returns the peer over which this entry reaches a leader that it is not linked to. Of
// equal ones it is the one that this entry follows: each change of relays withdraws all jobs.
func (e *Election) relay() (string, bool) {
	best := ""
	for name, hb := range e.peers {
		_, linked := e.peers[hb.Leader]
		if hb.Leader == "" || hb.Leader == e.self || linked || hb.Stopping || hb.Relays < 0 || hb.Relays >= MaxRelays {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(hb.Relays, e.peers[best].Relays), e.compareFollowed(name, best), cmp.Compare(name, best)) < 0 {
			best = name
		}
	}
	return best, best != ""
}

// compareFollowed orders two peers: the one that this entry follows comes first.
func (e *Election) compareFollowed(a, b string) int {
	switch e.heartbeat.Leader {
	case a:
		return -1
	case b:
		return 1
	}
	return 0
}
